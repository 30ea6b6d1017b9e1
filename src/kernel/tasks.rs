//! Runs the periodic tasks of all roles: short ones on one thread, those that may wait on a pool's.

use super::{Host, Task};
use crate::{clock::Time, threads::Pool};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Longest time between two looks at what is due.
const LOOK: Duration = Duration::from_millis(200);

/// A periodic task and when it is due.
#[derive(Debug)]
struct Entry {
    task: &'static Task,
    due: Time,
    /// Whether a run has not ended.
    busy: Arc<AtomicBool>,
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
        due: Time::ZERO,
        busy: Arc::default(),
    };
    let entries = periodic.into_iter().map(entry).collect();
    let host = host.clone();
    let run = move || run_periodic(&host, entries, &Pool::new("task"));
    thread::Builder::new()
        .name("tasks".into())
        .spawn(run)
        .map(drop)
}

fn run_periodic(host: &Arc<Host>, mut entries: Vec<Entry>, pool: &Pool) {
    while !host.is_dead() {
        for entry in &mut entries {
            let now = host.now();
            if entry.due <= now {
                entry.due = now + entry.task.every;
                entry.run(host, pool);
            }
        }
        let next = entries.iter().map(|e| e.due).min();
        let now = host.now();
        let span = next.map_or(LOOK, |due| due.saturating_sub(now).min(LOOK));
        host.rest(span);
    }
}

impl Entry {
    /// Begins a run, unless the one before has not ended.
    fn run(&self, host: &Arc<Host>, pool: &Pool) {
        let task = self.task;
        if !task.waits {
            return (task.run)(host);
        }
        if self.busy.swap(true, Ordering::Acquire) {
            return;
        }
        let (host, running) = (host.clone(), Running(self.busy.clone()));
        let started = pool.run(move || {
            let _running = running;
            (task.run)(&host);
        });
        if let Err(error) = started {
            tracing::warn!(task = task.name, %error, "task_not_run");
        }
    }
}

/// A run under way; it has ended when this is dropped, also by a panic.
struct Running(Arc<AtomicBool>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}
