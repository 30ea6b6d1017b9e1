//! Simulates borrowers and lenders of one workspace that sends more than its rate, and a single
//! exact bucket that sees the same attempts.

use gooseberrytack::{
    config::Workspace,
    limit::{
        Ask, Balance, Division, Lender, Lending, LoanRequest, OwnPart, Slot, Step, Token, divide,
        share, slots,
    },
    wire::Name,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

/// Simulated time in microseconds.
pub type Micros = u64;
pub const SECOND: Micros = 1_000_000;
/// Time at which the first requests arrive.
pub const START: Micros = 10 * SECOND;
/// Time for which a request waits for another request's loan before it checks again.
const RECHECK: Micros = 50_000;
/// Longest retry delay that a client honours: a third of its remaining time.
const RETRY_DELAY_MAX: Micros = 1_600_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize, bool),
    /// A request steps, if its wait of this number goes on.
    Step(usize, u32),
    Asked(usize),
    Answered(usize),
    Confirm(usize),
    Report(usize),
}

#[derive(Debug, Clone)]
struct Request {
    host: usize,
    since: Micros,
    is_retry: bool,
    wait_number: u32,
    is_waiting: bool,
    token: Option<Token>,
}

/// What happened to the attempts.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    pub arrived: Vec<Micros>,
    pub sent: Vec<Micros>,
    pub refused: u64,
    /// Attempts that came at the time that a refusal named, and how many of them were served.
    pub returned: (u64, u64),
    /// Times at which refused clients come back.
    pub returns: Vec<Micros>,
    pub messages: u64,
}

pub struct HotFleet {
    workspace: Workspace,
    balances: Vec<Balance>,
    names: Vec<Name>,
    lenders: Vec<Lender>,
    parts: Division,
    own_parts: Vec<OwnPart>,
    requests: Vec<Request>,
    asks: Vec<(usize, Ask, Option<Lending>)>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    count: u64,
    now: Micros,
    rng: ChaCha8Rng,
    /// Cumulative weights of the hosts.
    weights: Vec<f64>,
    /// Longest time for which a request holds its token before it is sent.
    pub hold_max: Micros,
    /// Time after a use at which the host reports it; `None` if only its next loan does.
    report_after: Option<Micros>,
    /// Longest time for which a request waits for a token that is due.
    pub wait_max: Micros,
    pub tally: Tally,
}

impl HotFleet {
    /// `own_percent` is the setting of that name in `[limits]`.
    pub fn new(hosts: usize, workspace: Workspace, own_percent: u32, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut sum = 0.0;
        // Clients reach hosts by a hash: with few clients a host gets up to several times the mean.
        let weights = (0..hosts).map(|_| {
            sum += -rng.random_range(0.02f64..1.0).ln();
            sum
        });
        let weights = weights.collect();
        let slot = Slot {
            host: Some("holder".into()),
            epoch: 1,
            left: u32::MAX,
            ..Slot::default()
        };
        let parts = divide(&workspace, hosts, own_percent);
        let lender = |number| {
            let mut lender = Lender::default();
            lender.proof.note_log_read(Duration::ZERO);
            let share = share(&parts.lent, number);
            lender.sync(&workspace.name, number, &slot, true, share, Duration::ZERO);
            lender
        };
        Self {
            balances: (0..hosts)
                .map(|_| Balance::starting(rng.random()))
                .collect(),
            names: (0..hosts).map(|h| format!("host-{h}").into()).collect(),
            lenders: (0..slots(workspace.burst)).map(lender).collect(),
            own_parts: vec![OwnPart::default(); hosts],
            parts,
            requests: Vec::new(),
            asks: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            now: 0,
            rng,
            weights,
            hold_max: 20_000,
            report_after: None,
            wait_max: 250_000,
            tally: Tally::default(),
            workspace,
        }
    }

    /// Draws Poisson arrivals of `per_s` requests a second from `from` to `to` after the start.
    pub fn load(&mut self, per_s: f64, from: Micros, to: Micros) {
        let mut at = from as f64;
        loop {
            at += -self.rng.random_range(f64::EPSILON..1.0).ln() / per_s * 1e6;
            if at >= to as f64 {
                return;
            }
            let host = self.draw_host();
            self.push(START + at as Micros, Event::Arrive(host, false));
        }
    }

    /// Usual load of `mean` requests a second, in waves.
    pub fn waves(&mut self, mean: f64, from: Micros, to: Micros) {
        let (mut at, mut is_peak) = (from, false);
        while at < to {
            let (factor, span) = if is_peak {
                (1.87, 2_400_000)
            } else {
                (0.38, 3_400_000)
            };
            let end = (at + span).min(to);
            self.load(mean * factor, at, end);
            (at, is_peak) = (end, !is_peak);
        }
    }

    /// Turns `[limits] report_used` on at all hosts, which report used tokens `after` their use.
    pub fn report_used(&mut self, after: Micros) {
        self.report_after = Some(after);
        for balance in &mut self.balances {
            *balance = std::mem::take(balance).with_report_used(true);
        }
        for lender in &mut self.lenders {
            lender.report_used = true;
        }
    }

    pub fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            self.handle(event);
        }
        self.tally.sent.sort_unstable();
    }

    fn draw_host(&mut self) -> usize {
        let total = self.weights.last().copied().unwrap_or(1.0);
        let at = self.rng.random_range(0.0..total);
        self.weights.partition_point(|w| *w <= at)
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn latency(&mut self) -> Micros {
        self.rng.random_range(1_000..2_000)
    }

    fn time(&self) -> Duration {
        Duration::from_micros(self.now)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(host, is_retry) => {
                self.tally.arrived.push(self.now);
                self.tally.returned.0 += u64::from(is_retry);
                self.requests.push(Request {
                    host,
                    since: self.now,
                    is_retry,
                    wait_number: 0,
                    is_waiting: false,
                    token: None,
                });
                let now = self.time();
                self.balances[host].arrive(now);
                self.step(self.requests.len() - 1);
            }
            Event::Step(r, wait_number) => {
                let request = &mut self.requests[r];
                if request.is_waiting && request.wait_number == wait_number {
                    request.is_waiting = false;
                    self.step(r);
                }
            }
            Event::Asked(a) => self.asked(a),
            Event::Answered(a) => self.answered(a),
            Event::Confirm(r) => self.confirm(r),
            Event::Report(h) => self.report(h),
        }
    }

    fn step(&mut self, r: usize) {
        let (host, since) = (self.requests[r].host, self.requests[r].since);
        let now = self.time();
        if self.parts.own > 0 && self.own_parts[host].take(self.parts.own, now) {
            let seq = u64::MAX;
            let until = Duration::MAX;
            self.requests[r].token = Some(Token { seq, until });
            let hold = self.rng.random_range(0..=self.hold_max);
            return self.push(self.now + hold, Event::Confirm(r));
        }
        let others = self.requests.iter().rev().take(2000);
        let waiting = others.filter(|q| q.is_waiting && q.host == host).count() as u32;
        let since_time = Duration::from_micros(since);
        match self.balances[host].step(&self.workspace, waiting, since_time, now) {
            Step::Spend(token) => {
                self.requests[r].token = Some(token);
                let hold = self.rng.random_range(0..=self.hold_max);
                self.push(self.now + hold, Event::Confirm(r));
            }
            Step::Ask(ask) => {
                self.tally.messages += 2;
                self.asks.push((r, ask, None));
                let at = self.now + self.latency();
                self.push(at, Event::Asked(self.asks.len() - 1));
            }
            Step::Wait => self.wait(r, RECHECK),
            Step::Later(span) if self.now + span.as_micros() as Micros > since + self.wait_max => {
                self.refuse(r, span.as_micros() as Micros)
            }
            Step::Later(span) => self.wait(r, span.as_micros() as Micros + 1),
            Step::Refuse { after, .. } => self.refuse(r, after.as_micros() as Micros),
        }
    }

    fn wait(&mut self, r: usize, span: Micros) {
        let request = &mut self.requests[r];
        request.wait_number += 1;
        request.is_waiting = true;
        let wait_number = request.wait_number;
        self.push(self.now + span, Event::Step(r, wait_number));
    }

    fn refuse(&mut self, r: usize, after: Micros) {
        self.tally.refused += 1;
        if self.requests[r].is_retry || after > RETRY_DELAY_MAX {
            return;
        }
        let host = self.draw_host();
        let at = self.now + after + self.latency();
        self.tally.returns.push(at);
        self.push(at, Event::Arrive(host, true));
    }

    fn asked(&mut self, a: usize) {
        let (r, ask) = (self.asks[a].0, self.asks[a].1.clone());
        let host = if ask.want == 0 {
            r
        } else {
            self.requests[r].host
        };
        let now = self.time();
        let lender = &mut self.lenders[ask.slot as usize];
        lender.proof.note_log_read(now);
        let request = LoanRequest {
            workspace: &self.workspace.name,
            slot: ask.slot,
            host: &self.names[host],
            seq: ask.seq,
            need: ask.need,
            want: ask.want,
            reports: &ask.reports,
        };
        self.asks[a].2 = Some(lender.lend(&request, now));
        if ask.want > 0 {
            let at = self.now + self.latency();
            self.push(at, Event::Answered(a));
        }
    }

    fn answered(&mut self, a: usize) {
        let (r, ask, lending) = self.asks[a].clone();
        let host = self.requests[r].host;
        let now = self.time();
        self.balances[host].answer(&ask, lending, now);
        if self.report_after.is_some() && matches!(lending, Some(Lending::Lent(..))) {
            self.push(self.now + 260_000, Event::Report(host));
        }
        self.step(r);
        let from = self.requests.len().saturating_sub(2000);
        let woken = (from..self.requests.len()).filter(|q| {
            let q = &self.requests[*q];
            q.is_waiting && q.host == host
        });
        for q in woken.collect::<Vec<_>>() {
            let wait_number = self.requests[q].wait_number;
            self.push(self.now, Event::Step(q, wait_number));
        }
    }

    fn confirm(&mut self, r: usize) {
        let (host, now) = (self.requests[r].host, self.time());
        let Some(token) = self.requests[r].token.take() else {
            return;
        };
        if self.balances[host].confirm(token, now) {
            self.tally.sent.push(self.now);
            self.tally.returned.1 += u64::from(self.requests[r].is_retry);
            if let Some(delay) = self.report_after {
                self.push(self.now + delay, Event::Report(host));
            }
            return;
        }
        self.balances[host].put_back(token);
        self.step(r);
    }

    fn report(&mut self, host: usize) {
        let now = self.time();
        for slot in self.balances[host].unreported(now) {
            let ask = self.balances[host].report_used(slot, now);
            self.tally.messages += 2;
            self.asks.push((host, ask, None));
            let at = self.now + self.latency();
            self.push(at, Event::Asked(self.asks.len() - 1));
        }
    }
}
