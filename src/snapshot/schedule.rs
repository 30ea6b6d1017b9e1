//! Decides when to write a snapshot.

use crate::clock::Time;
use std::time::Duration;

/// Number of new records after which a snapshot is due, whatever the time.
const RECORDS_MAX: u64 = 20_000;
/// Minimum number of new records for a snapshot before the interval is over.
const RECORDS_MIN: u64 = 32;

/// The last snapshot of a stream written by this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LastSnapshot {
    written: Time,
    next: u64,
}

/// Oldest retained offset of a stream and the next one to apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offsets {
    /// Oldest offset retained by the log.
    pub first: u64,
    /// Offset of the next record to apply.
    pub next: u64,
}

impl LastSnapshot {
    /// Notes that by `now` a snapshot of the records below `next` was written.
    pub fn note_written(&mut self, now: Time, next: u64) {
        *self = Self { written: now, next };
    }

    /// Whether a snapshot is due: after `every`, after many records, or, if the log already drops
    /// old records, when a quarter of the retained ones are new since the last snapshot.
    pub fn is_due(&self, offsets: Offsets, now: Time, every: Duration) -> bool {
        if offsets.next == 0 {
            return false;
        }
        let new = offsets.next.saturating_sub(self.next);
        let retained = offsets.next.saturating_sub(offsets.first);
        let is_at_risk = offsets.first > 0 && new >= (retained / 4).max(RECORDS_MIN);
        is_at_risk || new >= RECORDS_MAX || now.saturating_sub(self.written) >= every
    }
}
