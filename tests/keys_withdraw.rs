//! Withdrawn keys are refused by every host, and no backend server receives a key.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Sort},
    entry::{
        auth::hash_key,
        withdraw::{Withdrawals, Withdrawn},
    },
    fold::Pos,
};
use standin::{Got, Harness, Plan, key_of, wait_for};
use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

fn plan(hosts: usize) -> Plan {
    Plan {
        hosts,
        ..Plan::default()
    }
}

fn withdraw(harness: &Harness, host: usize) -> Pos {
    let id = ObjectId::new(Sort::Key, hash_key(&key_of("w0")));
    let base = harness.host(host).config.view(|s| {
        let object = s.objects.iter().find(|o| o.id == id);
        object.expect("the key").revision
    });
    let item = Item::Key {
        workspace: "w0".into(),
        label: "w0".into(),
        withdrawn: true,
    };
    let change = Change::new("withdraw", "test", "the key leaked").edit(id, base, Some(item));
    config::apply(harness.host(host), &change, Duration::from_secs(30)).expect("accepted")
}

fn is_unauthorized(got: &Got) -> bool {
    matches!(got, Got::Refused(401, _))
}

#[test]
fn withdrawn_stops_on_every_host() {
    let harness = Harness::start(plan(4));
    assert!(matches!(harness.caller(3).ask("hello", 2), Got::Whole(_)));
    withdraw(&harness, 0);
    for i in 0..4 {
        let caller = harness.caller(i);
        wait_for("refusal", || is_unauthorized(&caller.ask("hello", 2)));
    }
    let other = harness.caller_of(2, "w1").ask("hello", 2);
    assert!(matches!(other, Got::Whole(_)), "{other:?}");
}

#[test]
fn withdrawn_stops_stream_under_way() {
    let harness = Harness::start(plan(2));
    let caller = harness.caller(1);
    let pieces = AtomicUsize::new(0);
    thread::scope(|scope| {
        let stream = scope.spawn(|| {
            caller.stream("hello", 4096, |_| {
                pieces.fetch_add(1, Ordering::Relaxed);
            })
        });
        wait_for("tokens", || pieces.load(Ordering::Relaxed) > 10);
        withdraw(&harness, 0);
        let got = stream.join().expect("the caller ends");
        assert!(matches!(got, Got::Cut(_)), "{got:?}");
    });
    let runs = || harness.engines[0].runs();
    wait_for("the engine's run to end", || runs().iter().all(|r| r.over));
    assert!(runs().iter().all(|r| r.pos < 4096));
}

#[test]
fn withdrawn_stops_on_host_cut_from_log() {
    let harness = Harness::start(plan(3));
    harness.endpoint(2).faults().set(|f| f.down = true);
    wait_for("the host to be known", || {
        harness.host(0).members.live().len() == 3
    });
    withdraw(&harness, 0);
    let caller = harness.caller(2);
    wait_for("refusal", || is_unauthorized(&caller.ask("hello", 2)));
}

#[test]
fn withdrawn_heard_from_peer_before_log() {
    let harness = Harness::start(plan(2));
    let host = harness.host(1);
    let key = Withdrawn {
        hash: hash_key(&key_of("w0")),
        revision: host.config.view(|s| s.revision) + 1,
    };
    let call = gooseberrytack::entry::withdraw::WithdrawCall { keys: vec![key] };
    let limit = Duration::from_secs(10);
    harness
        .host(0)
        .call(host.me.addr, &call, limit)
        .expect("the peer answers");
    assert!(is_unauthorized(&harness.caller(1).ask("hello", 2)));
    let first = harness.caller(0);
    wait_for("passed on", || is_unauthorized(&first.ask("hello", 2)));
}

#[test]
fn keys_heard_yield_to_newer_configuration() {
    let keys = Withdrawals::default();
    let key = |revision| Withdrawn {
        hash: "abc".into(),
        revision,
    };
    assert_eq!(keys.receive(vec![key(10)], 10), 0);
    assert_eq!(keys.receive(vec![key(10)], 9), 1);
    assert_eq!(keys.receive(vec![key(10)], 9), 0);
    assert!(keys.is_withdrawn("abc", 9));
    assert!(!keys.is_withdrawn("abc", 10));
    assert!(!keys.is_withdrawn("abd", 9));
}

#[test]
fn host_cut_from_all_refuses() {
    let harness = Harness::start(plan(2));
    wait_for("the other to be known", || {
        harness.host(0).members.live().len() == 2
    });
    harness.endpoint(0).faults().set(|f| f.down = true);
    harness.list.faults().set(|f| f.down = true);
    harness.kill(1);
    let caller = harness.caller(0);
    wait_for("not ready", || !harness.host(0).is_ready());
    let got = caller.ask("hello", 2);
    assert!(
        matches!(&got, Got::Refused(503, text) if text.contains("not_ready")),
        "{got:?}"
    );
    harness.endpoint(0).faults().clear();
    wait_for("ready again", || harness.host(0).is_ready());
}

#[test]
fn key_never_reaches_engine() {
    let harness = Harness::start(plan(2));
    let caller = harness.caller(1);
    let key = key_of("w0");
    let ask = |path: &str, fields: &[(&str, &str)], body: &str| {
        let _ = caller.call_with("POST", path, fields, body.as_bytes());
    };
    let json = ("content-type", "application/json");
    let body = r#"{"model":"small","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}"#;
    let path = "/v1/chat/completions";
    ask(path, &[json], body);
    ask(path, &[json, ("x-api-key", &key), ("cookie", &key)], body);
    ask(&format!("{path}?key={key}"), &[json], body);
    ask(path, &[json, ("x-request-id", &key)], body);
    harness.engines[0].faults().set(|f| f.error = 1);
    ask(path, &[json], body);
    let seen = harness.engines[0].seen();
    assert!(seen.all().len() >= 3, "the engine was asked");
    assert!(!seen.contains(&key) && !seen.contains(&hash_key(&key)));
}
