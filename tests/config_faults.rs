//! Configuration changes on running hosts under races, lost hosts and cut connections.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Setting, Sort, Verdict},
    error::Kind,
    kernel::Host,
};
use standin::{Harness, Plan, wait_for};
use std::{sync::Arc, thread, time::Duration};

const LIMIT: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(700);

fn model(id: &str, name: &str, version: &str, base: u64) -> Change {
    let item = Item::Model {
        version: version.into(),
        adapters: vec![],
    };
    Change::new(id, "ada", "test").edit(ObjectId::new(Sort::Model, name), base, Some(item))
}

fn start(hosts: usize) -> Harness {
    let harness = Harness::bare(Plan {
        hosts,
        ..Plan::default()
    });
    wait_for("all hosts listed", || {
        let all = harness.hosts();
        all.iter().all(|h| h.members.live().len() == hosts)
    });
    harness
}

fn revision(host: &Arc<Host>) -> u64 {
    host.config.view(|s| s.revision)
}

fn version(host: &Arc<Host>, name: &str) -> String {
    host.config
        .view(|s| s.model(name).map(|m| m.version.to_string()))
        .unwrap_or_default()
}

#[test]
fn apply_host_lost_after_append() {
    let harness = start(2);
    let change = model("c", "m", "1", 0);
    // The append takes effect, but its answer is lost, and then the host is.
    harness.endpoint(0).faults().set(|f| {
        f.lose = 1000;
        f.slow_ms = 100;
    });
    let first = harness.host(0).clone();
    let result = thread::scope(|scope| {
        let asked = scope.spawn(|| config::apply(&first, &change, LIMIT));
        wait_for("the append", || !harness.log.records("config").is_empty());
        harness.kill(0);
        asked.join().expect("operator")
    });
    // The lost host reports success or `Unsettled`.
    match result {
        Ok(at) => assert!(at > 0),
        Err(fail) => assert_eq!(fail.kind, Kind::Unsettled),
    }
    let at = config::apply(harness.host(1), &change, LIMIT).expect("the same change");
    let outcome = harness.host(1).config.view(|s| s.outcome("c").cloned());
    let outcome = outcome.expect("outcome");
    assert_eq!((outcome.at, outcome.verdict), (at, Verdict::Accepted));
    assert_eq!(at >> 16, 1, "the first record decides");
}

#[test]
fn apply_log_down_for_long_and_back() {
    let harness = start(2);
    for i in 0..2 {
        harness.endpoint(i).faults().set(|f| f.refuse = true);
    }
    let change = model("c", "m", "1", 0);
    let fail = config::apply(harness.host(0), &change, SHORT).expect_err("the log is down");
    assert_eq!(fail.kind, Kind::LogDown);
    assert!(fail.retry_delay().is_some());
    wait_for("both hosts see the outage", || {
        harness.hosts().iter().all(|h| h.config.progress().is_down)
    });
    // The configuration read before stays in force, and the refused change is not stored.
    assert!(
        harness
            .hosts()
            .iter()
            .all(|h| revision(h) == 0 && h.is_ready())
    );
    assert!(harness.log.records("config").is_empty());
    for i in 0..2 {
        harness.endpoint(i).faults().clear();
    }
    let at = config::apply(harness.host(1), &change, LIMIT).expect("accepted");
    wait_for("the revision", || revision(harness.host(0)) == at);
}

#[test]
fn apply_against_old_state_of_frozen_host() {
    let harness = start(2);
    let at = config::apply(harness.host(0), &model("a", "m", "1", 0), LIMIT).expect("accepted");
    wait_for("the revision", || revision(harness.host(1)) == at);
    // The second host is cut off from the log and from its peer for two revisions.
    harness.endpoint(1).faults().set(|f| f.freeze = true);
    let seen = harness
        .host(1)
        .config
        .view(|s| s.revision_of(&ObjectId::new(Sort::Model, "m")));
    let second = model("b", "m", "2", at);
    let at = config::apply(harness.host(0), &second, LIMIT).expect("accepted");
    let at = config::apply(harness.host(0), &model("c", "m", "3", at), LIMIT).expect("accepted");
    harness.endpoint(1).faults().clear();
    let stale = model("d", "m", "9", seen);
    let fail = config::apply(harness.host(1), &stale, LIMIT).expect_err("another change won");
    assert_eq!(fail.kind, Kind::Conflict);
    assert!(fail.text.contains("\"c\""), "{}", fail.text);
    wait_for("the revision", || revision(harness.host(1)) == at);
    assert_eq!(version(harness.host(1), "m"), "3");
}

#[test]
fn apply_exception_ends() {
    let harness = start(2);
    let exception = ObjectId::exception("w", Setting::Rate);
    let item = Item::Exception {
        value: 9,
        reason: "fair".into(),
        owner: "ada".into(),
        end: Some(1),
    };
    let seed = Change::new("seed", "ada", "test")
        .edit(
            ObjectId::new(Sort::Workspace, "w"),
            0,
            Some(Item::Workspace {}),
        )
        .edit(exception, 0, Some(item));
    let at = config::apply(harness.host(0), &seed, LIMIT).expect("accepted");
    wait_for("the end of the exception", || {
        let all = harness.hosts();
        all.iter().all(|h| {
            let rate = h.config.view(|s| s.workspace("w").map(|w| w.rate));
            revision(h) > at && rate == Some(Setting::Rate.initial())
        })
    });
}

#[test]
fn apply_list_lags_both_ways() {
    let harness = start(3);
    // The list hides a live host and still shows a lost one.
    let hidden = harness.host(1).me.name.clone();
    harness.list.hide(&hidden);
    let lost = harness.list.shown();
    let lost = lost.iter().find(|l| l.peer.name == harness.host(2).me.name);
    harness.list.force(lost.expect("listed").clone());
    harness.kill(2);
    wait_for("the list to hide the host", || {
        harness
            .host(0)
            .members
            .live()
            .iter()
            .all(|p| p.name != hidden)
    });
    harness.endpoint(1).faults().set(|f| f.down = true);
    let at = config::apply(harness.host(0), &model("c", "m", "1", 0), LIMIT).expect("accepted");
    // The hidden host still finds peers.
    wait_for("the revision", || revision(harness.host(1)) == at);
}

#[test]
fn apply_withdraw_and_issue_at_once() {
    let harness = start(2);
    let hash = "b".repeat(64);
    let id = ObjectId::new(Sort::Key, &*hash);
    let key = |withdrawn| {
        Some(Item::Key {
            workspace: "w".into(),
            label: "l".into(),
            withdrawn,
        })
    };
    let seed = Change::new("seed", "ada", "test")
        .edit(
            ObjectId::new(Sort::Workspace, "w"),
            0,
            Some(Item::Workspace {}),
        )
        .edit(id.clone(), 0, key(false));
    let at = config::apply(harness.host(0), &seed, LIMIT).expect("accepted");
    let withdraw = Change::new("w", "ada", "test").edit(id.clone(), at, key(true));
    let other = ObjectId::new(Sort::Key, "c".repeat(64));
    let issue = Change::new("i", "bea", "test")
        .edit(other.clone(), 0, key(false))
        .edit(id, at, key(false));
    let (withdrawn, issued) = thread::scope(|scope| {
        let withdrawn = scope.spawn(|| config::apply(harness.host(0), &withdraw, LIMIT));
        let issued = scope.spawn(|| config::apply(harness.host(1), &issue, LIMIT));
        (
            withdrawn.join().expect("join"),
            issued.join().expect("join"),
        )
    });
    assert!(
        withdrawn.is_ok() != issued.is_ok(),
        "one of the two wins as a whole"
    );
    let winner = withdrawn.clone().or(issued.clone()).expect("a winner");
    for host in harness.hosts() {
        wait_for("the revision", || revision(&host) == winner);
        let (old, new) = host
            .config
            .view(|s| (s.key(&hash).is_some(), s.key(&other.name).is_some()));
        assert_eq!((old, new), (issued.is_ok(), issued.is_ok()));
    }
}
