//! Fold records on their way into a log record and out of it, and what became of their append.

use super::Pos;
use serde::de::DeserializeOwned;
use serde_bytes::{ByteBuf, Bytes};
use std::{
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

/// What became of an append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log at this position.
    Taken(Pos),
    /// The record is not in the log, and that is certain.
    NotTaken,
    /// The record may be in the log.
    Unknown,
}

/// A fold record that waits for its append.
#[derive(Debug)]
pub(super) struct Pending {
    pub bytes: Vec<u8>,
    pub ticket: Ticket,
}

/// Tells what became of an append.
#[derive(Debug, Clone, Default)]
pub struct Ticket(pub(super) Arc<(Mutex<Option<AppendOutcome>>, Condvar)>);

impl Ticket {
    /// Waits up to `limit`; `Unknown` if nothing was heard by then.
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

/// A log record is a sequence of byte strings, one for each fold record, so that one that does not
/// decode leaves the others whole.
pub(super) fn encode_frame(group: &[Pending]) -> Vec<u8> {
    let parts: Vec<&Bytes> = group.iter().map(|p| Bytes::new(&p.bytes)).collect();
    rmp_serde::to_vec(&parts).unwrap_or_default()
}

/// Decodes the fold records of a log record with their index in it; what does not decode is left
/// out.
pub fn decode_frame<R: DeserializeOwned>(bytes: &[u8]) -> Vec<(usize, R)> {
    let parts: Vec<ByteBuf> = rmp_serde::from_slice(bytes).unwrap_or_default();
    let decoded = parts.iter().enumerate();
    decoded
        .filter_map(|(i, p)| Some((i, rmp_serde::from_slice(p).ok()?)))
        .collect()
}
