//! Records the requests that a stand-in receives.

use gooseberrytack::http::Request;
use serde::Serialize;
use std::sync::{Arc, Mutex};

/// One request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Received {
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Request line and header fields, one a line.
    pub head: String,
    /// Body; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// Shared record of the requests that a stand-in received.
#[derive(Debug, Clone, Default)]
pub struct Seen(Arc<Mutex<Vec<Received>>>);

impl Seen {
    /// Records a request.
    pub(crate) fn record(&self, request: &Request) {
        let head = &request.head;
        let mut text = format!("{} {}?{}\n", head.method, head.path, head.query);
        for (name, value) in &head.fields {
            text += &format!("{name}: {value}\n");
        }
        let received = Received {
            method: head.method.clone(),
            path: head.path.clone(),
            head: text,
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        self.0.lock().expect("received").push(received);
    }

    /// All requests, in the order of arrival.
    pub fn all(&self) -> Vec<Received> {
        self.0.lock().expect("received").clone()
    }

    /// Whether `text` occurs in the head or body of any request.
    pub fn contains(&self, text: &str) -> bool {
        let all = self.0.lock().expect("received");
        all.iter()
            .any(|r| r.head.contains(text) || r.body.contains(text))
    }
}
