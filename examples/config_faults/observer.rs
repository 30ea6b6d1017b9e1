//! Compares all hosts while operators and faults are active.

use super::{Counts, IN_FORCE, POLL_INTERVAL, Shared};
use gooseberrytack::{fold::Pos, wire::Name};
use std::{
    collections::BTreeMap,
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

/// Last observation of one host.
struct Observed {
    next: u64,
    revision: Pos,
    /// A revision that another host already has, and when that was first seen.
    behind: Option<(Pos, Instant)>,
}

/// Polls all hosts until the run has ended and none has advanced for two seconds.
pub fn observe(shared: &Shared) -> Counts {
    let mut counts = Counts::default();
    let mut seen: BTreeMap<Name, Observed> = BTreeMap::new();
    let mut digests: BTreeMap<u64, u64> = BTreeMap::new();
    let mut quiet = Instant::now();
    while !shared.ended.load(Ordering::Relaxed) || quiet.elapsed() < Duration::from_secs(2) {
        let hosts = shared.hosts.read().expect("hosts").clone();
        let snapshots: Vec<_> = hosts.iter().map(|h| (h, h.config.snapshot())).collect();
        let newest = snapshots.iter().filter_map(|(_, (_, s))| s.as_ref());
        let newest = newest.map(|s| s.revision).max().unwrap_or(0);
        for (host, (progress, state)) in snapshots.iter().filter(|(h, _)| !h.is_dead()) {
            let state = state.as_ref().expect("state");
            let known = seen.entry(host.me.name.clone()).or_insert(Observed {
                next: 0,
                revision: 0,
                behind: None,
            });
            if progress.next < known.next || state.revision < known.revision {
                counts.reverted += 1;
                println!("reverted: {} to {}", host.me.name, progress.next);
            }
            if progress.next != known.next {
                quiet = Instant::now();
                let bytes = rmp_serde::to_vec(state).expect("encode");
                let digest = twox_hash::XxHash64::oneshot(0, &bytes);
                if *digests.entry(progress.next).or_insert(digest) != digest {
                    counts.diverged += 1;
                    println!("diverged: {} at {}", host.me.name, progress.next);
                }
            }
            known.next = progress.next;
            known.revision = state.revision;
            counts.late += usize::from(is_late(known, newest, &mut counts.spans));
        }
        thread::sleep(POLL_INTERVAL);
    }
    counts
}

/// Whether a host took longer than allowed to reach a revision that another host had.
fn is_late(known: &mut Observed, newest: Pos, spans: &mut Vec<u128>) -> bool {
    match known.behind {
        Some((revision, since)) if known.revision >= revision => {
            known.behind = None;
            spans.push(since.elapsed().as_millis());
            let late = since.elapsed() > IN_FORCE;
            if late {
                println!("late by {:?}", since.elapsed());
            }
            late
        }
        None if known.revision < newest => {
            known.behind = Some((newest, Instant::now()));
            false
        }
        _ => false,
    }
}
