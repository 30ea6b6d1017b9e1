//! The daemon's settings file: INI, validated at start, with all problems reported at once.

mod reader;

pub use reader::{Problem, Reader};

use crate::{
    gate::Reserve, http::Bounds, limit::Tolerance, pass::RESET_WAIT, region::Zones, wire::Name,
};
use std::{net::SocketAddr, time::Duration};

/// Settings that the daemon reads at its start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Host name; a start number is appended, so that each start is a separate host.
    pub name: Name,
    /// Failure domain of this host.
    pub domain: Name,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for operators.
    pub control: SocketAddr,
    /// Address for the load balancer's readiness checks, if any.
    pub ready: Option<SocketAddr>,
    /// SHA-256 of the operators' token in hexadecimal; `None` if every local process may operate the
    /// fleet.
    pub token: Option<Name>,
    /// Base URL of the log.
    pub log: Name,
    /// Base URL of the host list.
    pub list: Name,
    /// Address at which a collector can scrape the metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address of the collector that metrics are sent to, if any.
    pub statsd: Option<SocketAddr>,
    /// Bounds of the callers' port.
    pub bounds: Bounds,
    /// Bound for bytes that wait for slow readers; `None` for none.
    pub unread: Option<Unread>,
    /// Time for which a reset of a server is waited for at the end of an answer without a length. Not in the file.
    pub reset_wait: Duration,
    /// Names of what the platform has agreed with this deployment.
    pub contracts: Vec<Name>,
    /// Time limit of an online request whose caller gives no deadline.
    pub deadline: Duration,
    /// Delay at a planned stop between reporting not ready and closing the port.
    pub linger: Duration,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain: Duration,
    /// Minimum interval between two appends of one stream on this host.
    pub interval: Duration,
    /// Maximum time that a caller waits for a log that accepts no appends.
    pub wait: Duration,
    /// Maximum appends per second of the whole fleet to the streams of batch jobs.
    pub appends: u64,
    /// Number of streams that the batch jobs are spread over; the same on all hosts.
    pub streams: usize,
    /// Hosts that follow each stream of batch jobs, if there are several streams.
    pub readers: usize,
    /// Time since a host was last seen alive after which another host may take over its lease.
    pub lease: Duration,
    /// Maximum batch items of this host in flight.
    pub parallel: usize,
    /// Maximum interval between two snapshots of a stream.
    pub snapshot: Duration,
    /// Time for which the results of a finished job are kept.
    pub retention: Duration,
    /// Maximum requests of one host that wait for a slot of a backend server.
    pub waiting: usize,
    /// Maximum size in bytes of an answer of the platform or another host.
    pub reply: u64,
    /// Maximum size in bytes of all such answers that are being read.
    pub replies: usize,
    /// Silence of a backend server after which it counts as lost.
    pub quiet: Duration,
    /// Retries allowed per hundred requests.
    pub retries: u64,
    /// Percentage of each workspace's rate that the hosts may spend without a loan.
    pub own: u32,
    /// Whether used rate tokens are reported to their lender right away.
    pub report_used: bool,
    /// Age of the last proof of holding a rate slot at which its holder stops lending.
    pub proof: Duration,
    /// How far the requests of a window may exceed a rate; a new start begins with half of it.
    pub tolerance: Tolerance,
    /// Slots that gates keep free of batch work for online requests.
    pub reserve: Reserve,
    /// Time for which a request that a server refused because it still ran an earlier attempt keeps its slot
    /// and is sent there again.
    pub refused: Duration,
    /// Maximum model loads that the whole fleet begins per minute.
    pub loads: u64,
    /// Maximum time for an order to a backend server to take effect.
    pub load: Duration,
    /// Whether speeds and concurrency limits of backend servers are learned and used.
    pub learn: bool,
    /// Regions of failure domains; the section `zones` has a line for each.
    pub zones: Zones,
    /// Number of events kept for the timeline.
    pub events: usize,
}

/// Bound for the bytes that wait for slow readers, callers and servers, on all connections of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unread {
    /// Most bytes that wait.
    pub bytes: usize,
    /// Longest time in which a reader takes nothing.
    pub silence: Duration,
}

impl Settings {
    /// Parses the settings from `text`, the content of `file`.
    ///
    /// # Errors
    /// Every problem in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        let mut r = Reader::new(file, text);
        let body = r.number("limits", "body_bytes", 1024, 1 << 30, 64 << 20) as usize;
        let bounds = Bounds {
            conns: r.number("limits", "connections", 1, 100_000, 4096) as usize,
            head: r.number("limits", "head_bytes", 1024, 1 << 20, 16 * 1024) as usize,
            body,
            bodies: r.number("limits", "bodies_bytes", 1024, 1 << 36, 256 << 20) as usize,
            read: r.millis("limits", "read_ms", 100, 600_000, 20_000),
            idle: r.millis("limits", "idle_ms", 100, 3_600_000, 60_000),
            write: r.millis("limits", "write_ms", 100, 600_000, 10_000),
        };
        let unread = Unread {
            bytes: r.number("limits", "unread_bytes", 0, 1 << 36, 0) as usize,
            silence: r.millis("limits", "unread_ms", 100, 600_000, 4_000),
        };
        let control = r.addr("listen", "control");
        let appends = r.number("log", "appends_per_s", 1, 100_000, 200);
        let appends = appends * r.number("log", "job_appends_percent", 1, 100, 100) / 100;
        let streams = r.number("log", "job_streams", 1, 4096, 1) as usize;
        let stream_max = r.number("log", "one_stream_appends_per_s", 0, 100_000, 0);
        let streams = streams_for(appends, streams, stream_max);
        let token = r.digest("listen", "token_sha256", !control.ip().is_loopback());
        let settings = Self {
            name: r.name("host", "name"),
            domain: r.name("host", "domain"),
            caller: r.addr("listen", "caller"),
            peer: r.reachable_addr("listen", "peer"),
            control,
            ready: r.optional_addr("listen", "ready"),
            token,
            log: r.url("platform", "log"),
            list: r.url("platform", "list"),
            metrics: r.optional_addr("metrics", "listen"),
            statsd: r.optional_addr("metrics", "statsd"),
            bounds,
            unread: (unread.bytes > 0).then_some(unread),
            reset_wait: RESET_WAIT,
            contracts: r.names("platform", "contracts"),
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
            replies: r.number("limits", "replies_bytes", 1 << 20, 1 << 36, 256 << 20) as usize,
            quiet: r.millis("limits", "quiet_ms", 100, 600_000, 5_000),
            retries: r.number("limits", "retries_percent", 0, 100, 10),
            own: r.number("limits", "own_percent", 0, 90, 0) as u32,
            report_used: r.number("limits", "report_used", 0, 1, 0) == 1,
            proof: r.millis("limits", "proof_ms", 1_000, 10_000, 3_000),
            tolerance: Tolerance {
                window: r.seconds("limits", "rate_window_s", 0.0, 3600.0, 0.0),
                excess: r.decimal("limits", "rate_excess", 0.0, 1.0, 0.0),
                slack: r.number("limits", "rate_slack", 0, 100_000, 0) as u32,
            },
            reserve: Reserve {
                percent: r.number("gate", "headroom_percent", 0, 100, 0) as u32,
                backlog: r.millis("gate", "backlog_ms", 100, 3_600_000, 6_000),
            },
            refused: r.millis("gate", "refused_ms", 0, 1_000, 0),
            loads: r.number("orders", "loads_per_minute", 1, 1_000_000, 600),
            load: r.millis("orders", "load_ms", 100, 86_400_000, 600_000),
            learn: r.number("gate", "learn", 0, 1, 0) == 1,
            zones: Zones::new(r.table("zones", "a failure domain = its region, not empty")),
            events: r.number("timeline", "events", 100, 10_000_000, 20_000) as usize,
        };
        r.finish(settings)
    }
}

/// Streams of batch jobs for a fleet that may make `appends` per second: one, which every host
/// follows, if a single stream can take them all (`stream_max` per second), else `max`.
pub fn streams_for(appends: u64, max: usize, stream_max: u64) -> usize {
    match appends <= stream_max {
        true => 1,
        false => max,
    }
}
