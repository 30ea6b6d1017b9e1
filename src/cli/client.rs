//! Client of the operators' port, with fallback from one host to the next.

use super::{CliError, Exit};
use crate::http::{Client, Reply, Timeouts};
use serde::{Deserialize, de::DeserializeOwned};
use std::{fs, net::SocketAddr, time::Duration};

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// The hosts named on the command line.
#[derive(Debug)]
pub struct Hosts {
    addrs: Vec<SocketAddr>,
    /// Value of the authorization header, if there is a token.
    token: Option<String>,
    client: Client,
}

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Deserialize)]
struct ErrorFields {
    code: String,
    message: String,
}

impl Hosts {
    /// The hosts whose operators' ports are `addrs`. `file` holds the operators' token.
    ///
    /// # Errors
    /// The file cannot be read or holds no token.
    pub fn new(addrs: &[SocketAddr], file: Option<&str>) -> Result<Self, CliError> {
        Ok(Self {
            addrs: addrs.to_vec(),
            token: file.map(read_token).transpose()?,
            client: Client::new(),
        })
    }

    /// Sends a request to each host in turn until one answers. Several hosts may receive it; its
    /// change id keeps a change from being made twice.
    ///
    /// # Errors
    /// `Unsettled` if no host answered but one may have received a change, `Unreachable` if none
    /// received it, else by the code of the error response.
    pub fn request<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<T, CliError> {
        if self.addrs.is_empty() {
            return Err(CliError::new(
                Exit::Usage,
                "name a host with --host IP:PORT (its operators' port)",
            ));
        }
        let (mut errors, mut may_have_run) = (Vec::new(), false);
        for addr in &self.addrs {
            let url = format!("http://{addr}{path}");
            let mut fields = vec![("content-type", "application/json")];
            fields.extend(self.token.iter().map(|t| ("authorization", t.as_str())));
            let limits = Timeouts::within(REQUEST_TIMEOUT);
            match self.client.call_fresh(method, &url, &fields, body, limits) {
                Ok(reply) if is_unavailable(&reply) => errors.push(format!("{addr}: not ready")),
                Ok(reply) => return read(&reply),
                Err(e) => {
                    may_have_run |= e.sent && method != "GET";
                    errors.push(format!("{addr}: {}", e.text));
                }
            }
        }
        let exit = if may_have_run {
            Exit::Unsettled
        } else {
            Exit::Unreachable
        };
        Err(CliError::new(
            exit,
            format!("no host answered: {}", errors.join("; ")),
        ))
    }
}

fn read_token(file: &str) -> Result<String, CliError> {
    let error = |why: String| CliError::new(Exit::Usage, format!("token file \"{file}\": {why}"));
    let text = fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
    let token = text.trim();
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        let why = "expected one line of printable ASCII characters without spaces";
        return Err(error(why.into()));
    }
    Ok(format!("Bearer {token}"))
}

/// Whether the host is starting or stopping, so that another should be tried.
fn is_unavailable(reply: &Reply) -> bool {
    let code = serde_json::from_slice::<ErrorBody>(&reply.body).map(|b| b.error.code);
    code.is_ok_and(|c| c == "not_ready" || c == "stopping")
}

fn read<T: DeserializeOwned>(reply: &Reply) -> Result<T, CliError> {
    if reply.status == 200 {
        return serde_json::from_slice(&reply.body)
            .map_err(|e| CliError::new(Exit::Failed, format!("invalid answer: {e}")));
    }
    let Ok(body) = serde_json::from_slice::<ErrorBody>(&reply.body) else {
        let text = format!("the host answered with status {}", reply.status);
        return Err(CliError::new(Exit::Failed, text));
    };
    let ErrorFields { code, message } = body.error;
    let exit = match code.as_str() {
        "bad_request" | "bad_type" | "too_large" | "head_too_large" => Exit::Refused,
        "conflict" | "cancelled" => Exit::Conflict,
        "log_down" | "overloaded" | "rate_limited" => Exit::Later,
        "unsettled" => Exit::Unsettled,
        "not_found" | "bad_method" => Exit::NotFound,
        "unauthorized" => {
            let text = "the host requires the operators' token; give its file with --token FILE";
            return Err(CliError::new(Exit::Refused, text));
        }
        _ => Exit::Failed,
    };
    Err(CliError::new(exit, format!("{code}: {message}")))
}

/// `path` with those query parameters that have a value, percent-encoded.
pub fn with_query(path: &str, params: &[(&str, Option<&str>)]) -> String {
    let pairs: Vec<String> = params
        .iter()
        .filter_map(|(n, v)| Some(format!("{n}={}", percent_encode((*v)?))))
        .collect();
    if pairs.is_empty() {
        return path.into();
    }
    format!("{path}?{}", pairs.join("&"))
}

fn percent_encode(text: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    text.bytes()
        .map(|b| match plain(b) {
            true => char::from(b).to_string(),
            false => format!("%{b:02X}"),
        })
        .collect()
}
