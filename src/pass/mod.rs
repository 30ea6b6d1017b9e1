//! Requests that are passed on to a backend server unchanged, with its answer passed back unchanged.
//!
//! What the fields of the servers' protocol are called is told by a [`Dialect`]; what to do with a
//! request is decided here and in `route`.

mod body;
mod conn;
mod events;
mod forward;
mod registry;
mod sink;

pub use body::{Body, Framing};
pub use conn::{Conn, ReadError};
pub use events::{Event, Events};
pub use forward::{
    Access, Arrival, RETRY_ELSEWHERE, authenticate, authorize, forward, note_refusal, send_error,
};
pub use registry::{AttemptRegistry, Entered, Held};
pub use sink::is_connection_field;

use crate::wire::Name;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::time::Duration;

/// A request as its caller sent it, without what concerns one connection only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id that the caller gave it.
    pub id: Name,
    /// Method.
    pub method: Name,
    /// Path with the query.
    pub target: Name,
    /// Header field `Host`.
    pub host: Name,
    /// Other header fields to pass on, in the order received.
    pub fields: Vec<(Name, Name)>,
    /// Body.
    pub body: ByteBuf,
    /// Last event that the caller already has; zero for none.
    pub after: u32,
    /// Most servers that may run it.
    pub attempts: u32,
}

/// What an attempt at a server is sent with.
#[derive(Debug, Clone, Copy)]
pub struct AttemptContext<'a> {
    /// The request.
    pub request: &'a Request,
    /// Server that is meant; another one at its address must not run the request.
    pub server: &'a str,
    /// Workspace that the request runs for; none on a route open to all.
    pub workspace: Option<&'a str>,
    /// Time that is left for the answer.
    pub left: Duration,
    /// Last event that is there already; zero for none.
    pub after: u32,
}

/// Head of a server's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Header fields; names in lower case.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// First value of the header field `name` (lower case).
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer belongs to the request and is to be passed on.
    Ours,
    /// The server did not run the request and says so.
    NotRun,
    /// The answer belongs to another request, or is none.
    Foreign,
}

/// The names that servers give to what an attempt is sent with and answered.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Header fields of an attempt, beside those of the request.
    pub fields: fn(&AttemptContext<'_>) -> Vec<(&'static str, String)>,
    /// Reads the head of an answer to the request with the id given.
    pub read: fn(&Head, &str) -> Verdict,
    /// Whether the head of an answer says that the server leaves.
    pub leaves: fn(&Head) -> bool,
}
