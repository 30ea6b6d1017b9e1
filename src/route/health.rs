//! Health of one backend server as seen by this host: outlier ejection and probes.

use crate::clock::Time;
use std::time::Duration;

/// Consecutive failures after which a server is ejected.
pub const EJECTION_FAILURES: u32 = 3;
/// Duration of a server's first ejection; it doubles with each further one.
pub const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Longest duration of an ejection, before the random spread.
pub const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome is taken for lost.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Samples that a moving average needs before it is used.
const SAMPLES_MIN: u32 = 8;
/// Multiple of the median over all servers above which a server counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Seconds to the first token below which no server counts as slow.
const SLOW_MIN_S: f64 = 0.25;

/// Whether a server may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// The server may get any work.
    Available,
    /// The server may get one request, to find out whether it has recovered.
    Probe,
    /// The server may get no work.
    Ejected,
}

/// Outcome of an attempt with regard to the server's health.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The server answered; seconds from the start of the attempt to the first token.
    Success(f64),
    /// The attempt failed; `EJECTION_FAILURES` in a row eject the server.
    Failure,
    /// The server cannot be reached, which ejects it at once.
    Unreachable,
    /// The attempt ended for reasons that say nothing about the server.
    Inconclusive,
}

/// Health of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Health {
    failures: u32,
    backoff: Duration,
    state: State,
    /// Moving average of the time to first token in seconds.
    ttft: f64,
    samples: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Available,
    Ejected { until: Time },
    Probing { until: Time },
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            backoff: EJECTION_MIN,
            state: State::Available,
            ttft: 0.0,
            samples: 0,
        }
    }
}

impl Health {
    /// Whether the server may get work now.
    pub fn availability(&self, now: Time) -> Availability {
        match self.state {
            State::Available => Availability::Available,
            State::Ejected { until } | State::Probing { until } if now >= until => {
                Availability::Probe
            }
            _ => Availability::Ejected,
        }
    }

    /// Marks the due probe as sent, so that there is only one at a time.
    pub fn start_probe(&mut self, now: Time) {
        if self.availability(now) == Availability::Probe {
            self.state = State::Probing {
                until: now + PROBE_TIMEOUT,
            };
        }
    }

    /// Records an attempt. `spread`, from zero to one, lengthens an ejection, so that hosts do not
    /// probe the server at the same time. Returns whether the server was ejected or readmitted.
    pub fn record(&mut self, now: Time, outcome: Outcome, spread: f64) -> bool {
        match outcome {
            Outcome::Success(ttft) => self.record_success(ttft),
            Outcome::Failure => self.record_failure(now, 1, spread),
            Outcome::Unreachable => self.record_failure(now, EJECTION_FAILURES, spread),
            Outcome::Inconclusive => {
                if let State::Probing { .. } = self.state {
                    self.state = State::Ejected { until: now };
                }
                false
            }
        }
    }

    /// Mean time to first token in seconds, once there are enough samples.
    pub fn ttft(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.ttft)
    }

    /// Whether the server is slow compared to `median`, a time to first token in seconds.
    pub fn is_slow(&self, median: f64) -> bool {
        self.ttft()
            .is_some_and(|t| t > SLOW_MIN_S && t > median * SLOW_FACTOR)
    }

    /// Ejects a slow server and resets its moving average.
    pub fn eject_slow(&mut self, now: Time, spread: f64) {
        self.samples = 0;
        self.eject(now, spread);
    }

    /// Takes the server back after failures that were not its own.
    pub fn readmit(&mut self) {
        self.failures = 0;
        self.backoff = EJECTION_MIN;
        self.state = State::Available;
    }

    fn record_success(&mut self, ttft: f64) -> bool {
        let before = self.state;
        self.failures = 0;
        self.backoff = EJECTION_MIN;
        self.state = State::Available;
        self.samples += 1;
        self.ttft = if self.samples == 1 {
            ttft
        } else {
            self.ttft + SAMPLE_WEIGHT * (ttft - self.ttft)
        };
        before != State::Available
    }

    fn record_failure(&mut self, now: Time, weight: u32, spread: f64) -> bool {
        self.failures += weight;
        let was_available = self.state == State::Available;
        if was_available && self.failures < EJECTION_FAILURES {
            return false;
        }
        if let State::Ejected { .. } = self.state {
            // The attempt began before the server was ejected.
            return false;
        }
        self.eject(now, spread);
        was_available
    }

    fn eject(&mut self, now: Time, spread: f64) {
        self.state = State::Ejected {
            until: now + self.backoff.mul_f64(1.0 + spread.clamp(0.0, 1.0)),
        };
        self.backoff = (self.backoff * 2).min(EJECTION_MAX);
    }
}
