//! Snapshots in the log: complete ones are loaded, incomplete and corrupt ones ignored, and hosts
//! start from them when the log has dropped the records before them.

use gooseberrytack::{
    batch::stream_name,
    clock::SystemClock,
    error::Res,
    fold::{Fold, Follower, Pos},
    settings::Settings,
    snapshot::{LastSnapshot, Offsets, Snapshot, encode_chunks, load, snapshot_stream, write},
    store::{AppendError, Entry, Log, Page},
    wire::Name,
};
use serde::{Deserialize, Serialize};
use standin::{EngineConfig, Harness, LogConfig, Plan, item_answer, job_lines, wait_for};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Sum of the applied numbers, and filler that makes the state span several chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Seen {
    last: u64,
    sum: u64,
    filler: Vec<u8>,
}

impl Fold for Seen {
    type Record = u64;
    const STREAM: &'static str = "seen";

    fn apply(&mut self, at: Pos, rec: &u64) {
        self.last = at;
        self.sum += rec;
    }
}

type Streams = Vec<(String, u64, Vec<Vec<u8>>)>;

/// A log in memory that accepts a limited number of appends.
#[derive(Debug, Clone)]
struct MemoryLog {
    streams: Arc<Mutex<Streams>>,
    left: Arc<Mutex<usize>>,
}

impl MemoryLog {
    fn new(left: usize) -> Self {
        Self {
            streams: Arc::default(),
            left: Arc::new(Mutex::new(left)),
        }
    }

    fn trim(&self, stream: &str, below: u64) {
        let mut streams = self.streams.lock().expect("streams");
        for (_, first, kept) in streams.iter_mut().filter(|(n, ..)| n == stream) {
            let count = (below - *first).min(kept.len() as u64);
            kept.drain(..count as usize);
            *first += count;
        }
    }
}

impl Log for MemoryLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let mut left = self.left.lock().expect("left");
        if *left == 0 {
            return Err(AppendError::NotTaken("down".into()));
        }
        *left -= 1;
        let mut streams = self.streams.lock().expect("streams");
        if !streams.iter().any(|(n, ..)| n == stream) {
            streams.push((stream.into(), 0, Vec::new()));
        }
        let found = streams.iter_mut().find(|(n, ..)| n == stream);
        let (_, first, kept) = found.expect("the stream");
        kept.push(bytes.to_vec());
        Ok(*first + kept.len() as u64 - 1)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let streams = self.streams.lock().expect("streams");
        let Some((_, first, kept)) = streams.iter().find(|(n, ..)| n == stream) else {
            return Ok(Page::default());
        };
        let entries = kept.iter().zip(*first..).filter(|(_, o)| *o >= from);
        let page = Page {
            first: *first,
            head: *first + kept.len() as u64,
            entries: entries
                .take(3)
                .map(|(bytes, offset)| Entry {
                    offset,
                    bytes: bytes.clone(),
                })
                .collect(),
        };
        drop(streams);
        if page.entries.is_empty() {
            std::thread::sleep(wait.min(Duration::from_millis(2)));
        }
        Ok(page)
    }
}

fn snapshot(next: u64, size: usize) -> Snapshot<Seen> {
    let state = Seen {
        last: next << 16,
        sum: next,
        filler: (0..size).map(|i| (i as u64 * next) as u8).collect(),
    };
    Snapshot { state, next }
}

fn id(name: &str) -> Name {
    name.into()
}

fn append_chunk(log: &MemoryLog, chunk: &gooseberrytack::snapshot::Chunk) {
    let bytes = rmp_serde::to_vec(chunk).expect("encoded");
    log.append(&snapshot_stream(Seen::STREAM), &bytes)
        .expect("taken");
}

#[test]
fn load_finds_newest_whole() {
    let log = MemoryLog::new(usize::MAX);
    assert!(
        load::<Seen, _>(&log, Seen::STREAM, 0)
            .expect("read")
            .is_none()
    );
    for next in [5, 9, 7] {
        write(
            &log,
            Seen::STREAM,
            &snapshot(next, 900_000),
            &id(&format!("s{next}")),
            || {},
        )
        .expect("written");
    }
    assert!(load(&log, Seen::STREAM, 0).expect("read") == Some(snapshot(7, 900_000)));
    assert!(load(&log, Seen::STREAM, 8).expect("read") == Some(snapshot(9, 900_000)));
}

#[test]
fn load_ignores_half_written() {
    let log = MemoryLog::new(usize::MAX);
    let old = snapshot(3, 700_000);
    write(&log, Seen::STREAM, &old, &id("old"), || {}).expect("written");
    *log.left.lock().expect("left") = 2;
    write(
        &log,
        Seen::STREAM,
        &snapshot(8, 700_000),
        &id("half"),
        || {},
    )
    .expect_err("the log fails");
    assert!(load(&log, Seen::STREAM, 0).expect("read") == Some(old));
}

#[test]
fn load_ignores_torn() {
    let log = MemoryLog::new(usize::MAX);
    let old = snapshot(3, 700_000);
    write(&log, Seen::STREAM, &old, &id("old"), || {}).expect("written");
    let mut chunks = encode_chunks(&snapshot(8, 700_000), &id("torn")).expect("chunks");
    assert!(chunks.len() > 2);
    chunks[1].bytes[17] ^= 1;
    chunks.iter().for_each(|c| append_chunk(&log, c));
    log.append(&snapshot_stream(Seen::STREAM), b"not a chunk")
        .expect("taken");
    assert!(load(&log, Seen::STREAM, 0).expect("read") == Some(old));
}

#[test]
fn load_tells_two_writers_apart() {
    let log = MemoryLog::new(usize::MAX);
    let (a, b) = (snapshot(8, 700_000), snapshot(9, 800_000));
    let first = encode_chunks(&a, &id("a")).expect("chunks");
    let second = encode_chunks(&b, &id("b")).expect("chunks");
    for i in 0..first.len().max(second.len()) {
        [&first, &second, &first]
            .into_iter()
            .filter_map(|c| c.get(i))
            .for_each(|c| append_chunk(&log, c));
    }
    assert!(load(&log, Seen::STREAM, 0).expect("read") == Some(b));
}

#[test]
fn follower_starts_from_snapshot_and_tail() {
    let log = MemoryLog::new(usize::MAX);
    let writer = Arc::new(follower(&log));
    writer.start();
    let add = |n: u64| writer.settle(&n, Duration::from_secs(30), |s| (s.last > 0).then_some(()));
    (1..=40).for_each(|n| {
        let ticket = writer.submit(&n);
        ticket.wait(Duration::from_secs(30));
    });
    add(0).expect("appended");
    wait_for("all records", || writer.view(|s| s.sum) == 820);
    let (progress, state) = writer.snapshot();
    let taken = Snapshot {
        state: state.expect("state"),
        next: progress.next,
    };
    write(&log, Seen::STREAM, &taken, &id("s"), || {}).expect("written");
    (1..=5).for_each(|n| {
        writer.submit(&n).wait(Duration::from_secs(30));
    });
    log.trim(Seen::STREAM, taken.next);
    let reader = Arc::new(follower(&log));
    reader.start();
    wait_for("snapshot and tail", || reader.view(|s| s.sum) == 835);
    wait_for("the writer too", || writer.view(|s| s.sum) == 835);
    assert_eq!(reader.view(Seen::clone), writer.view(Seen::clone));
    reader.stop();
    writer.stop();
}

#[test]
fn follower_never_skips_lost_records() {
    let log = MemoryLog::new(usize::MAX);
    let writer = Arc::new(follower(&log));
    writer.start();
    (1..=10).for_each(|n| {
        writer.submit(&n).wait(Duration::from_secs(30));
    });
    writer.stop();
    log.trim(Seen::STREAM, 4);
    let reader = Arc::new(follower(&log));
    reader.start();
    wait_for("the gap is seen", || reader.progress().is_down);
    assert_eq!(reader.view(Seen::clone), Seen::default());
    assert_eq!(reader.progress().caught_up, None);
    reader.stop();
}

fn follower(log: &MemoryLog) -> Follower<Seen, MemoryLog, SystemClock> {
    Follower::new(log.clone(), SystemClock::new(), Duration::from_millis(1))
}

#[test]
fn due_by_time_and_by_loss_of_records() {
    let every = Duration::from_secs(60);
    let mut last = LastSnapshot::default();
    let offsets = |first, next| Offsets { first, next };
    assert!(
        !last.is_due(offsets(0, 0), every * 2, every),
        "nothing to keep"
    );
    assert!(last.is_due(offsets(0, 1), every, every));
    last.note_written(every, 1000);
    let soon = every + Duration::from_secs(1);
    assert!(
        !last.is_due(offsets(0, 5000), soon, every),
        "the log keeps all"
    );
    assert!(!last.is_due(offsets(600, 1040), soon, every));
    assert!(
        last.is_due(offsets(900, 1300), soon, every),
        "a quarter is new"
    );
}

#[test]
fn hosts_replaced_past_retention_keep_results() {
    replace_past_retention(1, |s| {
        (s.snapshot, s.streams) = (Duration::from_millis(300), 1);
    });
}

#[test]
fn hosts_replaced_past_retention_keep_results_of_each_stream() {
    replace_past_retention(2, |s| {
        (s.snapshot, s.streams, s.readers) = (Duration::from_millis(300), 2, 2);
    });
}

fn replace_past_retention(streams: usize, tune: fn(&mut Settings)) {
    let mut harness = Harness::start(Plan {
        hosts: 3,
        engines: vec![EngineConfig::default(); 2],
        log: LogConfig {
            records: 300,
            ..LogConfig::default()
        },
        tune,
        ..Plan::default()
    });
    let mut jobs = Vec::new();
    for round in 0..4 {
        let name = format!("kept{round}");
        let job = harness
            .caller(0)
            .submit_job(&name, &job_lines(&name, 120, 3));
        harness.caller(0).wait_job(&job);
        jobs.push((name, job));
    }
    let names: Vec<Name> = (0..streams).map(|n| stream_name(n, streams)).collect();
    wait_for("the start of each stream is gone", || {
        let is_gone = |name: &Name| {
            let records = harness.log.records(name);
            if records.first().is_none_or(|e| e.offset == 0) {
                let filler = rmp_serde::to_vec::<[&[u8]; 0]>(&[]).expect("encoded");
                harness.log.put(name, &filler);
            }
            records.first().is_some_and(|e| e.offset > 0)
        };
        names.iter().all(is_gone)
    });
    for i in 0..3 {
        harness.replace(i);
        wait_for("ready", || harness.host(i).is_ready());
    }
    for (name, job) in &jobs {
        let lines = harness.caller(1).job_results(job).expect("results");
        assert_eq!(lines.len(), 120);
        for (i, line) in lines.iter().enumerate() {
            assert_eq!(line.text, item_answer(name, i, 3));
        }
        let again = harness.caller(2).submit_job(name, &job_lines(name, 120, 3));
        assert_eq!(again, *job, "the id outlives the log's records");
    }
}
