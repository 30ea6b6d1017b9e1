//! The configuration comes into force on every host and never goes back.

use gooseberrytack::{
    clock::PausedClock,
    config::{self, Change, Item, ObjectId, Record, Sort, State},
    error::Res,
    fold::{Fold, Follower, pos},
    kernel::Host,
    settings::Settings,
    store::{AppendError, Entry, Log, Page},
};
use serde_bytes::ByteBuf;
use standin::{Harness, Plan, wait_for};
use std::{sync::Arc, time::Duration};

const LIMIT: Duration = Duration::from_secs(30);

fn model(id: &str, name: &str, version: &str, base: u64) -> Change {
    let item = Item::Model {
        version: version.into(),
        adapters: vec![],
    };
    Change::new(id, "ada", "test").edit(ObjectId::new(Sort::Model, name), base, Some(item))
}

fn wait_revision(host: &Arc<Host>, revision: u64) {
    wait_for("the revision", || {
        host.config.view(|s| s.revision) >= revision
    });
}

fn wait_listed(harness: &Harness, count: usize) {
    wait_for("all hosts listed", || {
        let hosts = harness.hosts();
        hosts.iter().all(|h| h.members.live().len() == count)
    });
}

#[test]
fn config_reaches_host_cut_off_from_log() {
    let harness = Harness::bare(Plan {
        hosts: 3,
        ..Plan::default()
    });
    wait_listed(&harness, 3);
    harness.endpoint(2).faults().set(|f| f.down = true);
    let revision = config::apply(harness.host(0), &model("c", "m", "1", 0), LIMIT);
    wait_revision(harness.host(2), revision.expect("accepted"));
    // The host also learns how fresh that state is.
    let before = harness.host(2).now();
    wait_for("a fresh read through a peer", || {
        harness.host(2).config.progress().caught_up > Some(before)
    });
    harness.endpoint(2).faults().clear();
    let change = model("d", "n", "1", 0);
    let revision = config::apply(harness.host(2), &change, LIMIT).expect("accepted");
    wait_revision(harness.host(0), revision);
}

/// Makes the log unreachable for the third host.
fn unreachable_log(settings: &mut Settings) {
    if &*settings.name == "h2" {
        settings.log = "http://127.0.0.1:1".into();
    }
}

#[test]
fn config_starts_from_peer() {
    let mut harness = Harness::bare(Plan {
        hosts: 2,
        tune: unreachable_log,
        ..Plan::default()
    });
    wait_listed(&harness, 2);
    let change = model("c", "m", "1", 0);
    let revision = config::apply(harness.host(0), &change, LIMIT).expect("accepted");
    wait_revision(harness.host(1), revision);
    for i in 0..2 {
        harness.endpoint(i).faults().set(|f| f.down = true);
    }
    let new = harness.add();
    wait_revision(harness.host(new), revision);
    wait_for("the new host ready", || harness.host(new).is_ready());
    assert!(harness.host(new).config.view(|s| s.model("m").is_some()));
}

#[test]
fn config_starts_after_retention() {
    let mut harness = Harness::bare(Plan {
        hosts: 2,
        ..Plan::default()
    });
    wait_listed(&harness, 2);
    let first = config::apply(harness.host(0), &model("a", "m", "1", 0), LIMIT).expect("accepted");
    let change = model("b", "m", "2", first);
    let revision = config::apply(harness.host(0), &change, LIMIT).expect("accepted");
    // The log no longer keeps the records that a new host would have to read first.
    harness.log.forget("config", 1);
    let new = harness.add();
    wait_revision(harness.host(new), revision);
    let states: Vec<State> = [0, new]
        .map(|i| harness.host(i).config.view(State::clone))
        .into();
    assert_eq!(states[0].objects, states[1].objects);
    assert_eq!(states[0].outcomes, states[1].outcomes);
}

#[test]
fn config_without_log_or_peer() {
    let text = "[host]\nname = alone\ndomain = a\n\
        [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\
        [platform]\nlog = http://127.0.0.1:1\nlist = http://127.0.0.1:1\n";
    let settings = Settings::parse("test", text).expect("settings");
    let host = Host::start(settings).expect("host");
    wait_for("a failed read", || host.config.progress().is_down);
    assert!(!host.is_ready());
    host.kill();
}

/// An empty log; the test passes pages to the follower itself.
#[derive(Debug, Clone)]
struct NoLog;

impl Log for NoLog {
    fn append(&self, _: &str, _: &[u8]) -> Result<u64, AppendError> {
        Err(AppendError::NotTaken("no log".into()))
    }

    fn read(&self, _: &str, _: u64, _: Duration) -> Res<Page> {
        Ok(Page::default())
    }
}

fn entry(offset: u64, change: &Change) -> Entry {
    let part = rmp_serde::to_vec(&Record::Change(change.clone())).expect("encode");
    let bytes = rmp_serde::to_vec(&[ByteBuf::from(part)]).expect("encode");
    Entry { offset, bytes }
}

fn page(entries: Vec<Entry>) -> Page {
    let head = entries.last().map_or(0, |e| e.offset + 1);
    Page {
        first: 0,
        head,
        entries,
    }
}

#[test]
fn config_never_goes_back() {
    let follower: Follower<State, _, _> = Follower::new(NoLog, PausedClock::new(), Duration::ZERO);
    let first = model("a", "m", "1", 0);
    let second = model("b", "m", "2", pos(0, 0));
    let old = page(vec![entry(0, &first)]);
    follower.apply(
        &page(vec![entry(0, &first), entry(1, &second)]),
        Duration::ZERO,
    );
    let reached = follower.snapshot();
    // A stale page, and the state of a peer that is behind.
    follower.apply(&old, Duration::ZERO);
    let mut stale = State::default();
    stale.apply(pos(0, 0), &Record::Change(first));
    assert!(!follower.install(Some(stale.clone()), 1, None));
    assert_eq!(follower.snapshot().1, reached.1);
    assert_eq!(follower.progress().next, 2);
    // A state at the same position is not installed either.
    assert!(!follower.install(Some(stale), 2, None));
    assert_eq!(follower.view(|s| s.revision), pos(1, 0));
}
