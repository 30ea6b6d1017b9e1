//! Simulation of ten schedulers and twelve gates in one loop.

use super::flight::InFlight;
use gooseberrytack::{
    batch::{Scheduler, Verdict},
    clock::Time,
    fold::{Fold, pos},
    gate::{Effects, Queue, SETTLE, SlotRequest},
    job::{self, Commit, Outcome, PartRef, Record, State},
    share::{FleetTags, HostTags},
    wire::{Class, Name},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};

const HOSTS: usize = 10;
const SERVERS: usize = 12;
/// Slots per server.
const SLOTS: u32 = 6;
/// Items that one host runs at the same time.
const WORKERS: u32 = 64;
/// Workspaces; the first two have four times the weight.
const WORKSPACES: usize = 8;
/// Items of a workspace per unit of weight.
const ITEMS: u32 = 200;
/// Step of the simulated clock.
const STEP_MS: u64 = 4;
/// Time to generate one token.
const TOKEN_MS: u64 = 16;
/// Time between two requests of a waiting item.
const ROUND_MS: u64 = 500;
/// Requests at one server before a batch item tries another.
const ROUNDS: u32 = 3;
/// Servers that are tried before an item waits.
const PROBES: usize = 6;
/// Time between two reports of a host.
const REPORT_MS: u64 = 200;

pub struct Sim {
    rng: ChaCha8Rng,
    now: u64,
    state: State,
    schedulers: Vec<Scheduler>,
    queues: Vec<Queue>,
    own: Vec<HostTags>,
    /// Each host is the home of some workspaces; one map for all of them gives the same tags.
    totals: FleetTags,
    flights: Vec<InFlight>,
    online: u32,
    /// Batch tokens by workspace.
    pub tokens: [u64; WORKSPACES],
    /// Sum over all steps of the slots that were idle at the end of the step.
    pub idle: u64,
}

pub fn weight(workspace: usize) -> u32 {
    if workspace < 2 { 4 } else { 1 }
}

fn weight_of(name: &str) -> u32 {
    weight(name[1..].parse().unwrap())
}

fn time(ms: u64) -> Time {
    SETTLE + Duration::from_millis(ms)
}

impl Sim {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            state: State::default(),
            schedulers: (0..HOSTS).map(|_| Scheduler::default()).collect(),
            queues: (0..SERVERS)
                .map(|_| Queue::new(SLOTS, Time::ZERO))
                .collect(),
            own: (0..HOSTS).map(|_| HostTags::default()).collect(),
            totals: FleetTags::default(),
            flights: Vec::new(),
            online: 0,
            tokens: [0; WORKSPACES],
            idle: 0,
        }
    }

    fn fold(&mut self, rec: Record) {
        self.state.apply(pos(self.state.at >> 16, 0), &rec);
    }

    /// Adds a job of each workspace every `apart` milliseconds; its parts go to random hosts.
    pub fn add_jobs(&mut self, apart: u64) {
        let mut order: Vec<usize> = (0..WORKSPACES).collect();
        order.shuffle(&mut self.rng);
        for workspace in order {
            let items = ITEMS * weight(workspace);
            let asks = (0..items).map(|i| {
                Arc::new(job::ItemSpec {
                    id: format!("i{i}").into(),
                    model: "m".into(),
                    adapter: None,
                    prompt: "p".into(),
                    tokens: 20 + (workspace as u32 * 37 + i * 53) % 40,
                    repeatable: true,
                    request: None,
                })
            });
            let upload: Name = format!("u{workspace}").into();
            let piece = Record::Piece {
                upload: upload.clone(),
                index: 0,
                asks: asks.collect(),
            };
            self.fold(piece);
            self.fold(Record::Commit(Commit {
                job: format!("j{workspace}").into(),
                workspace: format!("w{workspace}").into(),
                upload,
                digest: "d".into(),
                pieces: 1,
                items,
                part_size: 25,
            }));
            for part in 0..items.div_ceil(25) {
                let parts = vec![PartRef {
                    job: format!("j{workspace}").into(),
                    part,
                    epoch: 0,
                }];
                let host = format!("h{}", self.rng.random_range(0..HOSTS)).into();
                self.fold(Record::Claim { host, parts });
            }
            for (i, scheduler) in self.schedulers.iter_mut().enumerate() {
                scheduler.sync(&self.state, &format!("h{i}"));
            }
            self.run(apart);
        }
    }

    /// Ratio of the service of each workspace to its fair share, over the next `ms` milliseconds.
    pub fn window(&mut self, ms: u64) -> [f64; WORKSPACES] {
        self.tokens = [0; WORKSPACES];
        self.idle = 0;
        self.run(ms);
        let total: u64 = self.tokens.iter().sum();
        std::array::from_fn(|w| self.tokens[w] as f64 * 14.0 / f64::from(weight(w)) / total as f64)
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for scheduler in &mut self.schedulers {
            scheduler.lease.renew(time(self.now));
        }
        self.arrivals();
        for host in 0..HOSTS {
            if (self.now + host as u64 * 20).is_multiple_of(REPORT_MS) {
                self.report(host);
            }
        }
        if self.now.is_multiple_of(20) {
            (0..HOSTS).for_each(|h| self.pump(h));
        }
        for i in (0..self.flights.len()).rev() {
            self.advance(i);
        }
        let held = |q: &Queue| q.counts().online + q.counts().batch;
        self.idle += self
            .queues
            .iter()
            .map(|q| u64::from(SLOTS.saturating_sub(held(q))))
            .sum::<u64>();
    }

    fn pump(&mut self, host: usize) {
        let span = Duration::from_secs(8);
        while self.schedulers[host].running() < WORKERS {
            let next = self.schedulers[host].next(time(self.now), span, weight_of);
            let Some(task) = next else { return };
            let id = format!(
                "{}/{}.{}.{}",
                task.at.job, task.at.part, task.index, task.attempt
            );
            let workspace = task.workspace[1..].parse().unwrap();
            let mut flight = InFlight::new(id, workspace, Class::Batch, host, task.spec.tokens);
            flight.task = Some(task);
            self.flights.push(flight);
        }
    }

    fn report(&mut self, host: usize) {
        for report in self.own[host].reports() {
            let tag = self.totals.add(&report);
            self.own[host].handle_answer(&report, Some(tag));
        }
    }

    /// Requests a slot of `server` with the tag that the requesting host knows.
    fn request(&mut self, i: usize, server: usize, may_wait: bool) {
        let ask = self.ask(i);
        let f = &self.flights[i];
        let (workspace, host) = (f.workspace, f.host);
        if f.class == Class::Batch {
            let served = self.own[host].tag(&ask.workspace);
            self.queues[server].note_served(&ask.workspace, served);
        }
        let now = time(self.now);
        let (_, effects) = self.queues[server].request(now, &ask, weight(workspace), may_wait);
        self.own[host].advance(self.queues[server].virtual_time());
        self.apply(server, effects);
    }

    fn arrivals(&mut self) {
        for workspace in 0..WORKSPACES {
            let noise = if workspace == 4 { 2.0 } else { 1.0 };
            let rate = 8.0 * f64::from(weight(workspace)) * noise;
            let burst = self.now % 1_500 == 748;
            let mut count = if burst { 3 * weight(workspace) } else { 0 };
            count += u32::from(self.rng.random_bool(rate * STEP_MS as f64 / 1_000.0));
            for _ in 0..count {
                self.online += 1;
                let id = format!("o{}", self.online);
                let host = self.rng.random_range(0..HOSTS);
                let tokens = self.rng.random_range(6..=18);
                let flight = InFlight::new(id, workspace, Class::Online, host, tokens);
                self.flights.push(flight);
            }
        }
    }

    fn ask(&self, i: usize) -> SlotRequest {
        let f = &self.flights[i];
        SlotRequest {
            id: format!("{}.{}", f.id, f.attempts).into(),
            holder: format!("h{}", f.host).into(),
            workspace: format!("w{}", f.workspace).into(),
            model: "m".into(),
            adapter: None,
            class: f.class,
            cost: f.tokens - f.pos,
            since: 0,
        }
    }

    fn advance(&mut self, i: usize) {
        let now = self.now;
        let f = &self.flights[i];
        match (f.server, f.next_ms) {
            (Some(_), Some(next)) if next <= now => self.token(i),
            (Some(server), None) if now >= f.asked_ms + ROUND_MS => self.request_again(i, server),
            (None, _) => self.place(i),
            _ => {}
        }
    }

    /// Tries some servers, then waits in the shortest queue.
    fn place(&mut self, i: usize) {
        self.flights[i].attempts += 1;
        self.flights[i].from = self.flights[i].pos;
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.shuffle(&mut self.rng);
        order.truncate(PROBES);
        for server in &order {
            self.flights[i].server = Some(*server);
            self.request(i, *server, false);
            if self.flights[i].next_ms.is_some() {
                self.flights[i].asked_ms = self.now;
                return;
            }
        }
        let shortest = order.into_iter().min_by_key(|s| {
            let c = self.queues[*s].counts();
            c.waiting + c.backlog
        });
        let server = shortest.unwrap();
        let f = &mut self.flights[i];
        (f.server, f.asked_ms, f.rounds) = (Some(server), self.now, 0);
        self.request(i, server, true);
    }

    fn request_again(&mut self, i: usize, server: usize) {
        let ask = self.ask(i);
        let f = &mut self.flights[i];
        (f.rounds, f.asked_ms) = (f.rounds + 1, self.now);
        if f.class == Class::Batch && f.rounds >= ROUNDS {
            f.server = None;
            self.queues[server].withdraw(&ask.id);
            return;
        }
        self.request(i, server, true);
    }

    /// Starts the attempts that got a slot, and ends the preempted ones.
    fn apply(&mut self, server: usize, effects: Effects) {
        for id in effects.granted {
            let found = self
                .flights
                .iter_mut()
                .find(|f| format!("{}.{}", f.id, f.attempts) == *id);
            let Some(f) = found else { continue };
            f.server = Some(server);
            f.next_ms = Some(self.now + TOKEN_MS);
            f.granted = f.tokens - f.pos;
            if let Some(task) = &f.task {
                self.own[f.host].charge(&task.workspace, weight(f.workspace), f.granted);
                self.schedulers[f.host].slot(task, true);
            }
        }
        for id in effects.preempted {
            let more = self.queues[server].confirm(time(self.now), &id);
            let found = self
                .flights
                .iter()
                .position(|f| format!("{}.{}", f.id, f.attempts) == *id);
            if let Some(i) = found {
                let f = &mut self.flights[i];
                let used = f.pos - f.from;
                (f.server, f.next_ms) = (None, None);
                if let Some(task) = &f.task {
                    self.own[f.host].settle(&task.workspace, weight(f.workspace), f.granted, used);
                    self.schedulers[f.host].slot(task, false);
                }
                let freed = self.queues[server].release(time(self.now), &id, used);
                self.apply(server, freed);
            }
            self.apply(server, more);
        }
    }

    fn token(&mut self, i: usize) {
        let ask = self.ask(i);
        let f = &mut self.flights[i];
        f.pos += 1;
        f.next_ms = Some(self.now + TOKEN_MS);
        if f.class == Class::Batch {
            self.tokens[f.workspace] += 1;
        }
        if f.pos < f.tokens {
            return;
        }
        let f = self.flights.swap_remove(i);
        let server = f.server.unwrap();
        if let Some(task) = &f.task {
            let outcome = Outcome::Done {
                text: "t".into(),
                tokens: f.pos,
            };
            self.schedulers[f.host].settle(task, Verdict::End(outcome), time(self.now));
            self.pump(f.host);
        }
        let effects = self.queues[server].release(time(self.now), &ask.id, f.pos - f.from);
        self.apply(server, effects);
    }
}
