//! Planned stops of hosts and leaving servers cut no answer.

use gooseberrytack::config::{self, Change, Item, ObjectId, Sort};
use standin::{EngineConfig, Got, Harness, Plan, SetOnDrop, answer_to, wait_for};
use std::{
    sync::{
        RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const HOSTS: usize = 3;
const ENGINES: usize = 3;
const CALLERS: usize = 8;
const TOKENS: u32 = 40;
const LIMIT: Duration = Duration::from_secs(30);

fn harness() -> Harness {
    Harness::start(Plan {
        hosts: HOSTS,
        engines: vec![EngineConfig::default(); ENGINES],
        ..Plan::default()
    })
}

/// Callers ask ready hosts repeatedly, as through a balancer, while `during` runs. Every answer must be
/// complete. Returns the number of answers.
fn under_load(harness: Harness, during: impl FnOnce(&RwLock<Harness>, &AtomicUsize)) -> usize {
    let (stop, whole) = (AtomicBool::new(false), AtomicUsize::new(0));
    let harness = RwLock::new(harness);
    thread::scope(|scope| {
        for i in 0..CALLERS {
            let (harness, stop, whole) = (&harness, &stop, &whole);
            scope.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let caller = {
                        let harness = harness.read().expect("harness");
                        let ready = (0..HOSTS).filter(|h| harness.host(*h).is_ready());
                        let ready: Vec<usize> = ready.collect();
                        harness.caller(ready[(i + n) % ready.len()])
                    };
                    let question = format!("caller {i} question {n}");
                    let got = caller.stream(&question, TOKENS, |_| {});
                    assert_eq!(got, Got::Whole(answer_to(&question, TOKENS)));
                    whole.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let _end = SetOnDrop(&stop);
        during(&harness, &whole);
    });
    whole.into_inner()
}

fn wait_more(whole: &AtomicUsize) {
    let goal = whole.load(Ordering::Relaxed) + 4 * CALLERS;
    wait_for("more answers", || whole.load(Ordering::Relaxed) >= goal);
}

#[test]
fn stop_hosts_one_by_one_cuts_nothing() {
    let whole = under_load(harness(), |harness, whole| {
        for i in 0..HOSTS {
            wait_more(whole);
            let host = harness.read().expect("harness").host(i).clone();
            assert_eq!(host.stop(), 0, "requests cut by the stop of host {i}");
            harness.write().expect("harness").replace(i);
            let host = harness.read().expect("harness").host(i).clone();
            wait_for("the new host is ready", || host.is_ready());
        }
        wait_more(whole);
    });
    assert!(whole >= 4 * CALLERS * (HOSTS + 1));
}

fn leave(harness: &Harness, name: &str) {
    let id = ObjectId::new(Sort::Server, name);
    let (base, mut item) = harness.host(0).config.view(|s| {
        let object = s.object(&id).expect("the server");
        (object.revision, object.item.clone())
    });
    let Item::Server { leaving, .. } = &mut item else {
        panic!("not a server");
    };
    *leaving = true;
    let change = Change::new("leave", "test", "maintenance").edit(id, base, Some(item));
    let at = config::apply(harness.host(0), &change, LIMIT).expect("accepted");
    wait_for("the change is in force", || {
        let hosts = harness.hosts();
        hosts.iter().all(|h| h.config.view(|s| s.revision >= at))
    });
}

#[test]
fn leaving_server_gets_nothing_new_and_finishes_the_rest() {
    under_load(harness(), |harness, whole| {
        wait_more(whole);
        let harness = harness.read().expect("harness");
        // One host is cut off from the log; its peers tell it of the change.
        harness.endpoint(2).faults().set(|f| f.down = true);
        leave(&harness, "e1");
        // Requests that were granted a slot just before are still on their way.
        wait_more(whole);
        let runs = harness.engines[1].runs().len();
        wait_more(whole);
        wait_more(whole);
        assert_eq!(harness.engines[1].runs().len(), runs, "new work");
        assert!(harness.engines[1].runs().iter().all(|r| r.over));
    });
}
