//! Online requests preempt batch work at once, and preempted batch work loses no tokens.

use gooseberrytack::{
    engine::{End, EngineClient, Generate},
    error::{Kind, Res},
    gate::{Reply, SlotRequest, gate_key},
    http::Client,
    route::{Sink, dispatch},
    wire::{Answer, Class, Software, Work},
};
use standin::{EngineConfig, Got, Harness, MODEL, Plan, answer_to, expected, wait_for};
use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

const SLOTS: u32 = 4;
const ENGINES: usize = 2;
/// Timeout of one generation.
const TIMEOUT: Duration = Duration::from_secs(60);
const CAPACITY: usize = SLOTS as usize * ENGINES;

fn harness(hosts: usize) -> Arc<Harness> {
    let engine = EngineConfig {
        slots: SLOTS,
        token_us: 2_000,
        ..EngineConfig::default()
    };
    Arc::new(Harness::start(Plan {
        hosts,
        engines: vec![engine; ENGINES],
        ..Plan::default()
    }))
}

struct NullSink;

impl Sink for NullSink {
    fn token(&mut self, _: u32, _: &str) -> Res<()> {
        Ok(())
    }
}

fn prompt(i: usize) -> String {
    format!("item {i}")
}

/// Runs a batch item until it is done, retrying it as the owner of its job does.
fn batch(harness: &Arc<Harness>, host: usize, i: usize, tokens: u32) -> JoinHandle<Answer> {
    let host = harness.host(host).clone();
    thread::spawn(move || {
        for attempt in 0.. {
            let work = Work {
                id: format!("item{i}-{attempt}").into(),
                workspace: "w1".into(),
                model: MODEL.into(),
                adapter: None,
                prompt: prompt(i).into(),
                tokens,
                class: Class::Batch,
                repeatable: true,
                deadline: host.now() + Duration::from_secs(60),
                slot_deadline: host.now() + Duration::from_secs(60),
                since: 0,
                request: None,
                software: Software::Any,
            };
            match dispatch(&host, &work, &mut NullSink) {
                Ok(answer) => return answer,
                Err(fail) => assert!(
                    matches!(fail.kind, Kind::Preempted | Kind::Overloaded),
                    "{fail}"
                ),
            }
        }
        unreachable!()
    })
}

fn running(harness: &Harness) -> usize {
    harness
        .engines
        .iter()
        .map(|e| e.load().running as usize)
        .sum()
}

/// Waits until as many items as there are slots have tokens; an item without any begins anew when it is preempted.
fn wait_for_tokens(harness: &Harness) {
    wait_for("every item has tokens", || {
        let runs = harness.engines.iter().flat_map(standin::Engine::runs);
        runs.filter(|r| r.pos > 0).count() == CAPACITY
    });
}

#[test]
fn chat_burst_over_full_batch_takes_all_slots() {
    let harness = harness(2);
    let items: Vec<_> = (0..CAPACITY)
        .map(|i| batch(&harness, i % 2, i, 1_500))
        .collect();
    wait_for_tokens(&harness);
    let callers: Vec<_> = (0..CAPACITY)
        .map(|i| {
            let harness = harness.clone();
            thread::spawn(move || {
                let question = format!("burst {i}");
                let got = harness.caller(i % 2).stream(&question, 200, |_| {});
                assert_eq!(got, Got::Whole(answer_to(&question, 200)));
            })
        })
        .collect();
    callers.into_iter().for_each(|c| c.join().expect("caller"));
    let online_first = harness.engines.iter().flat_map(standin::Engine::runs);
    let batch_done = online_first.filter(|r| r.id.starts_with("item") && r.pos == 1_500);
    assert_eq!(batch_done.count(), 0, "batch work ended before the burst");
    for (i, item) in items.into_iter().enumerate() {
        let answer = item.join().expect("item");
        assert_eq!(answer.text, expected(MODEL, &prompt(i), 1_500), "item {i}");
    }
    let runs = harness.engines.iter().flat_map(standin::Engine::runs);
    let (resumed, begun): (Vec<_>, Vec<_>) = runs
        .filter(|r| r.id.starts_with("item"))
        .partition(|r| r.from > 0);
    assert!(!resumed.is_empty(), "nothing gave way: {begun:?}");
    assert_eq!(begun.len(), CAPACITY, "items began anew: {begun:?}");
}

#[test]
fn chat_holds_all_slots_for_long_batch_keeps_its_tokens() {
    let harness = harness(1);
    let items: Vec<_> = (0..CAPACITY)
        .map(|i| batch(&harness, 0, i, 1_500))
        .collect();
    wait_for_tokens(&harness);
    // Longer than batch work that has no tokens yet waits for free capacity.
    let callers: Vec<_> = (0..CAPACITY)
        .map(|i| {
            let harness = harness.clone();
            thread::spawn(move || {
                let question = format!("long {i}");
                let got = harness.caller(0).stream(&question, 3_500, |_| {});
                assert_eq!(got, Got::Whole(answer_to(&question, 3_500)));
            })
        })
        .collect();
    callers.into_iter().for_each(|c| c.join().expect("caller"));
    for (i, item) in items.into_iter().enumerate() {
        let answer = item.join().expect("item");
        assert_eq!(answer.text, expected(MODEL, &prompt(i), 1_500), "item {i}");
    }
    let runs = harness.engines.iter().flat_map(standin::Engine::runs);
    let again = runs.filter(|r| r.id.starts_with("item") && !r.id.contains("-0"));
    assert_eq!(again.count(), 0, "items began anew and lost their tokens");
}

#[test]
fn chat_while_batch_waits_goes_first() {
    let harness = harness(1);
    let items: Vec<_> = (0..3 * CAPACITY)
        .map(|i| batch(&harness, 0, i, 300))
        .collect();
    wait_for("batch work fills the engines", || {
        running(&harness) >= CAPACITY
    });
    for i in 0..10 {
        let question = format!("single {i}");
        let got = harness.caller(0).stream(&question, 5, |_| {});
        assert_eq!(got, Got::Whole(answer_to(&question, 5)));
    }
    for (i, item) in items.into_iter().enumerate() {
        let answer = item.join().expect("item");
        assert_eq!(answer.text, expected(MODEL, &prompt(i), 300), "item {i}");
    }
}

/// Guards against requests that wait for a slow server while another has a free slot.
#[test]
fn chat_waiting_takes_the_server_that_is_free_first() {
    let engine = |token_us| EngineConfig {
        slots: 1,
        token_us,
        ..EngineConfig::default()
    };
    let harness = Arc::new(Harness::start(Plan {
        engines: vec![engine(200_000), engine(2_000)],
        ..Plan::default()
    }));
    let ask = |question: String, tokens: u32| {
        let harness = harness.clone();
        thread::spawn(move || {
            let got = harness.caller(0).stream(&question, tokens, |_| {});
            got == Got::Whole(answer_to(&question, tokens))
        })
    };
    let first: Vec<_> = (0..2).map(|i| ask(format!("first {i}"), 500)).collect();
    wait_for("both servers are full", || running(&harness) == 2);
    let waiting: Vec<_> = (0..8).map(|i| ask(format!("waiting {i}"), 5)).collect();
    for waiting in waiting {
        assert!(
            waiting.join().expect("caller"),
            "waited for the slow server"
        );
    }
    assert_eq!(harness.engines[0].load().running, 1);
    harness.kill(0);
    first.into_iter().for_each(|f| drop(f.join()));
}

/// Guards against a preempted attempt that goes on because its cancel reached the server first.
#[test]
fn chat_over_batch_not_yet_sent_ends_it_when_it_is() {
    let engine = EngineConfig {
        slots: 1,
        token_us: 20_000,
        ..EngineConfig::default()
    };
    let harness = Harness::start(Plan {
        engines: vec![engine],
        ..Plan::default()
    });
    let host = harness.host(0);
    let ask = SlotRequest {
        id: "late".into(),
        holder: host.me.name.clone(),
        workspace: "w1".into(),
        model: MODEL.into(),
        adapter: None,
        class: Class::Batch,
        cost: 10,
        since: 0,
    };
    let mut slot = None;
    wait_for("a slot for batch work", || {
        let reply = host
            .gates
            .held
            .acquire(host, &"e0".into(), &ask, Duration::ZERO);
        if let Ok(Reply::Slot(granted, _)) = reply {
            slot = Some(granted);
        }
        slot.is_some()
    });
    let got = harness.caller(0).stream("first", 5, |_| {});
    assert_eq!(got, Got::Whole(answer_to("first", 5)));
    let late = Generate {
        id: ask.id.clone(),
        model: MODEL.into(),
        adapter: None,
        prompt: prompt(0).into(),
        tokens: 100_000,
        from: 0,
        cache: None,
    };
    let client = EngineClient::new(harness.engines[0].addr(), Client::new(), TIMEOUT);
    let mut pieces = client
        .generate(&late, TIMEOUT)
        .expect("the engine takes it");
    let end = loop {
        if let Some(end) = pieces.next().expect("a piece").end {
            break end;
        }
    };
    assert_eq!(end, End::Cancelled);
}

#[test]
fn chat_gate_lost_goes_on() {
    let harness = harness(3);
    wait_for("hosts know of each other", || {
        harness.hosts().iter().all(|h| h.members.live().len() == 3)
    });
    let owner = harness.host(0).members.owner(&gate_key("e0"));
    let owner = owner.expect("a host in charge").name;
    let lost = (0..3).find(|i| harness.host(*i).me.name == owner);
    let lost = lost.expect("one of the hosts");
    let left = [(lost + 1) % 3, (lost + 2) % 3];
    let items = left.map(|i| batch(&harness, i, i, 400));
    wait_for("batch work runs", || running(&harness) == 2);
    harness.kill(lost);
    for i in 0..20 {
        let question = format!("after {i}");
        let got = harness.caller(left[i % 2]).ask(&question, 5);
        assert_eq!(got, Got::Whole(answer_to(&question, 5)));
    }
    for (i, item) in left.into_iter().zip(items) {
        let answer = item.join().expect("item");
        assert_eq!(answer.text, expected(MODEL, &prompt(i), 400));
    }
    wait_for("slots given back", || {
        harness.hosts().iter().all(|h| h.gates.held.count() == 0)
    });
    wait_for("a new gate grants batch work", || {
        let granted = left
            .iter()
            .flat_map(|i| harness.host(*i).gates.queues.counts());
        granted.filter(|(server, _)| **server == *"e0").count() > 0
    });
    // Long enough that the first items still run when the settling time of the new gate ends.
    let more = (0..CAPACITY).map(|i| batch(&harness, left[i % 2], 10 + i, 3_000));
    let more: Vec<_> = more.collect();
    wait_for("all slots are used again", || running(&harness) == CAPACITY);
    more.into_iter().for_each(|m| drop(m.join().expect("item")));
}
