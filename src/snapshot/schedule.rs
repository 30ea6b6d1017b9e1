//! When to write a snapshot.

use crate::clock::Time;
use std::time::Duration;

/// Records after which a snapshot is due, whatever the time.
const RECORDS: u64 = 20_000;
/// Fewest records worth a snapshot before the time is up.
const FEW: u64 = 32;

/// The last snapshot that this host wrote of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LastSnapshot {
    written: Time,
    next: u64,
}

/// The stream as a host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Look {
    /// Oldest offset that the log keeps.
    pub first: u64,
    /// Offset of the next record to apply.
    pub next: u64,
}

impl LastSnapshot {
    /// Notes a snapshot, written by `now`, that lacks the records from `next` on.
    pub fn wrote(&mut self, now: Time, next: u64) {
        *self = Self { written: now, next };
    }

    /// Whether a snapshot is to be written: after `every`, after many records, or when a quarter
    /// of what the log keeps came in since the last one.
    pub fn is_due(&self, look: Look, now: Time, every: Duration) -> bool {
        if look.next == 0 {
            return false;
        }
        let news = look.next.saturating_sub(self.next);
        let kept = look.next.saturating_sub(look.first);
        let ages = look.first > 0 && news >= (kept / 4).max(FEW);
        ages || news >= RECORDS || now.saturating_sub(self.written) >= every
    }
}
