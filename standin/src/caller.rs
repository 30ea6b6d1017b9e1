//! HTTP client in the part of a caller.

use crate::{MODEL, expected};
use gooseberrytack::http::{Client, Reply, SendError, Timeouts};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Longest line of a stream.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Client of one host with one API key.
#[derive(Debug, Clone)]
pub struct Caller {
    url: String,
    auth: String,
    client: Client,
}

/// Result of a chat completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Got {
    /// The whole text.
    Whole(String),
    /// A refusal with its status and body.
    Refused(u16, String),
    /// No whole answer; the text that came.
    Cut(String),
}

/// The expected answer to `content` by the model of the harness.
pub fn answer_to(content: &str, tokens: u32) -> String {
    expected(MODEL, &format!("user: {content}\n"), tokens)
}

impl Caller {
    /// A caller of the host whose callers' port is at `url`, with `key`.
    pub fn new(url: impl Into<String>, key: &str) -> Self {
        Self {
            url: url.into(),
            auth: format!("Bearer {key}"),
            client: Client::new(),
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// No whole answer came.
    pub fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<Reply, SendError> {
        self.call_with(method, path, &[("content-type", "application/json")], body)
    }

    /// Sends a request with header fields and reads the whole answer.
    ///
    /// # Errors
    /// No whole answer came.
    pub fn call_with(
        &self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Reply, SendError> {
        let url = format!("{}{path}", self.url);
        let mut all = vec![("authorization", self.auth.as_str())];
        all.extend_from_slice(fields);
        let limits = Timeouts::within(TIMEOUT);
        self.client.call_fresh(method, &url, &all, body, limits)
    }

    /// Requests a chat completion as one answer.
    pub fn ask(&self, content: &str, tokens: u32) -> Got {
        let body = chat_body(content, tokens, false);
        let reply = match self.call("POST", "/v1/chat/completions", &body) {
            Ok(reply) => reply,
            Err(_) => return Got::Cut(String::new()),
        };
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        if reply.status != 200 {
            return Got::Refused(reply.status, text);
        }
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        match value["choices"][0]["message"]["content"].as_str() {
            Some(answer) => Got::Whole(answer.into()),
            None => Got::Cut(text),
        }
    }

    /// Requests a streamed chat completion; `each` is called with every piece of text.
    pub fn stream(&self, content: &str, tokens: u32, mut each: impl FnMut(&str)) -> Got {
        let body = chat_body(content, tokens, true);
        let url = format!("{}/v1/chat/completions", self.url);
        let fields = [
            ("authorization", self.auth.as_str()),
            ("content-type", "application/json"),
        ];
        let limits = Timeouts::within(TIMEOUT);
        let mut text = String::new();
        let Ok(mut stream) = self.client.stream("POST", &url, &fields, &body, limits) else {
            return Got::Cut(text);
        };
        if stream.status != 200 {
            let body = stream.rest(MAX_LINE_BYTES).unwrap_or_default();
            return Got::Refused(stream.status, body);
        }
        while let Ok(Some(line)) = stream.line(MAX_LINE_BYTES) {
            match line.strip_prefix("data: ") {
                Some("[DONE]") => return Got::Whole(text),
                Some(data) => {
                    let value: Value = serde_json::from_str(data).unwrap_or_default();
                    let piece = value["choices"][0]["delta"]["content"].as_str();
                    each(piece.unwrap_or_default());
                    text += piece.unwrap_or_default();
                }
                None => {}
            }
        }
        Got::Cut(text)
    }
}

fn chat_body(content: &str, tokens: u32, stream: bool) -> Vec<u8> {
    let value = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": stream,
    });
    value.to_string().into_bytes()
}
