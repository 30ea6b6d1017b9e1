//! Latencies, refusals and batch tokens of this host between two reports.

use super::Meters;
use crate::{clock::Time, error::Kind};
use hdrhistogram::Histogram;
use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Longest time that the histograms resolve, in microseconds; longer ones are recorded as this.
const LONGEST_US: u64 = 600_000_000;
/// Significant decimal digits of the recorded times.
const DIGITS: u8 = 2;

/// Times and counts since the last report.
#[derive(Debug)]
pub struct Served {
    times: Mutex<Times>,
    /// Batch tokens generated.
    batch: AtomicU64,
    /// Counters and histograms since the start, which are updated too.
    meters: Arc<Meters>,
}

#[derive(Debug)]
struct Times {
    /// Microseconds from a request's arrival to its first token.
    first: Histogram<u64>,
    /// Microseconds between two tokens of a request.
    gap: Histogram<u64>,
    /// Refused requests, sorted by kind.
    refused: Vec<Refused>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Refused {
    kind: Kind,
    count: u64,
}

/// A metric of a report: its name and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Figure {
    /// A current value.
    Gauge(String, u64),
    /// An increase since the last report.
    Count(String, u64),
}

impl Default for Served {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

impl Served {
    /// Starts without records; records to `meters` too.
    pub fn new(meters: Arc<Meters>) -> Self {
        Self {
            times: Mutex::new(Times {
                first: histogram(),
                gap: histogram(),
                refused: Vec::new(),
            }),
            batch: AtomicU64::new(0),
            meters,
        }
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first(&self, time: Duration) {
        self.meters.first(time);
        self.lock().first.saturating_record(micros(time));
    }

    /// Records the time between two tokens of a request.
    pub fn gap(&self, time: Duration) {
        self.meters.gap(time);
        self.lock().gap.saturating_record(micros(time));
    }

    /// Records a piece of an answer that arrived at `now`, to a request that arrived at `began`. `last` is
    /// when the piece before it arrived, `None` for the first; it is set to `now`.
    pub fn piece(&self, began: Time, last: &mut Option<Time>, now: Time) {
        match last.replace(now) {
            None => self.first(now.saturating_sub(began)),
            Some(last) => self.gap(now.saturating_sub(last)),
        }
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, kind: Kind) {
        self.meters.refused(kind);
        let refused = &mut self.lock().refused;
        match refused.binary_search_by_key(&kind, |r| r.kind) {
            Ok(at) => refused[at].count += 1,
            Err(at) => refused.insert(at, Refused { kind, count: 1 }),
        }
    }

    /// Counts a batch token.
    pub fn batch_token(&self) {
        self.meters.batch_token();
        self.batch.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the figures since the last call and resets them; no quantiles where nothing was recorded.
    pub fn take(&self) -> Vec<Figure> {
        let mut figures = Vec::new();
        let mut times = self.lock();
        quantiles("online.first_us", &mut times.first, &mut figures);
        quantiles("online.gap_us", &mut times.gap, &mut figures);
        for Refused { kind, count } in times.refused.drain(..) {
            let name = format!("refused.{}", kind.row().code);
            figures.push(Figure::Count(name, count));
        }
        drop(times);
        let batch = self.batch.swap(0, Ordering::Relaxed);
        figures.push(Figure::Count("batch.tokens".into(), batch));
        figures
    }

    fn lock(&self) -> MutexGuard<'_, Times> {
        self.times.lock().expect("times")
    }
}

fn quantiles(name: &str, times: &mut Histogram<u64>, figures: &mut Vec<Figure>) {
    if times.is_empty() {
        return;
    }
    for percent in [50, 95, 99] {
        let value = times.value_at_quantile(f64::from(percent) / 100.0);
        figures.push(Figure::Gauge(format!("{name}.p{percent}"), value));
    }
    times.reset();
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("valid bounds")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1)
}
