//! Callers get their own, complete answers from real hosts although engines are faulty.

use gooseberrytack::{
    error::{Fail, Kind, Res},
    route::{Sink, dispatch},
    wire::{Class, Software, Work},
};
use standin::{EngineConfig, Faults, Got, Harness, Plan, answer_to, key_of, wait_for};
use std::{sync::Arc, thread, time::Duration};

const TOKENS: u32 = 20;

fn harness(hosts: usize, engines: usize) -> Harness {
    Harness::start(Plan {
        hosts,
        engines: vec![EngineConfig::default(); engines],
        tune: |s| s.quiet = Duration::from_millis(1_000),
        ..Plan::default()
    })
}

struct Quiet;

impl Sink for Quiet {
    fn token(&mut self, _: u32, _: &str) -> Res<()> {
        Ok(())
    }
}

fn work(harness: &Harness, id: &str, repeatable: bool) -> Work {
    Work {
        id: id.into(),
        workspace: "w0".into(),
        model: standin::MODEL.into(),
        adapter: None,
        prompt: "user: x\n".into(),
        tokens: TOKENS,
        class: Class::Online,
        repeatable,
        deadline: harness.host(0).now() + Duration::from_secs(30),
        slot_deadline: harness.host(0).now() + Duration::from_secs(30),
        since: 0,
        request: None,
        software: Software::Any,
    }
}

fn runs(harness: &Harness) -> usize {
    harness.engines.iter().map(|e| e.runs().len()).sum()
}

#[test]
fn chat_many_callers_get_their_own_answers() {
    let harness = Arc::new(harness(3, 4));
    let callers = (0..60).map(|i| {
        let harness = harness.clone();
        thread::spawn(move || {
            let caller = harness.caller(i % 3);
            let question = format!("question {i}");
            let got = if i % 2 == 0 {
                caller.ask(&question, TOKENS)
            } else {
                caller.stream(&question, TOKENS, |_| {})
            };
            assert_eq!(got, Got::Whole(answer_to(&question, TOKENS)));
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().for_each(|c| c.join().expect("caller"));
    let key = key_of("w0");
    assert!(harness.engines.iter().all(|e| !e.seen().contains(&key)));
    wait_for("the slots are released", || {
        harness.hosts().iter().all(|h| h.gates.held.count() == 0)
    });
}

/// Asks questions while one of two engines has `fault`, until a stream has run into it.
fn ask_through(name: &str, fault: fn(&mut Faults)) {
    let harness = harness(1, 2);
    let engines = &harness.engines;
    engines.iter().for_each(|e| e.faults().set(fault));
    engines
        .iter()
        .for_each(|e| e.faults().set(|f| f.cut_at = 5));
    for i in 0..4 {
        let question = format!("{name} {i}");
        let got = harness.caller(0).stream(&question, TOKENS, |_| {});
        assert_eq!(got, Got::Whole(answer_to(&question, TOKENS)), "{name}");
    }
    assert!(runs(&harness) > 4, "{name}: no stream ran into the fault");
}

#[test]
fn chat_cut_stream_is_resumed() {
    ask_through("cut", |f| f.cut = 1);
}

#[test]
fn chat_crossed_stream_is_resumed() {
    ask_through("crossed", |f| f.cross = 1);
}

#[test]
fn chat_doubled_piece_is_resumed() {
    ask_through("doubled", |f| f.double = 1);
}

#[test]
fn chat_failed_engine_is_resumed() {
    ask_through("error", |f| f.error = 1);
}

#[test]
fn chat_silent_engine_is_resumed() {
    ask_through("silent", |f| f.silent = 1);
}

#[test]
fn chat_overlong_answer_is_not_passed_on() {
    let harness = harness(1, 1);
    harness.engines[0].faults().set(|f| f.overlong = 1);
    let got = harness.caller(0).stream("long", TOKENS, |_| {});
    assert_eq!(got, Got::Whole(answer_to("long", TOKENS)));
}

#[test]
fn chat_all_engines_cut_is_never_whole() {
    let harness = harness(1, 1);
    harness.engines[0]
        .faults()
        .set(|f| (f.cut, f.cut_at) = (1_000, 3));
    let got = harness.caller(0).stream("cut", TOKENS, |_| {});
    assert!(matches!(got, Got::Cut(_)), "{got:?}");
    let got = harness.caller(0).ask("cut", TOKENS);
    let Got::Refused(502, body) = got else {
        panic!("{got:?}");
    };
    assert!(body.contains("\"ran\":\"unknown\""), "{body}");
}

#[test]
fn dispatch_unrepeatable_cut_runs_once() {
    let harness = harness(1, 3);
    for engine in &harness.engines {
        engine.faults().set(|f| f.cut = 1_000);
    }
    let work = work(&harness, "once", false);
    let fail = dispatch(harness.host(0), &work, &mut Quiet).expect_err("cut");
    assert_eq!(fail.kind, Kind::OutcomeUnknown);
    assert_eq!(runs(&harness), 1);
}

#[test]
fn dispatch_unrepeatable_closed_without_answer_is_unknown() {
    let harness = harness(1, 3);
    wait_for("the engines' models known", || {
        let host = harness.host(0);
        (0..3).all(|i| host.orders.loaded(&format!("e{i}"), host.now()).is_some())
    });
    for engine in &harness.engines {
        engine.faults().set(|f| f.down = true);
    }
    let work = work(&harness, "once", false);
    let fail = dispatch(harness.host(0), &work, &mut Quiet).expect_err("no answer");
    assert_eq!(fail.kind, Kind::OutcomeUnknown, "{fail}");
}

#[test]
fn dispatch_unrepeatable_unreachable_engine_goes_elsewhere() {
    let harness = harness(1, 2);
    harness.engines[0].kill();
    for i in 0..6 {
        let work = work(&harness, &format!("try{i}"), false);
        dispatch(harness.host(0), &work, &mut Quiet).expect("the other engine answers");
    }
    assert_eq!(runs(&harness), 6);
}

#[test]
fn dispatch_unwanted_is_cancelled_at_engine() {
    struct Fickle(u32);
    impl Sink for Fickle {
        fn token(&mut self, pos: u32, _: &str) -> Res<()> {
            if pos < self.0 {
                return Ok(());
            }
            Err(Fail::new(Kind::Cancelled, "enough"))
        }
    }
    let harness = harness(1, 1);
    let mut work = work(&harness, "long", true);
    work.tokens = 4_000;
    let fail = dispatch(harness.host(0), &work, &mut Fickle(3)).expect_err("unwanted");
    assert_eq!(fail.kind, Kind::Cancelled);
    wait_for("the engine ends the run", || {
        harness.engines[0].runs()[0].over
    });
    assert!(harness.engines[0].runs()[0].pos < 4_000);
}

#[test]
fn chat_caller_gone_is_cancelled_at_engine() {
    let harness = harness(1, 1);
    let body = "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\
                \"max_tokens\":4000,\"stream\":true}";
    let client = gooseberrytack::http::Client::new();
    let auth = format!("Bearer {}", key_of("w0"));
    let fields = [
        ("authorization", auth.as_str()),
        ("content-type", "application/json"),
    ];
    let url = format!("http://{}/v1/chat/completions", harness.host(0).caller);
    let limits = gooseberrytack::http::Timeouts::within(Duration::from_secs(30));
    let mut stream = client
        .stream("POST", &url, &fields, body.as_bytes(), limits)
        .expect("answer");
    stream.line(10_000).expect("first event");
    drop(stream);
    wait_for("the engine ends the run", || {
        harness.engines[0].runs()[0].over
    });
    assert!(harness.engines[0].runs()[0].pos < 4_000);
}

#[test]
fn dispatch_deadline_tells_whether_it_ran() {
    let harness = harness(1, 1);
    let mut late = work(&harness, "late", true);
    late.deadline = Duration::ZERO;
    let fail = dispatch(harness.host(0), &late, &mut Quiet).expect_err("late");
    assert_eq!((fail.kind, runs(&harness)), (Kind::ExpiredWaiting, 0));
    let mut slow = work(&harness, "slow", true);
    slow.tokens = 4_000;
    slow.deadline = harness.host(0).now() + Duration::from_millis(300);
    let fail = dispatch(harness.host(0), &slow, &mut Quiet).expect_err("slow");
    assert_eq!((fail.kind, runs(&harness)), (Kind::ExpiredRunning, 1));
    wait_for("the engine ends the run", || {
        harness.engines[0].runs()[0].over
    });
}

#[test]
fn chat_bad_input_names_field_and_reaches_no_engine() {
    let harness = harness(1, 1);
    let message = r#""messages":[{"role":"user","content":"x"}]"#;
    let cases = [
        ("[]".to_string(), 400, "JSON object"),
        ("{".to_string(), 400, "not valid JSON"),
        (format!("{{{message}}}"), 400, "\"field\":\"model\""),
        (
            format!(r#"{{"model":7,{message}}}"#),
            400,
            "\"field\":\"model\"",
        ),
        (
            format!(r#"{{"model":"none",{message}}}"#),
            404,
            "\"field\":\"model\"",
        ),
        (
            r#"{"model":"small"}"#.to_string(),
            400,
            "\"field\":\"messages\"",
        ),
        (
            r#"{"model":"small","messages":[{"role":"x","content":"y"}]}"#.to_string(),
            400,
            "messages[0].role",
        ),
        (
            r#"{"model":"small","messages":[{"role":"user","content":3}]}"#.to_string(),
            400,
            "messages[0].content",
        ),
        (
            format!(r#"{{"model":"small","max_tokens":0,{message}}}"#),
            400,
            "\"field\":\"max_tokens\"",
        ),
        (
            format!(r#"{{"model":"small","stream":"yes",{message}}}"#),
            400,
            "\"field\":\"stream\"",
        ),
        (
            format!(r#"{{"model":"small","adapter":"none",{message}}}"#),
            400,
            "\"field\":\"adapter\"",
        ),
        (
            format!(r#"{{"model":"small","colour":1,{message}}}"#),
            400,
            "\"field\":\"colour\"",
        ),
    ];
    let caller = harness.caller(0);
    for (body, status, text) in cases {
        let reply = caller.call("POST", "/v1/chat/completions", body.as_bytes());
        let reply = reply.expect("an answer");
        let answer = String::from_utf8_lossy(&reply.body).into_owned();
        assert_eq!(reply.status, status, "{body}: {answer}");
        assert!(answer.contains(text), "{body}: {answer}");
        assert!(answer.contains("\"ran\":\"no\""), "{body}: {answer}");
    }
    assert_eq!(runs(&harness), 0);
    let models = caller.call("GET", "/v1/models", b"").expect("models");
    assert!(String::from_utf8_lossy(&models.body).contains("\"id\":\"small\""));
}
