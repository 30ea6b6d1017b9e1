//! Writes snapshots of each stream, on the host that owns the stream.

use super::{LastSnapshot, Offsets, Snapshot, write};
use crate::{
    clock::Clock,
    fold::{Fold, Progress},
    kernel::{Follow, Host, On, Plugin, Task},
    timeline::Happening,
    wire::Name,
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Maximum age of the last read up to the stream's head for a snapshot to be written.
const READ_AGE_MAX: Duration = Duration::from_secs(2);
/// Pause before each append of a chunk.
const APPEND_PAUSE: Duration = Duration::from_millis(20);

inventory::submit! {
    Plugin {
        name: "snapshot",
        routes: &[],
        tasks: &[
            Task { name: "snap_config", every: CHECK_EVERY, run: |h| check(h, &h.config, &h.snapshots.config), waits: true, on: On::Own },
            Task { name: "snap_jobs", every: CHECK_EVERY, run: check_jobs, waits: true, on: On::Own },
            Task { name: "snap_homes", every: CHECK_EVERY, run: |h| check(h, &h.homes, &h.snapshots.homes), waits: true, on: On::Own },
            Task { name: "snap_calls", every: CHECK_EVERY, run: |h| check(h, &h.calls, &h.snapshots.calls), waits: true, on: On::Own },
            Task { name: "snap_quarantine", every: CHECK_EVERY, run: |h| check(h, &h.quarantine, &h.snapshots.quarantine), waits: true, on: On::Own },
        ],
        stop: |_| {},
    }
}

/// Interval at which each stream is checked for a due snapshot.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// The last snapshot that this host wrote of each fixed stream; jobs streams hold their own.
#[derive(Debug, Default)]
pub struct Snapshots {
    config: Mutex<LastSnapshot>,
    homes: Mutex<LastSnapshot>,
    calls: Mutex<LastSnapshot>,
    quarantine: Mutex<LastSnapshot>,
}

fn check_jobs(host: &Arc<Host>) {
    for stream in host.batch.streams.followed() {
        check(host, &stream.jobs, &stream.snapped);
    }
}

fn check<F: Fold>(host: &Arc<Host>, follower: &Follow<F>, last: &Mutex<LastSnapshot>) {
    let now = host.now();
    let progress = follower.progress();
    let offsets = Offsets {
        first: progress.first,
        next: progress.next,
    };
    let is_fresh = progress
        .caught_up
        .is_some_and(|t| now.saturating_sub(t) < READ_AGE_MAX);
    let is_due = last
        .lock()
        .expect("last snapshot")
        .is_due(offsets, now, host.settings.snapshot);
    if !is_due || !is_fresh || host.is_stopping() {
        return;
    }
    let owner = host.members.owner(follower.stream());
    if owner.is_some_and(|peer| peer.name != host.me.name) {
        return;
    }
    let (Progress { next, .. }, Some(state)) = follower.snapshot() else {
        return;
    };
    let snapshot = Snapshot { state, next };
    let id: Name = format!("{}.{:016x}", host.me.name, rand::random::<u64>()).into();
    let pause = || host.clock.sleep(APPEND_PAUSE);
    if let Ok(chunks) = write(&host.log, follower.stream(), &snapshot, &id, pause) {
        last.lock()
            .expect("last snapshot")
            .note_written(host.now(), snapshot.next);
        let note = format!("stream={} chunks={chunks}", follower.stream());
        host.timeline
            .note(Happening::SnapshotWritten, &id, Some(snapshot.next), &note);
    }
}
