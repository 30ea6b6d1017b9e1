//! Simulates the rate limits of several hosts on a simulated clock, for property tests and
//! comparisons of policies.

#![allow(dead_code)]

mod check;
mod faults;
mod requests;
mod tasks;

#[allow(unused_imports)]
pub use check::{ideal, over};

use gooseberrytack::{
    config::Workspace,
    fold::{AppendOutcome, Fold, pos},
    limit::{
        Ask, Balance, Homes, Lender, Lending, LoanRequest, Place, Record, Share, Step, Token,
        misplaced, place, share, slots,
    },
    member::{ListView, Ring},
    store::{HostStatus, Listed},
    wire::Peer,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

/// Simulated time in microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;

const TICK: Micros = 200_000;
const LIST_TTL: Micros = 3 * SECOND;
const HOLD: Duration = Duration::from_secs(6);
const PATIENCE: Micros = 1_500_000;

/// How hosts get tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the product does.
    Escrow,
    /// As the product does, but without borrowing ahead and with a single slot.
    Owner,
    /// Each host has a fixed equal share.
    Static,
}

/// A fault, in force for a given time.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The host is suspended; its events wait.
    Pause(usize),
    /// The host is lost; a new process replaces it at the end.
    Lose(usize),
    /// The host stops as planned; a new process replaces it at the end.
    Stop(usize),
    /// The host cannot reach the log.
    CutLog(usize),
    /// The host cannot reach the list.
    CutList(usize),
    /// The host cannot reach any other host.
    CutPeers(usize),
    /// No host can reach the log.
    LogDown,
    /// The list stays as it was at the beginning of the fault.
    ListFrozen,
    /// Percentage of answers between hosts that are lost.
    Lossy(u32),
    /// Longest latency of messages between hosts.
    Slow(Micros),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin(usize),
    End(usize),
    Tick(usize, u64),
    ReadDone(usize, u64, Micros, usize),
    Arrive(usize, usize),
    Retry(usize, u64, usize, Micros),
    Asked(usize, usize, usize),
    Answered(usize, usize),
    Confirm(usize, u64, usize, u64, Micros),
}

#[derive(Debug)]
struct SimHost {
    peer: Peer,
    start: u64,
    up: bool,
    paused: Micros,
    /// Clock offset, and parts per million by which it runs fast.
    clock: (Micros, i64),
    list: ListView,
    homes: Homes,
    next: usize,
    fresh: Option<Duration>,
    announced: Option<Duration>,
    lender: Lender,
    balances: BTreeMap<usize, (Balance, u32)>,
    buckets: BTreeMap<usize, gooseberrytack::limit::Bucket>,
    stopping: bool,
}

/// Outcomes of the requests of one workspace.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Arrivals.
    pub arrived: Vec<Micros>,
    /// Requests sent, by time.
    pub sent: Vec<Micros>,
    /// Requests refused.
    pub refused: u64,
    /// Arrival times of requests refused by hosts that were up.
    pub refused_at: Vec<Micros>,
    /// Longest time from arrival to sending.
    pub slowest: Micros,
}

/// The simulated fleet.
pub struct Fleet {
    policy: Policy,
    workspaces: Vec<Workspace>,
    hosts: Vec<SimHost>,
    faults: Vec<(Fault, bool)>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    log: Vec<Record>,
    /// Announcements by host name: peer, standing, time.
    listed: BTreeMap<String, (Listed, Micros)>,
    frozen: Option<Vec<Listed>>,
    lag: Micros,
    history: Vec<(Micros, Vec<Listed>)>,
    asks: Vec<(usize, u64, usize, Ask, Option<Lending>)>,
    rng: ChaCha8Rng,
    now: Micros,
    starts: u64,
    /// Longest time that a request holds its token before it is sent.
    pub hold_max: Micros,
    /// `[limits] report_used` of all hosts.
    pub report_used: bool,
    /// Percentage of reports of used tokens that are lost, and of those that arrive twice.
    pub report_faults: u32,
    /// Reports that were lost, and that were sent twice.
    pub faulty_reports: (u64, u64),
    /// Messages between hosts.
    pub messages: u64,
    /// By workspace.
    pub tallies: Vec<Tally>,
}

impl Fleet {
    pub fn new(policy: Policy, hosts: usize, workspaces: Vec<Workspace>, seed: u64) -> Self {
        let mut fleet = Self {
            policy,
            tallies: vec![Tally::default(); workspaces.len()],
            workspaces,
            hosts: Vec::new(),
            faults: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            log: Vec::new(),
            listed: BTreeMap::new(),
            frozen: None,
            lag: 0,
            history: Vec::new(),
            asks: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            starts: 0,
            hold_max: 0,
            report_used: false,
            report_faults: 0,
            faulty_reports: (0, 0),
            messages: 0,
        };
        fleet.lag = fleet.rng.random_range(0..SECOND);
        for i in 0..hosts {
            let host = fleet.start_host(i);
            fleet.hosts.push(host);
            fleet.push(0, Event::Tick(i, fleet.hosts[i].start));
        }
        fleet
    }

    fn start_host(&mut self, i: usize) -> SimHost {
        self.starts += 1;
        SimHost {
            peer: Peer {
                name: format!("host-{i}.{}", self.starts).into(),
                addr: ([127, 0, 0, 1], i as u16 + 1).into(),
                domain: format!("domain-{}", i % 4).into(),
            },
            start: self.starts,
            up: true,
            paused: 0,
            clock: (
                self.rng.random_range(0..SECOND * 1000),
                self.rng.random_range(-500..500),
            ),
            list: ListView::default(),
            homes: Homes::default(),
            next: 0,
            fresh: None,
            announced: None,
            lender: Lender::default(),
            balances: BTreeMap::new(),
            buckets: BTreeMap::new(),
            stopping: false,
        }
    }

    pub fn arrive(&mut self, at: Micros, host: usize, workspace: usize) {
        self.push(at, Event::Arrive(host, workspace));
    }

    pub fn fault(&mut self, fault: Fault, from: Micros, to: Micros) {
        self.faults.push((fault, false));
        self.push(from, Event::Begin(self.faults.len() - 1));
        self.push(to, Event::End(self.faults.len() - 1));
    }

    pub fn run(&mut self, end: Micros) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    /// Tokens of a workspace at a host, and the number of requests that wait for them.
    fn balance(&mut self, i: usize, w: usize) -> &mut (Balance, u32) {
        let report_used = self.report_used;
        let first = || {
            let balance = Balance::starting((i + w) as u32);
            (balance.with_report_used(report_used), 0)
        };
        self.hosts[i].balances.entry(w).or_insert_with(first)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn local(&self, i: usize) -> Duration {
        let (offset, fast) = self.hosts[i].clock;
        let drift = self.now as i64 / 1_000_000 * fast;
        Duration::from_micros(
            (offset + self.now).saturating_add_signed(drift + 1000 * SECOND as i64),
        )
    }

    fn active(&self, test: impl Fn(&Fault) -> bool) -> bool {
        self.faults.iter().any(|(f, on)| *on && test(f))
    }

    /// Whether the host is up and can handle the event now; requeues the event if the host is
    /// paused.
    fn ready(&mut self, i: usize, event: &Event) -> bool {
        if self.hosts[i].paused > self.now {
            self.push(self.hosts[i].paused, event.clone());
            return false;
        }
        self.hosts[i].up
    }

    fn handle(&mut self, event: Event) {
        match event.clone() {
            Event::Begin(f) => self.begin(f),
            Event::End(f) => self.end(f),
            Event::Tick(i, start) => {
                if self.hosts[i].start == start && self.ready(i, &event) {
                    self.tick(i);
                    self.push(self.now + TICK, event);
                }
            }
            Event::ReadDone(i, start, began, head) => {
                if self.hosts[i].start == start && self.ready(i, &event) {
                    self.read_done(i, began, head);
                }
            }
            Event::Arrive(i, w) => {
                self.tallies[w].arrived.push(self.now);
                if !self.hosts[i].up || self.hosts[i].paused > self.now {
                    self.tallies[w].refused += 1;
                    return;
                }
                let now = self.local(i);
                self.balance(i, w).0.arrive(now);
                let start = self.hosts[i].start;
                self.step(i, start, w, self.now + PATIENCE);
            }
            Event::Retry(i, start, w, end) => {
                if self.hosts[i].start == start && self.ready(i, &event) {
                    let waiting = &mut self.balance(i, w).1;
                    *waiting = waiting.saturating_sub(1);
                    self.step(i, start, w, end);
                }
            }
            Event::Asked(i, to, ask) => {
                if self.ready(to, &event) {
                    self.asked(i, to, ask);
                }
            }
            Event::Answered(i, ask) => {
                if self.hosts[i].start == self.asks[ask].1 && self.ready(i, &event) {
                    self.answered(i, ask);
                }
            }
            Event::Confirm(i, start, w, seq, until) => {
                if self.hosts[i].start == start && self.ready(i, &event) {
                    self.confirm(i, w, seq, until);
                }
            }
        }
    }
}
