//! Carries out operations on jobs in the streams that this host follows.

use super::{
    accept::accept,
    message::{
        ItemPage, ItemStatus, JobCall, JobOp, JobRef, JobReply, JobSummary, ListQuery, NewJob,
    },
    passed, quota,
    stream::Stream,
};
use crate::{
    clock::{Clock, Time},
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    job::{ItemState, Job, Record},
    kernel::{Host, serve_call},
    timeline::Happening,
};
use serde_bytes::ByteBuf;
use std::{io, sync::Arc, time::Duration};

/// Longest wait for this host to catch up with the log.
pub(super) const CATCH_UP: Duration = Duration::from_secs(3);
/// Bytes of items after which an answer to another host ends.
const PAGE_BYTES: usize = 1 << 20;
/// Most bytes of finished items in one answer, unless a single item is larger.
const FINISHED_BYTES: usize = 512 * 1024;

/// Answers a call from a host that does not follow the stream.
pub(super) fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: JobCall| {
        let streams = &host.batch.streams;
        let slot = streams.slot(&call.stream);
        let stream = slot.and_then(|s| streams.enter(s)).ok_or_else(|| {
            let text = format!("this host does not read \"{}\"", call.stream);
            Fail::new(Kind::NotReady, text)
        })?;
        run(host, &stream, call.min_pos, &call.op)
    })
}

/// Carries `op` out on `stream`, once its state has reached the position `min_pos`.
pub(super) fn run(host: &Host, stream: &Stream, min_pos: Pos, op: &JobOp) -> Res<JobReply> {
    reach(stream, min_pos)?;
    match op {
        JobOp::Create(job) => create(host, stream, job),
        JobOp::Show(job) => {
            let (found, at) = find(host, stream, job)?;
            Ok(JobReply::Job(summary(&found, at, job)))
        }
        JobOp::Items { which, from, limit } => {
            let (job, at) = find(host, stream, which)?;
            Ok(JobReply::Items(items(&job, at, *from, *limit, PAGE_BYTES)))
        }
        JobOp::Finished { which, from, wait } => {
            passed::finished_here(host, stream, which, *from, *wait).map(JobReply::Items)
        }
        JobOp::Waiting { workspace, quota } => Ok(JobReply::Tokens {
            tokens: quota::waiting(stream, workspace, quota),
            at: stream.jobs.view(|s| s.at),
        }),
        JobOp::Body { which: job, item } => {
            let (job, at) = find(host, stream, job)?;
            let body = body_of(&job, item);
            Ok(JobReply::Body { body, at })
        }
        JobOp::Cancel(job) => cancel(host, stream, job),
        JobOp::Delete(job) => delete(host, stream, job),
        JobOp::List(query) => Ok(list(stream, query)),
    }
}

/// Waits until the state has reached `min_pos`.
pub(super) fn reach(stream: &Stream, min_pos: Pos) -> Res<()> {
    if stream.wait_reached(min_pos, CATCH_UP) {
        return Ok(());
    }
    let text = "this host has not read the log as far as an earlier answer shows; try another host";
    Err(Fail::new(Kind::NotReady, text))
}

fn summary(job: &Job, at: Pos, wanted: &JobRef) -> JobSummary {
    let summary = JobSummary::new(job, at);
    match wanted.workspace {
        Some(_) => summary,
        None => summary.with_parts(job),
    }
}

fn create(host: &Host, stream: &Stream, job: &NewJob) -> Res<JobReply> {
    let result = try_create(host, stream, job);
    host.batch.doubts.judge(&job.id, host.now(), result)
}

fn try_create(host: &Host, stream: &Stream, job: &NewJob) -> Res<JobReply> {
    if host.is_stopping() {
        let text = "the host is stopping; use another";
        return Err(Fail::new(Kind::Stopping, text));
    }
    let _reserved = quota::reserve(host, stream, job)?;
    let job = accept(host, stream, job)?;
    let at = stream.jobs.view(|s| s.at);
    Ok(JobReply::Job(JobSummary::new(&job, at)))
}

/// The job and the position of the state. If the state does not have the job, looks again once this
/// host has read to the present head of the log.
pub(super) fn find(host: &Host, stream: &Stream, wanted: &JobRef) -> Res<(Arc<Job>, Pos)> {
    let began = host.now();
    let id = &wanted.id;
    let is_shown = |j: &Job| wanted.workspace.as_ref().is_none_or(|w| *w == j.workspace);
    let look = || {
        let found = stream.jobs.view(|s| Some((s.job(id)?.clone(), s.at)));
        found.filter(|(job, _)| is_shown(job))
    };
    if let Some(found) = look() {
        return Ok(found);
    }
    let is_fresh = wait_fresh(host, stream, began);
    look().ok_or_else(|| {
        if is_fresh {
            Fail::new(Kind::NotFound, format!("no job \"{id}\""))
        } else {
            let (at, age) = stream.read_status(host.now());
            let text = format!(
                "job \"{id}\" is not known here, and the log cannot be read; last read {age} to {at}"
            );
            Fail::new(Kind::NotReady, text)
        }
    })
}

/// Waits for a reading of the log that began after `since` and reached the head.
fn wait_fresh(host: &Host, stream: &Stream, since: Time) -> bool {
    let end = since + CATCH_UP;
    if !host.relay.is_lost() {
        stream.jobs.read_now();
    }
    while host.now() < end && !host.is_dead() {
        if stream.jobs.progress().caught_up.is_some_and(|t| t >= since) {
            return true;
        }
        host.clock.sleep(super::SYNC_INTERVAL);
    }
    false
}

/// Up to `limit` items of `job` from index `from` on. The last one may exceed `most` bytes.
pub(super) fn items(job: &Job, at: Pos, from: usize, limit: usize, most: usize) -> ItemPage {
    let mut bytes = 0;
    let fits = |item: &ItemStatus| {
        let has_room = bytes < most;
        bytes += item.size();
        has_room
    };
    let lines = job.items(from).take(limit).map(ItemStatus::from);
    ItemPage {
        lines: lines.take_while(fits).collect(),
        total: job.counts.total() as usize,
        at,
    }
}

/// Items of `job` in the order in which they finished, from the position `from` on: at least one if
/// there is one, and more up to `FINISHED_BYTES`.
pub(super) fn finished(job: &Job, at: Pos, from: usize) -> ItemPage {
    let mut bytes = 0;
    let mut lines = Vec::new();
    for index in job.finished.iter().skip(from) {
        let Some(line) = job.items(*index as usize).next().map(ItemStatus::from) else {
            break;
        };
        bytes += line.size();
        if bytes > FINISHED_BYTES && !lines.is_empty() {
            break;
        }
        lines.push(line);
    }
    ItemPage {
        lines,
        total: job.counts.total() as usize,
        at,
    }
}

/// Request body of the item `id` of `job`, if it is a passed-through request and has not ended.
fn body_of(job: &Job, id: &str) -> Option<ByteBuf> {
    let item = job.items(0).find(|i| *i.id == *id)?;
    match &item.state {
        ItemState::Open { ask: spec, .. } => spec.request.as_ref().map(|r| r.body.clone()),
        ItemState::Ended(_) => None,
    }
}

fn cancel(host: &Host, stream: &Stream, wanted: &JobRef) -> Res<JobReply> {
    let (job, _) = find(host, stream, wanted)?;
    let id = &job.id;
    let rec = Record::Cancel { job: id.clone() };
    let limit = host.settings.wait;
    let result = stream.jobs.settle(&rec, limit, |s| match s.job(id) {
        Some(job) if job.counts.open == 0 => Some(Ok(JobReply::Job(summary(job, s.at, wanted)))),
        Some(_) => None,
        None => Some(Err(Fail::new(Kind::NotFound, "the job was deleted"))),
    })?;
    let by = wanted.workspace.as_deref().unwrap_or("by an operator");
    host.timeline.note(Happening::JobCancelled, id, None, by);
    result
}

fn delete(host: &Host, stream: &Stream, wanted: &JobRef) -> Res<JobReply> {
    let (job, at) = find(host, stream, wanted)?;
    let id = &job.id;
    let rec = Record::Delete { job: id.clone() };
    let limit = host.settings.wait;
    let gone = stream.jobs.settle(&rec, limit, |s| match s.job(id) {
        Some(_) => None,
        None => Some(s.at),
    })?;
    let job = JobSummary::new(&job, at);
    Ok(JobReply::Deleted { job, at: gone })
}

fn list(stream: &Stream, query: &ListQuery) -> JobReply {
    stream.jobs.view(|state| {
        let above = state.jobs.iter().filter(|j| *j.id > *query.after);
        let summary = |job: &Arc<Job>| JobSummary::new(job, state.at);
        let list = match &query.workspace {
            Some(name) => {
                let own = above.filter(|j| j.workspace == *name);
                own.take(query.limit).map(summary).collect()
            }
            None => above.rev().take(query.limit).map(summary).collect(),
        };
        JobReply::Jobs { list, at: state.at }
    })
}
