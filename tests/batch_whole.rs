//! Batch jobs on complete hosts: accept, run, read, resend, cancel, delete.

use gooseberrytack::{job::State, kernel::Host};
use serde_json::Value;
use standin::{EngineConfig, Harness, Plan, item_answer, item_line, job_lines, wait_for};
use std::sync::Arc;

const TOKENS: u32 = 4;

fn three_hosts() -> Harness {
    Harness::start(Plan {
        hosts: 3,
        engines: vec![EngineConfig::default(); 2],
        ..Plan::default()
    })
}

#[test]
fn job_runs_once_and_reads_from_any_host() {
    let harness = three_hosts();
    let job = harness
        .caller(0)
        .submit_job("first", &job_lines("first", 200, TOKENS));
    let view = harness.caller(1).wait_job(&job);
    assert_eq!(view["request_counts"]["completed"], 200, "{view}");
    for i in 0..3 {
        let caller = harness.caller(i);
        caller.wait_job(&job);
        let lines = caller.job_results(&job).expect("results");
        assert_eq!(lines.len(), 200);
        for (n, line) in lines.iter().enumerate() {
            assert_eq!(line.id, format!("i{n}"));
            assert_eq!(line.text, item_answer("first", n, TOKENS));
        }
    }
    let runs: usize = harness.engines.iter().map(|e| e.runs().len()).sum();
    assert_eq!(runs, 200, "each item was generated once");
}

#[test]
fn results_page_in_order() {
    let harness = three_hosts();
    let caller = harness.caller(2);
    let job = caller.submit_job("pages", &job_lines("pages", 130, TOKENS));
    caller.wait_job(&job);
    let mut from = 0;
    let mut ids = Vec::new();
    while let (lines, Some(next)) = caller.job_page(&job, from, 40) {
        ids.extend(lines.into_iter().map(|l| l.id));
        from = next as usize;
    }
    let (last, none) = caller.job_page(&job, from, 40);
    assert_eq!((last.len(), none), (10, None));
    assert!(ids.iter().enumerate().all(|(i, id)| *id == format!("i{i}")));
}

#[test]
fn resend_gets_first_job() {
    let harness = three_hosts();
    let lines = job_lines("again", 50, TOKENS);
    let first = harness.caller(0).submit_job("again", &lines);
    let second = harness.caller(1).submit_job("again", &lines);
    assert_eq!(first, second);
    let other = harness
        .caller(2)
        .send_job("again", &job_lines("again", 51, TOKENS))
        .expect("an answer");
    assert_eq!(other.status, 409);
    let foreign = harness
        .caller_of(0, "w1")
        .submit_job("again", &job_lines("other", 5, TOKENS));
    assert_ne!(first, foreign, "ids of two workspaces are apart");
    assert!(harness.caller_of(0, "w1").job(&first).is_none());
    harness.caller(0).wait_job(&first);
}

#[test]
fn bad_items_fail_alone() {
    let harness = three_hosts();
    let mut bad: Value = item_line("bad", 1, TOKENS, true);
    bad["body"]["messages"][0]["content"] = "[impossible]".into();
    let mut unknown: Value = item_line("bad", 2, TOKENS, true);
    unknown["body"]["model"] = "no-such-model".into();
    let long = item_line("bad", 3, 5_000, true);
    let lines = format!(
        "{}\n{bad}\n{unknown}\n{long}\n",
        item_line("bad", 0, TOKENS, true)
    );
    let caller = harness.caller(0);
    let job = caller.submit_job("bad", &lines);
    let view = caller.wait_job(&job);
    assert_eq!(view["request_counts"]["completed"], 1, "{view}");
    assert_eq!(view["request_counts"]["failed"], 3, "{view}");
}

#[test]
fn malformed_items_name_line_and_field() {
    let harness = Harness::start(Plan::default());
    let caller = harness.caller(0);
    let cases = [
        ("", "body"),
        ("not json", "body"),
        (
            "{\"custom_id\":\"\",\"body\":{\"model\":\"m\",\"prompt\":\"x\"}}",
            "custom_id",
        ),
        (
            "{\"custom_id\":\"a\",\"body\":{\"model\":\"m\"}}",
            "messages",
        ),
        (
            "{\"custom_id\":\"a\",\"body\":{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":0}}",
            "max_tokens",
        ),
        (
            "{\"custom_id\":\"a\",\"body\":{\"model\":\"m\",\"prompt\":\"x\"}}\n\
             {\"custom_id\":\"a\",\"body\":{\"model\":\"m\",\"prompt\":\"x\"}}",
            "custom_id",
        ),
    ];
    for (lines, field) in cases {
        let reply = caller.send_job("malformed", lines).expect("an answer");
        let value: Value = serde_json::from_slice(&reply.body).expect("JSON");
        assert_eq!(reply.status, 400, "{lines}");
        assert_eq!(value["error"]["field"], field, "{value}");
    }
}

#[test]
fn cancel_stops_everywhere() {
    let harness = three_hosts();
    let caller = harness.caller(0);
    let job = caller.submit_job("long", &job_lines("long", 300, 2000));
    wait_for("items under way", || {
        harness.engines.iter().any(|e| e.load().running > 0)
    });
    let reply = harness
        .caller(1)
        .call("POST", &format!("/v1/batches/{job}/cancel"), b"")
        .expect("an answer");
    assert_eq!(reply.status, 200);
    let view: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(view["status"], "cancelled");
    wait_for("cancel everywhere", || {
        let hosts = harness.hosts();
        let is_cancelled = |h: &Arc<Host>| {
            let stream = h.batch.streams.slot_of(&job).followed();
            stream.is_none_or(|s| {
                let is_cancelled = |s: &State| s.job(&job).is_some_and(|j| j.cancelled > 0);
                s.jobs.view(is_cancelled)
            })
        };
        hosts
            .iter()
            .all(|h| is_cancelled(h) && h.batch.workers() == 0)
            && harness.engines.iter().all(|e| e.load().running == 0)
    });
    let after: usize = harness.engines.iter().map(|e| e.runs().len()).sum();
    let next = caller.submit_job("next", &job_lines("next", 20, TOKENS));
    caller.wait_job(&next);
    let runs: usize = harness.engines.iter().map(|e| e.runs().len()).sum();
    assert_eq!(runs, after + 20, "nothing of the cancelled job runs again");
}

#[test]
fn delete_removes_results_and_keeps_id_taken() {
    let harness = three_hosts();
    let caller = harness.caller(0);
    let lines = job_lines("gone", 10, TOKENS);
    let job = caller.submit_job("gone", &lines);
    caller.wait_job(&job);
    let path = format!("/v1/batches/{job}");
    let reply = caller.call("DELETE", &path, b"").expect("an answer");
    assert_eq!(reply.status, 200);
    assert!(caller.job(&job).is_none());
    assert_eq!(
        caller.send_job("gone", &lines).expect("an answer").status,
        409
    );
}
