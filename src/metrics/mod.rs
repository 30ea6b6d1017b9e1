//! Periodic gauges, and an event when the log fails or works again. Events are counted where they
//! are noted, see `timeline`.

mod meters;
mod served;

pub use meters::{Gauges, Meters};
pub use served::{Figure, Served};

use crate::{
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task},
    logs,
    timeline::Happening,
};
use cadence::{Counted, Gauged, MetricResult};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Time between two reports of the gauges.
const EVERY: Duration = Duration::from_secs(5);

/// Content type of the metrics.
const CONTENT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Time between two looks at whether the log can be read.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// What was last noted of the log.
#[derive(Debug, Default)]
pub struct LogWatch {
    down: AtomicBool,
}

inventory::submit! {
    Plugin {
        name: "metrics",
        routes: &[
            Route { port: Port::Metrics, method: "GET", path: "/metrics", handle: tell },
        ],
        tasks: &[
            Task { name: "gauges", every: EVERY, run: report, on: On::All },
            Task { name: "log-watch", every: WATCH_EVERY, run: watch, on: On::All },
        ],
        stop: |_| {},
    }
}

fn watch(host: &Arc<Host>) {
    let down = host.config.progress().down;
    if host.watch.down.swap(down, Ordering::Relaxed) != down {
        let note = if down { "down" } else { "up" };
        host.timeline
            .note(Happening::LogState, &host.me.name, None, note);
    }
}

/// Answers a collector that fetches the metrics.
fn tell(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let gauges = host.meters.gauges();
    let (open, busy) = host.load();
    gauges.connections.set(open as i64);
    gauges.requests.set(busy as i64);
    gauges.ready.set(i64::from(host.is_ready()));
    let streams = host.batch.streams.followed();
    gauges.streams.set(streams.len() as i64);
    let oldest = streams.iter().map(|s| age(host, s.jobs.progress().fresh));
    gauges.jobs_age.set(oldest.max().unwrap_or(0) as i64);
    let homes = age(host, host.homes.progress().fresh);
    gauges.homes_age.set(homes as i64);
    gauges.dropped.set(logs::dropped() as i64);
    let text = host.meters.text().map_err(io::Error::other)?;
    exchange.send(200, CONTENT, text.as_bytes())
}

/// Milliseconds since `fresh`; more than any other age if there was no reading yet.
fn age(host: &Host, fresh: Option<Duration>) -> u64 {
    fresh.map_or(u64::MAX >> 1, |f| {
        host.now().saturating_sub(f).as_millis() as u64
    })
}

fn report(host: &Arc<Host>) {
    let (open, busy) = host.load();
    gauge(host, "connections", open as u64);
    gauge(host, "requests", busy as u64);
    gauge(
        host,
        "config.age_ms",
        age(host, host.config.progress().fresh),
    );
    let streams = host.batch.streams.followed();
    let oldest = streams
        .iter()
        .map(|s| age(host, s.jobs.progress().fresh))
        .max();
    gauge(host, "jobs.age_ms", oldest.unwrap_or(0));
    gauge(host, "jobs.streams", streams.len() as u64);
    gauge(host, "homes.age_ms", age(host, host.homes.progress().fresh));
    gauge(host, "ready", u64::from(host.is_ready()));
    for figure in host.served.take() {
        match figure {
            Figure::Gauge(name, value) => gauge(host, &name, value),
            Figure::Count(name, value) => sent(host, host.metrics.count(&name, value)),
        }
    }
}

fn gauge(host: &Host, name: &str, value: u64) {
    sent(host, host.metrics.gauge(name, value));
}

fn sent<T>(host: &Host, result: MetricResult<T>) {
    if let Err(e) = result {
        host.timeline
            .note(Happening::Failed, "metrics", None, &e.to_string());
    }
}
