//! Health of one backend server as this host sees it.

use crate::clock::Time;
use std::time::Duration;

/// Failures in a row after which a server is set aside.
pub const FAILS: u32 = 3;
/// First time for which a server is set aside.
pub const ASIDE_MIN: Duration = Duration::from_millis(500);
/// Longest time for which a server is set aside.
pub const ASIDE_MAX: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome is forgotten.
const PROBE_LIMIT: Duration = Duration::from_secs(10);
/// Weight of a new sample in the moving averages.
const GAIN: f64 = 0.2;
/// Samples before an average counts.
const SAMPLES: u32 = 8;
/// Times the others' median at which a server counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Seconds below which no server counts as slow.
const SLOW_FLOOR: f64 = 0.25;

/// Whether a server may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Any work.
    Available,
    /// One request, to find out whether the server has recovered.
    Probe,
    /// None.
    Ejected,
}

/// What became of an attempt, as far as the server's health goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The server answered; seconds to the first token.
    Good(f64),
    /// The attempt failed in a way that may be chance.
    Bad,
    /// The server cannot be reached.
    Gone,
    /// The attempt ended for reasons of its own.
    None,
}

/// Health of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    fails: u32,
    backoff: Duration,
    state: State,
    first: f64,
    samples: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Open,
    Aside { until: Time },
    Probing { until: Time },
}

impl Default for Health {
    fn default() -> Self {
        Self {
            fails: 0,
            backoff: ASIDE_MIN,
            state: State::Open,
            first: 0.0,
            samples: 0,
        }
    }
}

impl Health {
    /// Whether the server may get work now.
    pub fn availability(&self, now: Time) -> Availability {
        match self.state {
            State::Open => Availability::Available,
            State::Aside { until } | State::Probing { until } if now >= until => {
                Availability::Probe
            }
            _ => Availability::Ejected,
        }
    }

    /// Notes that a probe goes out, so that no other does.
    pub fn probe(&mut self, now: Time) {
        if self.availability(now) == Availability::Probe {
            self.state = State::Probing {
                until: now + PROBE_LIMIT,
            };
        }
    }

    /// Takes account of an attempt. `spread` from zero to one varies the time set aside, so that
    /// hosts do not come back together. Returns whether the server was set aside or taken back.
    pub fn note(&mut self, now: Time, outcome: Outcome, spread: f64) -> bool {
        match outcome {
            Outcome::Good(first) => self.good(first),
            Outcome::Bad => self.bad(now, 1, spread),
            Outcome::Gone => self.bad(now, FAILS, spread),
            Outcome::None => {
                if let State::Probing { .. } = self.state {
                    self.state = State::Aside { until: now };
                }
                false
            }
        }
    }

    /// Mean seconds to the first token, once there were enough samples.
    pub fn first(&self) -> Option<f64> {
        (self.samples >= SAMPLES).then_some(self.first)
    }

    /// Whether the server is slow against the median of its like.
    pub fn is_slow(&self, median: f64) -> bool {
        self.first()
            .is_some_and(|f| f > SLOW_FLOOR && f > median * SLOW_FACTOR)
    }

    /// Sets a slow server aside and starts its average anew.
    pub fn set_slow(&mut self, now: Time, spread: f64) {
        self.samples = 0;
        self.set_aside(now, spread);
    }

    fn good(&mut self, first: f64) -> bool {
        let was = self.state;
        self.fails = 0;
        self.backoff = ASIDE_MIN;
        self.state = State::Open;
        self.samples += 1;
        self.first = if self.samples == 1 {
            first
        } else {
            self.first + GAIN * (first - self.first)
        };
        was != State::Open
    }

    fn bad(&mut self, now: Time, weight: u32, spread: f64) -> bool {
        self.fails += weight;
        let open = self.state == State::Open;
        if open && self.fails < FAILS {
            return false;
        }
        if let State::Aside { .. } = self.state {
            // An attempt that began before the server was set aside.
            return false;
        }
        self.set_aside(now, spread);
        open
    }

    fn set_aside(&mut self, now: Time, spread: f64) {
        self.state = State::Aside {
            until: now + self.backoff.mul_f64(1.0 + spread.clamp(0.0, 1.0)),
        };
        self.backoff = (self.backoff * 2).min(ASIDE_MAX);
    }
}
