//! Metrics: some gauges and counts are pushed periodically; all metrics can be scraped. Also an event
//! when the configuration stream's last read fails or works again; `timeline` counts the events.

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

/// Interval at which metrics are pushed to the StatsD collector.
const REPORT_EVERY: Duration = Duration::from_secs(5);
/// Content type of scraped metrics.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Interval at which the result of the configuration stream's last read is checked.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// Whether the configuration stream's last read failed, as last reported by an event.
#[derive(Debug, Default)]
pub struct LogWatch {
    is_down: AtomicBool,
}

inventory::submit! {
    Plugin {
        name: "metrics",
        routes: &[
            Route { port: Port::Metrics, method: "GET", path: "/metrics", handle: serve },
        ],
        tasks: &[
            Task { name: "gauges", every: REPORT_EVERY, run: report, waits: false, on: On::All },
            Task { name: "log-watch", every: WATCH_EVERY, run: watch, waits: false, on: On::All },
        ],
        stop: |_| {},
    }
}

/// Records an event when the last read of the configuration stream fails or works again.
fn watch(host: &Arc<Host>) {
    let is_down = host.config.progress().is_down;
    if host.watch.is_down.swap(is_down, Ordering::Relaxed) != is_down {
        let note = if is_down { "down" } else { "up" };
        host.timeline
            .note(Happening::LogState, &host.me.name, None, note);
    }
}

/// Answers a scrape.
fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    refresh(host);
    let text = host.meters.text().map_err(io::Error::other)?;
    exchange.send(200, CONTENT_TYPE, text.as_bytes())
}

/// Sets the gauges to the host's current state.
fn refresh(host: &Host) {
    let gauges = host.meters.gauges();
    let (open, busy) = host.load();
    gauges.connections.set(open as i64);
    gauges.requests.set(busy as i64);
    gauges.ready.set(i64::from(host.is_ready()));
    gauges
        .config_age
        .set(age(host, host.config.progress().caught_up));
    gauges
        .homes_age
        .set(age(host, host.homes.progress().caught_up)); // `homes`: stream of rate shares.
    let streams = host.batch.streams.followed();
    let ages = streams
        .iter()
        .map(|s| age(host, s.jobs.progress().caught_up));
    gauges.jobs_age.set(ages.max().unwrap_or(0));
    gauges.streams.set(streams.len() as i64);
    gauges.headroom.set(i64::from(host.gates.queues.headroom()));
    if let Some(readers) = host.passing.readers() {
        gauges.unread.set(readers.held() as i64);
        gauges.slow.set(readers.closed() as i64);
    }
    if host.settings.learn {
        let speeds = host.gates.queues.speeds(host.now());
        let speeds = speeds.iter().map(|(name, s)| (&**name, s.limit, s.knee));
        host.meters.servers(speeds);
    }
    gauges.dropped.set(logs::dropped() as i64);
}

/// Milliseconds since `fresh`, or `i64::MAX` if nothing has been read yet.
fn age(host: &Host, fresh: Option<Duration>) -> i64 {
    fresh.map_or(i64::MAX, |f| {
        host.now().saturating_sub(f).as_millis() as i64
    })
}

fn report(host: &Arc<Host>) {
    refresh(host);
    let gauges = host.meters.gauges();
    for (name, value) in [
        ("connections", &gauges.connections),
        ("requests", &gauges.requests),
        ("config.age_ms", &gauges.config_age),
        ("jobs.age_ms", &gauges.jobs_age),
        ("jobs.streams", &gauges.streams),
        ("homes.age_ms", &gauges.homes_age),
        ("ready", &gauges.ready),
    ] {
        gauge(host, name, value.get().unsigned_abs());
    }
    for figure in host.served.take() {
        match figure {
            Figure::Gauge(name, value) => gauge(host, &name, value),
            Figure::Count(name, value) => note_failure(host, host.metrics.count(&name, value)),
        }
    }
}

fn gauge(host: &Host, name: &str, value: u64) {
    note_failure(host, host.metrics.gauge(name, value));
}

fn note_failure<T>(host: &Host, result: MetricResult<T>) {
    if let Err(e) = result {
        host.timeline
            .note(Happening::Failed, "metrics", None, &e.to_string());
    }
}
