//! Starts and stops following jobs streams as placement changes.

use super::{ownership, stream::Slot};
use crate::{clock::Time, kernel::Host};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Time for which placement must assign a stream to this host before it follows it.
const JOIN_DELAY: Duration = Duration::from_millis(300);
/// Time after dispatch stops in which items under way may finish before repeatable ones are
/// preempted; a stream is not closed earlier.
pub(super) const YIELD_DELAY: Duration = Duration::from_secs(1);

/// Relation of this host to a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderState {
    /// Does not follow the stream.
    Apart,
    /// Follows the stream and may claim parts.
    Following,
    /// Still follows the stream; dispatches nothing and releases its parts.
    Leaving,
}

/// Next step of this host for a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// No change.
    Stay,
    /// Start to follow the stream.
    Open,
    /// Stop dispatch and release each part when its items have ended.
    Retire,
    /// Claim parts again.
    Resume,
    /// Stop following it once `YIELD_DELAY` is over, no part is held and no request uses the state.
    Close,
}

/// Debounces placement: whether it last assigned a stream to this host, and since when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementWatch {
    last: Option<(bool, Time)>,
}

impl PlacementWatch {
    /// The step at `now`; `wanted` tells whether placement assigns the stream to this host. A host
    /// retires after `stay` unwanted, so that a short absence from the host list moves no parts.
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

/// Applies placement: opens, retires, resumes or closes each stream. Does nothing before the first
/// read of the host list, because until then this host knows of no other.
pub(super) fn place(host: &Arc<Host>) {
    let streams = &host.batch.streams;
    if streams.is_single() || host.is_stopping() || host.members.fresh().is_none() {
        return;
    }
    for slot in streams.slots() {
        let wanted = streams.readers(host, slot);
        let wanted = wanted.peer(&host.me.name).is_some() || slot.is_needed(host.now());
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
            // A claim sent before dispatch stopped may still reach the log.
            let closed = *stream.closed.lock().expect("closed");
            let is_over = closed.is_some_and(|t| now.saturating_sub(t) >= YIELD_DELAY);
            if is_over && !slot.close() {
                stream.is_yielding.store(true, Ordering::Relaxed);
            }
        }
        _ => {}
    }
}
