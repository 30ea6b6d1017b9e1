//! Time between events of a server at each level of concurrency, estimated from observations of attempts.
//!
//! An observation covers a span in which the concurrency may change, so that it tells of several levels,
//! of each by its share of the events. A Kalman filter divides a deviation between the speed, which
//! all levels have in common and which changes within a second, and the shape, which hardly changes.

use std::time::Duration;

/// Most levels of concurrency that are told apart; a server with more slots has several in one level.
const LEVELS_MAX: u32 = 64;
/// Variance, in squared natural logarithms, of the speed and of the shape from the first to the last level
/// while nothing is known of them.
const UNKNOWN: (f64, f64) = (12.0, 0.24);
/// Time in which the variance returns to that while nothing is observed. At three attempts a second, about those of
/// a server in use, five observations take over nine tenths of a change of speed.
const UNKNOWN_AFTER: Duration = Duration::from_secs(300);
/// Variance of one observation. With less, noise is taken for shape at uniform servers.
const NOISE: f64 = 0.06;
/// Largest deviation of an observation, the logarithm of three: a silence moves nothing by more.
const DEVIATION_MAX: f64 = 1.1;
/// Time in which the excess of levels above the concurrency in use fades, so that they are tried again.
const EXCESS_FADES: Duration = Duration::from_secs(600);

/// Estimates of one server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Levels {
    /// Logarithm of the seconds between events at each level; never falls with it.
    logs: Vec<f64>,
    /// Covariance of the logarithms, row by row; empty before the first observation.
    covariance: Vec<f64>,
}

/// What an observation covers.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Span {
    /// Share of the events at each level; their sum is one.
    shares: Vec<f64>,
    /// Logarithm of the mean number of seconds between events that is expected.
    pub(super) expected: f64,
}

impl Levels {
    /// Knows nothing of a server with `slots` slots.
    pub(super) fn new(slots: u32) -> Self {
        Self {
            logs: vec![0.0; slots.clamp(1, LEVELS_MAX) as usize],
            covariance: Vec::new(),
        }
    }

    /// Number of levels, at least one.
    pub(super) fn count(&self) -> usize {
        self.logs.len()
    }

    /// Logarithm of the seconds between events at the level `at`, which is below the count.
    pub(super) fn log(&self, at: usize) -> f64 {
        self.logs[at]
    }

    /// Sets all levels to the first observation.
    pub(super) fn fill(&mut self, log: f64) {
        self.logs.fill(log);
        let count = self.count();
        self.covariance = (0..count * count).map(|i| self.unknown(i)).collect();
    }

    /// Covariance at the index `i` while nothing is known: the shape is a random walk over the levels.
    fn unknown(&self, i: usize) -> f64 {
        let count = self.count();
        let common = (i / count).min(i % count) as f64;
        UNKNOWN.0 + UNKNOWN.1 * common / count as f64
    }

    /// What is expected of a span with these levels and seconds at each, above zero; there is at least one.
    pub(super) fn span(&self, parts: impl Iterator<Item = (usize, f64)>) -> Span {
        let mut shares = vec![0.0; self.count()];
        let mut total = 0.0;
        for (at, seconds) in parts {
            shares[at] += seconds / self.logs[at].exp();
            total += seconds;
        }
        let events: f64 = shares.iter().sum();
        shares.iter_mut().for_each(|share| *share /= events);
        let expected = (total / events).ln();
        Span { shares, expected }
    }

    /// Adjusts the levels by an observation that deviates from what was expected of `span`, at the mean level
    /// `at`, `idle` after the last one.
    pub(super) fn adjust(&mut self, span: &Span, at: usize, deviation: f64, idle: Duration) {
        let (count, idle_s) = (self.count(), idle.as_secs_f64());
        let fade = (idle_s / EXCESS_FADES.as_secs_f64()).min(1.0);
        let base = self.logs[at];
        for log in &mut self.logs[at + 1..] {
            *log -= fade * (*log - base);
        }
        let forgotten = (idle_s / UNKNOWN_AFTER.as_secs_f64()).min(1.0);
        for i in 0..self.covariance.len() {
            self.covariance[i] += forgotten * (self.unknown(i) - self.covariance[i]);
        }
        let shares = &span.shares;
        let product = |row: &[f64]| row.iter().zip(shares).map(|(a, b)| a * b).sum::<f64>();
        let rows = self.covariance.chunks_exact(count);
        let with_span: Vec<f64> = rows.map(product).collect();
        let variance = product(&with_span) + NOISE;
        let deviation = deviation.clamp(-DEVIATION_MAX, DEVIATION_MAX);
        for (i, covariance) in with_span.iter().enumerate() {
            let gain = covariance / variance;
            self.logs[i] += gain * deviation;
            let row = &mut self.covariance[i * count..][..count];
            for (entry, other) in row.iter_mut().zip(&with_span) {
                *entry -= gain * other;
            }
        }
        // A server is not slower with fewer requests.
        for i in at + 1..count {
            self.logs[i] = self.logs[i].max(self.logs[i - 1]);
        }
        for i in (0..at).rev() {
            self.logs[i] = self.logs[i].min(self.logs[i + 1]);
        }
    }

    /// Requests at the level `at` that end in a unit of time, by Little's law, relative to the first level.
    pub(super) fn throughput(&self, at: usize) -> f64 {
        (at + 1) as f64 / (self.logs[at] - self.logs[0]).exp()
    }
}
