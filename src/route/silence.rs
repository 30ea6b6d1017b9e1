//! Decides when a request leaves a server that is silent.
//!
//! A sound server may pause for a second or so, so silence alone ends no answer: an online request keeps
//! its server until it holds a slot on another one.

use super::dispatch::{Run, Sink};
use crate::{
    error::{Fail, Kind},
    gate::Slot,
    quarantine::Admission,
    retry::Next,
    wire::{Class, Name},
};
use std::time::Duration;

/// Silence after which a repeatable online request waits for a slot on another server as well. Callers
/// disconnect after two seconds of silence, which leaves time for that server.
const WAIT_ELSEWHERE_AFTER: Duration = Duration::from_millis(800);
/// Silence after which a batch item leaves its server; longer than the pauses of sound servers.
const LEAVE_BATCH_AFTER: Duration = Duration::from_secs(2);

impl<S: Sink> Run<'_, S> {
    /// Whether the request leaves its server, which has been `silent` for so long. An online request that
    /// leaves has a slot elsewhere and a retry of the budget; without them it goes on waiting.
    pub(super) fn leaves_silent(&mut self, silent: Duration) -> bool {
        if !self.work.repeatable {
            return false;
        }
        match self.work.class {
            Class::Batch => silent >= LEAVE_BATCH_AFTER,
            Class::Online => {
                if silent < WAIT_ELSEWHERE_AFTER {
                    self.places = None;
                    return false;
                }
                self.reserved = self.reserve_elsewhere();
                self.reserved.is_some()
            }
        }
    }

    /// A slot on another server and a retry of the budget, once both are to be had.
    fn reserve_elsewhere(&mut self) -> Option<Slot> {
        let lost = Fail::new(Kind::ServerLost, "");
        let may_leave = self.permit.is_none() && self.next_step(&lost) == Next::Retry;
        if !may_leave || self.host.admit_segments(&self.segments) != Admission::Free {
            return None;
        }
        if self.places.is_none() {
            if !self.host.routes.has_retry() {
                return None;
            }
            let others = self.usable_others();
            if others.is_empty() {
                return None;
            }
            let ask = self.next_ask();
            self.places = Some(self.take_places(&ask, others));
        }
        let slot = match self.places.as_ref()?.granted() {
            Ok(slot) => slot?,
            // No queue takes the request any more; others may at the next check.
            Err(_) => {
                self.places = None;
                return None;
            }
        };
        self.places = None;
        let began = self.host.now();
        let slot = self.note_granted(slot, began);
        self.host.routes.take_retry().then_some(slot)
    }

    /// Servers other than the current one that take work, best first.
    fn usable_others(&self) -> Vec<Name> {
        let mut others = self.others(&self.current).unwrap_or_default();
        others.retain(|s| *s != self.current);
        others
    }
}
