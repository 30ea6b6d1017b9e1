//! Metrics that a collector scrapes: counters and histograms since the start, and gauges.

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
const FIRST_BUCKET_S: f64 = 0.001;
/// Number of buckets, each twice as wide as the one before; the last bound is above the longest
/// deadline of a caller, 32 s.
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
struct CauseLabel {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SegmentLabel {
    segment: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabel {
    server: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PathLabel {
    path: &'static str,
}

/// Counters, histograms and gauges of one host.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    events: Family<EventLabel, Counter>,
    refused: Family<CodeLabel, Counter>,
    calls: Family<PathLabel, Counter>,
    quarantine: Family<SegmentLabel, Gauge>,
    server_limit: Family<ServerLabel, Gauge>,
    server_step: Family<ServerLabel, Gauge>,
    batch: Counter,
    unrelayed: Counter,
    throttled: Counter,
    out_of_regions: Counter,
    starts_suspected: Counter,
    tunnels_opened: Counter,
    tunnels_missed: Counter,
    tunnels_served: Counter,
    server_refused: Family<CauseLabel, Counter>,
    first: Histogram,
    gap: Histogram,
    slot: Histogram,
    append: Histogram,
    gauges: Gauges,
}

/// Current values, set before each scrape or report.
#[derive(Debug, Clone, Default)]
pub struct Gauges {
    /// Open connections on all ports.
    pub connections: Gauge,
    /// Requests in progress on all ports.
    pub requests: Gauge,
    /// 1 if the load balancer may send callers here, else 0.
    pub ready: Gauge,
    /// 1 if the host is cut off from the backend servers, else 0.
    pub servers_cut: Gauge,
    /// Streams of jobs that the host follows.
    pub streams: Gauge,
    /// Milliseconds since the configuration's stream was read to its head.
    pub config_age: Gauge,
    /// Greatest number of milliseconds since a followed stream of jobs was read to its head.
    pub jobs_age: Gauge,
    /// Milliseconds since the stream of rate shares was read to its head.
    pub homes_age: Gauge,
    /// Slots that the gates of the host keep free of batch work, those that online requests hold included.
    pub headroom: Gauge,
    /// Bytes that wait for slow readers.
    pub unread: Gauge,
    /// Connections closed since the start because their readers were slow.
    pub slow: Gauge,
    /// Log lines dropped since the start because they could not be written fast enough.
    pub dropped: Gauge,
}

impl Default for Meters {
    fn default() -> Self {
        let meters = Self {
            registry: Registry::with_prefix("gooseberrytack"),
            events: Family::default(),
            refused: Family::default(),
            calls: Family::default(),
            quarantine: Family::default(),
            server_limit: Family::default(),
            server_step: Family::default(),
            batch: Counter::default(),
            unrelayed: Counter::default(),
            throttled: Counter::default(),
            out_of_regions: Counter::default(),
            starts_suspected: Counter::default(),
            tunnels_opened: Counter::default(),
            tunnels_missed: Counter::default(),
            tunnels_served: Counter::default(),
            server_refused: Family::default(),
            first: histogram(),
            gap: histogram(),
            slot: histogram(),
            append: histogram(),
            gauges: Gauges::default(),
        };
        meters.register_all()
    }
}

impl Meters {
    fn register_all(mut self) -> Self {
        let to = &mut self.registry;
        to.register("events", "Events of the timeline", self.events.clone());
        to.register(
            "refused",
            "Requests refused or failed",
            self.refused.clone(),
        );
        to.register("calls", "Calls sent to other hosts", self.calls.clone());
        let help = "Time since each prompt segment was put in quarantine";
        to.register_with_unit("quarantine", help, Unit::Seconds, self.quarantine.clone());
        let help = "Learned concurrency limit of each server whose gate is here";
        to.register("server_limit", help, self.server_limit.clone());
        let help = "Learned time between events of each server whose gate is here, at its limit";
        to.register("server_step_us", help, self.server_step.clone());
        to.register("batch_tokens", "Batch tokens generated", self.batch.clone());
        let help = "Calls to a lost log that no peer could relay";
        to.register("log_helpless", help, self.unrelayed.clone());
        let help = "Requests and batch items that the limit of a server held back";
        to.register("throttled", help, self.throttled.clone());
        let help =
            "Requests and tries of batch items without a server in the regions that they may reach";
        to.register("out_of_regions", help, self.out_of_regions.clone());
        let help = "Changes of servers to suspected of being cold, after a refused connection or a truncated response";
        to.register("starts_suspected", help, self.starts_suspected.clone());
        for (name, help, metric) in [
            (
                "tunnels_opened",
                "Connections to servers through peers",
                &self.tunnels_opened,
            ),
            (
                "tunnels_missed",
                "Connections to servers that no peer could make",
                &self.tunnels_missed,
            ),
            (
                "tunnels_served",
                "Connections to servers for peers",
                &self.tunnels_served,
            ),
        ] {
            to.register(name, help, metric.clone());
        }
        let help = "Requests that a server refused without running them";
        to.register("server_refused", help, self.server_refused.clone());
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
            (
                "servers_cut",
                "Whether the host is cut off from the servers",
                &gauges.servers_cut,
            ),
            ("job_streams", "Streams of jobs followed", &gauges.streams),
            (
                "config_age_ms",
                "Age of the last reading",
                &gauges.config_age,
            ),
            ("jobs_age_ms", "Age of the last reading", &gauges.jobs_age),
            ("homes_age_ms", "Age of the last reading", &gauges.homes_age),
            ("headroom_slots", "Slots kept for online", &gauges.headroom),
            (
                "unread_bytes",
                "Bytes waiting for slow readers",
                &gauges.unread,
            ),
            ("slow_readers_closed", "Connections closed", &gauges.slow),
            ("log_lines_dropped", "Log lines dropped", &gauges.dropped),
        ] {
            to.register(name, help, metric.clone());
        }
        self
    }

    /// Counts an event of the kind `what`, the name of a `Happening`.
    pub fn event(&self, what: String) {
        self.events.get_or_create(&EventLabel { event: what }).inc();
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, kind: Kind) {
        let code = kind.row().code;
        self.refused.get_or_create(&CodeLabel { code }).inc();
    }

    /// Counts a call to another host, by its path on the peer port.
    pub fn call(&self, path: &'static str) {
        self.calls.get_or_create(&PathLabel { path }).inc();
    }

    /// Sets the prompt segments in quarantine, with the time since each was.
    pub fn quarantine<'a>(&self, segments: impl Iterator<Item = (&'a str, Duration)>) {
        self.quarantine.clear();
        for (segment, age) in segments {
            let segment = segment.to_string();
            let gauge = self.quarantine.get_or_create(&SegmentLabel { segment });
            gauge.set(age.as_secs() as i64);
        }
    }

    /// Sets the learned concurrency limit of servers, and the microseconds between events there.
    pub fn servers<'a>(&self, speeds: impl Iterator<Item = (&'a str, u32, u32)>) {
        self.server_limit.clear();
        self.server_step.clear();
        for (server, limit, step) in speeds {
            let label = ServerLabel {
                server: server.to_string(),
            };
            self.server_limit.get_or_create(&label).set(limit.into());
            self.server_step.get_or_create(&label).set(step.into());
        }
    }

    /// Counts a batch token.
    pub fn batch_token(&self) {
        self.batch.inc();
    }

    /// Counts a call to a lost log that no peer could relay.
    pub fn relay_failed(&self) {
        self.unrelayed.inc();
    }

    /// Counts a request that a server refused without running it, by `cause`.
    pub fn server_refused(&self, cause: &'static str) {
        self.server_refused
            .get_or_create(&CauseLabel { cause })
            .inc();
    }

    /// Number of requests that servers refused without running them for `cause`, since the start.
    pub fn server_refusals(&self, cause: &'static str) -> u64 {
        self.server_refused
            .get_or_create(&CauseLabel { cause })
            .get()
    }

    /// Counts a request or a batch item that the limit of a server held back.
    pub fn throttled(&self) {
        self.throttled.inc();
    }

    /// Counts a request or a try of a batch item without a server in the regions that it may reach.
    pub fn out_of_regions(&self) {
        self.out_of_regions.inc();
    }

    /// Counts a refused connection or a truncated response after which a server becomes suspected of being cold.
    pub fn start_suspected(&self) {
        self.starts_suspected.inc();
    }

    /// Counts a connection to a server through a peer.
    pub fn tunnel_opened(&self) {
        self.tunnels_opened.inc();
    }

    /// Counts a connection to a server that no peer could make.
    pub fn tunnel_missed(&self) {
        self.tunnels_missed.inc();
    }

    /// Counts a connection to a server for a peer.
    pub fn tunnel_served(&self) {
        self.tunnels_served.inc();
    }

    /// Number of connections to servers for peers, since the start.
    pub fn tunnels_served(&self) -> u64 {
        self.tunnels_served.get()
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

    /// Records how long the log took to answer an append.
    pub fn append(&self, time: Duration) {
        self.append.observe(time.as_secs_f64());
    }

    /// The gauges, to be set before [`Meters::text`].
    pub fn gauges(&self) -> &Gauges {
        &self.gauges
    }

    /// All metrics as text in the OpenMetrics format.
    ///
    /// # Errors
    /// A value cannot be formatted.
    pub fn text(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS))
}
