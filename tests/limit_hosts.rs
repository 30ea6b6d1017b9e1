//! Rate and burst across real hosts, counted at the engines.

use gooseberrytack::{config::Workspace, limit::slots, timeline::Happening};
use standin::{Got, Harness, ListConfig, Plan, Side, wait_for};
use std::{
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const RATE: u32 = 1200;
const BURST: u32 = 32;
/// Concurrent requests, enough to exceed the rate.
const AT_ONCE: usize = 400;
const CALLERS: usize = 12;
/// Time between an answer and the next call of a caller.
const PAUSE: Duration = Duration::from_millis(10);

fn plan(hosts: usize) -> Plan {
    let named = |name: &str, rate, burst| Workspace {
        name: name.into(),
        weight: 1,
        rate,
        burst,
    };
    Plan {
        hosts,
        engines: vec![Default::default(); 2],
        workspaces: vec![named("w0", RATE, BURST), named("w1", 600, 4)],
        ..Plan::default()
    }
}

fn wait_for_slots(harness: &Harness) {
    // For a host that is not listed yet, only the log proves that it holds slots.
    harness.wait_listed();
    wait_for("all slots held by live hosts", || {
        let hosts = harness.hosts();
        hosts.iter().all(|h| {
            let ring = h.members.ring();
            h.homes.view(|homes| {
                let held = homes.slots("w0").iter().filter_map(|s| s.host.as_ref());
                held.filter(|n| ring.peer(n).is_some()).count() == slots(BURST) as usize
            })
        })
    });
}

/// Stops the callers on drop, and prints the last refusal if the test fails.
struct StopCallers<'a>(&'a AtomicBool, &'a Mutex<String>);

impl Drop for StopCallers<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
        if thread::panicking() {
            eprintln!("last refusal: {}", self.1.lock().unwrap());
        }
    }
}

/// Number of requests that the engines ran.
fn ran(harness: &Harness) -> usize {
    harness.engines.iter().map(|e| e.runs().len()).sum()
}

/// Most requests of `workspace` allowed in `seconds`.
fn allowed(workspace: &Workspace, seconds: f64) -> usize {
    (f64::from(workspace.rate) / 60.0 * seconds) as usize + workspace.burst as usize
}

/// Start and end of each call with a whole answer, in seconds.
type Spans = Vec<(f64, f64)>;

/// Checks every window from the start of one call to the end of another: the calls inside it took
/// their tokens inside it.
fn check_windows(workspace: &Workspace, mut spans: Spans) {
    spans.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (i, (start, _)) in spans.iter().enumerate() {
        let mut ends: Vec<f64> = spans[i..].iter().map(|s| s.1).collect();
        ends.sort_by(f64::total_cmp);
        for (n, end) in ends.iter().enumerate() {
            let allowed = allowed(workspace, end - start);
            assert!(n < allowed, "{} answers from {start} to {end} s", n + 1);
        }
    }
}

/// Calls all hosts continuously while `during` runs, then checks the total that the engines ran and
/// the answers in every window.
fn check_rate(harness: &mut Harness, during: impl FnOnce(&mut Harness, &AtomicUsize)) -> usize {
    check_rate_of(&plan(1).workspaces[0], harness, during)
}

/// Like `check_rate`, for `workspace`.
fn check_rate_of(
    workspace: &Workspace,
    harness: &mut Harness,
    during: impl FnOnce(&mut Harness, &AtomicUsize),
) -> usize {
    let urls: Mutex<Vec<standin::Caller>> = Mutex::default();
    let refresh = |h: &Harness| {
        let callers = (0..h.hosts().len()).map(|i| h.caller_of(i, &workspace.name));
        *urls.lock().unwrap() = callers.collect();
    };
    refresh(harness);
    let (stop, whole) = (AtomicBool::new(false), AtomicUsize::new(0));
    let last = Mutex::new(String::new());
    let spans: Mutex<Spans> = Mutex::default();
    let began = Instant::now();
    thread::scope(|scope| {
        for n in 0..CALLERS {
            let (urls, stop, whole, last) = (&urls, &stop, &whole, &last);
            let spans = &spans;
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let caller = {
                        let urls = urls.lock().unwrap();
                        urls[n % urls.len()].clone()
                    };
                    let start = began.elapsed().as_secs_f64();
                    match caller.ask("hello", 1) {
                        Got::Whole(_) => {
                            let end = began.elapsed().as_secs_f64();
                            spans.lock().unwrap().push((start, end));
                            whole.fetch_add(1, Ordering::Relaxed);
                        }
                        other => *last.lock().unwrap() = format!("{other:?}"),
                    }
                    thread::sleep(PAUSE);
                }
            });
        }
        let end = StopCallers(&stop, &last);
        during(harness, &whole);
        drop(end);
    });
    let seconds = began.elapsed().as_secs_f64();
    let ran = ran(harness);
    assert!(
        ran <= allowed(workspace, seconds),
        "{ran} ran in {seconds} s"
    );
    check_windows(workspace, spans.into_inner().unwrap());
    whole.into_inner()
}

fn wait_whole(whole: &AtomicUsize, more: usize) {
    let goal = whole.load(Ordering::Relaxed) + more;
    wait_for("answers", || whole.load(Ordering::Relaxed) >= goal);
}

#[test]
fn hosts_together_keep_rate() {
    let mut harness = Harness::start(plan(4));
    wait_for_slots(&harness);
    check_rate(&mut harness, |_, whole| wait_whole(whole, 100));
    // More concurrent requests than the burst and the tokens added while they wait; sent one by
    // one, each would only wait for the next token.
    let refused = thread::scope(|scope| {
        let asked: Vec<_> = (0..AT_ONCE)
            .map(|_| scope.spawn(|| harness.caller(0).ask("hello", 1)))
            .collect();
        let got = asked.into_iter().map(|t| t.join().expect("answer"));
        got.filter(|g| matches!(g, Got::Refused(..))).last()
    });
    let Some(Got::Refused(status, body)) = refused else {
        panic!("nothing was refused");
    };
    assert_eq!(status, 429);
    assert!(body.contains("retry_after_ms"), "{body}");
}

#[test]
fn hosts_killed_and_replaced_keep_rate() {
    let mut harness = Harness::start(plan(4));
    wait_for_slots(&harness);
    check_rate(&mut harness, |harness, whole| {
        wait_whole(whole, 40);
        harness.replace(1);
        wait_whole(whole, 40);
        harness.stop(2);
        harness.replace(2);
        wait_for_slots(harness);
        wait_whole(whole, 40);
    });
}

#[test]
fn log_down_keeps_rate_and_goes_on() {
    let mut harness = Harness::start(plan(3));
    wait_for_slots(&harness);
    check_rate(&mut harness, |harness, whole| {
        (0..3).for_each(|i| harness.endpoint(i).faults().set(|f| f.down = true));
        // More than the burst, and for longer than a read of the log is proof.
        wait_whole(whole, 160);
        (0..3).for_each(|i| harness.endpoint(i).faults().clear());
        wait_whole(whole, 40);
    });
}

#[test]
fn host_cut_from_log_and_list_stops_lending() {
    let mut harness = Harness::start(plan(2));
    wait_for_slots(&harness);
    check_rate(&mut harness, |harness, whole| {
        (0..2).for_each(|i| harness.endpoint(i).faults().set(|f| f.down = true));
        harness.list.faults().set(|f| f.down = true);
        let refused = || matches!(harness.caller(0).ask("hello", 1), Got::Refused(429, _));
        let before = whole.load(Ordering::Relaxed);
        wait_for("no token is lent", || {
            let now = whole.load(Ordering::Relaxed);
            now > before && (0..30).all(|_| refused())
        });
        (0..2).for_each(|i| harness.endpoint(i).faults().clear());
        harness.list.faults().clear();
        wait_whole(whole, 20);
    });
}

#[test]
fn slot_taken_is_noted() {
    let harness = Harness::start(plan(2));
    wait_for_slots(&harness);
    wait_for("an event for each slot", || {
        let hosts = harness.hosts();
        let events = hosts
            .iter()
            .flat_map(|h| h.timeline.select("w0", usize::MAX));
        let moved = events.filter(|e| e.what == Happening::ShareMoved);
        moved.count() >= slots(BURST) as usize
    });
}

/// Holder of the only slot of `w1`, as seen by host `i`.
fn holder(harness: &Harness, i: usize) -> Option<usize> {
    let name = harness.host(i).homes.view(|h| h.slot("w1", 0).host)?;
    (0..harness.places()).find(|o| harness.host(*o).me.name == name)
}

#[test]
fn halves_keep_rate() {
    let mut harness = Harness::start(plan(4));
    wait_for_slots(&harness);
    check_rate(&mut harness, |harness, whole| {
        wait_whole(whole, 20);
        harness.cut_group(&[0, 1], &[Side::Hosts]);
        wait_whole(whole, 120);
        harness.reconnect_all();
        wait_whole(whole, 40);
    });
}

#[test]
fn half_without_log_and_list_keeps_rate() {
    let mut harness = Harness::start(plan(4));
    wait_for_slots(&harness);
    wait_for("a holder", || holder(&harness, 0).is_some());
    let first = holder(&harness, 0).expect("a holder");
    let group = [first, (first + 1) % 4];
    let other = (first + 2) % 4;
    let workspace = plan(4).workspaces[1].clone();
    check_rate_of(&workspace, &mut harness, |harness, whole| {
        wait_whole(whole, 10);
        harness.cut_group(&group, &[Side::Hosts, Side::Log, Side::List]);
        // The others claim the slot while its holder cannot learn of it.
        wait_for("another holder", || {
            holder(harness, other).is_some_and(|i| !group.contains(&i))
        });
        let caller = harness.caller_of(other, &workspace.name);
        wait_for("tokens of the new holder", || {
            matches!(caller.ask("hello", 1), Got::Whole(_))
        });
        wait_whole(whole, 50);
        harness.reconnect_all();
        wait_whole(whole, 20);
    });
}

#[test]
fn half_without_log_keeps_rate_while_list_lags() {
    let list = ListConfig {
        lag_ms: 2_000,
        ..ListConfig::default()
    };
    let mut harness = Harness::start(Plan { list, ..plan(4) });
    wait_for_slots(&harness);
    check_rate(&mut harness, |harness, whole| {
        wait_whole(whole, 20);
        harness.cut_group(&[0, 1], &[Side::Hosts, Side::Log]);
        harness.replace(3);
        wait_whole(whole, 120);
        harness.reconnect_all();
        wait_whole(whole, 40);
    });
}

/// Guards against refusals for want of a lender while a host that holds slots stops during an outage of the log.
#[test]
fn slot_of_stopping_host_lends_while_log_is_down() {
    let mut harness = Harness::start(Plan {
        tune: |s| s.linger = Duration::from_secs(4),
        ..plan(2)
    });
    wait_for_slots(&harness);
    wait_for("a holder", || holder(&harness, 0).is_some());
    let first = holder(&harness, 0).expect("a holder");
    let other = 1 - first;
    let workspace = plan(2).workspaces[1].clone();
    check_rate_of(&workspace, &mut harness, |harness, whole| {
        wait_whole(whole, 10);
        (0..2).for_each(|i| harness.endpoint(i).faults().set(|f| f.down = true));
        harness.list.faults().set(|f| f.down = true);
        wait_for("an outage of the log", || {
            harness.host(first).homes.progress().is_down
        });
        let caller = harness.caller_of(other, &workspace.name);
        thread::scope(|scope| {
            scope.spawn(|| harness.stop(first));
            wait_for("the stop", || harness.host(first).is_stopping());
            // More than the burst, which may be on loan since before the stop.
            let goal = whole.load(Ordering::Relaxed) + 2 * workspace.burst as usize;
            wait_for("tokens of the stopping host", || {
                assert!(!harness.host(first).is_dead(), "no token was lent");
                whole.load(Ordering::Relaxed) >= goal
            });
            (0..2).for_each(|i| harness.endpoint(i).faults().clear());
            harness.list.faults().clear();
        });
        wait_for("tokens of the next holder", || {
            matches!(caller.ask("hello", 1), Got::Whole(_))
        });
    });
}
