//! Network partitions in which two hosts both run the gate of a server: answers stay correct, and
//! online requests have priority again once the hosts agree.

use gooseberrytack::gate::{Counts, gate_key};
use standin::{
    EngineConfig, Got, Harness, ListConfig, Plan, SetOnDrop, Side, answer_to, mixed_lines, wait_for,
};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

const SLOTS: u32 = 4;
const ITEMS: usize = 400;
const TOKENS: u32 = 40;
/// Tokens of a stream that outlasts the check of the slot counts.
const LONG: u32 = 1_500;

fn start() -> Harness {
    let harness = Harness::start(Plan {
        hosts: 3,
        engines: vec![EngineConfig {
            slots: SLOTS,
            token_us: 2_000,
            ..EngineConfig::default()
        }],
        list: ListConfig {
            lag_ms: 500,
            ..ListConfig::default()
        },
        tune: |s| s.parallel = 8,
        ..Plan::default()
    });
    harness.wait_listed();
    harness
}

/// Indexes of the hosts in the order in which the gate of the server is placed on them.
fn order(harness: &Harness) -> [usize; 3] {
    let owners = harness.host(0).members.owners(&gate_key("e0"), 3);
    let index = |i: usize| {
        let found = (0..3).find(|h| harness.host(*h).me.name == owners[i].name);
        found.expect("a host of the harness")
    };
    [index(0), index(1), index(2)]
}

fn is_owner(harness: &Harness, i: usize) -> bool {
    let host = harness.host(i);
    let owner = host.members.owner(&gate_key("e0"));
    owner.is_some_and(|o| o.name == host.me.name)
}

/// Counts of the server at the gate on host `i`.
fn granted(harness: &Harness, i: usize) -> Counts {
    let counts = harness.host(i).gates.queues.counts();
    let found = counts.into_iter().find(|(server, _)| &**server == "e0");
    found.map(|(_, counts)| counts).unwrap_or_default()
}

/// Sends requests to every host until `over`; every answer must be complete.
fn ask_all(harness: &Harness, over: &AtomicBool, during: impl FnOnce()) {
    thread::scope(|scope| {
        for i in 0..3 {
            scope.spawn(move || {
                for n in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let question = format!("host {i} question {n}");
                    let got = harness.caller(i).stream(&question, TOKENS, |_| {});
                    assert_eq!(got, Got::Whole(answer_to(&question, TOKENS)));
                }
            });
        }
        let _end = SetOnDrop(over);
        during();
    });
}

#[test]
fn two_gates_answer_right_and_agree_again() {
    let harness = start();
    let [first, second, third] = order(&harness);
    let caller = harness.caller_of(third, "w1");
    let job = caller.submit_job("fill", &mixed_lines("fill", ITEMS, TOKENS));
    let name = harness.host(first).me.name.clone();
    let over = AtomicBool::new(false);
    ask_all(&harness, &over, || {
        // The third host still lists the first but cannot reach it; for the second host, the first
        // is gone.
        harness.cut_group(&[third], &[Side::List]);
        harness.cut_one_way(third, first);
        harness.list.hide(&name);
        wait_for("two hosts in charge", || {
            is_owner(&harness, first) && is_owner(&harness, second)
        });
        wait_for("both grant", || {
            granted(&harness, first).online > 0 && granted(&harness, second).online > 0
        });
        let done = || caller.job(&job).unwrap_or_default()["request_counts"]["completed"].as_u64();
        let before = done();
        wait_for("batch work goes on", || done() > before);
        harness.reconnect_all();
        harness.list.unforce(&name);
        wait_for("one host in charge", || !is_owner(&harness, second));
        wait_for("one host grants", || {
            let left = granted(&harness, second);
            left.online + left.batch + left.waiting + left.backlog == 0
        });
    });
    wait_for("the engine within its slots", || {
        harness.engines[0].load().running <= SLOTS
    });
    assert_priority(&harness, first);
    let view = caller.wait_job(&job);
    assert_eq!(view["request_counts"]["total"], ITEMS, "{view}");
    harness.check_mixed(&caller, "fill", &job, ITEMS, TOKENS);
}

/// Checks that online requests of all hosts take all slots from running batch work.
fn assert_priority(harness: &Harness, gate: usize) {
    wait_for("batch work in the slots", || {
        granted(harness, gate).batch == SLOTS
    });
    thread::scope(|scope| {
        for i in 0..SLOTS as usize {
            scope.spawn(move || {
                let question = format!("burst {i}");
                let got = harness.caller(i % 3).stream(&question, LONG, |_| {});
                assert_eq!(got, Got::Whole(answer_to(&question, LONG)));
            });
        }
        wait_for("online requests in all slots", || {
            let counts = granted(harness, gate);
            (counts.online, counts.batch) == (SLOTS, 0)
        });
    });
}

#[test]
fn gate_cut_off_is_stood_in_for_and_takes_over_again() {
    let harness = start();
    let [first, second, third] = order(&harness);
    harness.cut(first, second);
    harness.cut(first, third);
    for i in [second, third] {
        let got = harness.caller(i).ask("cut", TOKENS);
        assert_eq!(got, Got::Whole(answer_to("cut", TOKENS)));
    }
    harness.reconnect_all();
    wait_for("the gate asked again", || {
        let got = harness.caller(third).stream("back", TOKENS, |_| {});
        assert_eq!(got, Got::Whole(answer_to("back", TOKENS)));
        let seen = harness.host(third).gates.held.count();
        let stood_in = granted(&harness, second);
        seen == 0 && stood_in.online + stood_in.waiting == 0
    });
    assert!(is_owner(&harness, first));
}

#[test]
fn gate_on_unlisted_host_is_not_in_charge() {
    let harness = start();
    let [first, second, _] = order(&harness);
    let since = |i: usize| harness.host(i).gates.queues.owned_since("e0");
    wait_for("a gate in charge", || since(first).is_some());
    let began = since(first);
    let name = harness.host(first).me.name.clone();
    harness.list.hide(&name);
    wait_for("only the next host in charge", || {
        since(first).is_none() && since(second).is_some()
    });
    harness.list.unforce(&name);
    wait_for("the first host in charge again", || {
        since(second).is_none() && since(first).is_some()
    });
    assert!(since(first) > began);
}
