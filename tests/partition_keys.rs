//! Withdrawn keys and readiness during network partitions between running hosts.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Sort},
    entry::auth::hash_key,
    wire::Name,
};
use serde_json::Value;
use standin::{Got, Harness, Plan, Side, answer_to, key_of, wait_for};
use std::time::Duration;

const TOKENS: u32 = 2;

/// A host in each of `domains`.
fn start(domains: &[&str]) -> Harness {
    let harness = Harness::start(Plan {
        hosts: domains.len(),
        domains: domains.iter().map(|d| d.to_string()).collect(),
        ..Plan::default()
    });
    harness.wait_listed();
    // During a log outage, the rate share that a lost host held is unavailable as well.
    wait_for("shares of the rate on several hosts", || {
        let homes = harness.host(0).homes.view(|h| h.slots("w1").to_vec());
        let held = |h: &Name| homes.iter().filter(|s| s.host.as_ref() == Some(h)).count();
        let hosts = harness.hosts();
        let held: Vec<usize> = hosts.iter().map(|h| held(&h.me.name)).collect();
        held.iter().sum::<usize>() == 4 && held.iter().all(|h| *h <= 2)
    });
    harness
}

fn withdraw(harness: &Harness, host: usize) {
    let id = ObjectId::new(Sort::Key, hash_key(&key_of("w0")));
    let base = harness.host(host).config.view(|s| s.revision_of(&id));
    let item = Item::Key {
        workspace: "w0".into(),
        label: "w0".into(),
        withdrawn: true,
    };
    let change = Change::new("withdraw", "test", "the key leaked").edit(id, base, Some(item));
    config::apply(harness.host(host), &change, Duration::from_secs(30)).expect("accepted");
}

/// Sends a request to the host `host`: `whole`, or the error code of the refusal.
fn outcome(harness: &Harness, host: usize, workspace: &str) -> String {
    match harness.caller_of(host, workspace).ask("hello", TOKENS) {
        Got::Whole(text) => {
            assert_eq!(text, answer_to("hello", TOKENS));
            "whole".into()
        }
        Got::Refused(_, body) => {
            let value: Value = serde_json::from_str(&body).expect("JSON");
            value["error"]["code"].as_str().expect("a code").into()
        }
        Got::Cut(text) => panic!("cut after {text:?}"),
    }
}

fn wait_refused(harness: &Harness, hosts: &[usize]) {
    for &i in hosts {
        wait_for(&format!("the withdrawn key refused by host {i}"), || {
            let outcome = outcome(harness, i, "w0");
            outcome == "unauthorized" || outcome == "not_ready"
        });
    }
}

/// Sends requests with a valid key to `hosts` for longer than an isolated host stays ready; every
/// answer must be complete or one of the `allowed` refusals.
fn assert_stays_ready(harness: &Harness, hosts: &[usize], allowed: &[&str]) {
    let host = |i: usize| harness.host(i).clone();
    let start: Vec<Duration> = hosts.iter().map(|i| host(*i).now()).collect();
    wait_for("longer than an isolated host stays ready", || {
        for &i in hosts {
            assert!(host(i).is_ready(), "host {i}");
            let outcome = outcome(harness, i, "w1");
            let good = outcome == "whole" || allowed.contains(&outcome.as_str());
            assert!(good, "host {i}: {outcome}");
        }
        let mut all = hosts.iter().zip(&start);
        all.all(|(i, s)| host(*i).now() > *s + host(*i).members.span() * 2)
    });
}

#[test]
fn minority_without_log_refuses() {
    let harness = start(&["a", "a", "b", "b", "b"]);
    harness.cut_domain("a", &[Side::Hosts, Side::Log]);
    withdraw(&harness, 3);
    wait_refused(&harness, &[0, 1, 2, 3, 4]);
    // Two hosts that reach only each other cannot know which keys are valid.
    assert!((0..2).all(|i| !harness.host(i).is_ready()));
    // The minority may hold shares of the rate.
    assert_stays_ready(&harness, &[2, 3, 4], &["rate_limited"]);
    harness.reconnect_all();
    for i in 0..2 {
        wait_for("ready again", || harness.host(i).is_ready());
        assert_eq!(outcome(&harness, i, "w0"), "unauthorized");
        assert_eq!(outcome(&harness, i, "w1"), "whole");
    }
}

#[test]
fn half_without_log_refuses() {
    let harness = start(&["a", "b", "a", "b"]);
    harness.cut_domain("a", &[Side::Hosts, Side::Log]);
    withdraw(&harness, 1);
    wait_refused(&harness, &[0, 1, 2, 3]);
}

#[test]
fn half_without_log_whose_list_shows_only_itself_refuses() {
    let harness = start(&["a", "b", "a", "b"]);
    harness.cut_domain("a", &[Side::Hosts, Side::Log]);
    harness.cut_domain("b", &[Side::List]);
    wait_for("the other half off the list", || {
        harness.host(0).members.live().len() == 2
    });
    withdraw(&harness, 1);
    wait_refused(&harness, &[0, 1, 2, 3]);
    assert!(harness.host(1).is_ready());
}

#[test]
fn host_with_one_peer_hears_of_withdrawal() {
    let harness = start(&["a", "b", "a", "b"]);
    harness.cut_group(&[0], &[Side::Log, Side::List]);
    harness.cut_group(&[1], &[Side::Log]);
    [2, 3].iter().for_each(|i| harness.cut(0, *i));
    // Shares of the rate, and both gates of the server, may be out of its reach.
    let allowed = ["rate_limited", "unreachable", "overloaded"];
    assert_stays_ready(&harness, &[0, 1, 2, 3], &allowed);
    withdraw(&harness, 3);
    for i in 0..4 {
        wait_for("refusal", || outcome(&harness, i, "w0") == "unauthorized");
    }
}

#[test]
fn log_outage_for_all_keeps_ready() {
    let harness = start(&["a", "b", "a", "b"]);
    harness.cut_group(&[0, 1, 2, 3], &[Side::Log]);
    assert_stays_ready(&harness, &[0, 1, 2, 3], &[]);
    // Three of four hosts are a majority, also without the list.
    harness.kill(0);
    harness.cut_group(&[1, 2, 3], &[Side::List]);
    // Without log and list no host can prove that it may lend rate tokens.
    assert_stays_ready(&harness, &[1, 2, 3], &["rate_limited"]);
}

#[test]
fn log_outage_with_host_cut_off_keeps_majority_ready() {
    let harness = start(&["a", "b", "c"]);
    harness.cut_group(&[0, 1, 2], &[Side::Log]);
    harness.cut_group(&[0], &[Side::Hosts, Side::List]);
    wait_for("the host that is alone not ready", || {
        !harness.host(0).is_ready()
    });
    assert_stays_ready(&harness, &[1, 2], &[]);
    harness.reconnect_all();
    wait_for("ready again", || harness.host(0).is_ready());
}

#[test]
fn withdrawn_reaches_hosts_around_one_way_cut() {
    let harness = start(&["a", "b", "c"]);
    harness.cut_group(&[2], &[Side::Log]);
    harness.cut_one_way(0, 2);
    withdraw(&harness, 0);
    wait_for("refusal", || outcome(&harness, 2, "w0") == "unauthorized");
    assert!(harness.host(2).is_ready());
}
