//! Replicated state, which every host derives identically from a stream of the log.

mod append;
mod follower;
mod frame;

pub use follower::{Follower, Progress};
pub use frame::{AppendOutcome, Ticket, decode_frame};

use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Position of a record in a stream: `offset << 16 | index in the log record`.
///
/// A log record contains up to 65,536 fold records. Positions are above zero, so that zero means
/// "before any record".
pub type Pos = u64;

/// Maximum number of fold records in one log record.
pub const FRAME_MAX: usize = 1 << 16;

/// Position of the fold record `index` in the log record at `offset` (counted from zero).
pub fn pos(offset: u64, index: usize) -> Pos {
    ((offset + 1) << 16) | index as u64
}

/// Offset of the log record that contains the fold record at `at`.
fn offset_of(at: Pos) -> u64 {
    (at >> 16).saturating_sub(1)
}

/// A state machine that is driven by the records of a stream in log order.
///
/// `apply` must be deterministic and must not read a clock, random numbers or anything but its
/// arguments: all hosts that applied the same records have the same state. A record that loses a
/// race, repeats an earlier one or breaks a rule changes nothing.
pub trait Fold: Default + Clone + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Type of the stream's records.
    type Record: Clone + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Name of the stream in the log, unless several streams have this type.
    const STREAM: &'static str;

    /// Time that a read of the log waits for new records.
    const READ_WAIT: Duration = Duration::from_millis(500);

    /// Shortest time from one read that found records to the next.
    const READ_PAUSE: Duration = Duration::ZERO;

    /// Group of records that a follower can be told to append apart from others; `None` for a record of none.
    fn group(_: &Self::Record) -> Option<&str> {
        None
    }

    /// Applies the record at `at`. Positions increase from call to call.
    fn apply(&mut self, at: Pos, rec: &Self::Record);
}
