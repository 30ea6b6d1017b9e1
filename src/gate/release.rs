//! Releases slots and places in queues, in one message for each gate.

use super::{
    call::{Release, ReleasedSlot},
    gate_key,
    hold::Held,
};
use crate::{
    kernel::Host,
    wire::{Class, Name, Peer},
};
use std::{sync::Arc, time::Duration};

/// Longest wait for a slot to release before the task returns.
const FLUSH_IDLE_MAX: Duration = Duration::from_secs(1);

/// A release that is not sent yet.
#[derive(Debug)]
pub(super) struct PendingRelease {
    slot: ReleasedSlot,
    gate: Option<Peer>,
}

impl Held {
    /// Queues the release of a slot or of a place in a queue.
    pub fn release(&self, server: &Name, id: &Name, used: u32) {
        let mut slots = self.slots.lock().expect("held slots");
        let found = slots.binary_search_by(|s| s.held.request.id.cmp(id)).ok();
        let found = found.filter(|at| slots[*at].held.server == *server);
        let own = found.map(|at| slots.remove(at));
        drop(slots);
        let batch = own.as_ref();
        if let Some(own) = batch.filter(|o| o.held.request.class == Class::Batch) {
            let (workspace, cost) = (&own.held.request.workspace, own.held.request.cost);
            self.shares().settle(workspace, own.weight, cost, used);
        }
        let gate = own.map(|o| o.gate);
        let slot = ReleasedSlot {
            server: server.clone(),
            id: id.clone(),
            used,
        };
        let release = PendingRelease { slot, gate };
        self.outbox.lock().expect("outbox").push(release);
        self.queued.notify_all();
    }

    /// Sends the queued releases, one message for each gate.
    pub(super) fn flush(&self, host: &Arc<Host>) {
        let outbox = self.outbox.lock().expect("outbox");
        let (mut outbox, _) = self
            .queued
            .wait_timeout_while(outbox, FLUSH_IDLE_MAX, |o| o.is_empty())
            .expect("outbox");
        let due = std::mem::take(&mut *outbox);
        drop(outbox);
        let mut batches = Vec::new();
        for pending in due {
            let owner = host.members.owner(&gate_key(&pending.slot.server));
            if let Some(gate) = pending.gate.filter(|g| Some(g) != owner.as_ref()) {
                add(&mut batches, gate, pending.slot.clone());
            }
            if let Some(owner) = owner {
                add(&mut batches, owner, pending.slot);
            }
        }
        for (peer, slots) in batches {
            let servers: Vec<Name> = slots.iter().map(|d| d.server.clone()).collect();
            let counts = if peer.name == host.me.name {
                host.gates.queues.release(host, &slots)
            } else {
                self.send_to(host, &peer, &Release { slots })
            };
            host.routes.learn(host.now(), &servers, &counts);
        }
    }
}

/// Adds an item to those that are sent to `peer`.
pub(super) fn add<T>(batches: &mut Vec<(Peer, Vec<T>)>, peer: Peer, item: T) {
    match batches.iter_mut().find(|(p, _)| *p == peer) {
        Some((_, items)) => items.push(item),
        None => batches.push((peer, vec![item])),
    }
}
