//! Follows and leaves streams as placement changes.

use super::{ownership, stream::Slot};
use crate::{clock::Time, kernel::Host};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Time for which placement must assign a stream to this host before it follows it.
const JOIN_DELAY: Duration = Duration::from_millis(300);
/// Time given to items under way before the repeatable ones are preempted.
pub(super) const YIELD_DELAY: Duration = Duration::from_secs(1);

/// Relation of this host to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderState {
    /// Does not follow it.
    Apart,
    /// Follows it and may claim parts.
    Following,
    /// Follows it and releases its parts.
    Leaving,
}

/// Next step of this host for a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No change.
    Stay,
    /// Start to follow it.
    Open,
    /// Claim nothing more and release the parts.
    Retire,
    /// Claim parts again.
    Resume,
    /// Stop following it as soon as no part is held.
    Close,
}

/// Whether placement assigns a stream to this host, and since when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementWatch {
    last: Option<(bool, Time)>,
}

impl PlacementWatch {
    /// The step at `now`, where `wanted` tells whether placement assigns the stream to this host. A
    /// reader that is no longer wanted stays for `stay`, so that a host that is off the list for a
    /// moment moves no parts.
    pub fn step(&mut self, wanted: bool, state: ReaderState, now: Time, stay: Duration) -> Step {
        let (before, since) = *self.last.get_or_insert((wanted, now));
        let since = if before == wanted { since } else { now };
        self.last = Some((wanted, since));
        let span = now.saturating_sub(since);
        match (state, wanted) {
            (ReaderState::Apart, true) if span >= JOIN_DELAY => Step::Open,
            (ReaderState::Following, false) if span >= stay => Step::Retire,
            (ReaderState::Leaving, true) => Step::Resume,
            (ReaderState::Leaving, false) => Step::Close,
            _ => Step::Stay,
        }
    }
}

/// Applies placement to all streams. Does nothing until the host list was read, because until then
/// this host knows of no other.
pub(super) fn place(host: &Arc<Host>) {
    let streams = &host.batch.streams;
    if streams.is_single() || host.is_stopping() || host.members.fresh().is_none() {
        return;
    }
    for slot in streams.slots() {
        let wanted = streams.readers(host, slot);
        let wanted = wanted.peer(&host.me.name).is_some();
        place_one(host, slot, wanted);
    }
}

fn place_one(host: &Arc<Host>, slot: &Slot, wanted: bool) {
    let stream = slot.followed();
    let state = match &stream {
        None => ReaderState::Apart,
        Some(s) if s.scheduler().is_closing() => ReaderState::Leaving,
        Some(_) => ReaderState::Following,
    };
    let now = host.now();
    let stay = host.settings.lease;
    let step = slot
        .placement
        .lock()
        .expect("placement")
        .step(wanted, state, now, stay);
    match (step, stream) {
        (Step::Open, None) => ownership::follow(host, slot),
        (Step::Retire, Some(stream)) => stream.retire(now),
        (Step::Resume, Some(stream)) => stream.resume(),
        (Step::Close, Some(stream)) => {
            // The log may still take a claim that was under way.
            let closed = *stream.closed.lock().expect("closed");
            let is_late = closed.is_some_and(|t| now.saturating_sub(t) >= YIELD_DELAY);
            if is_late && !slot.close() {
                stream.is_yielding.store(true, Ordering::Relaxed);
            }
        }
        _ => {}
    }
}
