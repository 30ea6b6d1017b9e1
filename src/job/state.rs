//! State of all jobs at a log position.

use super::{ItemSpec, Outcome, PartRef};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// All jobs. Jobs and parts are reference-counted: a clone is cheap, and a change copies one part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Position of the last record applied.
    pub at: Pos,
    /// Log time in milliseconds: the sum of the accepted ticks. It never runs ahead of real time.
    pub clock: u64,
    /// Position of the last accepted tick.
    #[serde(rename = "ticked")]
    pub last_tick: Pos,
    /// Uncommitted uploads, sorted by id.
    pub uploads: Vec<Arc<Upload>>,
    /// Jobs, sorted by id.
    pub jobs: Vec<Arc<Job>>,
    /// Jobs deleted by request, not by retention; sorted by id.
    pub tombstones: Vec<Tombstone>,
    /// Hosts that hold parts, sorted by name.
    pub holders: Vec<Holder>,
}

/// The pieces received so far of an uncommitted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Id, unique for each upload request.
    pub id: Name,
    /// Log time of the first piece, in milliseconds.
    pub began: u64,
    /// Pieces, sorted by index.
    pub pieces: Vec<Piece>,
}

/// One piece of an upload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Index of the piece in the upload.
    pub index: u32,
    /// Items of the piece.
    #[serde(rename = "asks")]
    pub specs: Vec<Arc<ItemSpec>>,
}

/// A job deleted by request. Its id stays reserved for the retention period of results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Id of the job.
    pub id: Name,
    /// Log time of the deletion, in milliseconds.
    pub clock: u64,
}

/// A host that holds parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the host.
    pub name: Name,
    /// Position of the last record that names the host; each renews all its leases.
    pub last: Pos,
    /// Number of parts held.
    pub parts: u32,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id, unique in the stream.
    pub id: Name,
    /// Workspace that owns the job.
    pub workspace: Name,
    /// Digest of the items, in hexadecimal.
    pub digest: Name,
    /// Position of the commit.
    pub at: Pos,
    /// Position of the cancellation; zero if the job was not cancelled.
    pub cancelled: Pos,
    /// Log time at which the last item ended, in milliseconds; `None` while items are open.
    pub ended: Option<u64>,
    /// Number of items by status.
    pub counts: Counts,
    /// Maximum number of items in a part.
    #[serde(rename = "cut")]
    pub part_size: u32,
    /// Parts, in submission order.
    pub parts: Vec<Arc<Part>>,
    /// Indices, in submission order, of the items that are done or failed, listed in the order in
    /// which they ended.
    #[serde(default)]
    pub finished: Vec<u32>,
}

/// Number of items by status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Not ended.
    pub open: u32,
    /// Ended with an answer.
    pub done: u32,
    /// Ended with an error.
    pub failed: u32,
    /// Ended with an unknown outcome.
    pub unknown: u32,
    /// Cancelled with the job.
    pub cancelled: u32,
}

/// A part of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Position of the last accepted claim; zero before the first.
    pub epoch: Pos,
    /// Host that holds the part; `None` before a claim, after a release and once no item is open.
    pub holder: Option<Name>,
    /// Number of items that have not ended.
    pub open: u32,
    /// Items, in submission order.
    pub items: Vec<Item>,
}

/// An item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's id of the item, unique in its job.
    pub id: Name,
    /// Requested work while the item is open, then its outcome.
    pub state: ItemState,
}

/// Status of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// The item has not ended.
    Open {
        /// Requested work.
        ask: Arc<ItemSpec>,
        /// Whether the dispatch was announced under the current epoch.
        intent: bool,
    },
    /// The item has ended; its spec is no longer kept.
    Ended(Outcome),
}

impl Counts {
    /// Total number of items.
    pub fn total(&self) -> u32 {
        self.open + self.done + self.failed + self.unknown + self.cancelled
    }

    /// Moves one item from open to the count of `outcome`.
    pub(super) fn end(&mut self, outcome: &Outcome) {
        self.open -= 1;
        match outcome {
            Outcome::Done { .. } => self.done += 1,
            Outcome::Failed { .. } => self.failed += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Cancelled => self.cancelled += 1,
        }
    }
}

impl State {
    /// Finds a job by id.
    pub fn job(&self, id: &str) -> Option<&Arc<Job>> {
        let at = self.jobs.binary_search_by(|j| (*j.id).cmp(id)).ok()?;
        self.jobs.get(at)
    }

    /// Finds an uncommitted upload by id.
    pub fn upload(&self, id: &str) -> Option<&Arc<Upload>> {
        let at = self.uploads.binary_search_by(|u| (*u.id).cmp(id)).ok()?;
        self.uploads.get(at)
    }

    /// Whether job `id` was deleted within the retention period.
    pub fn is_deleted(&self, id: &str) -> bool {
        self.tombstones
            .binary_search_by(|t| (*t.id).cmp(id))
            .is_ok()
    }

    /// The part that `part` refers to, regardless of its epoch.
    pub fn part(&self, part: &PartRef) -> Option<&Arc<Part>> {
        self.job(&part.job)?.parts.get(part.part as usize)
    }

    /// The part that `part` refers to, if `host` holds it under that epoch.
    pub fn held(&self, host: &str, part: &PartRef) -> Option<&Arc<Part>> {
        self.part(part)
            .filter(|p| p.epoch == part.epoch && p.holder.as_deref() == Some(host))
    }

    /// Finds a holder by host name.
    pub fn holder(&self, name: &str) -> Option<&Holder> {
        let at = self
            .holders
            .binary_search_by(|h| (*h.name).cmp(name))
            .ok()?;
        self.holders.get(at)
    }
}

impl Job {
    /// The items in submission order, starting at index `from`.
    pub fn items(&self, from: usize) -> impl Iterator<Item = &Item> {
        let size = self.part_size.max(1) as usize;
        let parts = self.parts.iter().skip(from / size);
        parts.flat_map(|p| &p.items).skip(from % size)
    }
}

impl Part {
    /// The spec of item `index`, if the item is open.
    pub fn spec(&self, index: u32) -> Option<&Arc<ItemSpec>> {
        match &self.items.get(index as usize)?.state {
            ItemState::Open { ask: spec, .. } => Some(spec),
            ItemState::Ended(_) => None,
        }
    }

    /// Whether item `index` is open and its dispatch was announced.
    pub fn has_intent(&self, index: u32) -> bool {
        let item = self.items.get(index as usize);
        matches!(
            item.map(|i| &i.state),
            Some(ItemState::Open { intent: true, .. })
        )
    }

    /// Whether item `index` has not ended.
    pub fn is_open(&self, index: u32) -> bool {
        self.spec(index).is_some()
    }
}
