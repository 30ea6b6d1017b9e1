//! Ten schedulers and twelve gates in one loop.

use super::flight::Flight;
use gooseberrytack::{
    batch::{Scheduler, Verdict},
    clock::Time,
    fold::{Fold, pos},
    gate::{Effects, Queue, SETTLE, SlotRequest},
    job::{self, Commit, Outcome, PartRef, Record, State},
    share::{Local, Totals},
    wire::{Class, Name},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};

/// Hosts.
const HOSTS: usize = 10;
/// Servers.
const SERVERS: usize = 12;
/// Slots of a server.
const SLOTS: u32 = 6;
/// Workers of a host.
const PARALLEL: u32 = 64;
/// Workspaces; the first two have four times the weight.
const WORKSPACES: usize = 8;
/// Items of a workspace for each unit of weight.
const ITEMS: u32 = 200;
/// Step of the clock in milliseconds.
const STEP: u64 = 4;
/// Milliseconds for a token.
const TOKEN: u64 = 16;
/// Milliseconds between two questions of an item that waits.
const ROUND: u64 = 500;
/// Rounds at one server.
const ROUNDS: u32 = 3;
/// Servers asked before an item waits.
const ASKED: usize = 6;
/// Milliseconds between two reports of a host.
const REPORT: u64 = 200;

pub struct Sim {
    rng: ChaCha8Rng,
    now: u64,
    state: State,
    schedulers: Vec<Scheduler>,
    queues: Vec<Queue>,
    own: Vec<Local>,
    /// Every host is the home of some; one for all is the same.
    totals: Totals,
    flights: Vec<Flight>,
    online: u32,
    /// Batch tokens by workspace.
    pub tokens: [u64; WORKSPACES],
    /// Slots that were idle at the end of a step, over all steps.
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
            own: (0..HOSTS).map(|_| Local::default()).collect(),
            totals: Totals::default(),
            flights: Vec::new(),
            online: 0,
            tokens: [0; WORKSPACES],
            idle: 0,
        }
    }

    fn fold(&mut self, rec: Record) {
        self.state.apply(pos(self.state.at >> 16, 0), &rec);
    }

    /// A job of each workspace, `apart` milliseconds apart; parts go to hosts at random.
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
                specs: asks.collect(),
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

    /// Shares of the workspaces over the next `ms` milliseconds, each over its fair share.
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
        self.now += STEP;
        for scheduler in &mut self.schedulers {
            scheduler.lease.renew(time(self.now));
        }
        self.arrivals();
        for host in 0..HOSTS {
            if (self.now + host as u64 * 20).is_multiple_of(REPORT) {
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
        while self.schedulers[host].running() < PARALLEL {
            let next = self.schedulers[host].next(time(self.now), span, weight_of);
            let Some(task) = next else { return };
            let id = format!(
                "{}/{}.{}.{}",
                task.at.job, task.at.part, task.index, task.attempt
            );
            let workspace = task.workspace[1..].parse().unwrap();
            let mut flight = Flight::new(id, workspace, Class::Batch, host, task.spec.tokens);
            flight.task = Some(task);
            self.flights.push(flight);
        }
    }

    fn report(&mut self, host: usize) {
        for report in self.own[host].reports() {
            let tag = self.totals.add(&report);
            self.own[host].answered(&report, Some(tag));
        }
    }

    /// Asks the queue of `server` with what the asking host knows.
    fn put(&mut self, i: usize, server: usize, may_wait: bool) {
        let ask = self.ask(i);
        let f = &self.flights[i];
        let (workspace, host) = (f.workspace, f.host);
        if f.class == Class::Batch {
            let served = self.own[host].tag(&ask.workspace);
            self.queues[server].note_served(&ask.workspace, served);
        }
        let now = time(self.now);
        let (_, turn) = self.queues[server].request(now, &ask, weight(workspace), may_wait);
        self.own[host].learn(self.queues[server].virtual_time());
        self.follow(server, turn);
    }

    fn arrivals(&mut self) {
        for workspace in 0..WORKSPACES {
            let noise = if workspace == 4 { 2.0 } else { 1.0 };
            let rate = 8.0 * f64::from(weight(workspace)) * noise;
            let burst = self.now % 1_500 == 748;
            let mut count = if burst { 3 * weight(workspace) } else { 0 };
            count += u32::from(self.rng.random_bool(rate * STEP as f64 / 1_000.0));
            for _ in 0..count {
                self.online += 1;
                let id = format!("o{}", self.online);
                let host = self.rng.random_range(0..HOSTS);
                let tokens = self.rng.random_range(6..=18);
                let flight = Flight::new(id, workspace, Class::Online, host, tokens);
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
        match (f.server, f.next) {
            (Some(_), Some(next)) if next <= now => self.token(i),
            (Some(server), None) if now >= f.asked + ROUND => self.ask_again(i, server),
            (None, _) => self.place(i),
            _ => {}
        }
    }

    /// Asks around, and waits at the shortest queue.
    fn place(&mut self, i: usize) {
        self.flights[i].attempts += 1;
        self.flights[i].from = self.flights[i].pos;
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.shuffle(&mut self.rng);
        order.truncate(ASKED);
        for server in &order {
            self.flights[i].server = Some(*server);
            self.put(i, *server, false);
            if self.flights[i].next.is_some() {
                self.flights[i].asked = self.now;
                return;
            }
        }
        let shortest = order.into_iter().min_by_key(|s| {
            let c = self.queues[*s].counts();
            c.waiting + c.backlog
        });
        let server = shortest.unwrap();
        let f = &mut self.flights[i];
        (f.server, f.asked, f.rounds) = (Some(server), self.now, 0);
        self.put(i, server, true);
    }

    fn ask_again(&mut self, i: usize, server: usize) {
        let ask = self.ask(i);
        let f = &mut self.flights[i];
        (f.rounds, f.asked) = (f.rounds + 1, self.now);
        if f.class == Class::Batch && f.rounds >= ROUNDS {
            f.server = None;
            self.queues[server].withdraw(&ask.id);
            return;
        }
        self.put(i, server, true);
    }

    /// Carries a turn out: cancels what gave way, starts what got a slot.
    fn follow(&mut self, server: usize, turn: Effects) {
        for id in turn.granted {
            let found = self
                .flights
                .iter_mut()
                .find(|f| format!("{}.{}", f.id, f.attempts) == *id);
            let Some(f) = found else { continue };
            f.server = Some(server);
            f.next = Some(self.now + TOKEN);
            f.granted = f.tokens - f.pos;
            if let Some(task) = &f.task {
                self.own[f.host].charge(&task.workspace, weight(f.workspace), f.granted);
                self.schedulers[f.host].slot(task, true);
            }
        }
        for id in turn.preempted {
            let next = self.queues[server].confirm(time(self.now), &id);
            let found = self
                .flights
                .iter()
                .position(|f| format!("{}.{}", f.id, f.attempts) == *id);
            if let Some(i) = found {
                let f = &mut self.flights[i];
                let used = f.pos - f.from;
                (f.server, f.next) = (None, None);
                if let Some(task) = &f.task {
                    self.own[f.host].settle(&task.workspace, weight(f.workspace), f.granted, used);
                    self.schedulers[f.host].slot(task, false);
                }
                let more = self.queues[server].release(time(self.now), &id, used);
                self.follow(server, more);
            }
            self.follow(server, next);
        }
    }

    fn token(&mut self, i: usize) {
        let ask = self.ask(i);
        let f = &mut self.flights[i];
        f.pos += 1;
        f.next = Some(self.now + TOKEN);
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
        let turn = self.queues[server].release(time(self.now), &ask.id, f.pos - f.from);
        self.follow(server, turn);
    }
}
