//! Metrics that a collector scrapes as text on the metrics port.

use gooseberrytack::http::{Client, Timeouts};
use standin::{Got, Harness, Plan, wait_for};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(60);

fn start() -> Harness {
    Harness::start(Plan {
        hosts: 1,
        tune: |s| s.metrics = Some("127.0.0.1:0".parse().expect("an address")),
        ..Plan::default()
    })
}

/// Scrapes the metrics of the first host.
fn fetch(harness: &Harness) -> String {
    let addr = harness.host(0).metrics_addr.expect("an address");
    let url = format!("http://{addr}/metrics");
    let client = Client::new();
    let reply = client.call("GET", &url, &[], b"", Timeouts::within(LIMIT));
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 200);
    String::from_utf8(reply.body).expect("text")
}

/// Value of the line that begins with `name` and a space.
fn value(text: &str, name: &str) -> f64 {
    let mut lines = text.lines();
    let line = lines.find(|l| l.strip_prefix(name).is_some_and(|r| r.starts_with(' ')));
    let line = line.unwrap_or_else(|| panic!("no {name} in\n{text}"));
    let last = line.rsplit(' ').next().expect("a value");
    last.parse().expect("a number")
}

#[test]
fn fetch_counts_what_was_served_and_refused() {
    let harness = start();
    let caller = harness.caller(0);
    for n in 0..3 {
        let got = caller.ask(&format!("q{n}"), 5);
        assert!(matches!(got, Got::Whole(_)), "{got:?}");
    }
    let url = format!("{}/v1/models", harness.url(0));
    let key = [("authorization", "Bearer nobody")];
    let client = Client::new();
    let reply = client.call("GET", &url, &key, b"", Timeouts::within(LIMIT));
    assert_eq!(reply.expect("an answer").status, 401);
    wait_for("the last slot released", || {
        let text = fetch(&harness);
        value(&text, "gooseberrytack_requests") <= 1.0
    });
    let text = fetch(&harness);
    assert_eq!(
        value(&text, "gooseberrytack_events_total{event=\"Granted\"}"),
        3.0
    );
    assert_eq!(value(&text, "gooseberrytack_slot_wait_seconds_count"), 3.0);
    assert_eq!(
        value(&text, "gooseberrytack_first_piece_seconds_count"),
        3.0
    );
    assert!(value(&text, "gooseberrytack_first_piece_seconds_sum") > 0.0);
    assert!(value(&text, "gooseberrytack_log_append_seconds_count") > 0.0);
    assert_eq!(value(&text, "gooseberrytack_ready"), 1.0);
    assert_eq!(value(&text, "gooseberrytack_log_lines_dropped"), 0.0);
    assert!(text.ends_with("# EOF\n"), "{text}");
}

#[test]
fn taken_address_stops_no_host() {
    let harness = Harness::start(Plan {
        hosts: 1,
        tune: |s| {
            // The address of the host list, on which another server listens.
            let addr = s.list.rsplit('/').next().map(str::parse);
            s.metrics = addr.and_then(Result::ok);
        },
        ..Plan::default()
    });
    assert_eq!(harness.host(0).metrics_addr, None);
    let got = harness.caller(0).ask("q", 5);
    assert!(matches!(got, Got::Whole(_)), "{got:?}");
}

#[test]
fn fetch_knows_one_path() {
    let harness = start();
    let addr = harness.host(0).metrics_addr.expect("an address");
    let url = format!("http://{addr}/other");
    let reply = Client::new().call("GET", &url, &[], b"", Timeouts::within(LIMIT));
    assert_eq!(reply.expect("an answer").status, 404);
}

#[test]
fn fetch_counts_calls_to_other_hosts() {
    let harness = Harness::start(Plan {
        hosts: 2,
        tune: |s| s.metrics = Some("127.0.0.1:0".parse().expect("an address")),
        ..Plan::default()
    });
    let name = "gooseberrytack_calls_total{path=\"/peer/member/whoami\"}";
    wait_for("a probe of the other host", || {
        fetch(&harness).contains(name)
    });
    assert!(value(&fetch(&harness), name) >= 1.0);
}
