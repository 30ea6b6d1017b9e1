//! Snapshots of folded state, kept in the log beside the stream that they shorten.
//!
//! A snapshot is cut into chunks in a stream of its own. Each chunk names its writer, its place and
//! the digest of the whole, so that a torn snapshot, a half-written one, or one of two writers at
//! once is told apart and ignored unless it is whole.

mod chunk;
mod schedule;
mod store;
mod task;

pub use chunk::{Chunk, Collector, chunks_of};
pub use schedule::{LastSnapshot, Look};
pub use store::{load, stream_of, write};
pub use task::Snapshots;

/// State in which every log record below `next` was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot<F> {
    /// State.
    pub state: F,
    /// Offset of the first record that was not applied.
    pub next: u64,
}
