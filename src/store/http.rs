//! HTTP clients of the platform's log and host list.

use super::{AppendError, Hosts, Listed, Log, Page};
use crate::{
    error::{Fail, Kind, Res},
    http::{Client, Reply, SendError, Timeouts},
};
use std::{sync::Arc, time::Duration};

/// Timeout of a call to the platform, in addition to the requested wait.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the log at a base URL.
#[derive(Debug, Clone)]
pub struct HttpLog {
    base: Arc<str>,
    client: Client,
}

impl HttpLog {
    /// Creates a client of the log at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: Arc<str>, client: Client) -> Self {
        Self { base, client }
    }
}

impl Log for HttpLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let url = format!("{}/append?stream={stream}", self.base);
        match self
            .client
            .call("POST", &url, &[], bytes, Timeouts::within(TIMEOUT))
        {
            Ok(reply) if reply.status == 200 => rmp_serde::from_slice(&reply.body)
                .map_err(|e| AppendError::Unknown(format!("cannot decode the log's answer: {e}"))),
            Ok(Reply {
                status: 429 | 503,
                body,
                ..
            }) => Err(AppendError::NotTaken(
                String::from_utf8_lossy(&body).into_owned(),
            )),
            Ok(reply) => Err(AppendError::Unknown(format!(
                "the log answered with status {}",
                reply.status
            ))),
            Err(SendError { sent: false, text }) => Err(AppendError::NotTaken(text)),
            Err(SendError { text, .. }) => Err(AppendError::Unknown(text)),
        }
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let url = format!(
            "{}/read?stream={stream}&from={from}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        get(&self.client, &url, wait + TIMEOUT)
    }
}

/// Client of the host list at a base URL.
#[derive(Debug, Clone)]
pub struct HttpHosts {
    base: Arc<str>,
    client: Client,
}

impl HttpHosts {
    /// Creates a client of the host list at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: Arc<str>, client: Client) -> Self {
        Self { base, client }
    }
}

impl Hosts for HttpHosts {
    fn announce(&self, listed: &Listed) -> Res<()> {
        let url = format!("{}/announce", self.base);
        let body = rmp_serde::to_vec(listed).map_err(|e| platform_error(&url, &e.to_string()))?;
        let reply = self
            .client
            .call("POST", &url, &[], &body, Timeouts::within(TIMEOUT))
            .map_err(|e| platform_error(&url, &e.text))?;
        expect_ok(&url, reply).map(|_| ())
    }

    fn list(&self) -> Res<Vec<Listed>> {
        get(&self.client, &format!("{}/hosts", self.base), TIMEOUT)
    }
}

fn get<T: serde::de::DeserializeOwned>(client: &Client, url: &str, limit: Duration) -> Res<T> {
    let reply = client
        .call("GET", url, &[], &[], Timeouts::within(limit))
        .map_err(|e| platform_error(url, &e.text))?;
    let body = expect_ok(url, reply)?;
    rmp_serde::from_slice(&body).map_err(|e| platform_error(url, &e.to_string()))
}

fn expect_ok(url: &str, reply: Reply) -> Res<Vec<u8>> {
    if reply.status == 200 {
        return Ok(reply.body);
    }
    Err(platform_error(url, &format!("status {}", reply.status)))
}

fn platform_error(url: &str, text: &str) -> Fail {
    Fail::new(Kind::LogDown, format!("platform at {url}: {text}"))
}
