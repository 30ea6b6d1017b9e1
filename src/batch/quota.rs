//! Limits the waiting tokens of a workspace on a route, summed over all streams.
//!
//! A hash spreads jobs over the streams, so that a stream in which few tokens wait shows that the
//! sum is far below the limit; otherwise the other streams are asked. Jobs that are being accepted
//! count as waiting.

use super::{
    forward::{STREAMS_AT_ONCE, ask},
    message::{JobOp, JobReply, NewJob, Quota},
    stream::{Slot, Stream},
};
use crate::{
    error::{Fail, Kind, Res},
    job::{ItemSpec, ItemState, Job, State},
    kernel::Host,
    wire::Name,
};
use std::{sync::Mutex, thread, time::Duration};

/// Time after which a caller may send a job again that did not fit; several items finish in it.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// A stream with at most this part of its mean share waiting shows that the sum is far below the
/// limit.
const FAR_DIVISOR: u64 = 4;

/// Tokens of jobs that are being accepted, by workspace and sorted by it.
#[derive(Debug, Default)]
pub(super) struct Pending(Mutex<Vec<(Name, u64)>>);

/// Tokens that stay in `Pending` until this is dropped.
#[derive(Debug)]
pub(super) struct Reserved<'a> {
    pending: &'a Pending,
    workspace: Name,
    tokens: u64,
}

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        let mut list = self.pending.0.lock().expect("pending tokens");
        if let Ok(at) = list.binary_search_by(|(name, _)| name.cmp(&self.workspace)) {
            list[at].1 -= self.tokens;
            if list[at].1 == 0 {
                list.remove(at);
            }
        }
    }
}

impl Pending {
    fn of(&self, workspace: &str) -> u64 {
        let list = self.0.lock().expect("pending tokens");
        let found = list.binary_search_by(|(name, _)| (**name).cmp(workspace));
        found.map_or(0, |at| list[at].1)
    }

    fn add(&self, workspace: &Name, tokens: u64) -> Reserved<'_> {
        let mut list = self.0.lock().expect("pending tokens");
        match list.binary_search_by(|(name, _)| name.cmp(workspace)) {
            Ok(at) => list[at].1 += tokens,
            Err(at) => list.insert(at, (workspace.clone(), tokens)),
        }
        Reserved {
            pending: self,
            workspace: workspace.clone(),
            tokens,
        }
    }
}

/// Whether `new` tokens fit beside the `own` ones of one of `streams` streams, whatever waits in the
/// others.
pub fn is_far_below(own: u64, new: u64, limit: u64, streams: usize) -> bool {
    let streams = streams.max(1) as u64;
    streams > 1 && (own + new).saturating_mul(streams * FAR_DIVISOR) <= limit
}

/// Reserves the tokens of a new job until the result is dropped; none for a job without a limit or
/// one that is in the state.
///
/// # Errors
/// `RateLimited` if they do not fit in the workspace's limit.
pub(super) fn reserve<'a>(
    host: &Host,
    stream: &'a Stream,
    job: &NewJob,
) -> Res<Option<Reserved<'a>>> {
    let Some(quota) = &job.quota else {
        return Ok(None);
    };
    if stream.jobs.view(|s| s.job(&job.id).is_some()) {
        return Ok(None);
    }
    let new: u64 = job.specs.iter().map(|a| u64::from(a.tokens)).sum();
    // Reserved before the check, so that of two jobs at once each sees the other.
    let reserved = stream.pending.add(&job.workspace, new);
    let own = waiting(stream, &job.workspace, quota).saturating_sub(new);
    let slots = host.batch.streams.slots();
    if is_far_below(own, new, quota.tokens, slots.len()) {
        return Ok(Some(reserved));
    }
    let waiting = own + waiting_elsewhere(host, stream, &job.workspace, quota);
    if waiting + new > quota.tokens {
        let text = format!(
            "{waiting} tokens of the workspace wait; {new} more are over the limit of {}",
            quota.tokens
        );
        return Err(Fail::new(Kind::RateLimited, text).retry_after(RETRY_AFTER));
    }
    Ok(Some(reserved))
}

/// Tokens of `workspace` that wait on the route of `quota` in this stream, including those of jobs
/// that are being accepted.
pub(super) fn waiting(stream: &Stream, workspace: &str, quota: &Quota) -> u64 {
    let pending = stream.pending.of(workspace);
    pending + stream.jobs.view(|s| waiting_tokens(s, workspace, quota))
}

/// Sum of `waiting` over all other streams. A stream that cannot be asked counts with its mean share
/// of the limit.
fn waiting_elsewhere(host: &Host, stream: &Stream, workspace: &Name, quota: &Quota) -> u64 {
    let slots = host.batch.streams.slots();
    let share = quota.tokens / slots.len().max(1) as u64;
    let op = JobOp::Waiting {
        workspace: workspace.clone(),
        quota: quota.clone(),
    };
    let ask_one = |slot: &Slot| {
        let reply = ask(host, slot, &op).and_then(JobReply::tokens);
        reply.unwrap_or_else(|fail| {
            tracing::info!(stream = &*slot.name, error = %fail, share, "waiting_tokens_not_told");
            share
        })
    };
    let others: Vec<&Slot> = slots.iter().filter(|s| s.name != *stream.name()).collect();
    let mut sum = 0;
    for group in others.chunks(STREAMS_AT_ONCE) {
        sum += thread::scope(|scope| {
            let asked = group.iter().map(|s| scope.spawn(|| ask_one(s)));
            let asked: Vec<_> = asked.collect();
            let reply = asked.into_iter().map(|t| t.join().expect("waiting tokens"));
            reply.sum::<u64>()
        });
    }
    sum
}

/// Tokens of the open items of `workspace` on the route of `quota`.
fn waiting_tokens(state: &State, workspace: &str, quota: &Quota) -> u64 {
    let jobs = state.jobs.iter();
    let jobs = jobs.filter(|j| *j.workspace == *workspace && j.counts.open > 0);
    jobs.map(|j| open_tokens(j, quota)).sum()
}

fn open_tokens(job: &Job, quota: &Quota) -> u64 {
    let open = job.items(0).filter_map(|i| match &i.state {
        ItemState::Open { ask: spec, .. } => Some(spec),
        ItemState::Ended(_) => None,
    });
    let on_route = open.filter(|a| is_on(a, quota));
    on_route.map(|a| u64::from(a.tokens)).sum()
}

fn is_on(spec: &ItemSpec, quota: &Quota) -> bool {
    spec.request
        .as_ref()
        .is_some_and(|r| r.host == quota.host && r.target.starts_with(&*quota.prefix))
}
