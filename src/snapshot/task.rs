//! Writes a snapshot of each stream on the host that is in charge of the stream.

use super::{LastSnapshot, Look, Snapshot, write};
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

/// Age of a reading beyond which no snapshot is made of it.
const FRESH: Duration = Duration::from_secs(2);
/// Least time between two appends of a snapshot.
const PACE: Duration = Duration::from_millis(20);

inventory::submit! {
    Plugin {
        name: "snapshot",
        routes: &[],
        tasks: &[
            Task { name: "snap_config", every: LOOK, run: |h| step(h, &h.config, &h.snapshots.config), waits: true, on: On::Own },
            Task { name: "snap_jobs", every: LOOK, run: step_jobs, waits: true, on: On::Own },
            Task { name: "snap_homes", every: LOOK, run: |h| step(h, &h.homes, &h.snapshots.homes), waits: true, on: On::Own },
            Task { name: "snap_calls", every: LOOK, run: |h| step(h, &h.calls, &h.snapshots.calls), waits: true, on: On::Own },
        ],
        stop: |_| {},
    }
}

/// Time between two looks at a stream.
const LOOK: Duration = Duration::from_millis(500);

/// The last snapshots of one host.
#[derive(Debug, Default)]
pub struct Snapshots {
    config: Mutex<LastSnapshot>,
    homes: Mutex<LastSnapshot>,
    calls: Mutex<LastSnapshot>,
}

fn step_jobs(host: &Arc<Host>) {
    for stream in host.batch.streams.followed() {
        step(host, &stream.jobs, &stream.snapped);
    }
}

fn step<F: Fold>(host: &Arc<Host>, follower: &Follow<F>, due: &Mutex<LastSnapshot>) {
    let now = host.now();
    let progress = follower.progress();
    let look = Look {
        first: progress.first,
        next: progress.next,
    };
    let is_fresh = progress
        .caught_up
        .is_some_and(|t| now.saturating_sub(t) < FRESH);
    let is_due = due
        .lock()
        .expect("last snapshot")
        .is_due(look, now, host.settings.snapshot);
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
    let pause = || host.clock.sleep(PACE);
    if let Ok(chunks) = write(&host.log, follower.stream(), &snapshot, &id, pause) {
        due.lock()
            .expect("last snapshot")
            .wrote(host.now(), snapshot.next);
        let note = format!("stream={} chunks={chunks}", follower.stream());
        host.timeline
            .note(Happening::SnapshotWritten, &id, Some(snapshot.next), &note);
    }
}
