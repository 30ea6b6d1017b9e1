//! Which streams this host follows: begins and ends as placement changes.

use super::{ownership, stream::Slot};
use crate::{clock::Time, kernel::Host};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Time for which placement must name this host before it follows a stream.
const JOIN_DELAY: Duration = Duration::from_millis(300);
/// Items under way are given up after this time, if they may be repeated.
pub(super) const YIELD_DELAY: Duration = Duration::from_secs(1);

/// Where this host stands with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderState {
    /// It does not follow it.
    Apart,
    /// It follows it and may claim parts.
    Following,
    /// It follows it and gives up its parts.
    Leaving,
}

/// What to do about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderStep {
    /// Nothing.
    Stay,
    /// Follow it.
    Open,
    /// Claim nothing more and give up the parts.
    Retire,
    /// Go on as a reader.
    Resume,
    /// Follow it no more, as soon as no part is held.
    Close,
}

/// What placement has said of a stream, and since when.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementWatch {
    last: Option<(bool, Time)>,
}

impl PlacementWatch {
    /// What to do at `now`, where placement wants this host to read the stream or not. A reader
    /// that is not wanted any more stays for `stay`, so that a list that flickers moves nothing.
    pub fn step(
        &mut self,
        wanted: bool,
        state: ReaderState,
        now: Time,
        stay: Duration,
    ) -> ReaderStep {
        let (before, since) = *self.last.get_or_insert((wanted, now));
        let since = if before == wanted { since } else { now };
        self.last = Some((wanted, since));
        let span = now.saturating_sub(since);
        match (state, wanted) {
            (ReaderState::Apart, true) if span >= JOIN_DELAY => ReaderStep::Open,
            (ReaderState::Following, false) if span >= stay => ReaderStep::Retire,
            (ReaderState::Leaving, true) => ReaderStep::Resume,
            (ReaderState::Leaving, false) => ReaderStep::Close,
            _ => ReaderStep::Stay,
        }
    }
}

/// Follows and leaves streams. Placement counts only once the list was read, for until then this
/// host knows of no other.
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
        (ReaderStep::Open, None) => ownership::follow(host, slot),
        (ReaderStep::Retire, Some(stream)) => stream.retire(now),
        (ReaderStep::Resume, Some(stream)) => stream.resume(),
        (ReaderStep::Close, Some(stream)) => {
            // A claim that was under way may still be accepted.
            let closed = *stream.closed.lock().expect("closed");
            let is_late = closed.is_some_and(|t| now.saturating_sub(t) >= YIELD_DELAY);
            if is_late && !slot.close() {
                stream.is_yielding.store(true, Ordering::Relaxed);
            }
        }
        _ => {}
    }
}
