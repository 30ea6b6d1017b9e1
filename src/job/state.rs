//! State of all jobs at a position of the log.

use super::{ItemSpec, Outcome, PartRef};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// All jobs. Jobs and parts are shared, so that a clone is cheap and a change copies one part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Position of the last record applied.
    pub at: Pos,
    /// Log time in milliseconds: the sum of the accepted ticks. It never runs ahead of real time.
    pub clock: u64,
    /// Position of the last accepted tick.
    pub last_tick: Pos,
    /// Uploads without a commit, sorted by id.
    pub uploads: Vec<Arc<Upload>>,
    /// Jobs, sorted by id.
    pub jobs: Vec<Arc<Job>>,
    /// Ids of deleted jobs, sorted by id.
    pub tombstones: Vec<Tombstone>,
    /// Hosts that hold parts, sorted by name.
    pub holders: Vec<Holder>,
}

/// Pieces that came in for a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upload {
    /// Id.
    pub id: Name,
    /// Log time of the first piece.
    pub began: u64,
    /// Pieces, sorted by index.
    pub pieces: Vec<Piece>,
}

/// One piece of an upload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Index in the upload.
    pub index: u32,
    /// Items.
    pub specs: Vec<Arc<ItemSpec>>,
}

/// A deleted job. Its id stays taken for as long as results are kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// Id of the job.
    pub id: Name,
    /// Log time of the delete.
    pub clock: u64,
}

/// A host that holds parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name.
    pub name: Name,
    /// Position of its last record.
    pub last: Pos,
    /// Number of parts that it holds.
    pub parts: u32,
}

/// A job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id.
    pub id: Name,
    /// Workspace.
    pub workspace: Name,
    /// Digest of its items.
    pub digest: Name,
    /// Position of its commit.
    pub at: Pos,
    /// Position of its cancel; zero if it was not cancelled.
    pub cancelled: Pos,
    /// Log time at which its last item ended.
    pub ended: Option<u64>,
    /// Items by how they stand.
    pub counts: Counts,
    /// Most items in a part.
    pub part_size: u32,
    /// Parts, in the order of submission.
    pub parts: Vec<Arc<Part>>,
    /// Items with an answer and items that failed, as indices in the order of submission, in the
    /// order in which they ended.
    #[serde(default)]
    pub finished: Vec<u32>,
}

/// Number of items by how they stand.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Not ended.
    pub open: u32,
    /// With an answer.
    pub done: u32,
    /// Failed.
    pub failed: u32,
    /// Outcome unknown.
    pub unknown: u32,
    /// Cancelled.
    pub cancelled: u32,
}

/// A part of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Position of the last accepted claim; zero before the first.
    pub epoch: Pos,
    /// Host that holds it.
    pub holder: Option<Name>,
    /// Items that have not ended.
    pub open: u32,
    /// Items, in the order of submission.
    pub items: Vec<Item>,
}

/// An item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The caller's id.
    pub id: Name,
    /// How it stands.
    pub state: ItemState,
}

/// How an item stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// It has not ended.
    Open {
        /// What it asks for.
        spec: Arc<ItemSpec>,
        /// Whether its dispatch was announced under the present epoch.
        intent: bool,
    },
    /// It ended.
    Ended(Outcome),
}

impl Counts {
    /// Number of all items.
    pub fn total(&self) -> u32 {
        self.open + self.done + self.failed + self.unknown + self.cancelled
    }

    /// Counts the end of an open item.
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
    /// The job `id`.
    pub fn job(&self, id: &str) -> Option<&Arc<Job>> {
        let at = self.jobs.binary_search_by(|j| (*j.id).cmp(id)).ok()?;
        self.jobs.get(at)
    }

    /// The upload `id`.
    pub fn upload(&self, id: &str) -> Option<&Arc<Upload>> {
        let at = self.uploads.binary_search_by(|u| (*u.id).cmp(id)).ok()?;
        self.uploads.get(at)
    }

    /// Whether the job `id` was deleted a short time ago.
    pub fn is_deleted(&self, id: &str) -> bool {
        self.tombstones
            .binary_search_by(|t| (*t.id).cmp(id))
            .is_ok()
    }

    /// The part that `part` names, whatever its epoch.
    pub fn part(&self, part: &PartRef) -> Option<&Arc<Part>> {
        self.job(&part.job)?.parts.get(part.part as usize)
    }

    /// The part that `part` names, if `host` holds it under that epoch.
    pub fn held(&self, host: &str, part: &PartRef) -> Option<&Arc<Part>> {
        self.part(part)
            .filter(|p| p.epoch == part.epoch && p.holder.as_deref() == Some(host))
    }

    /// The holder `name`.
    pub fn holder(&self, name: &str) -> Option<&Holder> {
        let at = self
            .holders
            .binary_search_by(|h| (*h.name).cmp(name))
            .ok()?;
        self.holders.get(at)
    }
}

impl Job {
    /// All items, in the order of submission, from the item `from` on.
    pub fn items(&self, from: usize) -> impl Iterator<Item = &Item> {
        let size = self.part_size.max(1) as usize;
        let parts = self.parts.iter().skip(from / size);
        parts.flat_map(|p| &p.items).skip(from % size)
    }
}

impl Part {
    /// What the open item `index` asks for.
    pub fn spec(&self, index: u32) -> Option<&Arc<ItemSpec>> {
        match &self.items.get(index as usize)?.state {
            ItemState::Open { spec, .. } => Some(spec),
            ItemState::Ended(_) => None,
        }
    }

    /// Whether the dispatch of the open item `index` was announced.
    pub fn has_intent(&self, index: u32) -> bool {
        let item = self.items.get(index as usize);
        matches!(
            item.map(|i| &i.state),
            Some(ItemState::Open { intent: true, .. })
        )
    }

    /// Whether the item `index` has not ended.
    pub fn is_open(&self, index: u32) -> bool {
        self.spec(index).is_some()
    }
}
