//! The closed list of error kinds, and the table that maps each to its response.

mod table;

pub use table::{Ran, Row};

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// Why a request ended without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The request is malformed, or a field has a value that is not allowed.
    BadRequest,
    /// The request was truncated or did not arrive in time.
    RequestCut,
    /// The key is missing, malformed, unknown or withdrawn.
    Unauthorized,
    /// The key is valid but has no permission for this.
    Forbidden,
    /// No such path or object.
    NotFound,
    /// No such model.
    UnknownModel,
    /// The path exists, the method does not.
    BadMethod,
    /// The request conflicts with the present state, such as a later revision.
    Conflict,
    /// The body exceeds the size limit.
    TooLarge,
    /// The header exceeds the size limit.
    HeadTooLarge,
    /// The content type is not supported.
    BadType,
    /// The workspace exceeds its request rate.
    RateLimited,
    /// No capacity was free within the deadline or the queue limit; nothing was sent.
    Overloaded,
    /// The host has no configuration yet, or is cut off from the log and its peers.
    NotReady,
    /// The host is stopping.
    Stopping,
    /// The log accepts no appends; nothing was stored.
    LogDown,
    /// An append may have taken effect; repeat the request with the same id.
    Unsettled,
    /// The deadline passed before anything was sent to a backend server.
    ExpiredWaiting,
    /// The deadline passed while a backend server was running the request.
    ExpiredRunning,
    /// The backend server could not be reached; nothing was sent.
    Unreachable,
    /// The connection to the backend server failed after the request may have reached it.
    ServerLost,
    /// The backend server refused the request as invalid.
    ServerRefused,
    /// The backend server did not run the request: it is full, or another instance replaced it.
    ServerFull,
    /// The backend server reported a failure of its own.
    ServerFailed,
    /// The backend server's answer was truncated, belonged to another request or was too long.
    BrokenAnswer,
    /// The key was withdrawn while the answer was being generated.
    KeyWithdrawn,
    /// Batch work was preempted by online work; the item is retried without counting the attempt.
    Preempted,
    /// The request or a segment of its prompt is in quarantine because it crashes backend servers.
    Quarantined,
    /// The stream cannot go on: no backend server has the software version that began it.
    VersionGone,
    /// The work was cancelled by its caller.
    Cancelled,
    /// The work is not repeatable and its outcome is unknown.
    OutcomeUnknown,
    /// A bug in this program.
    Internal,
}

/// An error to report to a caller, operator or peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fail {
    /// Kind, which determines status and code.
    pub kind: Kind,
    /// What went wrong and what to try.
    pub text: Arc<str>,
    /// The request field at fault, if one is.
    pub field: Option<Arc<str>>,
    /// Time after which to try again, where it is known better than the table's.
    pub after: Option<Duration>,
}

impl Fail {
    /// An error of `kind` with the message `text`.
    pub fn new(kind: Kind, text: impl Into<Arc<str>>) -> Self {
        Self {
            kind,
            text: text.into(),
            field: None,
            after: None,
        }
    }

    /// An invalid value of `field`; the message names both.
    pub fn field(field: &str, text: impl fmt::Display) -> Self {
        Self {
            kind: Kind::BadRequest,
            text: format!("field \"{field}\": {text}").into(),
            field: Some(field.into()),
            after: None,
        }
    }

    /// The same error with the time after which to try again.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// Time after which the caller may try again; `None` where trying again cannot help.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.after.or(self.kind.row().after)
    }
}

impl fmt::Display for Fail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.row().code, self.text)
    }
}

impl std::error::Error for Fail {}

/// Result of work that can end in an answer to the caller.
pub type Res<T> = Result<T, Fail>;
