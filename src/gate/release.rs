//! Releases slots and places in queues, in one message for each gate.

use super::{
    call::{Release, ReleaseUnsent, ReleasedSlot},
    gate_key,
    hold::Held,
    limit, suspect,
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
    is_sent: bool,
}

/// What gates are to be told.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    releases: Vec<PendingRelease>,
    /// Servers that stated a limit.
    pub(super) limits: Vec<Name>,
    /// Servers that may have started again.
    pub(super) suspects: Vec<Name>,
}

impl Outbox {
    fn is_empty(&self) -> bool {
        self.releases.is_empty() && self.limits.is_empty() && self.suspects.is_empty()
    }
}

impl Held {
    /// Queues the release of a slot whose attempt used `used` tokens.
    pub fn release(&self, server: &Name, id: &Name, used: u32) {
        self.queue_release(server, id, used, true);
    }

    /// Queues the release of a slot or of a place in a queue for an attempt that was not sent.
    pub fn release_unsent(&self, server: &Name, id: &Name) {
        self.queue_release(server, id, 0, false);
    }

    fn queue_release(&self, server: &Name, id: &Name, used: u32, is_sent: bool) {
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
        let release = PendingRelease {
            slot,
            gate,
            is_sent,
        };
        let mut outbox = self.outbox.lock().expect("outbox");
        outbox.releases.push(release);
        drop(outbox);
        self.queued.notify_all();
    }

    /// Sends the queued messages: limits and suspicions first, then releases, in one message of each kind for each gate.
    pub(super) fn flush(&self, host: &Arc<Host>) {
        let outbox = self.outbox.lock().expect("outbox");
        let (mut outbox, _) = self
            .queued
            .wait_timeout_while(outbox, FLUSH_IDLE_MAX, |o| o.is_empty())
            .expect("outbox");
        let due = std::mem::take(&mut *outbox);
        drop(outbox);
        limit::tell_gates(host, &due.limits);
        if !due.suspects.is_empty() {
            let gates = due.releases.iter();
            let gates = gates.filter_map(|r| Some((r.slot.server.clone(), r.gate.clone()?)));
            suspect::tell_gates(host, &due.suspects, &gates.collect::<Vec<_>>());
        }
        let (mut sent, mut unsent) = (Vec::new(), Vec::new());
        for pending in due.releases {
            let owner = host.members.owner(&gate_key(&pending.slot.server));
            // A gate of an earlier build knows only the release of slots that were used.
            let is_unsent = !pending.is_sent && is_limited(host, &pending.slot.server);
            let batches = match is_unsent {
                true => &mut unsent,
                false => &mut sent,
            };
            if let Some(gate) = pending.gate.filter(|g| Some(g) != owner.as_ref()) {
                add(batches, gate, pending.slot.clone());
            }
            if let Some(owner) = owner {
                add(batches, owner, pending.slot);
            }
        }
        for (peer, slots) in sent {
            match host.settings.learn {
                true => self.send_observed(host, &peer, slots),
                false => self.send_releases(host, &peer, slots, true),
            }
        }
        for (peer, slots) in unsent {
            self.send_releases(host, &peer, slots, false);
        }
    }

    fn send_releases(&self, host: &Host, peer: &Peer, slots: Vec<ReleasedSlot>, is_sent: bool) {
        let servers: Vec<Name> = slots.iter().map(|d| d.server.clone()).collect();
        let counts = match is_sent {
            _ if peer.name == host.me.name => host.gates.queues.release(host, &slots, is_sent),
            true => self.send_to(host, peer, &Release { slots }),
            false => self.send_to(host, peer, &ReleaseUnsent { slots }),
        };
        host.routes.learn(host.now(), &servers, &counts);
    }
}

/// Whether the server may be throttled at its gate. With cold limits any server may be, as a suspicion is
/// told to gates and not to holders.
fn is_limited(host: &Host, server: &Name) -> bool {
    let (limits, now) = (&host.routes.limits, host.now());
    host.gates.cold.has_limits()
        || limits.stated(server, now).is_some()
        || host.routes.throttled.has(server, now)
}

/// Adds an item to those that are sent to `peer`.
pub(super) fn add<T>(batches: &mut Vec<(Peer, Vec<T>)>, peer: Peer, item: T) {
    match batches.iter_mut().find(|(p, _)| *p == peer) {
        Some((_, items)) => items.push(item),
        None => batches.push((peer, vec![item])),
    }
}
