//! Batch work, configuration and loss of a failure domain while running hosts are partitioned.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Sort, Verdict},
    error::Kind,
    kernel::Host,
};
use standin::{
    Caller, EngineConfig, Got, Harness, Plan, SetOnDrop, Side, answer_to, mixed_lines, wait_for,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const ITEMS: usize = 200;
const TOKENS: u32 = 20;
const LIMIT: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(700);
const ALL: [Side; 3] = [Side::Hosts, Side::Log, Side::List];

/// Three hosts and three engines, one of each in the failure domains `a`, `b` and `c`.
fn start() -> Harness {
    let engine = EngineConfig {
        token_us: 4_000,
        slots: 2,
        ..EngineConfig::default()
    };
    let harness = Harness::start(Plan {
        hosts: 3,
        engines: vec![engine; 3],
        tune: |s| s.parallel = 8,
        ..Plan::default()
    });
    harness.wait_listed();
    harness
}

/// Submits a job to host 0 and waits until an item is done.
fn begin_job(harness: &Harness, name: &str) -> String {
    let caller = harness.caller(0);
    let job = caller.submit_job(name, &mixed_lines(name, ITEMS, TOKENS));
    wait_done(&caller, &job, 1);
    job
}

fn wait_done(caller: &Caller, job: &str, items: u64) {
    wait_for("enough items are done", || {
        let view = caller.job(job).unwrap_or_default();
        view["request_counts"]["completed"].as_u64() >= Some(items)
    });
}

/// Partitions the host that accepted a job from `sides` while the job runs. The job must complete on the
/// others, and on that host once it is connected again.
fn cut_owner(name: &str, sides: &[Side]) {
    let harness = start();
    let job = begin_job(&harness, name);
    harness.cut_group(&[0], sides);
    harness.caller(1).wait_job(&job);
    harness.reconnect_all();
    for i in 0..3 {
        let caller = harness.caller(i);
        caller.wait_job(&job);
        harness.check_mixed(&caller, name, &job, ITEMS, TOKENS);
    }
}

#[test]
fn batch_owner_cut_from_peers_not_log() {
    cut_owner("peers", &[Side::Hosts]);
}

#[test]
fn batch_owner_cut_from_log_not_peers() {
    cut_owner("log", &[Side::Log]);
}

#[test]
fn batch_owner_cut_from_all() {
    cut_owner("all", &ALL);
}

fn revision(host: &Arc<Host>) -> u64 {
    host.config.view(|s| s.revision)
}

fn version(host: &Arc<Host>) -> String {
    let found = host
        .config
        .view(|s| s.model("m").map(|m| m.version.to_string()));
    found.unwrap_or_default()
}

fn declare(id: &str, version: &str, base: u64) -> Change {
    let item = Item::Model {
        version: version.into(),
        adapters: vec![],
    };
    Change::new(id, "ada", "test").edit(ObjectId::new(Sort::Model, "m"), base, Some(item))
}

#[test]
fn config_host_cut_from_all_never_reverts() {
    let harness = start();
    let over = AtomicBool::new(false);
    let hosts = harness.hosts();
    let apply = |i: usize, change: &Change, limit| config::apply(&hosts[i], change, limit);
    let apply = &apply;
    thread::scope(|scope| {
        let watch = scope.spawn(|| {
            let mut last = 0;
            while !over.load(Ordering::Relaxed) {
                let now = revision(harness.host(2));
                assert!(now >= last, "revision {now} after {last}");
                last = now;
                thread::sleep(Duration::from_millis(1));
            }
        });
        let end = SetOnDrop(&over);
        let first = apply(0, &declare("a", "1", 0), LIMIT).expect("accepted");
        wait_for("the revision", || revision(harness.host(2)) == first);
        for round in 0..2 {
            harness.cut_group(&[2], &ALL);
            let base = revision(harness.host(2));
            let mut top = base;
            for step in 0..3 {
                let id = format!("b{round}{step}");
                top = apply(step % 2, &declare(&id, &id, top), LIMIT).expect("accepted");
            }
            let stale = format!("c{round}");
            let fail = apply(2, &declare(&stale, &stale, base), SHORT).expect_err("no log");
            assert!(matches!(fail.kind, Kind::LogDown | Kind::Unsettled));
            // Another change is retried, and reaches the log after the others.
            let late = format!("d{round}");
            let change = declare(&late, &late, base);
            let asked = scope.spawn(move || apply(2, &change, LIMIT));
            wait_for("not ready", || !harness.host(2).is_ready());
            assert_eq!(revision(harness.host(2)), base);
            harness.reconnect_all();
            let fail = asked.join().expect("operator").expect_err("too late");
            assert_eq!(fail.kind, Kind::Conflict);
            wait_for("the revision", || revision(harness.host(2)) >= top);
            // The change sent to the partitioned host did not win by arriving late.
            for host in harness.hosts() {
                assert_eq!(version(&host), format!("b{round}2"));
                let outcome = host.config.view(|s| s.outcome(&stale).cloned());
                assert!(outcome.is_none_or(|o| o.verdict != Verdict::Accepted));
            }
        }
        drop(end);
        watch.join().expect("revisions only rise");
    });
}

/// Asks one host until `over`; complete answers must be right.
fn ask_until(harness: &Harness, host: usize, over: &AtomicBool, whole: &AtomicUsize) {
    for n in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let question = format!("host {host} question {n}");
        if let Got::Whole(text) = harness.caller(host).stream(&question, TOKENS, |_| {}) {
            assert_eq!(text, answer_to(&question, TOKENS));
            whole.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Runs `during` under online load on the hosts of domains `b` and `c` and with a job running.
fn under_load(name: &str, mut harness: Harness, during: impl FnOnce(&dyn Fn(&str), &Harness)) {
    let job = begin_job(&harness, name);
    let over = AtomicBool::new(false);
    let counts = [AtomicUsize::new(0), AtomicUsize::new(0)];
    thread::scope(|scope| {
        for (i, whole) in counts.iter().enumerate() {
            let (harness, over) = (&harness, &over);
            scope.spawn(move || ask_until(harness, i + 1, over, whole));
        }
        let end = SetOnDrop(&over);
        let more = |what: &str| {
            let goals = counts.each_ref().map(|c| c.load(Ordering::Relaxed) + 5);
            wait_for(what, || {
                let all = counts.iter().zip(goals);
                all.into_iter().all(|(c, g)| c.load(Ordering::Relaxed) >= g)
            });
        };
        during(&more, &harness);
        drop(end);
    });
    harness.replace(0);
    wait_for("the new host ready", || harness.host(0).is_ready());
    for i in 0..3 {
        let caller = harness.caller(i);
        caller.wait_job(&job);
        harness.check_mixed(&caller, name, &job, ITEMS, TOKENS);
    }
    let got = harness.caller(0).ask("back", TOKENS);
    assert_eq!(got, Got::Whole(answer_to("back", TOKENS)));
}

/// Kills the host and the engine of domain `a`, then brings the engine back.
fn lose_domain(more: &dyn Fn(&str), harness: &Harness) {
    harness.kill(0);
    harness.engines[0].faults().set(|f| f.down = true);
    more("answers without the domain");
    more("more of them");
    harness.engines[0].faults().clear();
    more("answers with the domain");
}

#[test]
fn domain_lost_and_back_under_load() {
    under_load("domain", start(), |more, harness| {
        more("answers");
        lose_domain(more, harness);
    });
}

#[test]
fn domain_lost_in_log_outage_and_back_under_load() {
    under_load("outage", start(), |more, harness| {
        more("answers");
        harness.cut_group(&[0, 1, 2], &[Side::Log]);
        lose_domain(more, harness);
        harness.reconnect_all();
        more("answers with the log");
    });
}

#[test]
fn domain_cut_off_and_back_under_load() {
    under_load("cut", start(), |more, harness| {
        more("answers");
        harness.cut_domain("a", &ALL);
        more("answers without the domain");
        wait_for("the domain not ready", || !harness.host(0).is_ready());
        more("more of them");
        harness.reconnect_all();
        wait_for("the domain ready", || harness.host(0).is_ready());
        more("answers with the domain");
    });
}
