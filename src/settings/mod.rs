//! The daemon's settings file: INI, checked at start, all errors reported at once.

mod reader;

pub use reader::{Problem, Reader};

use crate::{http::Bounds, limit::Tolerance, wire::Name};
use std::{net::SocketAddr, time::Duration};

/// Everything that the daemon is told at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Host name; a start number is appended, so that each start is a host of its own.
    pub name: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub control: SocketAddr,
    /// Address of a port for the balancer's question whether the host is ready, if there is one.
    pub ready: Option<SocketAddr>,
    /// SHA-256 of the operators' token in hexadecimal; none where every process of the machine may
    /// operate the fleet.
    pub token: Option<Name>,
    /// Base URL of the log.
    pub log: Name,
    /// Base URL of the host list.
    pub list: Name,
    /// Address at which a collector may fetch the metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the collector that metrics are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// Bounds of the callers' port.
    pub bounds: Bounds,
    /// Longest time that an online request may take when its caller gives no deadline.
    pub deadline: Duration,
    /// Time between not being ready any more and closing the port at a planned stop.
    pub linger: Duration,
    /// Longest time that a planned stop waits for requests under way.
    pub drain: Duration,
    /// Least time between two appends of one stream on this host.
    pub interval: Duration,
    /// Longest time that a caller waits for a log that takes nothing.
    pub wait: Duration,
    /// Most appends a second of the whole fleet to streams of batch jobs.
    pub appends: u64,
    /// Number of streams that the batch jobs are spread over; the same on all hosts.
    pub streams: usize,
    /// Hosts that follow each stream of batch jobs, where there are several.
    pub readers: usize,
    /// Time without a sign of life after which another host may take over a lease.
    pub lease: Duration,
    /// Most batch items of this host under way.
    pub parallel: usize,
    /// Longest time between two snapshots of a stream.
    pub snapshot: Duration,
    /// Time for which results of a finished job are kept.
    pub retention: Duration,
    /// Most requests of one host that wait for a slot of a backend server.
    pub waiting: usize,
    /// Most bytes of an answer of the platform or another host.
    pub reply: u64,
    /// Longest silence of a backend server before it counts as lost.
    pub quiet: Duration,
    /// Retries allowed for each hundred requests.
    pub retries: u64,
    /// Part of each workspace's rate that the hosts may spend without a loan, in hundredths.
    pub own: u32,
    /// Age of the last proof of holding a rate slot after which its holder stops lending.
    pub proof: Duration,
    /// How far requests of a window may exceed a rate; a new start begins with half of it.
    pub tolerance: Tolerance,
    /// Most models that the whole fleet begins to load in a minute.
    pub loads: u64,
    /// Longest time for an order to a backend server to take effect.
    pub load: Duration,
    /// Events kept for the time line.
    pub events: usize,
}

impl Settings {
    /// Reads settings from the text of the file `file`.
    ///
    /// # Errors
    /// Every problem in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        let mut r = Reader::new(file, text);
        let bounds = Bounds {
            conns: r.number("limits", "connections", 1, 100_000, 4096) as usize,
            head: r.number("limits", "head_bytes", 1024, 1 << 20, 16 * 1024) as usize,
            body: r.number("limits", "body_bytes", 1024, 1 << 30, 64 << 20) as usize,
            read: r.millis("limits", "read_ms", 100, 600_000, 20_000),
            idle: r.millis("limits", "idle_ms", 100, 3_600_000, 60_000),
            write: r.millis("limits", "write_ms", 100, 600_000, 10_000),
        };
        let control = r.addr("listen", "control");
        let appends = r.number("log", "appends_per_s", 1, 100_000, 200);
        let appends = appends * r.number("log", "job_appends_percent", 1, 100, 100) / 100;
        let streams = r.number("log", "job_streams", 1, 4096, 1) as usize;
        let one = r.number("log", "one_stream_appends_per_s", 0, 100_000, 0);
        let streams = streams_for(appends, streams, one);
        let token = r.digest("listen", "token_sha256", !control.ip().is_loopback());
        let settings = Self {
            name: r.name("host", "name"),
            domain: r.name("host", "domain"),
            caller: r.addr("listen", "caller"),
            peer: r.reachable("listen", "peer"),
            control,
            ready: r.addr_if_any("listen", "ready"),
            token,
            log: r.url("platform", "log"),
            list: r.url("platform", "list"),
            metrics: r.addr_if_any("metrics", "listen"),
            statsd: r.addr_if_any("metrics", "statsd"),
            bounds,
            deadline: r.millis("limits", "deadline_ms", 100, 3_600_000, 60_000),
            linger: r.millis("stop", "linger_ms", 0, 600_000, 2_000),
            drain: r.millis("stop", "drain_ms", 0, 3_600_000, 120_000),
            interval: r.millis("log", "interval_ms", 1, 60_000, 20),
            wait: r.millis("log", "wait_ms", 100, 600_000, 10_000),
            appends,
            streams,
            readers: r.number("log", "job_readers", 1, 64, 3) as usize,
            lease: r.millis("batch", "lease_ms", 500, 600_000, 6_000),
            parallel: r.number("batch", "parallel", 1, 10_000, 64) as usize,
            snapshot: r.millis("log", "snapshot_ms", 100, 86_400_000, 300_000),
            retention: r.millis("batch", "retention_ms", 1_000, 31_536_000_000, 604_800_000),
            waiting: r.number("limits", "waiting", 1, 1_000_000, 2_000) as usize,
            reply: r.number("limits", "reply_bytes", 1 << 20, 1 << 30, 64 << 20),
            quiet: r.millis("limits", "quiet_ms", 100, 600_000, 5_000),
            retries: r.number("limits", "retries_percent", 0, 100, 10),
            own: r.number("limits", "own_percent", 0, 90, 0) as u32,
            proof: r.millis("limits", "proof_ms", 1_000, 10_000, 3_000),
            tolerance: Tolerance {
                window: r.seconds("limits", "rate_window_s", 0.0, 3600.0, 0.0),
                excess: r.decimal("limits", "rate_excess", 0.0, 1.0, 0.0),
                slack: r.number("limits", "rate_slack", 0, 100_000, 0) as u32,
            },
            loads: r.number("orders", "loads_per_minute", 1, 1_000_000, 600),
            load: r.millis("orders", "load_ms", 100, 86_400_000, 600_000),
            events: r.number("timeline", "events", 100, 10_000_000, 20_000) as usize,
        };
        r.finish(settings)
    }
}

/// Streams of batch jobs for a fleet that may make `appends` a second: one that every host follows
/// where one can take them all (`one`, a second), else `most`.
pub fn streams_for(appends: u64, most: usize, one: u64) -> usize {
    match appends <= one {
        true => 1,
        false => most,
    }
}
