//! The closed list of error kinds and the table from kind to answer.

mod table;

pub use table::{Ran, Row};

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// Every way in which a request can end without its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The request is malformed, or a field has a value that is not allowed.
    BadRequest,
    /// The request did not arrive in time or in whole.
    RequestCut,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
    /// The key is known but may not do this.
    Forbidden,
    /// No such path or object.
    NotFound,
    /// No such model.
    UnknownModel,
    /// The path exists, the method does not.
    BadMethod,
    /// The request loses against a state it did not expect.
    Conflict,
    /// The body is larger than the limit.
    TooLarge,
    /// The header is larger than the limit.
    HeadTooLarge,
    /// The content type is not supported.
    BadType,
    /// The workspace is over its rate.
    RateLimited,
    /// No capacity within the deadline or the queue limit; nothing was sent.
    Overloaded,
    /// The host has no configuration yet, or is cut off.
    NotReady,
    /// The host is stopping.
    Stopping,
    /// The log takes no appends; nothing was kept.
    LogDown,
    /// An append may have taken effect; ask again with the same id.
    Unsettled,
    /// The deadline passed before anything was sent to a backend server.
    ExpiredWaiting,
    /// The deadline passed while a backend server was at work.
    ExpiredRunning,
    /// The backend server could not be reached; nothing was sent.
    Unreachable,
    /// The backend server was lost after the request may have reached it.
    ServerLost,
    /// The backend server refused the request as invalid.
    ServerRefused,
    /// The backend server did not run the request, because it is full or another one.
    ServerFull,
    /// The backend server answered that it failed.
    ServerFailed,
    /// The backend server's answer was cut, crossed or too long.
    BrokenAnswer,
    /// The key was withdrawn while the answer was under way.
    KeyWithdrawn,
    /// Batch work gave way to online work; the item is tried again without charge.
    Preempted,
    /// The work was cancelled by its caller.
    Cancelled,
    /// The work may not be repeated and its outcome was lost.
    OutcomeUnknown,
    /// A fault in this program.
    Internal,
}

/// An error on its way to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fail {
    /// What happened.
    pub kind: Kind,
    /// What went wrong and what to try.
    pub text: Arc<str>,
    /// The request field at fault, if one is.
    pub field: Option<Arc<str>>,
    /// When to come back, where that is known better than the table tells.
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
