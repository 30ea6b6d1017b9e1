//! Batch jobs during outages of the log and after lost answers of the log.

use serde_json::Value;
use standin::{EngineConfig, Harness, Plan, item_answer, job_lines, wait_for};
use std::time::Duration;

const TOKENS: u32 = 4;

fn two_hosts() -> Harness {
    Harness::start(Plan {
        hosts: 2,
        engines: vec![EngineConfig::default(); 2],
        tune: |s| (s.wait, s.deadline) = (Duration::from_secs(2), Duration::from_secs(3600)),
        ..Plan::default()
    })
}

fn set_down(harness: &Harness, down: bool) {
    (0..2).for_each(|i| harness.endpoint(i).faults().set(|f| f.down = down));
}

fn check(harness: &Harness, name: &str, job: &str, items: usize) {
    for i in 0..2 {
        harness.caller(i).wait_job(job);
        let lines = harness.caller(i).job_results(job).expect("results");
        assert_eq!(lines.len(), items);
        let mut answers = lines.iter().enumerate();
        assert!(answers.all(|(n, l)| l.text == item_answer(name, n, TOKENS)));
    }
}

#[test]
fn long_outage_goes_on_by_itself() {
    let harness = two_hosts();
    let job = harness
        .caller(0)
        .submit_job("long", &job_lines("long", 400, TOKENS));
    wait_for("some items done", || {
        let view = harness.caller(0).job(&job).expect("the job");
        view["request_counts"]["completed"].as_u64() > Some(0)
    });
    set_down(&harness, true);
    let reply = harness
        .caller(1)
        .send_job("refused", &job_lines("refused", 10, TOKENS))
        .expect("an answer");
    let value: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(reply.status, 503, "{value}");
    let unsettled = value["error"]["code"] == "unsettled";
    assert!(unsettled || value["error"]["ran"] == "no", "{value}");
    wait_for("dispatch waits for the log", || {
        let idle = harness.engines.iter().all(|e| e.load().running == 0);
        idle && harness.hosts().iter().all(|h| h.batch.workers() == 0)
    });
    set_down(&harness, false);
    check(&harness, "long", &job, 400);
    let again = harness
        .caller(0)
        .submit_job("refused", &job_lines("refused", 10, TOKENS));
    check(&harness, "refused", &again, 10);
}

#[test]
fn lost_answers_make_one_job() {
    let harness = two_hosts();
    for round in 0..5 {
        let name = format!("lost{round}");
        let lines = job_lines(&name, 30, TOKENS);
        harness.endpoint(0).faults().set(|f| f.lose = 2);
        let first = harness.caller(0).submit_job(&name, &lines);
        harness.endpoint(1).faults().set(|f| f.lose = 2);
        let second = harness.caller(1).submit_job(&name, &lines);
        assert_eq!(first, second);
        check(&harness, &name, &first, 30);
    }
    let reply = harness.caller(0).call("GET", "/v1/batches", b"");
    let list: Value = serde_json::from_slice(&reply.expect("an answer").body).expect("JSON");
    assert_eq!(list["data"].as_array().map(Vec::len), Some(5), "{list}");
}
