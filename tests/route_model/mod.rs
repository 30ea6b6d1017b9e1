//! A deterministic model of uneven servers, their gates and the hosts that choose among them.

use gooseberrytack::{
    clock::Time,
    gate::{Counts, Learned, Sample, Speed},
    route::{Availability, Candidate, Load, assume, expected, fan_out, order},
    wire::Class,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

pub const SLOTS: u32 = 8;
const SERVERS: usize = 12;
const HOSTS: usize = 6;
const TICK: Duration = Duration::from_millis(5);
const BASE_S: f64 = 0.025;
const SLOPE: f64 = 0.05;
const ONLINE_EVENTS: u32 = 18;
const BATCH_EVENTS: u32 = 122;
/// Online requests per second in peaks of 2.4 s and troughs of 3.4 s.
const PEAK: (f64, f64) = (86.0, 2.4);
const TROUGH: (f64, f64) = (17.0, 3.4);
/// Batch items that are never all served.
const BACKLOG: usize = 60;
/// Age up to which a host uses counts.
const COUNTS_AGE: Duration = Duration::from_secs(1);
/// Time between two estimates that reach a host.
const TOLD_EVERY: Duration = Duration::from_secs(2);

struct Attempt {
    class: Class,
    left: f64,
    asked: Time,
    sent: Time,
    first: Option<Time>,
}

struct Server {
    learned: Learned,
    running: Vec<Attempt>,
    arrivals: usize,
}

impl Server {
    fn counts(&self) -> Counts {
        let count = |class| self.running.iter().filter(|a| a.class == class).count() as u32;
        Counts {
            online: count(Class::Online),
            batch: count(Class::Batch),
            slots: SLOTS,
            ..Counts::default()
        }
    }
}

#[derive(Debug)]
pub struct Figures {
    /// Median and 95th percentile of the milliseconds to the first event of online requests.
    pub first: (u64, u64),
    /// Mean and 95th percentile to the last event.
    pub last: (u64, u64),
    /// Online requests at the busiest server by the mean.
    pub busiest: f64,
    /// Batch events per second.
    pub batch: f64,
}

/// Time between events at server `i`: one in four is fast, and neighbours slow each down by 2.5 times for
/// 600 ms in every 4 s.
fn gap(i: usize, running: usize, now: Time) -> f64 {
    let factor = if i.is_multiple_of(4) { 0.55 } else { 1.2 };
    let phase = (now.as_millis() as usize + 1237 * i) % 4000;
    let noise = if phase < 600 { 2.5 } else { 1.0 };
    // The last one slows down sharply above half of its slots.
    let above = running.saturating_sub(SLOTS as usize / 2) as f64;
    let steep = if i == SERVERS - 1 {
        1.0 + 0.5 * above
    } else {
        1.0
    };
    BASE_S * factor * noise * steep * (1.0 + SLOPE * running as f64)
}

pub struct Model {
    is_on: bool,
    servers: Vec<Server>,
    /// Counts and speeds as each host last saw them.
    seen: Vec<Vec<(Counts, Option<Time>)>>,
    speeds: Vec<Option<Speed>>,
    told: Time,
    now: Time,
    rng: ChaCha8Rng,
    waiting: Vec<(Class, Time)>,
    first: Vec<u64>,
    last: Vec<u64>,
    batch: f64,
}

impl Model {
    /// A fleet whose hosts order servers by expected times if `is_on`.
    pub fn new(is_on: bool, seed: u64) -> Self {
        let server = |_| Server {
            learned: Learned::new(SLOTS, Time::ZERO),
            running: Vec::new(),
            arrivals: 0,
        };
        Self {
            is_on,
            servers: (0..SERVERS).map(server).collect(),
            seen: vec![vec![(Counts::default(), None); SERVERS]; HOSTS],
            speeds: vec![None; SERVERS],
            told: Time::ZERO,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            waiting: vec![(Class::Batch, Time::ZERO); BACKLOG],
            first: Vec::new(),
            last: Vec::new(),
            batch: 0.0,
        }
    }

    fn candidates(&self, host: usize) -> Vec<Candidate> {
        let fresh = |i: usize| {
            let (counts, at) = self.seen[host][i];
            let is_known = at.is_some_and(|at| at + COUNTS_AGE > self.now);
            let empty = Counts {
                slots: SLOTS,
                ..Counts::default()
            };
            let counts = if is_known { counts } else { empty };
            Load { counts, is_known }
        };
        let mut known: Vec<_> = (0..SERVERS)
            .map(|i| (fresh(i), self.speeds[i].map(|s| (s, self.now - self.told))))
            .collect();
        let is_assumed = self.is_on && assume(&mut known).is_some();
        let candidate = |i: usize| {
            let Load { counts: c, .. } = fresh(i);
            let (load, speed) = &known[i];
            let speed = speed.as_ref().filter(|_| is_assumed);
            Candidate {
                name: i.to_string().into(),
                is_near: i.is_multiple_of(3) == host.is_multiple_of(3),
                load: c.online as f32 / SLOTS as f32,
                spare: SLOTS as i32 - (c.online + c.batch) as i32,
                is_limited: false,
                is_full: false,
                expected: speed.map(|(s, age)| expected(s, *age, load, true, ONLINE_EVENTS as f32)),
                availability: Availability::Available,
            }
        };
        (0..SERVERS).map(candidate).collect()
    }

    /// Asks servers in order; `true` if one took the request.
    fn place(&mut self, class: Class, asked: Time) -> bool {
        let host = self.rng.random_range(0..HOSTS);
        let all = self.candidates(host);
        for name in order(class, None, &all, fan_out(class), &mut self.rng) {
            let i: usize = name.parse().expect("a server's number");
            let server = &mut self.servers[i];
            let limit = match self.is_on {
                true => server.learned.limit(),
                false => SLOTS,
            };
            let c = server.counts();
            let has_room = match class {
                Class::Online => c.online < SLOTS,
                Class::Batch => {
                    c.online + c.batch < limit.min(server.learned.batch_limit(self.now))
                }
            };
            if has_room {
                let (events, count) = match class {
                    Class::Online => (ONLINE_EVENTS, limit),
                    Class::Batch => (BATCH_EVENTS, SLOTS),
                };
                let batch = server.running.iter().rposition(|a| a.class == Class::Batch);
                let victim = batch.filter(|_| c.online + c.batch >= count);
                server.running.push(Attempt {
                    class,
                    left: f64::from(events),
                    asked,
                    sent: self.now,
                    first: None,
                });
                server.arrivals += usize::from(class == Class::Online);
                if let Some(at) = victim {
                    self.end(i, at);
                    self.waiting.push((Class::Batch, self.now));
                }
            }
            self.seen[host][i] = (self.servers[i].counts(), Some(self.now));
            if has_room {
                return true;
            }
        }
        false
    }

    fn end(&mut self, i: usize, at: usize) {
        let running = self.servers[i].running.len();
        let gone = self.servers[i].running.remove(at);
        let gap = Duration::from_secs_f64(gap(i, running, self.now));
        if let (Some(first), true) = (gone.first, self.is_on) {
            let sample = Sample {
                first: Some(first - gone.sent),
                gap: Some(gap),
                span: gap * 8,
                age: Duration::ZERO,
                load: None,
            };
            self.servers[i].learned.learn(self.now, &sample);
        }
        if gone.class == Class::Online {
            let since = |at: Time| (at - gone.asked).as_millis() as u64;
            self.first.extend(gone.first.map(since));
            self.last.push(since(self.now));
        }
    }

    /// Plays the load for `seconds`; figures of the last two thirds.
    pub fn run(mut self, seconds: u64) -> Figures {
        let end = Time::from_secs(seconds);
        let (mut due, warm) = (0.0, Time::from_secs(seconds / 3));
        while self.now < end {
            if self.now < warm {
                (self.first, self.last, self.batch) = (Vec::new(), Vec::new(), 0.0);
                self.servers.iter_mut().for_each(|s| s.arrivals = 0);
            }
            let cycle = self.now.as_secs_f64() % (PEAK.1 + TROUGH.1);
            due += TICK.as_secs_f64() * if cycle < PEAK.1 { PEAK.0 } else { TROUGH.0 };
            while due >= 1.0 {
                due -= 1.0;
                self.waiting.push((Class::Online, self.now));
            }
            let waiting = std::mem::take(&mut self.waiting);
            for (class, asked) in waiting {
                if !self.place(class, asked) {
                    self.waiting.push((class, asked));
                }
            }
            if self.now.saturating_sub(self.told) >= TOLD_EVERY {
                self.told = self.now;
                let speeds = self.servers.iter().map(|s| s.learned.speed(self.now));
                self.speeds = speeds.collect();
            }
            self.step();
        }
        self.figures((end - warm).as_secs_f64())
    }

    fn step(&mut self) {
        let began = self.now;
        self.now += TICK;
        for i in 0..SERVERS {
            let count = self.servers[i].running.len();
            self.servers[i].learned.note_running(began, count as u32);
            let progress = TICK.as_secs_f64() / gap(i, count, began);
            for at in (0..count).rev() {
                let attempt = &mut self.servers[i].running[at];
                attempt.left -= progress;
                let events = match attempt.class {
                    Class::Online => ONLINE_EVENTS,
                    Class::Batch => BATCH_EVENTS,
                };
                if attempt.class == Class::Batch {
                    self.batch += progress;
                }
                if attempt.first.is_none() && attempt.left <= f64::from(events - 1) {
                    attempt.first = Some(self.now);
                }
                if attempt.left <= 0.0 {
                    if attempt.class == Class::Batch {
                        self.waiting.push((Class::Batch, self.now));
                    }
                    self.end(i, at);
                }
            }
        }
    }

    fn figures(mut self, seconds: f64) -> Figures {
        self.first.sort_unstable();
        self.last.sort_unstable();
        let part = |all: &[u64], percent| all[all.len() * percent / 100];
        let mean = self.last.iter().sum::<u64>() / self.last.len() as u64;
        let arrivals = self.servers.iter().map(|s| s.arrivals);
        let (most, sum) = (arrivals.clone().max().unwrap_or(0), arrivals.sum::<usize>());
        Figures {
            first: (part(&self.first, 50), part(&self.first, 95)),
            last: (mean, part(&self.last, 95)),
            busiest: most as f64 * SERVERS as f64 / sum as f64,
            batch: self.batch / seconds,
        }
    }
}
