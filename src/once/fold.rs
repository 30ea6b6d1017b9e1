//! Attempts at calls and their outcomes, folded from the log.

use crate::{
    fold::{Fold, Pos},
    wire::Name,
};
use serde::{Deserialize, Serialize};

/// Most answered calls that are kept. Beyond it the older half is dropped, and a repeat of a
/// dropped call runs again.
pub const ANSWERED_MAX: usize = 100_000;
/// Most calls without an answer that are kept. They are limited apart from answered ones, because a
/// repeat may still be on its way.
pub const PENDING_MAX: usize = 100_000;

/// The answer of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there was none.
    pub kind: Name,
    /// Body; `None` if it was too large to keep.
    #[serde(with = "serde_bytes")]
    pub body: Option<Vec<u8>>,
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Workspace and idempotency key.
    pub id: Name,
    /// Host of the only attempt that may send it.
    pub host: Name,
    /// Number of that attempt.
    pub attempt: u64,
    /// Digest of the request.
    pub digest: Name,
    /// The answer, once recorded.
    pub saved: Option<Saved>,
    /// Log position of the attempt's intent.
    pub at: Pos,
}

/// All kept calls at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Sorted by id.
    pub calls: Vec<Call>,
    /// Number of calls with an answer.
    pub answered: usize,
}

/// A record of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// An attempt is about to send a call; only the first for an id may.
    Intent {
        /// Workspace and idempotency key.
        id: Name,
        /// Host of the attempt.
        host: Name,
        /// Unique number of the attempt.
        attempt: u64,
        /// Digest of the request.
        digest: Name,
    },
    /// The service answered.
    Outcome {
        /// Workspace and idempotency key.
        id: Name,
        /// Number of the attempt.
        attempt: u64,
        /// The answer.
        saved: Saved,
    },
    /// The attempt has sent nothing and never will; a repeat may run.
    Dropped {
        /// Workspace and idempotency key.
        id: Name,
        /// Number of the attempt.
        attempt: u64,
    },
}

impl Calls {
    /// The call `id`.
    pub fn call(&self, id: &str) -> Option<&Call> {
        self.find(id).ok().map(|i| &self.calls[i])
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.calls.binary_search_by(|c| (*c.id).cmp(id))
    }

    /// Index of the call `id`, if it belongs to `attempt` and has no outcome.
    fn pending(&self, id: &str, attempt: u64) -> Option<usize> {
        let i = self.find(id).ok()?;
        let call = &self.calls[i];
        (call.attempt == attempt && call.saved.is_none()).then_some(i)
    }

    /// Drops the older half of the answered or the unanswered calls, if there are too many.
    fn trim(&mut self) {
        if self.answered > ANSWERED_MAX {
            self.drop_older_half(|c| c.saved.is_some());
        }
        if self.calls.len() - self.answered > PENDING_MAX {
            self.drop_older_half(|c| c.saved.is_none());
        }
    }

    fn drop_older_half(&mut self, test: impl Fn(&Call) -> bool) {
        let found = self.calls.iter().filter(|c| test(c));
        let mut ages: Vec<Pos> = found.map(|c| c.at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.calls.retain(|c| !test(c) || c.at >= middle);
        self.answered = self.calls.iter().filter(|c| c.saved.is_some()).count();
    }
}

impl Fold for Calls {
    type Record = Record;
    const STREAM: &'static str = "calls";

    fn apply(&mut self, at: Pos, rec: &Record) {
        match rec {
            Record::Intent {
                id,
                host,
                attempt,
                digest,
            } => {
                if let Err(i) = self.find(id) {
                    let call = Call {
                        id: id.clone(),
                        host: host.clone(),
                        attempt: *attempt,
                        digest: digest.clone(),
                        saved: None,
                        at,
                    };
                    self.calls.insert(i, call);
                    self.trim();
                }
            }
            Record::Outcome { id, attempt, saved } => {
                if let Some(i) = self.pending(id, *attempt) {
                    self.calls[i].saved = Some(saved.clone());
                    self.answered += 1;
                    self.trim();
                }
            }
            Record::Dropped { id, attempt } => {
                if let Some(i) = self.pending(id, *attempt) {
                    self.calls.remove(i);
                }
            }
        }
    }
}
