//! State that every host derives alike from a stream of the log.

mod append;
mod follower;
mod frame;

pub use follower::{Follower, Progress};
pub use frame::{AppendOutcome, Ticket, decode_frame};

use serde::{Serialize, de::DeserializeOwned};

/// Position of a record in a stream: `offset << 16 | index in the log record`.
///
/// One log record carries up to 65,536 fold records. Positions start above zero, so that zero
/// stands for "before any record".
pub type Pos = u64;

/// Most fold records in one log record.
pub const FRAME_MAX: usize = 1 << 16;

/// Position of the fold record `index` in the log record at `offset` (counted from zero).
pub fn pos(offset: u64, index: usize) -> Pos {
    ((offset + 1) << 16) | index as u64
}

/// Offset of the log record that has the fold record at `at`.
fn offset_of(at: Pos) -> u64 {
    (at >> 16).saturating_sub(1)
}

/// A pure function of records in the order of the log.
///
/// `apply` must not read a clock, a random number or anything else but its arguments: all hosts
/// that applied the same records hold the same state. A record that loses a race, repeats an
/// earlier one or breaks a rule changes nothing.
pub trait Fold: Default + Clone + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// What the stream carries.
    type Record: Clone + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Name of the stream in the log, where there is one only.
    const STREAM: &'static str;

    /// Applies the record at `at`. Positions rise from call to call.
    fn apply(&mut self, at: Pos, rec: &Self::Record);
}
