//! Sends operations on jobs to a host that follows the job's stream.

use super::{
    doubt::unsettled,
    message::{JobCall, JobOp, JobReply, JobSummary, ListQuery},
    serve,
    stream::Slot,
};
use crate::{
    clock::Clock,
    error::{Fail, Kind, Ran, Res},
    kernel::Host,
    wire::{Name, Peer},
};
use std::{thread, time::Duration};

/// Pause before all readers are asked again; doubled for each further round.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two rounds.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Time for call and answer to travel, added to the time for the work.
const TRAVEL_TIME: Duration = Duration::from_secs(2);
/// Most streams that are asked at the same time.
pub(super) const STREAMS_AT_ONCE: usize = 16;

/// Carries `op` out on the stream of `slot`: here if this host follows it, otherwise at one of its
/// readers, and at the next one if that reader is lost. An operation may be carried out twice.
///
/// # Errors
/// `NotReady` if no reader can be reached and nothing was done; `Unsettled` if a reader that may have
/// done it was lost; otherwise the error of the reader.
pub fn ask(host: &Host, slot: &Slot, op: &JobOp) -> Res<JobReply> {
    let regions = match op {
        JobOp::Create(job) => {
            let declared = &host.declared;
            declared.regions_of_items(host, &job.workspace, &job.specs)
        }
        _ => None,
    };
    ask_within(host, slot, op, regions.as_deref())
}

/// Like [`ask`]; if `regions` is given, only readers in one of these regions or in this host's, which the
/// caller reached, get the operation.
///
/// # Errors
/// Like [`ask`].
pub(super) fn ask_within(
    host: &Host,
    slot: &Slot,
    op: &JobOp,
    regions: Option<&[Name]>,
) -> Res<JobReply> {
    let reply = match host.batch.streams.enter(slot) {
        Some(stream) => serve::run(host, &stream, slot.answered(), op),
        None => match op {
            JobOp::Create(job) => {
                let result = forward(host, slot, op, regions);
                host.batch.doubts.judge(&job.id, host.now(), result)
            }
            _ => forward(host, slot, op, regions),
        },
    }?;
    slot.note_answered(reply.at());
    Ok(reply)
}

/// The jobs of all streams that `query` selects.
///
/// # Errors
/// The error of a stream whose jobs cannot be listed.
pub fn list_all(host: &Host, query: &ListQuery) -> Res<Vec<JobSummary>> {
    let op = JobOp::List(query.clone());
    let mut all = Vec::new();
    for slots in host.batch.streams.slots().chunks(STREAMS_AT_ONCE) {
        let lists: Vec<Res<JobReply>> = match slots {
            [slot] => vec![ask(host, slot, &op)],
            _ => thread::scope(|scope| {
                let asked = slots.iter().map(|s| scope.spawn(|| ask(host, s, &op)));
                let asked: Vec<_> = asked.collect();
                asked.into_iter().map(|t| t.join().expect("list")).collect()
            }),
        };
        for list in lists {
            all.extend(list?.jobs()?);
        }
    }
    all.sort_by(|a, b| a.id.cmp(&b.id));
    if query.workspace.is_none() {
        all.reverse();
    }
    all.truncate(query.limit);
    Ok(all)
}

/// Asks the readers in turn until one answers, for the time of the setting `wait`. If no reader in `regions` answers,
/// this host follows the stream itself: the few readers may all be elsewhere.
fn forward(host: &Host, slot: &Slot, op: &JobOp, regions: Option<&[Name]>) -> Res<JobReply> {
    let call = JobCall {
        stream: slot.name.clone(),
        min_pos: slot.answered(),
        op: op.clone(),
    };
    let end = host.now() + host.settings.wait;
    let mut doubt = false;
    let mut last = None;
    let mut pause = RETRY_PAUSE;
    loop {
        for peer in peers(host, slot, regions) {
            let fail = match host.call(peer.addr, &call, op.limit(host)) {
                Ok(reply) => return Ok(reply),
                Err(fail) => fail,
            };
            match fail.kind {
                Kind::ServerLost => doubt = doubt || op.is_write(),
                Kind::Unreachable | Kind::NotReady | Kind::Stopping => {}
                _ => return Err(op.judge(fail, doubt)),
            }
            last = Some((peer.name, fail));
        }
        if regions.is_some() {
            slot.need(host.now());
            if let Some(stream) = host.batch.streams.enter(slot) {
                let result = serve::run(host, &stream, slot.answered(), op);
                return result.map_err(|fail| op.judge(fail, doubt));
            }
        }
        if host.now() >= end || host.is_dead() {
            let (peer, fail) = last.unzip();
            let error = fail.map(|f: Fail| f.text).unwrap_or_default();
            tracing::info!(
                stream = &*slot.name,
                peer = peer.as_deref().unwrap_or(""),
                %error,
                doubt,
                "no_reader_answers"
            );
            let text = match regions {
                None => "no host that reads the job's stream answers; try again",
                Some(_) => {
                    "no host that reads the job's stream in the allowed regions or the caller's answers; try again"
                }
            };
            return Err(op.judge(Fail::new(Kind::NotReady, text), doubt));
        }
        host.clock.sleep(pause);
        pause = RETRY_PAUSE_MAX.min(pause * 2);
    }
}

/// The readers of a stream without this host, in `regions` or this host's region if `regions` is given; those that do
/// not answer probes come last.
fn peers(host: &Host, slot: &Slot, regions: Option<&[Name]>) -> Vec<Peer> {
    let readers = host.batch.streams.readers(host, slot);
    let zones = &host.settings.zones;
    let may_pass = |p: &&Peer| {
        regions.is_none_or(|regions| zones.may_pass(&p.domain, &host.me.domain, regions))
    };
    let others = readers.peers().iter().filter(|p| p.name != host.me.name);
    let others = others.filter(may_pass);
    let mut peers: Vec<Peer> = others.cloned().collect();
    // A random first reader spreads the calls.
    let turn = rand::random::<u32>() as usize % peers.len().max(1);
    peers.rotate_left(turn);
    for peer in &peers {
        host.members.watch(peer, host.now());
    }
    peers.sort_by_key(|p| host.members.is_down(&p.name));
    peers
}

impl JobOp {
    /// Whether the operation changes the state.
    fn is_write(&self) -> bool {
        matches!(self, Self::Create(_) | Self::Cancel(_) | Self::Delete(_))
    }

    /// Time within which a reader must answer.
    fn limit(&self, host: &Host) -> Duration {
        let (wait, deadline) = (host.settings.wait, host.settings.deadline);
        let work = match self {
            Self::Create(_) => deadline + wait,
            Self::Cancel(_) | Self::Delete(_) => wait + serve::CATCH_UP,
            Self::Finished { wait, .. } => *wait + 2 * serve::CATCH_UP,
            Self::Show(_)
            | Self::Items { .. }
            | Self::Body { .. }
            | Self::Waiting { .. }
            | Self::List(_) => 2 * serve::CATCH_UP,
        };
        work + TRAVEL_TIME
    }

    /// The error to answer to the caller for `fail`. `doubt` tells whether a reader was lost earlier
    /// that may have carried the operation out.
    pub fn judge(&self, fail: Fail, doubt: bool) -> Fail {
        let is_settled = match self {
            // The id stands for other items, or for a deleted job.
            Self::Create(_) => fail.kind == Kind::Conflict,
            Self::Cancel(_) => fail.kind == Kind::NotFound,
            // For a delete, `NotFound` may be the effect of the lost reader.
            _ => false,
        };
        if !doubt || is_settled || fail.kind.row().ran != Ran::No {
            return fail;
        }
        match self {
            Self::Create(job) => unsettled(&job.id),
            _ => {
                let text = "whether it was done is not known yet; ask for the job";
                Fail::new(Kind::Unsettled, text)
            }
        }
    }
}
