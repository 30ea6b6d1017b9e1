//! Cost and messages of rate-token loans.

use crate::{HOSTS, WORKSPACES, nanos, peer, size, workspace};
use gooseberrytack::{
    clock::Time,
    config::Workspace,
    limit::{Ask, Balance, Borrow, Bucket, Lending, Report, Share, Step, share, slots},
    wire::Name,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, hint::black_box, time::Duration};

pub fn lending() {
    println!("\n| loans out | lend us | request bytes | answer bytes |");
    println!("|---|---|---|---|");
    let second = Duration::from_secs(1);
    let host = peer(0).name;
    for loans in [10, 100, 1_000] {
        let share = Share {
            rate: 6_000_000_000,
            burst: 1_000_000,
        };
        let mut bucket = Bucket::new(share, u32::MAX, second, second);
        for n in 0..loans {
            bucket.lend(&host, n, (1, 1), second);
        }
        let seq = loans;
        let lend = nanos(1_000, |n| {
            black_box(bucket.lend(&host, seq + n as u64, (1, 1), second));
            bucket.report(&host, seq + n as u64, 1, 0, second);
        });
        let ask = Borrow {
            workspace: workspace(1).name,
            slot: 1,
            host: host.clone(),
            seq,
            need: 1,
            want: 1,
            reports: vec![Report {
                seq,
                used: 1,
                back: 0,
            }],
        };
        let answer = size(&Lending::Lent(1, second));
        println!(
            "| {loans} | {:.2} | {} | {answer} |",
            lend / 1000.0,
            size(&ask)
        );
    }
}

/// One workspace out of this many is simulated.
const SAMPLE: usize = 100;
/// Seconds that are simulated.
const SIMULATED_S: u64 = 60;
/// Requests a second of the whole fleet.
const REQUESTS: u64 = 39_000;
/// HTTP heads of a loan's request and answer in bytes, as tests/peer_bytes.rs prints them, with a
/// logical time of eight digits.
const HEADS: usize = 98 + 58;

/// How the requests are spread over the workspaces.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Spread {
    /// All workspaces alike.
    Even,
    /// Two of a hundred workspaces send 82 of a hundred requests.
    Skewed,
}

/// Loans of one workspace, whose slots `homes` hold.
struct Loans {
    workspace: Workspace,
    homes: Vec<usize>,
    buckets: Vec<Bucket>,
    /// One bucket with the whole rate, for comparison.
    whole: Bucket,
    balances: BTreeMap<usize, Balance>,
}

/// Counts over all simulated loans.
#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    pairs: u64,
    bytes: usize,
    refused: u64,
    /// Requests that the whole bucket refuses.
    due: u64,
}

/// Counts the loans for requests that come to random hosts, at 0.8 of each rate and a burst of a
/// tenth of a minute.
pub fn traffic() {
    println!(
        "\n| requests over workspaces | loan pairs a request | refused within the rate | pairs a second on a host, both sides | bytes a pair | of it HTTP | KB a second on a host |"
    );
    println!("|---|---|---|---|---|---|---|");
    for spread in [Spread::Even, Spread::Skewed] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut counts = Counts::default();
        for w in 0..WORKSPACES / SAMPLE {
            let rate = rate(spread, w);
            let mut loans = Loans::new(w, rate, &mut rng);
            loans.simulate(rate, &mut rng, &mut counts);
        }
        let all = counts.requests as f64;
        let each = counts.pairs as f64 / all;
        let pairs = 2.0 * each * REQUESTS as f64 / HOSTS as f64;
        let bytes = counts.bytes as f64 / counts.pairs as f64 + HEADS as f64;
        println!(
            "| {spread:?} | {each:.3} | {:.4} | {pairs:.1} | {bytes:.0} | {HEADS} | {:.1} |",
            counts.refused.saturating_sub(counts.due) as f64 / all,
            pairs * bytes / 1000.0
        );
    }
}

/// Requests a second of a workspace.
fn rate(spread: Spread, w: usize) -> f64 {
    let mean = REQUESTS as f64 / WORKSPACES as f64;
    match spread {
        Spread::Even => mean,
        Spread::Skewed if w.is_multiple_of(50) => mean * 0.82 * 50.0,
        Spread::Skewed => mean * 0.18 * 50.0 / 49.0,
    }
}

impl Loans {
    fn new(w: usize, rate: f64, rng: &mut ChaCha8Rng) -> Self {
        let rate = (rate * 60.0 / 0.8) as u32;
        let workspace = Workspace {
            rate,
            burst: rate / 10,
            ..workspace(w)
        };
        let now = Duration::from_secs(1);
        let slots = 0..slots(workspace.burst);
        Self {
            homes: slots.clone().map(|_| rng.random_range(0..HOSTS)).collect(),
            buckets: slots
                .map(|s| Bucket::new(share(&workspace, s), u32::MAX, now, now))
                .collect(),
            whole: Bucket::new(whole(&workspace), u32::MAX, now, now),
            workspace,
            balances: BTreeMap::new(),
        }
    }

    fn simulate(&mut self, rate: f64, rng: &mut ChaCha8Rng, counts: &mut Counts) {
        let mut at = 1.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at > 1.0 + SIMULATED_S as f64 {
                return;
            }
            let host = rng.random_range(0..HOSTS);
            self.request(host, Duration::from_secs_f64(at), counts);
        }
    }

    fn request(&mut self, host: usize, now: Time, counts: &mut Counts) {
        counts.requests += 1;
        let seq = counts.requests;
        let one: Name = "one".into();
        match self.whole.lend(&one, seq, (1, 1), now) {
            (0, _) => counts.due += 1,
            _ => self.whole.report(&one, seq, 1, 0, now),
        }
        let first = || Balance::starting(host as u32);
        let balance = self.balances.entry(host).or_insert_with(first);
        balance.arrive(now);
        loop {
            match balance.step(&self.workspace, 0, now, now) {
                Step::Spend(token) => {
                    balance.confirm(token, now);
                    return;
                }
                Step::Ask(ask) => {
                    let lending = lend(&mut self.buckets, host, &ask, now);
                    if self.homes[ask.slot as usize] != host {
                        counts.pairs += 1;
                        counts.bytes += bytes(&self.workspace, host, &ask, &lending);
                    }
                    balance.answer(&ask, Some(lending), now);
                }
                _ => {
                    counts.refused += 1;
                    return;
                }
            }
        }
    }
}

/// The whole rate and burst.
fn whole(workspace: &Workspace) -> Share {
    Share {
        rate: u64::from(workspace.rate) * 1_000_000,
        burst: workspace.burst,
    }
}

fn lend(buckets: &mut [Bucket], host: usize, ask: &Ask, now: Time) -> Lending {
    let name = peer(host).name;
    let bucket = &mut buckets[ask.slot as usize];
    for r in &ask.reports {
        bucket.report(&name, r.seq, r.used, r.back, now);
    }
    match bucket.lend(&name, ask.seq, (ask.need, ask.want), now) {
        (0, _) => Lending::Empty(bucket.wait(now)),
        (count, valid) => Lending::Lent(count, valid),
    }
}

fn bytes(of: &Workspace, host: usize, ask: &Ask, lending: &Lending) -> usize {
    let call = Borrow {
        workspace: of.name.clone(),
        slot: ask.slot,
        host: peer(host).name,
        seq: ask.seq,
        need: ask.need,
        want: ask.want,
        reports: ask.reports.clone(),
    };
    size(&call) + size(lending)
}
