//! The error answer of each kind, compared with what the engines ran.

use gooseberrytack::{
    config::Workspace,
    error::{Kind, Ran},
    http::Reply,
};
use serde_json::{Value, json};
use standin::{EngineConfig, Faults, Harness, Plan};
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";

fn harness() -> Harness {
    Harness::start(Plan {
        engines: vec![EngineConfig::default()],
        workspaces: vec![Workspace {
            name: "w0".into(),
            weight: 1,
            rate: 60_000,
            burst: 1_000,
        }],
        tune: |s| {
            s.quiet = Duration::from_millis(500);
            s.bounds.body = 64 * 1024;
        },
        ..Plan::default()
    })
}

fn question(content: &str) -> Value {
    json!({"model": "small", "max_tokens": 20, "messages": [{"role": "user", "content": content}]})
}

fn runs(harness: &Harness) -> usize {
    harness.engines[0].runs().len()
}

/// Checks an answer against the error table's row of `kind` and returns its body.
fn check(reply: &Reply, kind: Kind) -> Value {
    let row = kind.row();
    let body: Value = serde_json::from_slice(&reply.body).expect("an error body");
    let error = &body["error"];
    assert_eq!(error["code"], row.code, "{body}");
    assert_eq!(reply.status, row.status, "{body}");
    assert_eq!(error["ran"], json!(row.ran), "{body}");
    let after = reply.fields.iter().find(|(n, _)| n == "retry-after");
    assert_eq!(
        after.is_some(),
        !error["retry_after_ms"].is_null(),
        "{body}"
    );
    if row.after.is_some() {
        assert!(after.is_some(), "when to come back: {body}");
    }
    error.clone()
}

/// Sends `body` and checks that the answer has `kind`, and that what it says of runs is true.
fn expect(harness: &Harness, body: &Value, kind: Kind) {
    let before = runs(harness);
    let reply = harness
        .caller(0)
        .call("POST", CHAT, body.to_string().as_bytes())
        .expect("an answer");
    check(&reply, kind);
    let began = runs(harness) - before;
    match kind.row().ran {
        Ran::No => assert_eq!(began, 0, "{kind:?}"),
        Ran::Yes => assert!(began > 0, "{kind:?}"),
        Ran::Unknown => {}
    }
}

#[test]
fn chat_refused_before_any_engine() {
    let harness = harness();
    let caller = harness.caller(0);
    let call = |method: &str, path: &str, kind: Kind| {
        let reply = caller.call(method, path, b"{}").expect("an answer");
        check(&reply, kind);
    };
    call("POST", "/v1/none", Kind::NotFound);
    call("PUT", CHAT, Kind::BadMethod);
    call("POST", CHAT, Kind::BadRequest);
    let long = vec![b' '; 65 * 1024];
    let reply = caller.call("POST", CHAT, &long).expect("an answer");
    check(&reply, Kind::TooLarge);
    let text = [("content-type", "text/plain")];
    let reply = caller.call_with("POST", CHAT, &text, b"x");
    check(&reply.expect("an answer"), Kind::BadType);
    let stranger = standin::Caller::new(harness.url(0), "no-such-key");
    let reply = stranger.call("POST", CHAT, question("x").to_string().as_bytes());
    check(&reply.expect("an answer"), Kind::Unauthorized);
    let mut unknown = question("x");
    unknown["model"] = json!("none");
    expect(&harness, &unknown, Kind::UnknownModel);
    assert_eq!(runs(&harness), 0);
}

#[test]
fn chat_engine_gone_says_not_run() {
    let harness = harness();
    harness.engines[0].kill();
    let reply = harness
        .caller(0)
        .call("POST", CHAT, question("x").to_string().as_bytes())
        .expect("an answer");
    let body: Value = serde_json::from_slice(&reply.body).expect("an error body");
    assert_eq!(body["error"]["ran"], "no", "{body}");
    assert_eq!(reply.status, 503, "{body}");
    assert_eq!(runs(&harness), 0);
}

/// A harness with one engine, every stream of which has `fault`.
fn all_streams(fault: fn(&mut Faults)) -> Harness {
    let harness = harness();
    harness.engines[0].faults().set(fault);
    harness
}

#[test]
fn chat_crossed_everywhere_is_broken_answer() {
    let harness = all_streams(|f| (f.cross, f.cut_at) = (1_000, 2));
    expect(&harness, &question("x"), Kind::BrokenAnswer);
}

#[test]
fn chat_cut_everywhere_is_server_lost() {
    let harness = all_streams(|f| f.cut = 1_000);
    expect(&harness, &question("x"), Kind::ServerLost);
    assert!(runs(&harness) > 1, "it was tried again");
}

#[test]
fn chat_cut_unrepeatable_is_outcome_unknown() {
    let harness = all_streams(|f| f.cut = 1_000);
    let mut once = question("x");
    once["repeatable"] = json!(false);
    expect(&harness, &once, Kind::OutcomeUnknown);
    assert_eq!(runs(&harness), 1);
}

#[test]
fn chat_impossible_is_server_refused() {
    expect(&harness(), &question("[impossible]"), Kind::ServerRefused);
}

#[test]
fn chat_deadline_while_running_is_expired_running() {
    let harness = all_streams(|f| f.silent = 1_000);
    let mut short = question("x");
    short["deadline_ms"] = json!(200);
    expect(&harness, &short, Kind::ExpiredRunning);
}

#[test]
fn chat_deadline_in_queue_is_expired_waiting() {
    let harness = harness();
    fill(&harness);
    let mut short = question("x");
    short["deadline_ms"] = json!(200);
    expect(&harness, &short, Kind::ExpiredWaiting);
}

/// Occupies all slots of the engine for a long time.
fn fill(harness: &Harness) {
    for i in 0..EngineConfig::default().slots {
        let caller = harness.caller(0);
        std::thread::spawn(move || caller.stream(&format!("long {i}"), 4_000, |_| {}));
    }
    standin::wait_for("the engine is full", || {
        harness.engines[0].load().running == EngineConfig::default().slots
    });
}
