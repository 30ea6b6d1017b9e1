//! Latencies and counts of requests: gathered, reported once, and pushed to a collector.

use gooseberrytack::{
    error::Kind,
    metrics::{Figure, Served},
};
use standin::{Harness, Plan};
use std::{
    net::{SocketAddr, UdpSocket},
    sync::OnceLock,
    time::Duration,
};

/// Longest wait for a metric.
const LIMIT: Duration = Duration::from_secs(60);

fn gauge(figures: &[Figure], name: &str) -> Option<u64> {
    figures.iter().find_map(|f| match f {
        Figure::Gauge(n, value) if n == name => Some(*value),
        _ => None,
    })
}

fn count(figures: &[Figure], name: &str) -> Option<u64> {
    figures.iter().find_map(|f| match f {
        Figure::Count(n, value) if n == name => Some(*value),
        _ => None,
    })
}

#[test]
fn take_reports_quantiles_once() {
    let served = Served::default();
    for ms in 1..=100 {
        served.first(Duration::from_millis(ms));
    }
    served.gap(Duration::from_millis(64));
    let figures = served.take();
    let near = |name: &str, ms: u64| {
        let us = gauge(&figures, name).expect(name);
        us.abs_diff(ms * 1000) <= ms * 10
    };
    assert!(near("online.first_us.p50", 50), "{figures:?}");
    assert!(near("online.first_us.p95", 95), "{figures:?}");
    assert!(near("online.first_us.p99", 99), "{figures:?}");
    assert!(near("online.gap_us.p99", 64), "{figures:?}");
    let later = served.take();
    assert_eq!(gauge(&later, "online.first_us.p50"), None);
}

#[test]
fn take_counts_by_kind() {
    let served = Served::default();
    for kind in [Kind::RateLimited, Kind::Unauthorized, Kind::RateLimited] {
        served.refused(kind);
    }
    (0..7).for_each(|_| served.batch_token());
    let figures = served.take();
    assert_eq!(count(&figures, "refused.rate_limited"), Some(2));
    assert_eq!(count(&figures, "refused.unauthorized"), Some(1));
    assert_eq!(count(&figures, "batch.tokens"), Some(7));
    let later = served.take();
    assert_eq!(count(&later, "refused.rate_limited"), None);
    assert_eq!(count(&later, "batch.tokens"), Some(0));
}

#[test]
fn first_of_any_length_is_recorded() {
    let served = Served::default();
    served.first(Duration::ZERO);
    served.first(Duration::MAX);
    let figures = served.take();
    assert_eq!(gauge(&figures, "online.first_us.p50"), Some(1));
}

/// Address of the collector of `report_reaches_collector`.
static COLLECTOR: OnceLock<SocketAddr> = OnceLock::new();

#[test]
fn report_reaches_collector() {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.set_read_timeout(Some(LIMIT)).expect("a time limit");
    COLLECTOR
        .set(socket.local_addr().expect("an address"))
        .expect("set once");
    let harness = Harness::start(Plan {
        tune: |s| s.statsd = COLLECTOR.get().copied(),
        ..Plan::default()
    });
    harness.caller(0).stream("price of yam", 3, |_| {});
    let mut text = String::new();
    let mut packet = [0; 65_536];
    for part in [
        "online.first_us.p99",
        "online.gap_us.p50",
        "events.Received",
    ] {
        while !text.contains(part) {
            let len = socket.recv(&mut packet).expect("a metric in time");
            text += &String::from_utf8_lossy(&packet[..len]);
            harness.caller(0).stream("price of yam", 3, |_| {});
        }
    }
}
