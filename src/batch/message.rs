//! What is asked of a host that follows a job's stream, and what it answers.

use crate::{
    error::{Fail, Kind, Res},
    fold::Pos,
    job::{Ask, Counts, Item, ItemState, Job, Outcome},
    kernel::Call,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{sync::Arc, time::Duration};

/// Asks a host for something in a stream that it follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobCall {
    /// Stream.
    pub stream: Name,
    /// Position that the answer must not be below.
    pub min_pos: Pos,
    /// What to do.
    pub op: JobOp,
}

impl Call for JobCall {
    type Reply = JobReply;
    const PATH: &'static str = "/peer/jobs";
}

/// What to do with jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobOp {
    /// Accept a job.
    Create(NewJob),
    /// Tell how a job stands.
    Show(JobRef),
    /// Tell what became of some items.
    Items {
        /// Job.
        which: JobRef,
        /// Index of the first one.
        from: usize,
        /// Most items.
        limit: usize,
    },
    /// Cancel a job.
    Cancel(JobRef),
    /// Items that finished, in the order in which they did, from the position `from` on.
    Finished {
        /// The job.
        which: JobRef,
        /// First position.
        from: usize,
        /// Longest wait for the first one.
        wait: Duration,
    },
    /// Tell how many tokens of a workspace wait in the stream.
    Waiting {
        /// Workspace.
        workspace: Name,
        /// Route that they count on.
        quota: Quota,
    },
    /// Body of an item that has not ended.
    Body {
        /// The job.
        which: JobRef,
        /// The item's id.
        item: Name,
    },
    /// Remove a job.
    Delete(JobRef),
    /// Tell jobs in the order of their ids.
    List(ListQuery),
}

/// A job to accept.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewJob {
    /// Id.
    pub id: Name,
    /// Workspace that it is to run for.
    pub workspace: Name,
    /// Items.
    pub asks: Vec<Arc<Ask>>,
    /// Bytes that the caller sent.
    pub size: usize,
    /// What the workspace may have waiting; none for no limit.
    pub quota: Option<Quota>,
}

/// Most tokens of a workspace that may wait on a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Host name of the route.
    pub host: Name,
    /// Path prefix of the route.
    pub prefix: Name,
    /// Most tokens, over all streams.
    pub tokens: u64,
}

/// A job, for its workspace or for an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRef {
    /// Id.
    pub id: Name,
    /// Workspace that asks; none for an operator.
    pub workspace: Option<Name>,
}

/// A run of jobs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListQuery {
    /// Workspace that asks; an operator is told those with the highest ids, from the highest down.
    pub workspace: Option<Name>,
    /// Id that all of them are above.
    pub after: Name,
    /// Most jobs.
    pub limit: usize,
}

/// The answer to an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobReply {
    /// A job.
    Job(JobSummary),
    /// A job as it stood before its delete.
    Deleted {
        /// The job.
        job: JobSummary,
        /// Position at which it is gone.
        at: Pos,
    },
    /// Items of a job.
    Items(ItemPage),
    /// Body of an item; none if it ended or is not in the job.
    Body {
        /// The bytes.
        body: Option<ByteBuf>,
        /// Position of the state.
        at: Pos,
    },
    /// Tokens that wait.
    Tokens {
        /// How many.
        tokens: u64,
        /// Position of the state.
        at: Pos,
    },
    /// Jobs.
    Jobs {
        /// The jobs.
        list: Vec<JobSummary>,
        /// Position at which they stood so.
        at: Pos,
    },
}

/// A job without its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Id.
    pub id: Name,
    /// Workspace.
    pub workspace: Name,
    /// Position of its commit.
    pub accepted: Pos,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Items by how they stand.
    pub counts: Counts,
    /// Parts with items that have not ended; only for an operator who asks for one job.
    pub parts: Vec<OpenPart>,
    /// Position at which it stood so.
    pub at: Pos,
}

/// A part with items that have not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPart {
    /// Index in the job.
    pub index: usize,
    /// Items that have not ended.
    pub open: u32,
    /// Position of the claim that it is held under.
    pub epoch: Pos,
    /// Host that holds it.
    pub holder: Option<Name>,
}

/// A run of items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemPage {
    /// What became of each, in the order of submission.
    pub lines: Vec<ItemStatus>,
    /// Number of items of the whole job.
    pub total: usize,
    /// Position at which they stood so.
    pub at: Pos,
}

/// What became of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemStatus {
    /// The caller's id.
    pub id: Name,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
}

impl JobSummary {
    /// `job` as it stands at `at`.
    pub fn new(job: &Job, at: Pos) -> Self {
        Self {
            id: job.id.clone(),
            workspace: job.workspace.clone(),
            accepted: job.at,
            cancelled: job.cancelled > 0,
            counts: job.counts,
            parts: Vec::new(),
            at,
        }
    }

    /// The same with the open parts of `job`.
    pub fn with_parts(mut self, job: &Job) -> Self {
        let parts = job.parts.iter().enumerate();
        let open = parts.filter(|(_, p)| p.open > 0);
        let shown = open.map(|(index, p)| OpenPart {
            index,
            open: p.open,
            epoch: p.epoch,
            holder: p.holder.clone(),
        });
        self.parts = shown.collect();
        self
    }
}

impl From<&Item> for ItemStatus {
    fn from(item: &Item) -> Self {
        Self {
            id: item.id.clone(),
            outcome: match &item.state {
                ItemState::Open { .. } => None,
                ItemState::Ended(outcome) => Some(outcome.clone()),
            },
        }
    }
}

impl ItemStatus {
    /// Rough size in bytes.
    pub(super) fn size(&self) -> usize {
        let text = match &self.outcome {
            Some(Outcome::Done { text, .. } | Outcome::Failed { text, .. }) => text.len(),
            _ => 0,
        };
        self.id.len() + text
    }
}

impl JobReply {
    /// The job that an order about one job was answered with.
    ///
    /// # Errors
    /// The answer is to another order.
    pub fn job(self) -> Res<JobSummary> {
        match self {
            Self::Job(job) | Self::Deleted { job, .. } => Ok(job),
            Self::Items(_) | Self::Jobs { .. } | Self::Body { .. } | Self::Tokens { .. } => {
                Err(crossed())
            }
        }
    }

    /// The items that were asked for.
    ///
    /// # Errors
    /// The answer is to another order.
    pub fn items(self) -> Res<ItemPage> {
        match self {
            Self::Items(run) => Ok(run),
            _ => Err(crossed()),
        }
    }

    /// The jobs that were asked for.
    ///
    /// # Errors
    /// The answer is to another order.
    pub fn jobs(self) -> Res<Vec<JobSummary>> {
        match self {
            Self::Jobs { list, .. } => Ok(list),
            _ => Err(crossed()),
        }
    }

    /// The body of an item.
    ///
    /// # Errors
    /// The answer is to another question.
    pub fn body(self) -> Res<Option<ByteBuf>> {
        match self {
            Self::Body { body, .. } => Ok(body),
            _ => Err(crossed()),
        }
    }

    /// The number of tokens that was asked for.
    ///
    /// # Errors
    /// The answer is to another question.
    pub(super) fn tokens(self) -> Res<u64> {
        match self {
            Self::Tokens { tokens, .. } => Ok(tokens),
            _ => Err(crossed()),
        }
    }

    /// Position at which it was so.
    pub(super) fn at(&self) -> Pos {
        match self {
            Self::Job(brief) => brief.at,
            Self::Items(run) => run.at,
            Self::Jobs { at, .. }
            | Self::Deleted { at, .. }
            | Self::Body { at, .. }
            | Self::Tokens { at, .. } => *at,
        }
    }
}

fn crossed() -> Fail {
    Fail::new(Kind::Internal, "the answer is not to what was asked")
}
