//! Measures batch: the cost and memory of the folded state, items against appends for 1, 10 and 100
//! owners (simulated time), and the start-up cost over the life of the log.
//!
//! `cargo run --release --example batch_measure`

use gooseberrytack::{
    batch::{Scheduler, Verdict},
    clock::{SystemClock, Time},
    fold::{Fold, Follower, pos},
    http::Client,
    job::{Commit, ItemEnd, ItemSpec, Outcome, PartRef, Record, State},
    lease::{append_interval, lease_span},
    snapshot::{Snapshot, write},
    store::HttpLog,
    wire::Name,
};
use serde_bytes::Bytes;
use standin::{LogConfig, LogServer, wait_for};
use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

/// Appends a second of the whole fleet.
const APPENDS: u64 = 200;
/// Least time between two appends of a host.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Items that one owner runs in parallel.
const PARALLEL_ITEMS: usize = 64;
/// Mean time that an item runs.
const RUN_TIME: Duration = Duration::from_millis(500);
/// Simulated time.
const SIMULATED: Duration = Duration::from_secs(20);
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(5);
/// Most bytes of outcomes in one append.
const APPEND_MAX_BYTES: usize = 256 * 1024;
/// Items in one part of a job.
const PART_ITEMS: u32 = 500;

fn main() {
    println!("items fold_ms us_per_item open_mb done_mb encoded_mb");
    [1_000, 10_000, 190_000].into_iter().for_each(memory);
    println!("\nowners items_per_s appends_per_s items_per_append interval_ms lease_ms");
    [1, 10, 100].into_iter().for_each(appends);
    println!("\nlog_records kept snapshot_next start_ms");
    [5_000, 20_000, 80_000].into_iter().for_each(start_up);
}

fn item(index: u32) -> Arc<ItemSpec> {
    Arc::new(ItemSpec {
        id: format!("item-{index}").into(),
        model: "small".into(),
        adapter: None,
        prompt: "p".repeat(200).into(),
        tokens: 64,
        repeatable: true,
        request: None,
    })
}

fn job_records(name: &str, items: u32) -> Vec<Record> {
    let all: Vec<_> = (0..items).map(item).collect();
    let upload: Name = format!("u-{name}").into();
    let pieces = all.chunks(500).zip(0..).map(|(asks, index)| Record::Piece {
        upload: upload.clone(),
        index,
        asks: asks.to_vec(),
    });
    let mut records: Vec<Record> = pieces.collect();
    records.push(Record::Commit(Commit {
        job: name.into(),
        workspace: "w".into(),
        upload: upload.clone(),
        digest: "d".into(),
        pieces: records.len() as u32,
        items,
        part_size: PART_ITEMS,
    }));
    records
}

/// A log in memory: records are applied as they are appended.
#[derive(Default)]
struct Head {
    state: State,
    next: u64,
}

impl Head {
    fn append(&mut self, records: &[Record]) {
        for (i, record) in records.iter().enumerate() {
            self.state.apply(pos(self.next, i), record);
        }
        self.next += 1;
    }
}

struct Owner {
    name: Name,
    scheduler: Scheduler,
    running: Vec<(Time, gooseberrytack::batch::Task)>,
    due: Time,
}

/// Owners that are always busy, on one log, with the real scheduler and fold.
fn appends(owners: usize) {
    let interval = append_interval(owners, APPENDS, MIN_INTERVAL);
    let span = lease_span(interval, Duration::from_secs(6));
    let mut head = Head::default();
    let per_owner =
        (2 * SIMULATED.as_millis() / RUN_TIME.as_millis()) as u32 * PARALLEL_ITEMS as u32;
    let parts = per_owner.div_ceil(PART_ITEMS) + 1;
    let mut all: Vec<Owner> = Vec::new();
    for i in 0..owners {
        let job: Name = format!("job{i}").into();
        head.append(&job_records(&job, parts * PART_ITEMS));
        let name: Name = format!("h{i}").into();
        let claim = Record::Claim {
            host: name.clone(),
            parts: (0..parts)
                .map(|part| PartRef {
                    job: job.clone(),
                    part,
                    epoch: 0,
                })
                .collect(),
        };
        head.append(&[claim]);
        let mut scheduler = Scheduler::default();
        scheduler.lease.renew(Time::ZERO);
        scheduler.sync(&head.state, &name);
        all.push(Owner {
            name,
            scheduler,
            running: Vec::new(),
            due: interval * i as u32 / owners as u32,
        });
    }
    let (before, mut now, mut settled) = (head.next, Time::ZERO, 0u64);
    while now < SIMULATED {
        now += STEP;
        for owner in &mut all {
            settled += step(owner, &mut head, now, interval, span);
        }
    }
    let seconds = SIMULATED.as_secs_f64();
    let done: u32 = head.state.jobs.iter().map(|j| j.counts.done).sum();
    let count = (head.next - before) as f64;
    assert!(settled >= u64::from(done));
    println!(
        "{owners} {:.0} {:.1} {:.1} {} {}",
        f64::from(done) / seconds,
        count / seconds,
        f64::from(done) / count,
        interval.as_millis(),
        span.as_millis()
    );
}

fn step(owner: &mut Owner, head: &mut Head, now: Time, interval: Duration, span: Duration) -> u64 {
    let (ended, rest) = owner.running.drain(..).partition(|(end, _)| *end <= now);
    owner.running = rest;
    let ended: Vec<(Time, _)> = ended;
    for (_, task) in &ended {
        let outcome = Outcome::Done {
            text: "t".repeat(200).into(),
            tokens: 64,
        };
        owner.scheduler.settle(task, Verdict::End(outcome), now);
    }
    while owner.running.len() < PARALLEL_ITEMS
        && let Some(task) = owner.scheduler.next(now, span, |_| 1)
    {
        let spread = RUN_TIME * (task.index * 37 % 64) / 64;
        owner.running.push((now + RUN_TIME / 2 + spread, task));
    }
    if now >= owner.due {
        let groups = owner.scheduler.unsaved(APPEND_MAX_BYTES);
        let host = &owner.name;
        let mut records: Vec<Record> = groups
            .into_iter()
            .map(|(part, ended)| Record::Outcomes {
                host: host.clone(),
                part,
                ended,
            })
            .collect();
        if records.is_empty() && owner.scheduler.lease.is_due(now, span) {
            records.push(Record::Beat { host: host.clone() });
        }
        if !records.is_empty() {
            head.append(&records);
            owner.scheduler.lease.renew(now);
            owner.scheduler.sync(&head.state, host);
            owner.due = now + interval;
        }
    }
    ended.len() as u64
}

/// Time of a cold start after `total` records, of which the log keeps the last ones.
fn start_up(total: u64) {
    let server = LogServer::start(LogConfig {
        records: 4_000,
        ..LogConfig::default()
    });
    let log = HttpLog::new(server.url().into(), Client::new());
    let mut head = Head::default();
    let mut last = 0;
    while head.next < total {
        for records in job_life(&head) {
            let frame: Vec<Vec<u8>> = records
                .iter()
                .map(|r| rmp_serde::to_vec(r).expect("encoded"))
                .collect();
            let parts: Vec<&Bytes> = frame.iter().map(|b| Bytes::new(b)).collect();
            server.put(State::STREAM, &rmp_serde::to_vec(&parts).expect("encoded"));
            head.append(&records);
        }
        if head.next - last >= 1_000 {
            last = head.next;
            let taken = Snapshot {
                state: head.state.clone(),
                next: head.next,
            };
            let id: Name = format!("s{last}").into();
            write(&log, State::STREAM, &taken, &id, || {}).expect("the snapshot is written");
        }
    }
    let began = Instant::now();
    let follower = Arc::new(Follower::<State, _, _>::new(
        log,
        SystemClock::new(),
        Duration::from_millis(5),
    ));
    follower.start();
    wait_for("the head", || follower.progress().next == head.next);
    let took = began.elapsed();
    assert!(follower.view(|s| *s == head.state), "the states agree");
    follower.stop();
    println!(
        "{} {} {last} {:.1}",
        head.next,
        server.records(State::STREAM).len(),
        took.as_secs_f64() * 1e3
    );
}

/// The records of one job of 100 items from its upload to its end, and a tick; jobs expire, so
/// that the state stops growing.
fn job_life(head: &Head) -> Vec<Vec<Record>> {
    let name = format!("job-{:08}", head.next);
    let mut groups: Vec<Vec<Record>> = job_records(&name, 100)
        .into_iter()
        .map(|r| vec![r])
        .collect();
    let part = PartRef {
        job: name.as_str().into(),
        part: 0,
        epoch: 0,
    };
    let epoch = pos(head.next + groups.len() as u64, 0);
    groups.push(vec![Record::Claim {
        host: "h".into(),
        parts: vec![part.clone()],
    }]);
    for group in (0..100).collect::<Vec<u32>>().chunks(20) {
        let ended = group.iter().map(|index| ItemEnd {
            index: *index,
            outcome: Outcome::Done {
                text: "t".repeat(200).into(),
                tokens: 64,
            },
        });
        groups.push(vec![Record::Outcomes {
            host: "h".into(),
            part: PartRef {
                epoch,
                ..part.clone()
            },
            ended: ended.collect(),
        }]);
    }
    groups.push(vec![Record::Tick {
        after: head.state.last_tick,
        millis: 1_000,
        keep: 100_000,
    }]);
    groups
}

/// Cost and size of one job.
fn memory(items: u32) {
    let records = job_records("job", items);
    let before = resident();
    let began = Instant::now();
    let mut head = Head::default();
    let frames: Vec<Vec<u8>> = records
        .iter()
        .map(|r| rmp_serde::to_vec(r).expect("encoded"))
        .collect();
    drop(records);
    for frame in &frames {
        let record: Record = rmp_serde::from_slice(frame).expect("decoded");
        head.append(&[record]);
    }
    let took = began.elapsed();
    drop(frames);
    let open = resident().saturating_sub(before);
    let encoded = rmp_serde::to_vec(&head.state).expect("encoded").len();
    let parts: Vec<PartRef> = (0..items.div_ceil(PART_ITEMS))
        .map(|part| PartRef {
            job: "job".into(),
            part,
            epoch: 0,
        })
        .collect();
    head.append(&[Record::Claim {
        host: "h".into(),
        parts: parts.clone(),
    }]);
    let epoch = head.state.at;
    for part in parts {
        let ended = (0..PART_ITEMS).map(|index| ItemEnd {
            index,
            outcome: Outcome::Done {
                text: "t".repeat(200).into(),
                tokens: 64,
            },
        });
        head.append(&[Record::Outcomes {
            host: "h".into(),
            part: PartRef { epoch, ..part },
            ended: ended.collect(),
        }]);
    }
    assert_eq!(head.state.jobs[0].counts.done, items);
    let done = resident().saturating_sub(before);
    let mb = |bytes: usize| bytes as f64 / 1e6;
    println!(
        "{items} {:.1} {:.2} {:.1} {:.1} {:.1}",
        took.as_secs_f64() * 1e3,
        took.as_secs_f64() * 1e6 / f64::from(items),
        mb(open),
        mb(done),
        mb(encoded)
    );
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<usize>().ok());
    kb.unwrap_or(0) * 1024
}
