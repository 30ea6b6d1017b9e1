//! Appends a new job to its stream.

use super::{doubt::unsettled, message::NewJob, ownership::append_interval, stream::Stream};
use crate::{
    clock::Clock,
    error::{Fail, Kind, Res},
    fold::{AppendOutcome, Ticket},
    job::{Commit, ItemSpec, Job, Record, State},
    kernel::Host,
    timeline::Happening,
    wire::Name,
};
use sha2::{Digest, Sha256};
use std::{
    fmt::Write,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Most bytes of items in one piece, unless a single item is larger.
const PIECE_BYTES: usize = 128 * 1024;
/// Approximate size of an item without its texts, in bytes.
const ITEM_BYTES: usize = 32;
/// Most bytes of uploads under way on one host, unless there is only one upload.
const UPLOADS_BYTES: usize = 256 << 20;
/// Most pieces of one upload that wait for their append at the same time.
const PIECES_AT_ONCE: usize = 16;
/// Smallest and largest value of [`part_size`].
const SIZES: (u32, u32) = (25, 500);
/// Number of parts of a job, as far as `SIZES` allows.
const PARTS: u32 = 64;
/// Pause before pieces that the log did not take are appended again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Id of the job that `workspace` names `key`; the same on every host.
pub fn job_id(workspace: &str, key: &str) -> Name {
    let mut hash = Sha256::new();
    hash.update((workspace.len() as u64).to_be_bytes());
    hash.update(workspace);
    hash.update(key);
    format!("batch_{}", &hex(&hash.finalize())[..24]).into()
}

/// Number of items in each part of a job of `items` items, small enough that hosts share small jobs.
pub fn part_size(items: usize) -> u32 {
    (items as u32).div_ceil(PARTS).clamp(SIZES.0, SIZES.1)
}

/// Splits items into pieces that each fit a log record.
pub fn split_pieces(specs: &[Arc<ItemSpec>]) -> Vec<Vec<Arc<ItemSpec>>> {
    let mut pieces: Vec<Vec<Arc<ItemSpec>>> = Vec::new();
    let mut bytes = PIECE_BYTES;
    for spec in specs {
        let size = spec.id.len() + spec.prompt.len() + spec.model.len() + ITEM_BYTES;
        if bytes + size > PIECE_BYTES {
            pieces.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(piece) = pieces.last_mut() {
            piece.push(spec.clone());
        }
    }
    pieces
}

/// Accepts a job and waits until it is in the log. Returns an existing job with this id if its items
/// are the same.
///
/// # Errors
/// `Conflict` if the id stands for other items or a deleted job, `Overloaded` if too many uploads are
/// under way, `LogDown` if nothing was kept, `Unsettled` if that is not known.
pub(super) fn accept(host: &Host, stream: &Stream, job: &NewJob) -> Res<Arc<Job>> {
    let digest = digest_of(&job.specs);
    let found = stream.jobs.view(|s| look_up(s, &job.id, &digest));
    if let Some(found) = found {
        return found;
    }
    let size = job.size;
    let before = host.batch.upload_bytes.fetch_add(size, Ordering::Relaxed);
    let result = if before > 0 && before + size > UPLOADS_BYTES {
        let text = "too many uploads are under way at this host; try again";
        Err(Fail::new(Kind::Overloaded, text))
    } else {
        let id: Name = format!("{}.{}.{:016x}", job.id, host.me.name, rand::random::<u64>()).into();
        let uploads = &host.batch.uploads;
        let under_way = (id.clone(), job.workspace.clone());
        uploads.lock().expect("uploads").push(under_way);
        // Where the pieces may not be relayed, records of other jobs are not to wait with them.
        let declared = &host.declared;
        let regions = declared.regions_of_items(host, &job.workspace, &job.specs);
        if regions.is_some() {
            stream.jobs.append_apart(&id);
        }
        let result = upload(host, stream, job, &digest, &id);
        stream.jobs.append_together(&id);
        uploads.lock().expect("uploads").retain(|(u, _)| *u != id);
        result
    };
    host.batch.upload_bytes.fetch_sub(size, Ordering::Relaxed);
    result
}

/// Appends the pieces of the job as the upload `upload`, and then the commit.
fn upload(
    host: &Host,
    stream: &Stream,
    new: &NewJob,
    digest: &Name,
    upload: &Name,
) -> Res<Arc<Job>> {
    let (id, specs) = (&new.id, &new.specs);
    let end = host.now() + host.settings.deadline;
    let pieces = split_pieces(specs);
    let commit = Record::Commit(Commit {
        job: id.clone(),
        workspace: new.workspace.clone(),
        upload: upload.clone(),
        digest: digest.clone(),
        pieces: pieces.len() as u32,
        items: specs.len() as u32,
        part_size: part_size(specs.len()),
    });
    let piece = |(specs, index)| Record::Piece {
        upload: upload.clone(),
        index,
        asks: specs,
    };
    let recs: Vec<Record> = pieces.into_iter().zip(0..).map(piece).collect();
    // The client sends a job of passed-through requests to another host as soon as it is refused.
    let is_passed = specs.iter().any(|a| a.request.is_some());
    let wait = match is_passed {
        // A record may have to wait for the append before its own.
        true => (host.relay.append_timeout() + append_interval(host) * 2).min(host.settings.wait),
        false => host.settings.wait,
    };
    let left = |host: &Host| end.saturating_sub(host.now());
    let mut fewest = recs.len();
    let mut moved = host.now();
    let jobs = &stream.jobs;
    // Without a commit, pieces that come late have no effect.
    let mut in_doubt = false;
    let settle = |first, limit, in_doubt: &mut bool| {
        jobs.settle_after(first, &commit, limit, in_doubt, |s| look_up(s, id, digest))
    };
    if let [piece] = &recs[..] {
        match settle(Some(piece), left(host).min(wait), &mut in_doubt) {
            Err(fail) if fail.kind == Kind::Conflict => {}
            settled => return answer(host, new, settled, in_doubt),
        }
    }
    loop {
        let missing = match progress(stream, id, digest, upload, recs.len()) {
            Progress::Found(result) => return result,
            Progress::Complete => break,
            Progress::Missing(missing) => missing,
        };
        if missing.len() < fewest {
            (fewest, moved) = (missing.len(), host.now());
        }
        let patience = (moved + wait).saturating_sub(host.now());
        let limit = left(host).min(patience);
        put_pieces(host, stream, &recs, &missing, limit);
        if limit.is_zero() || host.is_dead() {
            return Err(not_accepted(id, in_doubt));
        }
    }
    let settled = settle(None, left(host).min(wait), &mut in_doubt);
    answer(host, new, settled, in_doubt)
}

/// The error for a job that the log did not take; `in_doubt` tells whether its commit may still come.
fn not_accepted(id: &str, in_doubt: bool) -> Fail {
    if in_doubt {
        tracing::info!(job = id, "commit_may_land_late");
        return unsettled(id);
    }
    let text = "the log does not take the items; nothing was kept";
    Fail::new(Kind::LogDown, text)
}

/// Turns the result of a commit into the answer to the caller.
fn answer(host: &Host, new: &NewJob, settled: Res<Res<Arc<Job>>>, in_doubt: bool) -> Res<Arc<Job>> {
    let id = &new.id;
    match settled {
        Ok(result) => {
            if result.is_ok() {
                host.timeline
                    .note(Happening::JobAccepted, id, None, &new.workspace);
            }
            result
        }
        Err(_) if in_doubt => Err(not_accepted(id, in_doubt)),
        Err(fail) if fail.kind == Kind::LogDown => Err(not_accepted(id, in_doubt)),
        Err(fail) if fail.kind == Kind::Conflict => Err(Fail::new(
            Kind::LogDown,
            "the items did not last in the log; nothing was kept, send the job again",
        )),
        Err(fail) => Err(fail),
    }
}

/// Progress of an upload.
enum Progress {
    /// The job exists or existed, from this or another upload.
    Found(Res<Arc<Job>>),
    /// Every piece is in the log.
    Complete,
    /// The pieces with these indices are not in the log.
    Missing(Vec<usize>),
}

fn progress(stream: &Stream, id: &Name, digest: &Name, upload: &Name, count: usize) -> Progress {
    stream.jobs.view(|state| {
        if let Some(found) = look_up(state, id, digest) {
            return Progress::Found(found);
        }
        match missing(state, upload, count) {
            list if list.is_empty() => Progress::Complete,
            list => Progress::Missing(list),
        }
    })
}

/// Appends the missing pieces, and waits until this host has read those that the log took.
fn put_pieces(host: &Host, stream: &Stream, recs: &[Record], missing: &[usize], limit: Duration) {
    let end = host.now() + limit;
    let mut last = 0;
    let submit = |i: &usize| stream.jobs.submit(&recs[*i]);
    for window in missing.chunks(PIECES_AT_ONCE) {
        let tickets: Vec<Ticket> = window.iter().map(submit).collect();
        let mut failed = false;
        for ticket in tickets {
            match ticket.wait(end.saturating_sub(host.now())) {
                AppendOutcome::Taken(at) => last = last.max(at),
                AppendOutcome::NotTaken | AppendOutcome::Unknown => failed = true,
            }
        }
        if failed {
            host.clock.sleep(RETRY_PAUSE);
        }
        if host.now() >= end {
            return;
        }
    }
    if last > 0 {
        let left = end.saturating_sub(host.now());
        stream.jobs.catch_up_to(last, left);
    }
}

/// Indices of the pieces, of `count`, that the state does not have.
fn missing(state: &State, upload: &str, count: usize) -> Vec<usize> {
    let found = state.upload(upload);
    let has = |i: &usize| {
        let key = *i as u32;
        found.is_some_and(|u| u.pieces.binary_search_by_key(&key, |p| p.index).is_ok())
    };
    (0..count).filter(|i| !has(i)).collect()
}

/// The job `id`, or the conflict if it was deleted or its items differ from `digest`; none if there
/// never was such a job.
fn look_up(state: &State, id: &str, digest: &str) -> Option<Res<Arc<Job>>> {
    let conflict = |text| Some(Err(Fail::new(Kind::Conflict, text)));
    if state.is_deleted(id) {
        return conflict("the job with this id was deleted; use another id");
    }
    let job = state.job(id)?;
    if *job.digest != *digest {
        return conflict("the id stands for a job with other items; use another id");
    }
    Some(Ok(job.clone()))
}

fn digest_of(specs: &[Arc<ItemSpec>]) -> Name {
    let mut hash = Sha256::new();
    for spec in specs {
        hash.update(rmp_serde::to_vec(spec).unwrap_or_default());
    }
    hex(&hash.finalize()).into()
}

fn hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
