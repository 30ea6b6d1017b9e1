//! Batch jobs over several streams, each followed by only a few hosts.

use gooseberrytack::{
    batch::{JobCall, JobOp, JobRef, job_id, stream_name, stream_of},
    error::Kind,
    kernel::Host,
    timeline::{Event, Happening},
};
use serde_json::Value;
use standin::{
    EngineConfig, Harness, Plan, item_answer, item_line, item_prompt, job_lines, wait_for,
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};

const TOKENS: u32 = 4;
const STREAMS: usize = 4;
const READERS: usize = 2;

fn fleet(hosts: usize) -> Harness {
    let harness = Harness::start(Plan {
        hosts,
        engines: vec![EngineConfig::default(); 2],
        tune: |s| (s.streams, s.readers, s.wait) = (STREAMS, READERS, Duration::from_secs(20)),
        ..Plan::default()
    });
    wait_placed(&harness);
    harness
}

/// Waits until every host knows all others, and has read exactly the streams that placement assigns
/// to it.
fn wait_placed(harness: &Harness) {
    let hosts: Vec<Arc<Host>> = harness.hosts();
    wait_for("readers of each stream", || {
        hosts.iter().all(|host| {
            let streams = &host.batch.streams;
            let is_right = |n: usize| {
                let slot = &streams.slots()[n];
                let readers = streams.readers(host, slot);
                let wanted = readers.peer(&host.me.name).is_some();
                wanted == is_reader(host, n) && wanted == slot.followed().is_some()
            };
            host.members.live().len() == hosts.len() && (0..STREAMS).all(is_right)
        })
    });
}

fn is_reader(host: &Host, stream: usize) -> bool {
    let slot = &host.batch.streams.slots()[stream];
    host.batch.streams.enter(slot).is_some()
}

/// Indices of the hosts that follow the stream.
fn readers(harness: &Harness, stream: usize) -> Vec<usize> {
    let hosts = harness.hosts();
    (0..hosts.len())
        .filter(|i| !hosts[*i].is_dead() && is_reader(&hosts[*i], stream))
        .collect()
}

fn other(harness: &Harness, stream: usize) -> usize {
    let readers = readers(harness, stream);
    let all = 0..harness.hosts().len();
    all.into_iter()
        .find(|i| !readers.contains(i))
        .expect("a host that is no reader")
}

fn check(harness: &Harness, host: usize, name: &str, job: &str, items: usize) {
    let caller = harness.caller(host);
    caller.wait_job(job);
    let lines = caller.job_results(job).expect("results");
    assert_eq!(lines.len(), items);
    let mut answers = lines.iter().enumerate();
    assert!(answers.all(|(n, l)| l.text == item_answer(name, n, TOKENS)));
}

/// Events after which an item of `jobs` may run again: it was preempted, its server or its call to
/// the log failed, or another host took its part over. On a busy machine calls time out.
fn repeats(harness: &Harness, jobs: &[String]) -> Vec<Event> {
    let hosts = harness.hosts();
    let all = jobs
        .iter()
        .flat_map(|job| hosts.iter().flat_map(|h| h.timeline.select(job, 10_000)));
    let mut claimed = BTreeSet::new();
    let repeats = all.filter(|e| match e.what {
        Happening::Preempted | Happening::Retried | Happening::Resumed => true,
        Happening::Failed | Happening::HandedOver => true,
        Happening::Claimed => !claimed.insert((e.id.clone(), e.note.clone())),
        _ => false,
    });
    repeats.collect()
}

#[test]
fn jobs_run_once_and_read_from_any_host() {
    let harness = fleet(5);
    let jobs: Vec<String> = (0..8)
        .map(|n| {
            let name = format!("any{n}");
            let lines = job_lines(&name, 40, TOKENS);
            let job = harness.caller(n % 5).submit_job(&name, &lines);
            let again = harness.caller((n + 1) % 5).submit_job(&name, &lines);
            assert_eq!(job, again, "a resend at another host finds the job");
            job
        })
        .collect();
    let streams: BTreeSet<usize> = jobs.iter().map(|j| stream_of(j, STREAMS)).collect();
    assert!(streams.len() > 1, "the jobs are in several streams");
    for (n, job) in jobs.iter().enumerate() {
        (0..5).for_each(|host| check(&harness, host, &format!("any{n}"), job, 40));
    }
    let runs: usize = harness.engines.iter().map(|e| e.runs().len()).sum();
    let repeats = repeats(&harness, &jobs);
    assert!(runs >= 8 * 40, "each item was generated");
    assert!(
        runs == 8 * 40 || !repeats.is_empty(),
        "{runs} runs of 320 items, and nothing had one sent again"
    );
    let prompts = (0..8).flat_map(|n| (0..40).map(move |i| item_prompt(&format!("any{n}"), i)));
    let most = prompts.map(|p| harness.runs_of(&p)).max();
    let reason = format!("an item ran again without a reason: {repeats:?}");
    assert!(most <= Some(1 + repeats.len()), "{reason}");
    let mut sorted = jobs.clone();
    sorted.sort();
    for host in 0..5 {
        let reply = harness
            .caller(host)
            .call("GET", "/v1/batches?limit=5", b"")
            .expect("an answer");
        let list: Value = serde_json::from_slice(&reply.body).expect("JSON");
        let ids = list["data"].as_array().expect("a list").iter();
        let ids: Vec<&str> = ids.filter_map(|j| j["id"].as_str()).collect();
        assert_eq!(ids, sorted[..5].iter().collect::<Vec<_>>());
        assert_eq!(list["has_more"], true);
    }
    // A host that was silent on a busy machine is replaced, and its replacement retires only a lease
    // after it is back.
    wait_placed(&harness);
    let hosts = harness.hosts();
    let followed = hosts.iter().map(|h| h.batch.streams.followed().len());
    assert_eq!(followed.sum::<usize>(), STREAMS * READERS);
}

#[test]
fn pages_cancel_and_delete_at_a_host_that_is_no_reader() {
    let harness = fleet(4);
    let lines = job_lines("far", 130, TOKENS);
    let job = harness.caller(0).submit_job("far", &lines);
    let far = harness.caller(other(&harness, stream_of(&job, STREAMS)));
    far.wait_job(&job);
    let (first, next) = far.job_page(&job, 0, 100);
    assert_eq!((first.len(), next), (100, Some(100)));
    let (last, none) = far.job_page(&job, 100, 100);
    assert_eq!((last.len(), none), (30, None));
    let long = job_lines("long", 300, 2000);
    let job = harness.caller(1).submit_job("long", &long);
    let far = harness.caller(other(&harness, stream_of(&job, STREAMS)));
    let path = format!("/v1/batches/{job}/cancel");
    let reply = far.call("POST", &path, b"").expect("an answer");
    assert_eq!(reply.status, 200);
    let view: Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(view["status"], "cancelled");
    wait_for("the cancel stops the work", || {
        harness.engines.iter().all(|e| e.load().running == 0)
    });
    let path = format!("/v1/batches/{job}");
    let foreign = harness.caller_of(0, "w1").call("DELETE", &path, b"");
    assert_eq!(foreign.expect("an answer").status, 404, "it is another's");
    let reply = far.call("DELETE", &path, b"").expect("an answer");
    assert_eq!(reply.status, 200);
    assert!(far.job(&job).is_none(), "what was told does not come back");
    assert_eq!(far.send_job("long", &long).expect("an answer").status, 409);
}

#[test]
fn lost_readers_are_replaced_mid_job() {
    let mut harness = fleet(6);
    let lines: String = (0..120)
        .map(|i| format!("{}\n", item_line("lost", i, 40, i % 3 != 0)))
        .collect();
    let job = harness.caller(0).submit_job("lost", &lines);
    let stream = stream_of(&job, STREAMS);
    wait_for("items under way", || {
        harness.engines.iter().any(|e| e.load().running > 0)
    });
    for _ in 0..2 {
        let lost = readers(&harness, stream)[0];
        harness.replace(lost);
        wait_for("a new reader", || {
            readers(&harness, stream).len() >= READERS
        });
    }
    let view = harness.caller(0).wait_job(&job);
    let unknown = view["request_counts"]["unknown"].as_u64().unwrap_or(0);
    let done = view["request_counts"]["completed"].as_u64().unwrap_or(0);
    assert_eq!(done + unknown, 120, "{view}");
    let results = harness.caller(0).job_results(&job).expect("results");
    for (i, line) in results.iter().enumerate() {
        let is_lost = line.status == "unknown" && i % 3 == 0;
        assert!(
            is_lost || line.text == item_answer("lost", i, 40),
            "{line:?}"
        );
        let wanted = format!("user: {}\n", standin::item_prompt("lost", i));
        let runs = harness.engines.iter().flat_map(|e| e.runs());
        let runs = runs.filter(|r| *r.prompt == *wanted).count();
        assert!(i % 3 != 0 || runs <= 1, "item {i} ran {runs} times");
    }
}

/// Names and ids of one job per stream, in the order of the streams.
fn job_in_each(harness: &Harness, items: usize, tokens: u32) -> Vec<(String, String)> {
    let mut jobs = vec![None; STREAMS];
    for n in 0.. {
        let name = format!("each{n}");
        let id = job_id("w0", &format!("id:{name}"));
        let place = &mut jobs[stream_of(&id, STREAMS)];
        if place.is_none() {
            let lines = job_lines(&name, items, tokens);
            let job = harness.caller(n % 2).submit_job(&name, &lines);
            assert_eq!(*job, *id);
            *place = Some((name, job));
        }
        if jobs.iter().all(Option::is_some) {
            break;
        }
    }
    jobs.into_iter().flatten().collect()
}

#[test]
fn reader_that_is_moved_out_hands_its_parts_over() {
    let mut harness = fleet(2);
    // Frozen engines keep items under way until the streams have moved.
    let engines = harness.engines.iter();
    engines.for_each(|e| e.faults().set(|f| f.freeze = true));
    let jobs = job_in_each(&harness, 200, TOKENS);
    let before = harness.hosts();
    let held = |host: &Arc<Host>, stream: usize| {
        let stream = host.batch.streams.slots()[stream].followed();
        stream.map_or(0, |s| s.held())
    };
    wait_for("every stream has parts that are held", || {
        (0..STREAMS).all(|s| before.iter().any(|h| held(h, s) > 0))
    });
    let holders: Vec<Vec<usize>> = (0..STREAMS)
        .map(|s| (0..2).filter(|i| held(&before[*i], s) > 0).collect())
        .collect();
    for _ in 0..6 {
        harness.add();
    }
    wait_placed(&harness);
    let mut moved = 0;
    for (stream, (_, job)) in jobs.iter().enumerate() {
        let held = holders[stream].iter().map(|i| &before[*i]);
        for host in held.filter(|h| !is_reader(h, stream)) {
            let events = host.timeline.select(job, 10_000);
            let given = |e: &Event| matches!(e.what, Happening::HandedOver);
            assert!(events.iter().any(given), "{job} was handed over");
            moved += 1;
        }
    }
    assert!(moved > 0, "some stream has moved");
    harness.engines.iter().for_each(|e| e.faults().clear());
    for (name, job) in &jobs {
        let view = harness.caller(0).wait_job(job);
        assert_eq!(view["request_counts"]["completed"], 200, "{view}");
        (0..8).for_each(|host| check(&harness, host, name, job, 200));
    }
}

#[test]
fn reader_behind_what_was_answered_does_not_answer() {
    let harness = fleet(3);
    let job = harness
        .caller(0)
        .submit_job("behind", &job_lines("behind", 5, TOKENS));
    harness.caller(0).wait_job(&job);
    let stream = stream_of(&job, STREAMS);
    let reader = harness.host(readers(&harness, stream)[0]);
    let call = |stream: usize, min_pos| JobCall {
        stream: stream_name(stream, STREAMS),
        min_pos,
        op: JobOp::Show(JobRef {
            id: job.as_str().into(),
            workspace: None,
        }),
    };
    let limit = Duration::from_secs(30);
    let ask = |call: &JobCall| harness.host(0).call(reader.me.addr, call, limit);
    let answered = harness.host(0).batch.streams.slot_of(&job).answered();
    let told = ask(&call(stream, answered))
        .and_then(|t| t.job())
        .expect("the job");
    assert_eq!(told.counts.done, 5);
    let fail = ask(&call(stream, told.at + (1 << 40))).expect_err("it is behind");
    assert_eq!(fail.kind, Kind::NotReady);
    let unread = (0..STREAMS).find(|s| !is_reader(reader, *s));
    if let Some(unread) = unread {
        let fail = ask(&call(unread, 0)).expect_err("it does not read that stream");
        assert_eq!(fail.kind, Kind::NotReady);
    }
}
