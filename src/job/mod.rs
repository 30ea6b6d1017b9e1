//! Batch jobs, folded from the log.
//!
//! A job is uploaded in pieces and exists from its commit on. It is split into parts, which hosts
//! claim one by one. The position of an accepted claim is the part's epoch: outcomes under any
//! other epoch are ignored, and the first outcome of an item in log order is final.

mod apply;
mod change;
mod records;
mod state;

pub use records::{Commit, ItemEnd, ItemSpec, Outcome, PartRef, Record};
pub use state::{Counts, Holder, Item, ItemState, Job, Part, Piece, State, Tombstone, Upload};

/// Maximum number of items in a job.
pub const ITEMS_MAX: usize = 190_000;
/// Maximum number of pieces in an upload.
pub const PIECES_MAX: u32 = 4096;
/// Log time in milliseconds, from the first piece on, after which an uncommitted upload is dropped.
pub const UPLOAD_AGE_MS: u64 = 3_600_000;
