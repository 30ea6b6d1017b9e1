//! Holds slots: requests them from gates, renews them and releases them.

use super::{
    call::{Acquire, Admission, CountsReply, HeldSlot, Renew},
    gate_key,
    grant::weight,
    limit,
    observe::Observations,
    release::{Outbox, add},
    slot::{Counts, SlotRequest, Verdict},
    suspect,
};
use crate::{
    clock::Time,
    error::Res,
    kernel::{Call, Host},
    member::Backoff,
    share::{HostTags, Tag},
    wire::{Class, Name, Peer},
};
use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// Timeout of a call to a gate, on top of the wait that the call itself asks for.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Hosts that are asked for a slot of a server: the one in charge of its gate, and the one that stands in.
pub(super) const OWNERS: usize = 2;
/// Time for which a host that failed to answer is skipped.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Age at which a slot is renewed: a third of `SLOT_LEASE`, so that one or two lost messages lose
/// no slot, and less than `SETTLE`, so that a new gate learns of it before granting batch work.
const RENEW_AGE: Duration = Duration::from_secs(1);

/// Slots that this host holds, and the releases still to be sent.
#[derive(Debug, Default)]
pub struct Held {
    /// Sorted by id.
    pub(super) slots: Mutex<Vec<GrantedSlot>>,
    pub(super) outbox: Mutex<Outbox>,
    pub(super) queued: Condvar,
    /// What the gates are to be told with the next releases.
    pub(super) observations: Mutex<Observations>,
    /// Hosts that failed to answer within the last `DOWN_TIME`.
    down: Mutex<Backoff>,
    /// Service of batch work by workspace.
    shares: Mutex<HostTags>,
}

/// A slot that this host holds, with the host that granted it.
#[derive(Debug, Clone)]
pub(super) struct GrantedSlot {
    pub(super) held: HeldSlot,
    pub(super) weight: u32,
    pub(super) gate: Peer,
    /// Host that last acknowledged the slot, by a grant or a renewal, and when.
    acked: (Name, Time),
}

impl GrantedSlot {
    /// Whether the slot is to be renewed at `gate` now.
    fn needs_renewal(&self, gate: &Name, now: Time) -> bool {
        self.acked.0 != *gate || now.saturating_sub(self.acked.1) >= RENEW_AGE
    }
}

/// A slot of a backend server, released when dropped.
#[derive(Debug)]
pub struct Slot {
    host: Arc<Host>,
    /// Backend server.
    pub server: Name,
    /// Id of the attempt.
    pub id: Name,
    /// Counts of the server after the grant.
    pub counts: Counts,
    /// Tokens used so far.
    pub used: u32,
    /// Whether the attempt may have been sent.
    pub is_sent: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = &self.host.gates.held;
        match self.is_sent {
            true => held.release(&self.server, &self.id, self.used),
            false => {
                self.host.gates.cold.note_unsent(&self.server, &self.id);
                held.release_unsent(&self.server, &self.id);
            }
        }
    }
}

/// Result of a request for a slot.
#[derive(Debug)]
pub enum Reply {
    /// The slot is granted.
    Slot(Slot, Counts),
    /// The request has a place in the queue; ask again to keep it.
    Waiting(Counts),
    /// No slot is free, and the request has no place in the queue.
    Busy(Counts),
    /// The server takes no new work.
    Closed,
}

impl Held {
    /// Requests a slot from the gate of `server`, or from this host if no other host answers.
    ///
    /// # Errors
    /// The request to this host itself fails.
    pub fn acquire(
        &self,
        host: &Arc<Host>,
        server: &Name,
        request: &SlotRequest,
        wait: Duration,
    ) -> Res<Reply> {
        let owners = host.members.owners(&gate_key(server), OWNERS);
        let mut call = Acquire {
            server: server.clone(),
            request: request.clone(),
            served: self.served(request),
            wait,
            force: false,
        };
        let up = |p: &&Peer| !self.is_down(&p.name, host.now()) && !host.members.is_down(&p.name);
        for peer in owners.iter().filter(up) {
            host.members.watch(peer, host.now());
            match self.request(host, peer, &mut call) {
                Ok((gate, answer)) => return Ok(self.reply(host, &call, &gate, &answer)),
                Err(_) => {
                    self.mark_down(&peer.name, host.now());
                    call.force = true;
                }
            }
            // The gate may have granted a slot although its answer was lost.
            self.release_unsent(server, &request.id);
        }
        // A host that reaches no gate grants slots itself; the server refuses any excess.
        call.force = true;
        let answer = send(host, &host.me, &call)?;
        Ok(self.reply(host, &call, &host.me, &answer))
    }

    /// Requests a slot from `peer`, or from the host that it names if the gate has moved.
    fn request(&self, host: &Arc<Host>, peer: &Peer, call: &mut Acquire) -> Res<(Peer, Admission)> {
        let admission = send(host, peer, call)?;
        let Admission::Moved(owner) = admission else {
            return Ok((peer.clone(), admission));
        };
        call.force = true;
        if self.is_down(&owner.name, host.now()) {
            return Ok((peer.clone(), send(host, peer, call)?));
        }
        let admission = send(host, &owner, call)?;
        Ok((owner, admission))
    }

    fn reply(&self, host: &Arc<Host>, call: &Acquire, gate: &Peer, answer: &Admission) -> Reply {
        let Admission::Answered {
            verdict,
            counts,
            level: virtual_time,
        } = *answer
        else {
            return Reply::Closed;
        };
        if call.request.class == Class::Batch {
            self.shares().advance(virtual_time);
        }
        match verdict {
            Verdict::Granted => Reply::Slot(self.keep(host, call, gate, counts), counts),
            Verdict::Waiting => Reply::Waiting(counts),
            Verdict::Busy => Reply::Busy(counts),
        }
    }

    /// Fair-share tags of the workspaces that have batch work on this host.
    pub(super) fn shares(&self) -> MutexGuard<'_, HostTags> {
        self.shares.lock().expect("shares")
    }

    fn served(&self, request: &SlotRequest) -> Tag {
        match request.class {
            Class::Online => 0,
            Class::Batch => self.shares().tag(&request.workspace),
        }
    }

    fn keep(&self, host: &Arc<Host>, call: &Acquire, gate: &Peer, counts: Counts) -> Slot {
        let request = &call.request;
        let own = GrantedSlot {
            held: HeldSlot {
                server: call.server.clone(),
                request: request.clone(),
            },
            weight: weight(host, request),
            gate: gate.clone(),
            acked: (gate.name.clone(), host.now()),
        };
        let (weight, batch) = (own.weight, request.class == Class::Batch);
        host.gates
            .cold
            .note_granted(&call.server, &request.id, host.now());
        let mut slots = self.slots.lock().expect("held slots");
        match slots.binary_search_by(|s| s.held.request.id.cmp(&request.id)) {
            Ok(at) => slots[at] = own,
            Err(at) => {
                slots.insert(at, own);
                if batch {
                    self.shares()
                        .charge(&request.workspace, weight, request.cost);
                }
            }
        }
        Slot {
            host: host.clone(),
            server: call.server.clone(),
            id: request.id.clone(),
            counts,
            used: 0,
            is_sent: false,
        }
    }

    /// Number of slots that this host holds.
    pub fn count(&self) -> usize {
        self.slots.lock().expect("held slots").len()
    }

    /// Renews the held slots, in one message for each gate that is due a renewal of any of them.
    pub(super) fn renew(&self, host: &Arc<Host>) {
        let slots = self.slots.lock().expect("held slots").clone();
        let now = host.now();
        let mut batches = Vec::new();
        for own in slots {
            let owner = host.members.owner(&gate_key(&own.held.server));
            let owner = owner.filter(|o| !self.is_down(&o.name, now));
            let gate = owner.unwrap_or(own.gate.clone());
            add(&mut batches, gate, own);
        }
        for (peer, slots) in batches {
            if !slots.iter().any(|own| own.needs_renewal(&peer.name, now)) {
                continue;
            }
            let slots: Vec<HeldSlot> = slots.into_iter().map(|own| own.held).collect();
            let servers: Vec<Name> = slots.iter().map(|k| k.server.clone()).collect();
            let ids: Vec<Name> = slots.iter().map(|k| k.request.id.clone()).collect();
            let counts = if peer.name == host.me.name {
                host.gates.queues.renew(host, &slots)
            } else {
                self.send_to(host, &peer, &Renew { slots })
            };
            if !counts.is_empty() {
                self.note_acked(&ids, &peer.name, now);
            }
            host.routes.learn(host.now(), &servers, &counts);
        }
    }

    fn note_acked(&self, ids: &[Name], gate: &Name, now: Time) {
        let mut slots = self.slots.lock().expect("held slots");
        for id in ids {
            if let Ok(at) = slots.binary_search_by(|s| s.held.request.id.cmp(id)) {
                slots[at].acked = (gate.clone(), now);
            }
        }
    }

    /// Sends a message to a gate; returns no counts if the gate does not answer.
    pub(super) fn send_to<Q>(&self, host: &Host, peer: &Peer, call: &Q) -> Vec<Counts>
    where
        Q: Call<Reply = CountsReply>,
    {
        if self.is_down(&peer.name, host.now()) {
            return Vec::new();
        }
        let reply = host.call(peer.addr, call, CALL_TIMEOUT);
        if reply.is_err() {
            self.mark_down(&peer.name, host.now());
        }
        reply.unwrap_or_default().counts
    }

    pub(super) fn is_down(&self, name: &str, now: Time) -> bool {
        self.down.lock().expect("down hosts").contains(name, now)
    }

    pub(super) fn mark_down(&self, name: &Name, now: Time) {
        let mut down = self.down.lock().expect("down hosts");
        down.add(name, now, DOWN_TIME);
    }
}

fn send(host: &Arc<Host>, peer: &Peer, call: &Acquire) -> Res<Admission> {
    if peer.name == host.me.name {
        return Ok(host.gates.queues.acquire(host, call));
    }
    limit::tell(host, peer, &call.server)?;
    suspect::tell(host, peer, &call.server)?;
    host.call(peer.addr, call, call.wait + CALL_TIMEOUT)
}
