//! Batch jobs whose items are requests that are passed through to servers unchanged.

use super::{
    forward::{ask, ask_within},
    message::{ItemPage, JobOp, JobRef, JobReply, NewJob, Quota},
    serve::{self, find},
    stream::Stream,
};
use crate::{
    config::{PassRoute, pass_route},
    error::{Fail, Kind, Res},
    job::ItemSpec,
    kernel::Host,
    pass::{RETRY_ELSEWHERE, Request},
    region::intersect,
    wire::Name,
};
use serde_bytes::ByteBuf;
use std::{sync::Arc, time::Duration};

/// Age of the last read of the log above which an empty page of an unfinished job is not trusted:
/// clients may rely on results that another host showed a second ago. The log is then read first;
/// if that fails, the answer is `NotReady`.
const STALE_AGE: Duration = Duration::from_millis(800);

/// Accepts a job on `route`, or finds it if it was accepted before.
///
/// # Errors
/// `RateLimited` if it does not fit in the workspace's limit; `Unsettled` if it may be accepted
/// later; after any other error no item of it ever runs.
pub fn submit(host: &Host, route: &PassRoute, mut job: NewJob) -> Res<()> {
    check_paths(host, &job.specs)?;
    if host.relay.is_cut_off(host) {
        let text = "neither the log nor another host can be reached; nothing was kept";
        return Err(Fail::new(Kind::LogDown, text).retry_after(RETRY_ELSEWHERE));
    }
    let slot = host.batch.streams.slot_of(&job.id);
    job.quota = (route.queued > 0).then(|| Quota {
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        tokens: route.queued,
    });
    let declared = &host.declared;
    let regions = intersect([
        declared.regions_of_route(host, &job.workspace, route),
        declared.regions_of_items(host, &job.workspace, &job.specs),
    ]);
    let op = JobOp::Create(job);
    let result = ask_within(host, slot, &op, regions.as_deref()).and_then(JobReply::job);
    result.map(|_| ()).map_err(|fail| match fail.kind {
        Kind::LogDown => fail.retry_after(RETRY_ELSEWHERE),
        _ => fail,
    })
}

/// Checks that a route leads to the path of each item.
fn check_paths(host: &Host, specs: &[Arc<ItemSpec>]) -> Res<()> {
    let requests = specs.iter().filter_map(|s| s.request.as_ref());
    let is_unrouted = |r: &&Arc<Request>| {
        let path = r.target.split('?').next().unwrap_or("");
        host.config.view(|c| pass_route(c, &r.host, path).is_none())
    };
    match requests.into_iter().find(is_unrouted) {
        Some(request) => {
            let (id, path, name) = (&request.id, &request.target, &request.host);
            let text = format!("item {id:?}: no route leads to {path:?} of {name:?}");
            Err(host.absent(Fail::field("path", text)))
        }
        None => Ok(()),
    }
}

/// Items of a job in the order in which they finished, from the position `from` on; waits up to
/// `wait` for the first one.
///
/// # Errors
/// `NotFound` if there is certainly no such job.
pub fn finished(host: &Host, job: &JobRef, from: usize, wait: Duration) -> Res<ItemPage> {
    let slot = host.batch.streams.slot_of(&job.id);
    let which = job.clone();
    let op = JobOp::Finished { which, from, wait };
    let result = ask(host, slot, &op).and_then(JobReply::items);
    result.map_err(|fail| match fail.kind {
        Kind::NotReady => fail.retry_after(RETRY_ELSEWHERE),
        _ => fail,
    })
}

/// Answers `finished` from a stream that this host follows.
pub(super) fn finished_here(
    host: &Host,
    stream: &Stream,
    job: &JobRef,
    from: usize,
    wait: Duration,
) -> Res<ItemPage> {
    let end = host.now() + wait;
    loop {
        let next = stream.jobs.progress().next;
        let (mut page, mut is_complete) = page_from(host, stream, job, from)?;
        if page.lines.is_empty() && !is_complete && is_stale(host, stream) {
            catch_up(host, stream);
            (page, is_complete) = page_from(host, stream, job, from)?;
            if page.lines.is_empty() && !is_complete && is_stale(host, stream) {
                return Err(behind(host, stream));
            }
        }
        let left = end.saturating_sub(host.now());
        if !page.lines.is_empty() || is_complete || left.is_zero() || host.is_stopping() {
            return Ok(page);
        }
        stream.jobs.wait_moved(next, left);
    }
}

/// The page of results from `from` on, and whether the job gets no more; other pages may follow.
fn page_from(host: &Host, stream: &Stream, job: &JobRef, from: usize) -> Res<(ItemPage, bool)> {
    let (job, at) = find(host, stream, job)?;
    let page = serve::finished(&job, at, from);
    let is_complete = from >= page.total || job.ended.is_some();
    Ok((page, is_complete))
}

fn behind(host: &Host, stream: &Stream) -> Fail {
    let (at, age) = stream.read_status(host.now());
    let text = format!(
        "this host is behind the log (last read to its end: {age}; next offset: {at}); whether \
         there are more results is not known"
    );
    Fail::new(Kind::NotReady, text)
}

/// Reads the log at once, if this host can reach it.
fn catch_up(host: &Host, stream: &Stream) {
    if !host.relay.is_lost() {
        stream.jobs.read_now();
    }
}

/// Whether this host last read the stream to its head so long ago that another host may have shown
/// results that this one does not know.
fn is_stale(host: &Host, stream: &Stream) -> bool {
    let fresh = stream.jobs.progress().caught_up;
    fresh.is_none_or(|f| host.now().saturating_sub(f) > STALE_AGE)
}

/// Request body of `item`; none if it has ended, is not in the job or is no forwarded request.
///
/// # Errors
/// `NotFound` if there is certainly no such job.
pub fn body(host: &Host, job: JobRef, item: &Name) -> Res<Option<ByteBuf>> {
    let slot = host.batch.streams.slot_of(&job.id);
    let item = item.clone();
    ask(host, slot, &JobOp::Body { which: job, item })?.body()
}

/// Cancels a job.
///
/// # Errors
/// `NotFound` if there is certainly no such job; `Unsettled` if it may be cancelled later.
pub fn cancel(host: &Host, job: JobRef) -> Res<()> {
    let slot = host.batch.streams.slot_of(&job.id);
    ask(host, slot, &JobOp::Cancel(job))?.job().map(|_| ())
}

/// Items of a job from requests, each with the tokens that it counts against `PassRoute::queued`. Drops the
/// `reserved` header fields (lower case) and those of connections.
///
/// # Errors
/// `BadRequest` that names an item that cannot be passed on, and its field.
pub fn specs_of(requests: Vec<(Request, u32)>, reserved: &[&str]) -> Res<Vec<Arc<ItemSpec>>> {
    let spec = |(mut request, tokens): (Request, u32)| {
        request.check().map_err(|fail| {
            let text = format!("item {:?}: {}", request.id, fail.text);
            Fail {
                text: text.into(),
                ..fail
            }
        })?;
        request.keep_passed(reserved);
        Ok(Arc::new(ItemSpec {
            id: request.id.clone(),
            model: Name::default(),
            adapter: None,
            prompt: Name::default(),
            tokens,
            repeatable: true,
            request: Some(Arc::new(request)),
        }))
    };
    requests.into_iter().map(spec).collect()
}
