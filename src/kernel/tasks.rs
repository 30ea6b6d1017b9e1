//! Runs the periodic tasks of all roles: short ones on one thread, those that may block on a pool.

use super::{Host, Task};
use crate::{clock::Time, threads::Pool};
use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Longest time between two checks of what is due.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// A run may be delayed by its task's interval divided by this, so that one wake-up starts several runs.
const DELAY_DIVISOR: u32 = 4;
/// Upper bound of that delay.
const DELAY_MAX: Duration = Duration::from_millis(50);

/// A periodic task.
#[derive(Debug)]
struct Entry {
    task: &'static Task,
    next: Arc<Mutex<Next>>,
}

/// When the next run of a task begins.
#[derive(Debug, Clone, Copy)]
enum Next {
    At(Time),
    /// Not scheduled until the current run ends.
    Running,
}

/// Runs `tasks` until `host` is dead.
///
/// # Errors
/// A thread cannot be started.
pub(super) fn run_all(
    host: &Arc<Host>,
    tasks: impl Iterator<Item = &'static Task>,
) -> io::Result<()> {
    let (own, periodic): (Vec<&Task>, Vec<&Task>) = tasks.partition(|t| t.every.is_zero());
    for task in own {
        let host = host.clone();
        let run = move || {
            while !host.is_dead() {
                (task.run)(&host);
            }
        };
        thread::Builder::new().name(task.name.into()).spawn(run)?;
    }
    let entry = |task| Entry {
        task,
        next: Arc::new(Mutex::new(Next::At(Time::ZERO))),
    };
    let entries: Vec<Entry> = periodic.into_iter().map(entry).collect();
    let host = host.clone();
    let run = move || run_periodic(&host, &entries, &Pool::new("task"));
    thread::Builder::new()
        .name("tasks".into())
        .spawn(run)
        .map(drop)
}

fn run_periodic(host: &Arc<Host>, entries: &[Entry], pool: &Pool) {
    while !host.is_dead() {
        for entry in entries.iter().filter(|e| e.is_due(host.now())) {
            entry.run(host, pool);
        }
        let next = entries.iter().filter_map(Entry::latest).min();
        let left = |due: Time| due.saturating_sub(host.now());
        host.sleep(next.map_or(CHECK_EVERY, |due| left(due).min(CHECK_EVERY)));
    }
}

impl Entry {
    /// When the next run is due; `None` during a run.
    fn due(&self) -> Option<Time> {
        match *self.next.lock().expect("next run") {
            Next::At(due) => Some(due),
            Next::Running => None,
        }
    }

    /// Latest start of the next run: its due time plus the allowed delay.
    fn latest(&self) -> Option<Time> {
        let delay = (self.task.every / DELAY_DIVISOR).min(DELAY_MAX);
        self.due().map(|due| due + delay)
    }

    fn is_due(&self, now: Time) -> bool {
        self.due().is_some_and(|due| due <= now)
    }

    fn run(&self, host: &Arc<Host>, pool: &Pool) {
        let task = self.task;
        *self.next.lock().expect("next run") = Next::Running;
        let (host, running) = (host.clone(), Running::new(host, self));
        let run = move || {
            let _running = running;
            (task.run)(&host);
        };
        if !task.waits {
            return run();
        }
        // If no thread can be started, the closure is dropped and `Running` schedules the task again.
        if let Err(error) = pool.run(run) {
            tracing::warn!(task = task.name, %error, "task_not_run");
        }
    }
}

/// A run in progress. Its drop, also by a panic, schedules the next run a whole interval later: some
/// tasks check that an interval has passed since their last work.
struct Running {
    host: Arc<Host>,
    every: Duration,
    next: Arc<Mutex<Next>>,
}

impl Running {
    fn new(host: &Arc<Host>, entry: &Entry) -> Self {
        Self {
            host: host.clone(),
            every: entry.task.every,
            next: entry.next.clone(),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let due = self.host.now() + self.every;
        *self.next.lock().expect("next run") = Next::At(due);
    }
}
