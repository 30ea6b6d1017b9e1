//! JSON answers about jobs and items for callers.

use super::message::{ItemPage, ItemStatus, JobSummary};
use crate::{
    fold::Pos,
    job::{Counts, Outcome},
    wire::Name,
};
use serde::Serialize;

/// JSON object of a job, without its items.
#[derive(Debug, Serialize)]
pub struct JobView {
    id: Name,
    object: &'static str,
    status: &'static str,
    request_counts: CountsView,
    /// Log position of the state that this shows.
    offset: Pos,
}

#[derive(Debug, Serialize)]
struct CountsView {
    total: u32,
    open: u32,
    completed: u32,
    failed: u32,
    unknown: u32,
    cancelled: u32,
}

/// JSON list of jobs.
#[derive(Debug, Serialize)]
pub struct JobList {
    /// Always `list`.
    pub object: &'static str,
    /// The jobs.
    pub data: Vec<JobView>,
    /// Whether more jobs follow the last one.
    pub has_more: bool,
}

/// JSON page of a job's items.
#[derive(Debug, Serialize)]
pub struct Page {
    object: &'static str,
    data: Vec<ResultLine>,
    /// Index at which the next page begins; none at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    next: Option<usize>,
}

/// JSON line of an item and its outcome.
#[derive(Debug, Serialize)]
pub struct ResultLine {
    index: usize,
    custom_id: Name,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    response: Option<Response>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<ErrorView>,
}

#[derive(Debug, Serialize)]
struct Response {
    status_code: u16,
    body: Body,
}

#[derive(Debug, Serialize)]
struct Body {
    object: &'static str,
    choices: [Choice; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct Choice {
    index: u32,
    message: Message,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct Message {
    role: &'static str,
    content: Name,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

#[derive(Debug, Serialize)]
struct ErrorView {
    code: Name,
    message: Name,
}

impl JobView {
    /// View of `job`. It is `completed` once no item is open.
    pub fn new(job: &JobSummary) -> Self {
        let status = match job.counts.open {
            _ if job.cancelled => "cancelled",
            0 => "completed",
            _ => "in_progress",
        };
        Self {
            id: job.id.clone(),
            object: "batch",
            status,
            request_counts: job.counts.into(),
            offset: job.at,
        }
    }
}

impl From<Counts> for CountsView {
    fn from(c: Counts) -> Self {
        Self {
            total: c.total(),
            open: c.open,
            completed: c.done,
            failed: c.failed,
            unknown: c.unknown,
            cancelled: c.cancelled,
        }
    }
}

impl Page {
    /// Page of the items of `run`, which begin at index `from` of the job.
    pub fn new(run: &ItemPage, from: usize) -> Self {
        let lines = run.lines.iter().enumerate();
        let data: Vec<_> = lines
            .map(|(i, line)| ResultLine::new(from + i, line))
            .collect();
        let end = from + data.len();
        let more = end < run.total && !data.is_empty();
        Self {
            object: "list",
            data,
            next: more.then_some(end),
        }
    }
}

impl ResultLine {
    /// Line of the item at `index` of the job.
    pub fn new(index: usize, line: &ItemStatus) -> Self {
        let (status, response, error) = match &line.outcome {
            None => ("open", None, None),
            Some(Outcome::Done { text, tokens }) => {
                ("completed", Some(Response::new(text, *tokens)), None)
            }
            Some(Outcome::Failed { code, text }) => {
                let error = ErrorView {
                    code: code.clone(),
                    message: text.clone(),
                };
                ("failed", None, Some(error))
            }
            Some(Outcome::Unknown) => {
                let error = ErrorView {
                    code: "outcome_unknown".into(),
                    message: "the item may not be repeated and its outcome was lost".into(),
                };
                ("unknown", None, Some(error))
            }
            Some(Outcome::Cancelled) => ("cancelled", None, None),
        };
        Self {
            index,
            custom_id: line.id.clone(),
            status,
            response,
            error,
        }
    }
}

impl Response {
    fn new(text: &Name, tokens: u32) -> Self {
        let message = Message {
            role: "assistant",
            content: text.clone(),
        };
        let choice = Choice {
            index: 0,
            message,
            finish_reason: "stop",
        };
        Self {
            status_code: 200,
            body: Body {
                object: "chat.completion",
                choices: [choice],
                usage: Usage {
                    completion_tokens: tokens,
                },
            },
        }
    }
}
