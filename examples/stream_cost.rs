//! What following the streams of batch jobs costs a host: counted by placement at the design size,
//! and measured as the folded state of ten real hosts.
//!
//! `cargo run --release --example stream_cost`

use gooseberrytack::{
    batch::stream_name,
    lease::{append_interval, lease_span},
    member::Ring,
    wire::{Name, Peer},
};
use standin::{EngineConfig, Harness, Plan, job_lines};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

const HOSTS: usize = 1_600;
const DOMAINS: usize = 12;
/// Hosts that follow each stream.
const READERS: usize = 3;
/// Appends a second of the whole fleet.
const APPENDS: u64 = 200;
/// Bytes of folded state for a day's items: 230 million of 436 bytes, see docs/CAPACITY.md.
const STATE_BYTES: f64 = 230e6 * 436.0;
/// Bytes of records a second, see docs/CAPACITY.md.
const RECORD_BYTES_PER_S: f64 = 800e3;
/// Hosts that are lost and replaced together, and how often in a day.
const LOST: (usize, usize) = (53, 20);

/// Streams of the fleet that is started.
static STREAMS: AtomicUsize = AtomicUsize::new(1);

fn main() {
    print_placement();
    print_deployment();
}

fn peer(i: usize) -> Peer {
    Peer {
        name: format!("host-{i:05}.00000000").into(),
        addr: ([10, 1, (i / 250 % 250) as u8, (i % 250) as u8], 8000).into(),
        domain: format!("domain-{}", i % DOMAINS).into(),
    }
}

/// Readers of every stream.
fn readers(hosts: &[usize], streams: usize) -> Vec<Vec<Name>> {
    let ring = Ring::new(hosts.iter().map(|i| peer(*i)).collect());
    let names = (0..streams).map(|n| stream_name(n, streams));
    let owners = names.map(|name| ring.owners(&name, READERS));
    owners
        .map(|list| list.into_iter().map(|p| p.name).collect())
        .collect()
}

fn max_streams(readers: &[Vec<Name>]) -> usize {
    let mut names: Vec<&Name> = readers.iter().flatten().collect();
    names.sort();
    let runs = names.chunk_by(|a, b| a == b).map(<[_]>::len);
    runs.max().unwrap_or(0)
}

/// Streams that a host begins to follow, over a day of losses, each replaced.
fn moves(streams: usize) -> usize {
    let mut hosts: Vec<usize> = (0..HOSTS).collect();
    let mut before = readers(&hosts, streams);
    let mut total = 0;
    for round in 0..LOST.1 {
        let is_lost = |n: &usize| n % (HOSTS / LOST.0) == round;
        let kept: Vec<usize> = (0..HOSTS)
            .filter(|n| !is_lost(n))
            .map(|n| hosts[n])
            .collect();
        let lost = HOSTS - kept.len();
        hosts = kept;
        for next in [0, lost] {
            hosts.extend((0..next).map(|n| 10_000 + round * HOSTS + n));
            let now = readers(&hosts, streams);
            let pairs = now.iter().zip(&before);
            total += pairs
                .map(|(a, b)| a.iter().filter(|name| !b.contains(name)).count())
                .sum::<usize>();
            before = now;
        }
    }
    total
}

fn print_placement() {
    println!(
        "| streams | streams a host, most | MB of state a host for a day's results, most | KB read a second, most | \
         append every s | lease s | streams begun in a day of {} losses |",
        LOST.0 * LOST.1
    );
    println!("|---|---|---|---|---|---|---|");
    let hosts: Vec<usize> = (0..HOSTS).collect();
    for streams in [133, 533, 1_600, 4_096] {
        let readers = readers(&hosts, streams);
        let mean = (streams * READERS) as f64 / HOSTS as f64;
        let most = max_streams(&readers) as f64;
        let one = |all: f64| all / streams as f64;
        let every = append_interval(streams * READERS, APPENDS, Duration::from_millis(20));
        let lease = lease_span(every, Duration::from_secs(6));
        println!(
            "| {streams} | {mean:.2}, {most} | {:.0}, {:.0} | {:.1}, {:.1} | {:.1} | {:.0} | {} |",
            one(STATE_BYTES) * mean / 1e6,
            one(STATE_BYTES) * most / 1e6,
            one(RECORD_BYTES_PER_S) * mean / 1e3,
            one(RECORD_BYTES_PER_S) * most / 1e3,
            every.as_secs_f64(),
            lease.as_secs_f64(),
            moves(streams),
        );
    }
}

fn print_deployment() {
    println!("\n| streams | readers | KB of state, ten hosts: mean, most | streams a host, most |");
    println!("|---|---|---|---|");
    for streams in [1, 10] {
        STREAMS.store(streams, Ordering::Relaxed);
        let harness = Harness::start(Plan {
            hosts: 10,
            engines: vec![EngineConfig::default(); 4],
            tune: |s| (s.streams, s.readers) = (STREAMS.load(Ordering::Relaxed), READERS),
            ..Plan::default()
        });
        let jobs: Vec<String> = (0..40)
            .map(|n| {
                let name = format!("cost{n}");
                harness
                    .caller(n % 10)
                    .submit_job(&name, &job_lines(&name, 100, 16))
            })
            .collect();
        for (n, job) in jobs.iter().enumerate() {
            harness.caller((n + 3) % 10).wait_job(job);
        }
        let hosts = harness.hosts();
        let followed = hosts.iter().map(|h| h.batch.streams.followed());
        let followed: Vec<_> = followed.collect();
        let sizes: Vec<usize> = followed
            .iter()
            .map(|list| {
                let states = list.iter().map(|s| {
                    s.jobs
                        .view(|state| rmp_serde::to_vec(state).map_or(0, |b| b.len()))
                });
                states.sum()
            })
            .collect();
        println!(
            "| {streams} | {} | {}, {} | {} |",
            if streams == 1 { 10 } else { READERS },
            sizes.iter().sum::<usize>() / sizes.len() / 1024,
            sizes.iter().max().unwrap_or(&0) / 1024,
            followed.iter().map(Vec::len).max().unwrap_or(0),
        );
    }
}
