//! The callers: they send jobs, read results and cancel.

use crate::{JOBS, STREAMS, TOKENS};
use gooseberrytack::batch::stream_of;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use standin::{Caller, JobLine, item_line};
use std::{
    collections::BTreeMap,
    sync::{
        Mutex, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Text in a prompt that the stand-in engine answers as invalid.
pub const IMPOSSIBLE: &str = "[impossible]";

/// One item as its caller sends it.
#[derive(Debug, Clone)]
pub struct Item {
    /// Id within the job.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// A job as its caller sends it.
#[derive(Debug)]
pub struct Job {
    /// The caller's id.
    pub name: String,
    /// Items in order.
    pub items: Vec<Item>,
    /// The items as they are sent.
    pub lines: String,
    /// Whether the caller cancels it.
    pub cancel: bool,
    /// The system's id, once accepted.
    pub id: Mutex<Option<String>>,
}

/// What callers share.
#[derive(Debug, Default)]
pub struct Shared {
    /// A caller at each host.
    pub callers: RwLock<Vec<Caller>>,
    /// Whether the callers are to end.
    pub over: AtomicBool,
    /// Answers from a lower offset than an earlier one.
    pub lower: AtomicU64,
    /// Outcomes or ids that differ from those read before.
    pub changed: AtomicU64,
}

/// Draws the job number `n`.
pub fn make_job(rng: &mut ChaCha8Rng, n: usize) -> Job {
    let name = format!("job{n}");
    let count = rng.random_range(20..160);
    let items: Vec<Item> = (0..count)
        .map(|i| {
            let bad = if rng.random_ratio(1, 60) {
                IMPOSSIBLE
            } else {
                ""
            };
            Item {
                id: format!("i{i}"),
                prompt: format!("{name} item {i} {bad}"),
                repeatable: !rng.random_ratio(1, 8),
            }
        })
        .collect();
    let lines = items.iter().enumerate().map(|(i, item)| {
        let mut line = item_line(&name, i, TOKENS, item.repeatable);
        line["body"]["messages"][0]["content"] = item.prompt.as_str().into();
        format!("{line}\n")
    });
    Job {
        lines: lines.collect(),
        items,
        cancel: n == JOBS - 1,
        id: Mutex::default(),
        name,
    }
}

/// Sends a job to random hosts until one accepts it, and once more after that.
pub fn submit(job: &Job, shared: &Shared, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !shared.over.load(Ordering::Relaxed) {
        let caller = any_caller(shared, &mut rng);
        if let Some(id) = caller.try_job(&job.name, &job.lines) {
            let mut first = job.id.lock().expect("job id");
            if first.as_ref().is_some_and(|f| *f != id) {
                shared.changed.fetch_add(1, Ordering::Relaxed);
            }
            if first.replace(id).is_some() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let id = job.id.lock().expect("job id").clone();
    while let Some(id) = id.as_ref().filter(|_| job.cancel) {
        let path = format!("/v1/batches/{id}/cancel");
        let reply = any_caller(shared, &mut rng).call("POST", &path, b"");
        if reply.is_ok_and(|r| r.status == 200) || shared.over.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn any_caller(shared: &Shared, rng: &mut ChaCha8Rng) -> Caller {
    let callers = shared.callers.read().expect("callers");
    callers.choose(rng).expect("a caller").clone()
}

/// Reads results again and again: an item that ended must stay as it was, and no host may answer
/// from a lower offset of a stream than before.
pub fn watch(jobs: &[Job], shared: &Shared, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut ended: BTreeMap<String, JobLine> = BTreeMap::new();
    let mut offsets: BTreeMap<String, u64> = BTreeMap::new();
    while !shared.over.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(40));
        let job = jobs.choose(&mut rng).expect("a job");
        let Some(id) = job.id.lock().expect("job id").clone() else {
            continue;
        };
        let caller = any_caller(shared, &mut rng);
        if let Some(view) = caller.job(&id) {
            let offset = view["offset"].as_u64().unwrap_or(0);
            let stream = stream_of(&id, STREAMS.load(Ordering::Relaxed));
            let last = offsets.entry(format!("{stream} {caller:?}")).or_default();
            if offset < *last {
                shared.lower.fetch_add(1, Ordering::Relaxed);
            }
            *last = offset;
        }
        for line in caller.job_results(&id).unwrap_or_default() {
            if line.status == "open" {
                continue;
            }
            let key = format!("{id}/{}", line.id);
            let before = ended.entry(key).or_insert_with(|| line.clone());
            if *before != line {
                println!("changed: {before:?} to {line:?}");
                shared.changed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
