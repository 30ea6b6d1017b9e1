//! Counters and histograms since the start, as text for a collector that fetches them.

use crate::error::Kind;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};
use std::{fmt, time::Duration};

/// Upper bound of the first bucket in seconds: the shortest time of interest, one message in a zone.
const FIRST_BUCKET: f64 = 0.001;
/// Buckets, each twice as wide as the one before; the last one ends above the longest deadline of a
/// caller, 32 s.
const BUCKETS: u16 = 16;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabel {
    event: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PathLabel {
    path: &'static str,
}

/// Counters and histograms of one host.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    events: Family<EventLabel, Counter>,
    refused: Family<CodeLabel, Counter>,
    calls: Family<PathLabel, Counter>,
    batch: Counter,
    unrelayed: Counter,
    first: Histogram,
    gap: Histogram,
    slot: Histogram,
    append: Histogram,
    gauges: Gauges,
}

/// Present values, brought up to date before they are told.
#[derive(Debug, Clone, Default)]
pub struct Gauges {
    /// Open connections on all ports.
    pub connections: Gauge,
    /// Requests under way on all ports.
    pub requests: Gauge,
    /// 1 if the balancer may send callers, else 0.
    pub ready: Gauge,
    /// Streams of jobs that the host follows.
    pub streams: Gauge,
    /// Milliseconds since the configuration was read to its head.
    pub config_age: Gauge,
    /// Milliseconds since the oldest followed stream of jobs was read to its head.
    pub jobs_age: Gauge,
    /// Milliseconds since the holders of rate slots were read to their head.
    pub homes_age: Gauge,
    /// Log lines that were dropped because they could not be written fast enough, since the start.
    pub dropped: Gauge,
}

impl Default for Meters {
    fn default() -> Self {
        let meters = Self {
            registry: Registry::with_prefix("gooseberrytack"),
            events: Family::default(),
            refused: Family::default(),
            calls: Family::default(),
            batch: Counter::default(),
            unrelayed: Counter::default(),
            first: histogram(),
            gap: histogram(),
            slot: histogram(),
            append: histogram(),
            gauges: Gauges::default(),
        };
        meters.registered()
    }
}

impl Meters {
    fn registered(mut self) -> Self {
        let to = &mut self.registry;
        to.register("events", "Events of the time line", self.events.clone());
        to.register(
            "refused",
            "Requests refused or failed",
            self.refused.clone(),
        );
        to.register("calls", "Calls sent to other hosts", self.calls.clone());
        to.register("batch_tokens", "Batch tokens generated", self.batch.clone());
        let help = "Calls to a lost log for which no peer could help";
        to.register("log_helpless", help, self.unrelayed.clone());
        for (name, help, metric) in [
            ("first_piece", "Arrival to the first piece", &self.first),
            (
                "piece_gap",
                "Time between two pieces of an answer",
                &self.gap,
            ),
            ("slot_wait", "Wait for a slot of a server", &self.slot),
            ("log_append", "Appends that the log answered", &self.append),
        ] {
            to.register_with_unit(name, help, Unit::Seconds, metric.clone());
        }
        let gauges = &self.gauges;
        for (name, help, metric) in [
            ("connections", "Open connections", &gauges.connections),
            ("requests", "Requests under way", &gauges.requests),
            ("ready", "Whether the host is ready", &gauges.ready),
            ("job_streams", "Streams of jobs followed", &gauges.streams),
            (
                "config_age_ms",
                "Age of the last reading",
                &gauges.config_age,
            ),
            ("jobs_age_ms", "Age of the last reading", &gauges.jobs_age),
            ("homes_age_ms", "Age of the last reading", &gauges.homes_age),
            ("log_lines_dropped", "Log lines dropped", &gauges.dropped),
        ] {
            to.register(name, help, metric.clone());
        }
        self
    }

    /// Counts an event of the kind `what`.
    pub fn event(&self, what: String) {
        self.events.get_or_create(&EventLabel { event: what }).inc();
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, kind: Kind) {
        let code = kind.row().code;
        self.refused.get_or_create(&CodeLabel { code }).inc();
    }

    /// Counts a call sent to another host.
    pub fn call(&self, path: &'static str) {
        self.calls.get_or_create(&PathLabel { path }).inc();
    }

    /// Counts a batch token.
    pub fn batch_token(&self) {
        self.batch.inc();
    }

    /// Counts a call to a lost log that no peer could relay.
    pub fn relay_failed(&self) {
        self.unrelayed.inc();
    }

    /// Number of calls to a lost log that no peer could relay, since the start.
    pub fn relay_failures(&self) -> u64 {
        self.unrelayed.get()
    }

    /// Records the time from a request's arrival to its first piece.
    pub fn first(&self, time: Duration) {
        self.first.observe(time.as_secs_f64());
    }

    /// Records the time between two pieces of an answer.
    pub fn gap(&self, time: Duration) {
        self.gap.observe(time.as_secs_f64());
    }

    /// Records how long a request waited for the slot that it got.
    pub fn slot(&self, time: Duration) {
        self.slot.observe(time.as_secs_f64());
    }

    /// Records how long the log took for an append.
    pub fn append(&self, time: Duration) {
        self.append.observe(time.as_secs_f64());
    }

    /// Present values, to be set before they are told.
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// All of them as text (OpenMetrics).
    ///
    /// # Errors
    /// A value cannot be written.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}
