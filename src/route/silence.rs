//! Decides when a request leaves a server that is silent.
//!
//! A sound server may pause for a second or so, so silence alone ends no answer: the request leaves its
//! server only for another one.

use super::{
    acquire::AskResult,
    dispatch::{Reserved, Run, Sink},
};
use crate::{
    clock::Time,
    error::{Fail, Kind},
    gate::Slot,
    retry::Next,
    wire::{Class, Name},
};
use std::time::Duration;

/// Silence after which a repeatable request goes on at another server that has a free slot.
const MOVE_AFTER: Duration = Duration::from_millis(800);
/// Silence after which an online request gives its slot up and waits for another one. Callers disconnect
/// after two seconds of silence, which leaves time for that server.
const LEAVE_AFTER: Duration = Duration::from_millis(1500);
/// Shortest time between two rounds of slot requests.
const ASK_EVERY: Duration = Duration::from_millis(100);

impl<S: Sink> Run<'_, S> {
    /// Whether the request leaves its server, which has been `silent` for so long. An online request that
    /// leaves holds what it needs to be sent again; without that it goes on waiting.
    pub(super) fn leaves_silent(&mut self, silent: Duration) -> bool {
        if !self.work.repeatable || silent < MOVE_AFTER {
            return false;
        }
        // An item goes on elsewhere or back to its job; it is never lost.
        if self.work.class == Class::Batch {
            return true;
        }
        let lost = Fail::new(Kind::ServerLost, "");
        if self.permit.is_some() || self.next_step(&lost) == Next::GiveUp {
            return false;
        }
        let now = self.host.now();
        let asked = self.reserved.as_ref().map(|r| r.asked);
        if asked.is_some_and(|t| now.saturating_sub(t) < ASK_EVERY) {
            return false;
        }
        let others = self.usable_others();
        if others.is_empty() || (asked.is_none() && !self.host.routes.take_retry()) {
            return false;
        }
        let slot = self.free_slot(&others, now);
        let leaves = slot.is_some() || silent >= LEAVE_AFTER;
        self.reserved = Some(Reserved { slot, asked: now });
        leaves
    }

    fn free_slot(&mut self, servers: &[Name], now: Time) -> Option<Slot> {
        let ask = self.next_ask();
        match self.ask_servers(&ask, servers) {
            AskResult::Slot(slot) => Some(self.note_granted(slot, now)),
            AskResult::Shortest(_) | AskResult::None => None,
        }
    }

    /// Servers other than the current one that take work, best first.
    fn usable_others(&self) -> Vec<Name> {
        let mut others = self.others(&self.current).unwrap_or_default();
        others.retain(|s| *s != self.current);
        others
    }
}
