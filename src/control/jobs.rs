//! Batch jobs for operators: their progress, and which hosts hold their open parts.

use crate::{
    batch::{JobOp, JobRef, JobSummary, ListQuery, OpenPart, ask, list_all},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    job::Counts,
    kernel::Host,
    wire::Name,
};
use serde::Serialize;
use std::{io, sync::Arc};

/// Most jobs in a list.
const JOBS_MAX: usize = 10_000;

/// A job with its progress.
#[derive(Debug, Serialize)]
struct JobView {
    id: Name,
    workspace: Name,
    accepted: Pos,
    /// Whether it was cancelled.
    cancelled: bool,
    items: Items,
    /// Parts with open items; left out of lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    parts: Option<Vec<OpenPart>>,
}

/// Numbers of items by state.
#[derive(Debug, Serialize)]
struct Items {
    open: u32,
    done: u32,
    failed: u32,
    unknown: u32,
    cancelled: u32,
}

pub(super) fn list(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let query = ListQuery {
        workspace: None,
        after: "".into(),
        limit: JOBS_MAX,
    };
    let jobs = list_all(host, &query);
    let shown = jobs.map(|list| {
        list.into_iter()
            .map(|j| shown(j, false))
            .collect::<Vec<_>>()
    });
    exchange.answer(shown)
}

pub(super) fn one(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let head = &exchange.request.head;
    let id = head.path.strip_prefix("/control/jobs/").unwrap_or_default();
    let result = match head.method.as_str() {
        "GET" => run(host, id, JobOp::Show),
        "DELETE" => run(host, id, JobOp::Cancel),
        other => {
            let text = format!("method \"{other}\" is not allowed; use GET or DELETE");
            Err(Fail::new(Kind::BadMethod, text))
        }
    };
    exchange.answer(result)
}

fn run(host: &Host, id: &str, op: impl Fn(JobRef) -> JobOp) -> Res<JobView> {
    let job = JobRef {
        id: id.into(),
        workspace: None,
    };
    let slot = host.batch.streams.slot_of(id);
    let job = ask(host, slot, &op(job))?.job()?;
    Ok(shown(job, true))
}

fn shown(job: JobSummary, parts: bool) -> JobView {
    let Counts {
        open,
        done,
        failed,
        unknown,
        cancelled,
    } = job.counts;
    JobView {
        id: job.id,
        workspace: job.workspace,
        accepted: job.accepted,
        cancelled: job.cancelled,
        items: Items {
            open,
            done,
            failed,
            unknown,
            cancelled,
        },
        parts: parts.then_some(job.parts),
    }
}
