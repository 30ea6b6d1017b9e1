//! Deterministic model of a backend server that always has batch work waiting, and of its gate.

use gooseberrytack::{
    clock::Time,
    gate::{Learned, Sample},
};
use std::{collections::VecDeque, time::Duration};

pub const SLOTS: u32 = 8;
pub const TICK: Duration = Duration::from_millis(5);
/// Time between events of one request at a server of factor 1 without load.
const BASE_S: f64 = 0.025;
const ONLINE_EVENTS: f64 = 18.0;
const BATCH_EVENTS: f64 = 122.0;
/// Times between events of which holders report the mean.
const RECENT: usize = 8;
/// Online requests per second in peaks of 2.4 s and troughs of 3.4 s.
const PEAK: (f64, f64) = (6.0, 2.4);
const TROUGH: (f64, f64) = (1.2, 3.4);

#[derive(Debug, Clone, Copy)]
pub struct Server {
    pub factor: f64,
    pub slope: f64,
    /// Whether each request above half of the slots slows it down by half.
    pub is_steep: bool,
    /// Whether a neighbour slows it down by 2.5 times for 600 ms in every 4 s.
    pub is_noisy: bool,
    /// Part of the online requests that it gets.
    pub load: f64,
    /// Whether holders report the mean of the last eight times between events, as hosts do, or the time
    /// that the last tick would give.
    pub is_mean: bool,
}

pub const EVEN: Server = Server {
    factor: 1.0,
    slope: 0.05,
    is_steep: false,
    is_noisy: false,
    load: 1.0,
    is_mean: false,
};

/// Gets fewer requests, as it is slow.
pub const STEEP: Server = Server {
    is_steep: true,
    load: 0.5,
    ..EVEN
};

impl Server {
    /// The server with holders that report either kind of times.
    pub fn each_report(self) -> [Self; 2] {
        [false, true].map(|is_mean| Self { is_mean, ..self })
    }

    fn gap(&self, running: u32, at: Time) -> f64 {
        let steep = match self.is_steep {
            true => 1.0 + 0.5 * f64::from(running.saturating_sub(SLOTS / 2)),
            false => 1.0,
        };
        let noisy = self.is_noisy && at.as_millis() % 4000 < 600;
        let noise = if noisy { 2.5 } else { 1.0 };
        BASE_S * self.factor * (1.0 + self.slope * f64::from(running)) * steep * noise
    }
}

struct Attempt {
    events: f64,
    left: f64,
    began: Time,
    first: Option<Time>,
    /// The last events, at most nine.
    events_at: VecDeque<Time>,
}

/// A server that always has batch work waiting, its gate, and the limits that were in force.
pub struct Model {
    pub server: Server,
    pub learned: Learned,
    pub now: Time,
    running: Vec<Attempt>,
    arrivals: f64,
    pub limits: Vec<u32>,
    pub done: f64,
}

impl Model {
    pub fn new(server: Server) -> Self {
        Self {
            server,
            learned: Learned::new(SLOTS, Time::ZERO),
            now: Time::ZERO,
            running: Vec::new(),
            arrivals: 0.0,
            limits: Vec::new(),
            done: 0.0,
        }
    }

    pub fn run(&mut self, seconds: f64) -> &mut Self {
        let end = self.now + Duration::from_secs_f64(seconds);
        while self.now < end {
            self.tick();
        }
        self
    }

    pub fn tick(&mut self) {
        let cycle = self.now.as_secs_f64() % (PEAK.1 + TROUGH.1);
        let rate = if cycle < PEAK.1 { PEAK.0 } else { TROUGH.0 };
        self.arrivals += self.server.load * rate * TICK.as_secs_f64();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            self.start(ONLINE_EVENTS);
        }
        while (self.running.len() as u32) < self.learned.batch_limit(self.now) {
            self.start(BATCH_EVENTS);
        }
        let count = self.running.len() as u32;
        self.learned.note_running(self.now, count);
        let gap = self.server.gap(count, self.now);
        self.now += TICK;
        let mut i = 0;
        while i < self.running.len() {
            let attempt = &mut self.running[i];
            let progress = TICK.as_secs_f64() / gap;
            let before = attempt.left.ceil();
            (attempt.left, self.done) = (attempt.left - progress, self.done + progress);
            if attempt.left.ceil() < before {
                attempt.events_at.truncate(RECENT);
                attempt.events_at.push_front(self.now);
            }
            if attempt.first.is_none() && attempt.left <= attempt.events - 1.0 {
                attempt.first = Some(self.now);
            }
            match attempt.left <= 0.0 {
                true => self.end(i, gap),
                false => i += 1,
            }
        }
        self.limits.push(self.learned.limit());
    }

    /// Starts an attempt; online work takes the slot of batch work at a full server.
    fn start(&mut self, events: f64) {
        if self.running.len() as u32 >= SLOTS {
            let batch = self.running.iter().position(|a| a.events == BATCH_EVENTS);
            let Some(batch) = batch else { return };
            let gap = self.server.gap(SLOTS, self.now);
            self.end(batch, gap);
        }
        let (left, began, first) = (events, self.now, None);
        let events_at = VecDeque::new();
        self.running.push(Attempt {
            events,
            left,
            began,
            first,
            events_at,
        });
    }

    fn end(&mut self, i: usize, gap: f64) {
        let gone = self.running.remove(i);
        let Some(first) = gone.first else { return };
        let (gap, span, age) = match self.server.is_mean {
            true => {
                let (last, gaps) = (gone.events_at[0], gone.events_at.len() - 1);
                let span = last - gone.events_at[gaps];
                let gap = (gaps > 0).then(|| span / gaps as u32);
                (gap, span, self.now - last)
            }
            false => {
                let gap = Duration::from_secs_f64(gap);
                (Some(gap), gap * RECENT as u32, Duration::ZERO)
            }
        };
        let sample = Sample {
            first: Some(first - gone.began),
            gap,
            span,
            age,
            load: None,
        };
        self.learned.learn(self.now, &sample);
    }

    /// Time between events at full slots that the gate expects, by the true one.
    pub fn accuracy(&self) -> f64 {
        let speed = self.learned.speed(self.now).expect("a known speed");
        f64::from(speed.knee) / 1e6 / self.server.gap(speed.limit, Time::from_secs(1))
    }

    /// Least and greatest limit of the last `seconds`.
    pub fn range(&self, seconds: f64) -> (u32, u32) {
        let count = (seconds / TICK.as_secs_f64()) as usize;
        let last = &self.limits[self.limits.len() - count..];
        (
            *last.iter().min().expect("a limit"),
            *last.iter().max().expect("a limit"),
        )
    }
}
