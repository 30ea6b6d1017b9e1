//! Operations that hosts send to a host that follows a job's stream, and their replies.

use crate::{
    error::{Fail, Kind, Res},
    fold::Pos,
    job::{Counts, Item, ItemSpec, ItemState, Job, Outcome},
    kernel::Call,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{sync::Arc, time::Duration};

/// Calls a host for an operation in a stream that it follows.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobCall {
    /// Name of the stream in the log.
    pub stream: Name,
    /// Lowest position of the state from which the host may answer.
    #[serde(rename = "least")]
    pub min_pos: Pos,
    /// Operation to carry out.
    #[serde(rename = "order")]
    pub op: JobOp,
}

impl Call for JobCall {
    type Reply = JobReply;
    const PATH: &'static str = "/peer/jobs";
}

/// An operation on jobs. An operation may be carried out twice.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobOp {
    /// Accept a job.
    Create(NewJob),
    /// Read a job without its items.
    Show(JobRef),
    /// Read items in the order of submission.
    Items {
        /// Job to read.
        which: JobRef,
        /// Index of the first item.
        from: usize,
        /// Largest number of items.
        limit: usize,
    },
    /// Cancel a job.
    Cancel(JobRef),
    /// Read finished items in the order in which they finished.
    Finished {
        /// Job to read.
        which: JobRef,
        /// Position of the first item in that order.
        from: usize,
        /// Longest wait for the first item.
        wait: Duration,
    },
    /// Count the tokens of a workspace that wait in the stream.
    Waiting {
        /// Workspace whose tokens count.
        workspace: Name,
        /// Route that the tokens wait on; its limit is ignored.
        quota: Quota,
    },
    /// Read the request body of an item that has not ended.
    Body {
        /// Job of the item.
        which: JobRef,
        /// Caller's id of the item.
        item: Name,
    },
    /// Remove a job; its id stays taken.
    Delete(JobRef),
    /// List jobs in the order of their ids.
    List(ListQuery),
}

/// A job to accept.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct NewJob {
    /// Id that the job is to have, which also selects its stream.
    pub id: Name,
    /// Workspace that it is to run for.
    pub workspace: Name,
    /// Items in the order of submission.
    #[serde(rename = "asks")]
    pub specs: Vec<Arc<ItemSpec>>,
    /// Bytes that the caller sent; they count against the uploads under way.
    pub size: usize,
    /// Limit of the waiting tokens; none for no limit.
    pub quota: Option<Quota>,
}

/// Limit of the tokens of a workspace that wait on a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Host name of the route.
    pub host: Name,
    /// Path prefix of the route.
    pub prefix: Name,
    /// Largest number of tokens, over all streams.
    pub tokens: u64,
}

/// Names a job, and who asks for it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRef {
    /// Id of the job.
    pub id: Name,
    /// Workspace that asks, which sees only its own jobs; none for an operator.
    pub workspace: Option<Name>,
}

/// Selects jobs to list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListQuery {
    /// Workspace that asks; none for an operator, who gets the highest ids in descending order.
    pub workspace: Option<Name>,
    /// Lists only jobs with ids above this.
    pub after: Name,
    /// Largest number of jobs.
    pub limit: usize,
}

/// The reply to an operation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum JobReply {
    /// A job after the operation.
    Job(JobSummary),
    /// A deleted job.
    Deleted {
        /// The job as it was before.
        job: JobSummary,
        /// Position of a state that does not have it.
        at: Pos,
    },
    /// Items of a job.
    Items(ItemPage),
    /// Request body of an item.
    Body {
        /// The body; none if the item has ended or is not in the job.
        body: Option<ByteBuf>,
        /// Position of the state.
        at: Pos,
    },
    /// Waiting tokens.
    Tokens {
        /// Their number in this stream.
        tokens: u64,
        /// Position of the state.
        at: Pos,
    },
    /// A list of jobs.
    Jobs {
        /// The jobs.
        list: Vec<JobSummary>,
        /// Position of the state.
        at: Pos,
    },
}

/// Summary of a job, without its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Id of the job.
    pub id: Name,
    /// Workspace that it runs for.
    pub workspace: Name,
    /// Log position of its commit.
    pub accepted: Pos,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Numbers of items by state.
    pub counts: Counts,
    /// Parts with items that have not ended; only for an operator who asks for one job.
    pub parts: Vec<OpenPart>,
    /// Position of the state.
    pub at: Pos,
}

/// A part with items that have not ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPart {
    /// Index of the part in the job.
    pub index: usize,
    /// Number of items that have not ended.
    pub open: u32,
    /// Log position of the claim under which it is held.
    pub epoch: Pos,
    /// Host that holds it; none if it is free.
    pub holder: Option<Name>,
}

/// Consecutive items of a job, in the order of submission or of finishing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemPage {
    /// State of each item.
    pub lines: Vec<ItemStatus>,
    /// Number of items of the whole job.
    pub total: usize,
    /// Position of the state.
    pub at: Pos,
}

/// An item and its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemStatus {
    /// Caller's id of the item.
    pub id: Name,
    /// Outcome; none while the item is open.
    pub outcome: Option<Outcome>,
}

impl JobSummary {
    /// Summary of `job` in the state at `at`, without open parts.
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

    /// Adds the open parts of `job`.
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
    /// Approximate size in bytes.
    pub(super) fn size(&self) -> usize {
        let text = match &self.outcome {
            Some(Outcome::Done { text, .. } | Outcome::Failed { text, .. }) => text.len(),
            _ => 0,
        };
        self.id.len() + text
    }
}

impl JobReply {
    /// The job of a reply about one job.
    ///
    /// # Errors
    /// `Internal` if the reply is to another kind of operation.
    pub fn job(self) -> Res<JobSummary> {
        match self {
            Self::Job(job) | Self::Deleted { job, .. } => Ok(job),
            Self::Items(_) | Self::Jobs { .. } | Self::Body { .. } | Self::Tokens { .. } => {
                Err(wrong_reply())
            }
        }
    }

    /// The items of the reply.
    ///
    /// # Errors
    /// `Internal` if the reply is to another kind of operation.
    pub fn items(self) -> Res<ItemPage> {
        match self {
            Self::Items(run) => Ok(run),
            _ => Err(wrong_reply()),
        }
    }

    /// The jobs of the reply.
    ///
    /// # Errors
    /// `Internal` if the reply is to another kind of operation.
    pub fn jobs(self) -> Res<Vec<JobSummary>> {
        match self {
            Self::Jobs { list, .. } => Ok(list),
            _ => Err(wrong_reply()),
        }
    }

    /// The request body of the reply.
    ///
    /// # Errors
    /// `Internal` if the reply is to another kind of operation.
    pub fn body(self) -> Res<Option<ByteBuf>> {
        match self {
            Self::Body { body, .. } => Ok(body),
            _ => Err(wrong_reply()),
        }
    }

    /// The number of tokens of the reply.
    ///
    /// # Errors
    /// `Internal` if the reply is to another kind of operation.
    pub(super) fn tokens(self) -> Res<u64> {
        match self {
            Self::Tokens { tokens, .. } => Ok(tokens),
            _ => Err(wrong_reply()),
        }
    }

    /// Position of the state from which the reply was given.
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

fn wrong_reply() -> Fail {
    Fail::new(Kind::Internal, "the reply is to another kind of operation")
}
