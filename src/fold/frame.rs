//! Encoding of fold records in log records, and the outcome of appends.

use super::Pos;
use crate::wire::Name;
use serde::de::DeserializeOwned;
use serde_bytes::{ByteBuf, Bytes};
use std::{
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

/// Outcome of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this position.
    Taken(Pos),
    /// The record is certainly not in the log.
    NotTaken,
    /// The record may be in the log.
    Unknown,
}

/// A fold record that is queued for append.
#[derive(Debug)]
pub(super) struct Pending {
    pub bytes: Vec<u8>,
    pub ticket: Ticket,
    /// Group whose records are appended apart from others.
    pub apart: Option<Name>,
}

/// Handle to the outcome of a submitted record.
#[derive(Debug, Clone, Default)]
pub struct Ticket(pub(super) Arc<(Mutex<Option<AppendOutcome>>, Condvar)>);

impl Ticket {
    /// Waits up to `limit` for the outcome; `Unknown` if there is none by then.
    pub fn wait(&self, limit: Duration) -> AppendOutcome {
        let guard = self.0.0.lock().expect("ticket");
        let (guard, _) = self
            .0
            .1
            .wait_timeout_while(guard, limit, |o| o.is_none())
            .expect("ticket");
        guard.clone().unwrap_or(AppendOutcome::Unknown)
    }

    pub(super) fn set(&self, outcome: AppendOutcome) {
        *self.0.0.lock().expect("ticket") = Some(outcome);
        self.0.1.notify_all();
    }
}

/// Encodes fold records as one log record: a sequence of byte strings, one for each fold record, so
/// that a fold record that does not decode leaves the others readable.
pub(super) fn encode_frame(group: &[Pending]) -> Vec<u8> {
    let parts: Vec<&Bytes> = group.iter().map(|p| Bytes::new(&p.bytes)).collect();
    rmp_serde::to_vec(&parts).unwrap_or_default()
}

/// Decodes the fold records of a log record, each with its index. Those that do not decode are
/// skipped; a log record that does not decode has none, on every host alike.
pub fn decode_frame<R: DeserializeOwned>(bytes: &[u8]) -> Vec<(usize, R)> {
    let parts: Vec<ByteBuf> = rmp_serde::from_slice(bytes).unwrap_or_default();
    let decoded = parts.iter().enumerate();
    decoded
        .filter_map(|(i, p)| Some((i, rmp_serde::from_slice(p).ok()?)))
        .collect()
}
