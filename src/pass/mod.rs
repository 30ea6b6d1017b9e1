//! Passes requests on to backend servers, and their answers back, unchanged.
//!
//! A [`Dialect`] maps attempts and answers to the header fields of the servers' protocol; how a request
//! is routed and retried is decided here and in `route`.

mod body;
mod buffer;
mod conn;
mod events;
mod fields;
mod forward;
mod head;
mod registry;
mod sink;

pub use body::{Body, Framing};
pub use buffer::{Answers, Buffer};
pub use conn::{Closer, Conn, RESET_WAIT, is_reset};
pub use events::{Event, Events};
pub use forward::{
    Access, Arrival, RETRY_ELSEWHERE, authenticate, authorize, forward, note_refusal, send_error,
};
pub use head::ReadError;
pub use registry::{AttemptRegistry, Cut, Registration};
pub use sink::is_connection_field;

use crate::wire::Name;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::time::Duration;

/// A request as its caller sent it, without the header fields of the connection.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id chosen by the caller.
    pub id: Name,
    /// HTTP method.
    pub method: Name,
    /// Path and query.
    pub target: Name,
    /// Value of the header field `Host`.
    pub host: Name,
    /// Other header fields to pass on, name and value, in the order received.
    pub fields: Vec<(Name, Name)>,
    /// Body, passed on byte for byte.
    pub body: ByteBuf,
    /// Id of the last event that the caller already has; zero for none.
    pub after: u32,
    /// Most attempts at servers that may have run it.
    pub attempts: u32,
}

/// What a [`Dialect`] needs to write the header fields of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// The request to send.
    pub request: &'a Request,
    /// Name of the server; another server at the same address must not run the request.
    pub server: &'a str,
    /// Workspace of the caller; `None` on a route open to all.
    pub workspace: Option<&'a str>,
    /// Time left until the deadline.
    pub left: Duration,
    /// Id of the last event that has already arrived; zero for none.
    pub after: u32,
}

/// Head of a server's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, name and value; names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// First value of the header field `name` (lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

/// How the head of an answer relates to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer belongs to the request and is to be passed back.
    Ours,
    /// The server did not run the request and says so.
    NotRun,
    /// The answer belongs to another request or does not follow the protocol.
    Foreign,
}

/// What an answer says about the rate of requests that its server takes from all hosts together.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitStatement {
    /// Nothing: the answer is not the server's own.
    Absent,
    /// The server takes any number of requests.
    Unlimited,
    /// The server takes this many requests per second: a finite number, zero or greater.
    PerSecond(f64),
    /// The value cannot be used.
    Invalid(String),
}

/// Load that a server reported; a hint, which may be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots of the server.
    pub slots: u32,
    /// Percentage of the usual time that work takes on that machine now, from 1 to 10,000.
    pub percent: Option<u32>,
}

/// What an answer says about the load of its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadStatement {
    /// Nothing.
    Absent,
    /// Its load.
    Report(LoadReport),
    /// The value cannot be used.
    Invalid(String),
}

/// The servers' protocol: the header fields of attempts and answers.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Names (lower case) of the header fields that hosts set themselves, or that must not reach a server
    /// from a caller.
    pub reserved: &'static [&'static str],
    /// Header fields of an attempt, in addition to those of the request.
    pub fields: fn(&AttemptContext<'_>) -> Vec<(&'static str, String)>,
    /// Reads the head of an answer to the request with this id.
    pub read: fn(&Head, &str) -> Verdict,
    /// Whether the head of an answer says that the server is leaving.
    pub leaves: fn(&Head) -> bool,
    /// The limit on requests that the head of an answer states.
    pub limit: fn(&Head) -> LimitStatement,
    /// The load that the head of an answer reports.
    pub load: fn(&Head) -> LoadStatement,
    /// Ids of the prompt segments that a request names and that other requests may share.
    pub segments: fn(&Request) -> Vec<Name>,
}
