//! Periodic tasks: the interval counts from the end of a run, and runs do not overlap.

use gooseberrytack::kernel::{Host, On, Plugin, Task};
use standin::{Harness, Plan, wait_for};
use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Interval of the test's tasks.
const EVERY: Duration = Duration::from_millis(40);
/// Duration of a run; longer than the interval, so that one counted from the start would have passed.
const RUN_TIME: Duration = Duration::from_millis(60);
/// Least number of runs of each task.
const RUNS: usize = 10;

/// Start and end of each run.
type Runs = Mutex<Vec<(Instant, Instant)>>;

static SHORT: Runs = Mutex::new(Vec::new());
static WAITING: Runs = Mutex::new(Vec::new());

inventory::submit! {
    Plugin {
        name: "pace",
        routes: &[],
        tasks: &[
            Task { name: "short", every: EVERY, run: |_| run(&SHORT), waits: false, on: On::All },
            Task { name: "waiting", every: EVERY, run: |_| run(&WAITING), waits: true, on: On::All },
        ],
        stop: |_: &Arc<Host>| {},
    }
}

fn run(runs: &Runs) {
    let began = Instant::now();
    thread::sleep(RUN_TIME);
    runs.lock().expect("runs").push((began, Instant::now()));
}

#[test]
fn task_time_counts_from_end() {
    let harness = Harness::bare(Plan {
        hosts: 1,
        ..Plan::default()
    });
    let count = |runs: &Runs| runs.lock().expect("runs").len();
    wait_for("runs", || count(&SHORT) >= RUNS && count(&WAITING) >= RUNS);
    for runs in [&SHORT, &WAITING] {
        let runs = runs.lock().expect("runs").clone();
        for pair in runs.windows(2) {
            let rest = pair[1].0.saturating_duration_since(pair[0].1);
            assert!(rest >= EVERY, "{rest:?} between two runs");
        }
    }
    drop(harness);
}
