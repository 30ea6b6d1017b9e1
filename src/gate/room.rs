//! Room in a queue: which class of request gets a slot, and which attempts are preempted for it.

use super::{
    queue::{Held, Queue, SETTLE},
    slot::Effects,
};
use crate::{clock::Time, wire::Class};

impl Queue {
    /// Sets the number of slots; zero counts as one.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Keeps `reserve` slots free of new batch work, those that online requests hold included.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Sets the concurrency limits: grants batch work only below `batch` requests, and has online ones preempt
    /// it above `all`.
    pub fn set_concurrency(&mut self, batch: u32, all: u32) {
        self.concurrency = (batch, all);
    }

    /// Whether batch work gets no slot because none is free for it, and not because the gate is new.
    pub fn lacks_batch_slot(&self, now: Time) -> bool {
        now >= self.started + SETTLE && !self.has_room(now, Class::Batch)
    }

    pub(super) fn active(&self) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(|h| !h.ended)
    }

    pub(super) fn has_room(&self, now: Time, class: Class) -> bool {
        match class {
            Class::Online => self.online_held() < self.slots as usize,
            Class::Batch => {
                let held = self.active().count();
                now >= self.started + SETTLE
                    && held < self.concurrency.0 as usize
                    && held + self.unused_reserve() < self.slots as usize
            }
        }
    }

    /// Slots kept free of batch work that no online request holds.
    fn unused_reserve(&self) -> usize {
        match self.reserve {
            // Most deployments keep no slots free.
            0 => 0,
            reserve => (reserve as usize).saturating_sub(self.online_held()),
        }
    }

    /// Number of slots that online requests hold.
    fn online_held(&self) -> usize {
        let is_online = |h: &&Held| h.request.class == Class::Online;
        self.active().filter(is_online).count()
    }

    /// Preempts batch attempts until the rest fit the slots. Attempts of the youngest jobs go first, so
    /// that the jobs of a burst end one after the other instead of all late. Above the learned limit, each
    /// of `online` new online requests preempts one; a limit that falls preempts none by itself.
    pub(super) fn preempt(&mut self, effects: &mut Effects, online: usize) {
        let staying = self.active().filter(|h| !h.preempted).count();
        let above = |most: u32| staying.saturating_sub(most as usize);
        for _ in 0..above(self.slots).max(above(self.concurrency.1).min(online)) {
            let batch = self.held.iter_mut();
            let youngest = batch
                .filter(|h| h.request.class == Class::Batch && !h.preempted)
                .max_by_key(|h| (h.request.since, h.grant));
            let Some(youngest) = youngest else {
                return;
            };
            youngest.preempted = true;
            effects.preempted.push(youngest.request.id.clone());
        }
    }
}
