//! Routes to plain services: authentication, the header fields passed on, and how often a call runs.

use gooseberrytack::{
    config::{self, Change, Route},
    fold::{Fold, pos},
    http::{Reply, SendError},
    once::{Calls, Record, Saved},
};
use standin::{Caller, Harness, Plan, Service, ServiceConfig, key_of, wait_for};
use std::{thread, time::Duration};

fn start(hosts: usize, work_ms: u64) -> (Harness, Service) {
    let harness = Harness::start(Plan {
        hosts,
        ..Plan::default()
    });
    let service = Service::start(ServiceConfig {
        work_ms,
        ..ServiceConfig::default()
    });
    let route = |path: &str, open, repeatable| Route {
        path: path.into(),
        addrs: vec![service.addr()],
        open,
        repeatable,
    };
    let change = Change::new("routes", "test", "services")
        .route(&route("/svc/open", true, true))
        .route(&route("/svc/read", false, true))
        .route(&route("/svc/pay", false, false));
    let limit = Duration::from_secs(30);
    let at = config::apply(harness.host(0), &change, limit).expect("accepted");
    wait_for("the routes on all hosts", || {
        let hosts = harness.hosts();
        hosts.iter().all(|h| h.config.view(|s| s.revision >= at))
    });
    wait_for("a rate token for the first call", || {
        let caller = harness.caller(0);
        status(&call(&caller, "/svc/read", "first", None)) == 200
    });
    (harness, service)
}

fn call(caller: &Caller, path: &str, id: &str, key: Option<&str>) -> Result<Reply, SendError> {
    let mut fields = vec![("content-type", "text/plain"), ("x-call-id", id)];
    fields.extend(key.map(|k| ("idempotency-key", k)));
    caller.call_with("POST", path, &fields, id.as_bytes())
}

fn status(result: &Result<Reply, SendError>) -> u16 {
    result.as_ref().map_or(0, |r| r.status)
}

fn text(result: &Result<Reply, SendError>) -> String {
    let body = result.as_ref().map(|r| r.body.clone());
    String::from_utf8(body.unwrap_or_default()).unwrap_or_default()
}

#[test]
fn open_route_needs_no_key_others_do() {
    let (harness, service) = start(1, 0);
    let stranger = Caller::new(harness.url(0), "no-such-key");
    let open = call(&stranger, "/svc/open/a", "open", None);
    assert_eq!((status(&open), text(&open).as_str()), (200, "open"));
    for path in ["/svc/read", "/svc/pay/x"] {
        assert_eq!(status(&call(&stranger, path, "closed", None)), 401);
    }
    assert_eq!(status(&call(&stranger, "/svc/opened", "none", None)), 404);
    assert_eq!((service.count("closed"), service.count("none")), (0, 0));
    let known = call(&harness.caller(0), "/svc/read", "read", None);
    assert_eq!((status(&known), service.count("read")), (200, 1));
}

#[test]
fn service_sees_allowed_fields_only() {
    let (harness, service) = start(1, 0);
    let caller = harness.caller(0);
    let key = key_of("w0");
    let fields = [
        ("x-secret", "hidden"),
        ("cookie", "hidden"),
        ("accept", "text/plain"),
    ];
    let good = caller.call_with("POST", "/svc/read?a=1", &fields, b"body");
    assert_eq!(status(&good), 200);
    for (path, field, body) in [
        (format!("/svc/read?key={key}"), "x", "x"),
        ("/svc/read".into(), key.as_str(), "x"),
        ("/svc/read".into(), "x", key.as_str()),
        (format!("/svc/open?key={key}"), "x", "x"),
    ] {
        let got = caller.call_with("POST", &path, &[("x-request-id", field)], body.as_bytes());
        assert_eq!(status(&got), 400, "{path}");
    }
    let seen = service.seen();
    assert!(seen.contains("accept: text/plain") && seen.contains("?a=1"));
    assert!(!seen.contains(&key) && !seen.contains("hidden"));
}

#[test]
fn unrepeatable_lost_answer_runs_once() {
    let (harness, service) = start(1, 0);
    let caller = harness.caller(0);
    service.faults().set(|f| f.lose = 1);
    let got = call(&caller, "/svc/pay", "once", None);
    assert_eq!(status(&got), 502, "{}", text(&got));
    assert!(text(&got).contains("outcome_unknown"), "{}", text(&got));
    assert_eq!(service.count("once"), 1);
    service.faults().set(|f| f.lose = 1);
    let got = call(&caller, "/svc/read", "again", None);
    assert_eq!((status(&got), service.count("again")), (200, 2));
}

#[test]
fn unrepeatable_is_not_sent_to_another_address() {
    let (harness, service) = start(1, 0);
    let other = Service::start(ServiceConfig::default());
    let route = Route {
        path: "/svc/two".into(),
        addrs: vec![service.addr(), other.addr()],
        open: false,
        repeatable: false,
    };
    let change = Change::new("two", "test", "two addresses").route(&route);
    config::apply(harness.host(0), &change, Duration::from_secs(30)).expect("accepted");
    for service in [&service, &other] {
        service.faults().set(|f| f.lose = 1);
    }
    let got = call(&harness.caller(0), "/svc/two", "once", None);
    assert_eq!(status(&got), 502, "{}", text(&got));
    assert_eq!(service.count("once") + other.count("once"), 1);
}

#[test]
fn unreachable_service_ran_nothing() {
    let (harness, service) = start(1, 0);
    service.kill();
    let got = call(&harness.caller(0), "/svc/pay", "none", Some("k"));
    assert_eq!(status(&got), 503, "{}", text(&got));
    assert!(text(&got).contains(r#""ran":"no""#), "{}", text(&got));
    assert_eq!(service.count("none"), 0);
}

#[test]
fn keyed_call_runs_once_over_hosts() {
    let (harness, service) = start(3, 50);
    let results: Vec<_> = thread::scope(|scope| {
        let spawn = |i: usize| {
            let caller = harness.caller(i % 3);
            scope.spawn(move || call(&caller, "/svc/pay", "pay", Some("k1")))
        };
        let calls: Vec<_> = (0..9).map(spawn).collect();
        calls.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert_eq!(service.count("pay"), 1);
    for result in &results {
        assert_eq!((status(result), text(result).as_str()), (200, "pay"));
    }
    let other = call(&harness.caller(0), "/svc/pay", "other", Some("k1"));
    assert_eq!(status(&other), 409);
    let apart = call(&harness.caller_of(0, "w1"), "/svc/pay", "pay", Some("k1"));
    assert_eq!((status(&apart), service.count("pay")), (200, 2));
}

#[test]
fn keyed_call_of_lost_host_is_not_sent_again() {
    let (harness, service) = start(2, 0);
    wait_for("slots on both hosts", || {
        harness.hosts().iter().all(|h| h.limits.held() > 2)
    });
    service.faults().set(|f| f.freeze = true);
    let caller = harness.caller(0);
    thread::scope(|scope| {
        scope.spawn(|| call(&caller, "/svc/pay", "pay", Some("k2")));
        wait_for("the call is running", || {
            harness.host(1).calls.view(|c| !c.calls.is_empty())
        });
        harness.kill(0);
        service.faults().clear();
        let got = call(&harness.caller(1), "/svc/pay", "pay", Some("k2"));
        assert_eq!(status(&got), 502, "{}", text(&got));
        assert!(text(&got).contains("outcome_unknown"), "{}", text(&got));
    });
    assert!(service.count("pay") <= 1);
}

#[test]
fn keyed_call_without_log_is_not_sent() {
    let (harness, service) = start(1, 0);
    harness.endpoint(0).faults().set(|f| f.refuse = true);
    let got = call(&harness.caller(0), "/svc/pay", "pay", Some("k3"));
    assert_eq!(status(&got), 503, "{}", text(&got));
    assert_eq!(service.count("pay"), 0);
    harness.endpoint(0).faults().clear();
    let caller = harness.caller(0);
    wait_for("the call succeeds with the log", || {
        status(&call(&caller, "/svc/pay", "pay", Some("k3"))) == 200
    });
    assert_eq!(service.count("pay"), 1);
}

#[test]
fn calls_first_attempt_wins() {
    let mut calls = Calls::default();
    let intent = |attempt| Record::Intent {
        id: "w/k".into(),
        host: "h".into(),
        attempt,
        digest: "d".into(),
    };
    let saved = Saved {
        status: 200,
        kind: "".into(),
        body: Some(vec![1]),
    };
    let outcome = |attempt| Record::Outcome {
        id: "w/k".into(),
        attempt,
        saved: saved.clone(),
    };
    let dropped = |attempt| Record::Dropped {
        id: "w/k".into(),
        attempt,
    };
    let records = [
        intent(1),
        intent(2),
        dropped(2),
        outcome(2),
        outcome(1),
        dropped(1),
    ];
    for (i, record) in records.iter().enumerate() {
        calls.apply(pos(i as u64, 0), record);
    }
    let call = calls.call("w/k").expect("kept");
    assert_eq!((call.attempt, &call.saved), (1, &Some(saved)));
}
