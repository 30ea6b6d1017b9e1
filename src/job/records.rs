//! Records of the jobs stream.

use crate::{fold::Pos, pass::Request, wire::Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The work that an item requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The caller's id of the item, unique in its job.
    pub id: Name,
    /// Name of the model to run.
    pub model: Name,
    /// Name of the model's adapter, if any.
    pub adapter: Option<Name>,
    /// Prompt text.
    pub prompt: Name,
    /// Maximum tokens to generate; for `request`, its count against the route's waiting tokens.
    pub tokens: u32,
    /// Whether the item may run more than once.
    pub repeatable: bool,
    /// Request to forward unchanged; `None` for a generation through this product's own interface.
    #[serde(default)]
    pub request: Option<Arc<Request>>,
}

/// How an item ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The item has a complete answer.
    Done {
        /// Generated text.
        text: Name,
        /// Number of generated tokens.
        tokens: u32,
    },
    /// The item cannot be completed.
    Failed {
        /// Code from the error table.
        code: Name,
        /// Error message.
        text: Name,
    },
    /// The item may not be repeated, and whether it completed is unknown.
    Unknown,
    /// The job was cancelled before the item ended.
    Cancelled,
}

/// The outcome of one item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemEnd {
    /// Index of the item in its part.
    pub index: u32,
    /// How the item ended.
    pub outcome: Outcome,
}

/// A part of a job at one of its epochs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartRef {
    /// Id of the job.
    pub job: Name,
    /// Index of the part in the job.
    pub part: u32,
    /// Position of the claim under which the part is held; zero before the first claim.
    pub epoch: Pos,
}

/// Creates a job from an upload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Id of the job.
    pub job: Name,
    /// Workspace that owns the job.
    pub workspace: Name,
    /// Id of the upload that holds the items.
    pub upload: Name,
    /// Digest of the items, in hexadecimal.
    pub digest: Name,
    /// Number of pieces that the upload must have.
    pub pieces: u32,
    /// Number of items that the upload must have.
    pub items: u32,
    /// Maximum number of items in a part.
    #[serde(rename = "cut")]
    pub part_size: u32,
}

/// A record of the jobs stream. Applied again, a record changes no job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Adds items to an upload.
    Piece {
        /// Id of the upload, unique for each upload request.
        upload: Name,
        /// Index of the piece in the upload.
        index: u32,
        /// Items of the piece.
        asks: Vec<Arc<ItemSpec>>,
    },
    /// Creates a job, unless its id is taken or was deleted, or the upload is empty or incomplete.
    Commit(Commit),
    /// Claims parts, each only if it has open items and its epoch is the one in the record.
    Claim {
        /// New holder.
        host: Name,
        /// Parts, each with the epoch that the claim replaces.
        parts: Vec<PartRef>,
    },
    /// Renews all leases of a host.
    Beat {
        /// Holder.
        host: Name,
    },
    /// Announces the dispatch of items that may not be repeated.
    Intents {
        /// Holder.
        host: Name,
        /// Part and epoch.
        part: PartRef,
        /// Indices of the items in the part.
        items: Vec<u32>,
    },
    /// Records the outcomes of items.
    Outcomes {
        /// Holder.
        host: Name,
        /// Part and epoch.
        part: PartRef,
        /// Outcomes by item.
        ended: Vec<ItemEnd>,
    },
    /// Releases a part, so that its open items can be claimed at once.
    Release {
        /// Holder.
        host: Name,
        /// Part and epoch.
        part: PartRef,
        /// Announced items that are known not to have run.
        unrun: Vec<u32>,
    },
    /// Cancels the open items of a job and releases its parts.
    Cancel {
        /// Id of the job.
        job: Name,
    },
    /// Deletes a job, ended or not, and its results; a tombstone keeps its id reserved.
    Delete {
        /// Id of the job.
        job: Name,
    },
    /// Advances log time.
    Tick {
        /// Position of the preceding tick; only the first tick with this predecessor counts.
        after: Pos,
        /// Milliseconds since the preceding tick, by the writer's monotonic clock.
        millis: u64,
        /// Retention period of ended jobs and of tombstones, in milliseconds of log time.
        keep: u64,
    },
}
