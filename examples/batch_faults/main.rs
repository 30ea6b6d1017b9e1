//! Runs batch jobs through a random schedule of faults and counts, at the stand-ins and at the
//! callers, what was lost or doubled.
//!
//! `cargo run --release --example batch_faults -- --seed N [--streams N --readers N]`

mod counts;
mod faults;
mod jobs;

use argh::FromArgs;
use counts::count;
use faults::inject_faults;
use jobs::{Job, Shared, make_job, submit, watch};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use standin::{EngineConfig, Harness, Plan};
use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

const HOSTS: usize = 3;
const ENGINES: usize = 3;
const JOBS: usize = 10;
const TOKENS: u32 = 24;
/// Time in which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(17);
/// Longest time to finish after the faults.
const RECOVERY_TIME: Duration = Duration::from_secs(21);

/// Streams that the jobs are spread over, and hosts that follow each.
static STREAMS: AtomicUsize = AtomicUsize::new(1);
static READERS: AtomicUsize = AtomicUsize::new(2);

#[derive(FromArgs)]
/// Runs batch jobs through random faults.
struct Args {
    /// seed of the schedule
    #[argh(option, default = "1")]
    seed: u64,
    /// streams that the jobs are spread over
    #[argh(option, default = "1")]
    streams: usize,
    /// hosts that follow each of several streams
    #[argh(option, default = "2")]
    readers: usize,
    /// print each fault
    #[argh(switch)]
    verbose: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    STREAMS.store(args.streams, Ordering::Relaxed);
    READERS.store(args.readers, Ordering::Relaxed);
    let began = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
    let mut harness = Harness::start(Plan {
        hosts: HOSTS,
        engines: vec![EngineConfig::default(); ENGINES],
        tune: |s| {
            s.snapshot = Duration::from_millis(1500);
            s.quiet = Duration::from_millis(1500);
            s.deadline = Duration::from_secs(5);
            s.streams = STREAMS.load(Ordering::Relaxed);
            s.readers = READERS.load(Ordering::Relaxed);
        },
        ..Plan::default()
    });
    let shared = Arc::new(Shared::default());
    share_callers(&harness, &shared);
    let jobs: Arc<Vec<Job>> = Arc::new((0..JOBS).map(|n| make_job(&mut rng, n)).collect());
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    for i in 0..JOBS {
        let (jobs, shared, seed) = (jobs.clone(), shared.clone(), rng.random());
        let wait = Duration::from_millis(rng.random_range(0..FAULT_TIME.as_millis() as u64 / 2));
        threads.push(thread::spawn(move || {
            thread::sleep(wait);
            submit(&jobs[i], &shared, seed);
        }));
    }
    let (watched, seen, seed) = (jobs.clone(), shared.clone(), rng.random());
    threads.push(thread::spawn(move || watch(&watched, &seen, seed)));
    inject_faults(&mut harness, &shared, &mut rng, args.verbose);
    wait_done(&harness, &jobs, began + FAULT_TIME + RECOVERY_TIME);
    shared.over.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|t| t.join().expect("a caller"));
    let counts = count(&harness, &jobs, &shared);
    let clean = counts.lost == 0 && counts.doubled == 0 && counts.lower == 0;
    println!(
        "batch_faults seed={} streams={} items={} done={} lost={} doubled={} unknown={} lower_offset={}",
        args.seed,
        args.streams,
        counts.items,
        counts.done,
        counts.lost,
        counts.doubled,
        counts.unknown,
        counts.lower
    );
    if clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn share_callers(harness: &Harness, shared: &Shared) {
    let callers = (0..HOSTS).map(|i| harness.caller(i)).collect();
    *shared.callers.write().expect("callers") = callers;
}

fn wait_done(harness: &Harness, jobs: &[Job], end: Instant) {
    let is_done = |job: &Job| {
        let id = job.id.lock().expect("job id").clone();
        let view = id.and_then(|id| harness.caller(0).job(&id));
        view.is_some_and(|v: Value| v["status"] != "in_progress")
    };
    while Instant::now() < end && !jobs.iter().all(is_done) {
        thread::sleep(Duration::from_millis(100));
    }
}
