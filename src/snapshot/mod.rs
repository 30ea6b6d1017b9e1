//! Snapshots of folded state, kept in the log so that a host need not read a stream from its start.
//!
//! A snapshot is split into chunks in a stream of its own. Each chunk has the snapshot's id, its
//! index and the digest of the whole state, so that incomplete and corrupt snapshots are ignored
//! and those of concurrent writers are told apart.

mod chunk;
mod schedule;
mod store;
mod task;

pub use chunk::{Chunk, Collector, encode_chunks};
pub use schedule::{LastSnapshot, Offsets};
pub use store::{load, snapshot_stream, write};
pub use task::Snapshots;

/// A state to which every log record below `next` was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<F> {
    /// Folded state.
    pub state: F,
    /// Offset of the first record that was not applied.
    pub next: u64,
}
