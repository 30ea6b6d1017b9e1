//! Runs the periodic tasks of all roles: short ones on one thread, those that may wait on a pool's.

use super::{Host, Task};
use crate::{clock::Time, threads::Pool};
use std::{
    io,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// Longest time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(100);
/// Part of a task's time by which a run may come late, so that several begin at one look.
const LATE: u32 = 4;
/// Most that a run comes late for that.
const LATE_MAX: Duration = Duration::from_millis(50);

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
    /// Some time after the present one has ended.
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
        let span = next.map_or(LOOK, |due| due.saturating_sub(host.now()).min(LOOK));
        host.rest(span);
    }
}

impl Entry {
    /// When the next run is due; none while one is under way.
    fn due(&self) -> Option<Time> {
        match *self.next.lock().expect("next run") {
            Next::At(due) => Some(due),
            Next::Running => None,
        }
    }

    /// When the next run begins at the latest.
    fn latest(&self) -> Option<Time> {
        let late = (self.task.every / LATE).min(LATE_MAX);
        self.due().map(|due| due + late)
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
        // A run that is not begun is dropped, at which the task is due again.
        if let Err(error) = pool.run(run) {
            tracing::warn!(task = task.name, %error, "task_not_run");
        }
    }
}

/// A run under way. When it is dropped, also by a panic, the next one is due after the task's time: some
/// tasks look whether so much has passed since they last did their work.
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
