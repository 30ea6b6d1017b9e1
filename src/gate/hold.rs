//! The holding side: asks gates for slots, renews them and gives them back.

use super::{
    call::{Acquire, Admission, CountsReply, HeldSlot, Release, ReleasedSlot, Renew},
    gate_key,
    grant::weight,
    queue::{Counts, SlotRequest, Verdict},
};
use crate::{
    clock::Time,
    error::Res,
    kernel::{Call, Host},
    share::{Local, Tag},
    wire::{Class, Name, Peer},
};
use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// Longest time for an answer of a gate beyond the wait that was asked for.
pub(super) const CALL_LIMIT: Duration = Duration::from_millis(400);
/// Time for which a gate that failed to answer is passed over.
const DOWN: Duration = Duration::from_secs(1);
/// Time for which a gate need not hear of a slot: a third of the lease, so that a lost message or two
/// lose no slot, and less than a new gate waits for word of slots.
const RENEW_AFTER: Duration = Duration::from_secs(1);
/// Longest time without a look at whether there is something to give back.
const NAP: Duration = Duration::from_secs(1);

/// Slots that this host holds, and what it has yet to give back.
#[derive(Debug, Default)]
pub struct Held {
    /// Sorted by id.
    slots: Mutex<Vec<Own>>,
    outbox: Mutex<Vec<Post>>,
    posted: Condvar,
    /// Hosts that lately failed to answer.
    down: Mutex<Vec<Down>>,
    /// What batch work was served.
    shares: Mutex<Local>,
}

/// A slot with the host that granted it.
#[derive(Debug, Clone)]
struct Own {
    kept: HeldSlot,
    weight: u32,
    gate: Peer,
    /// The host that last heard of it, and when.
    told: (Name, Time),
}

impl Own {
    /// Whether `gate` is to be told of the slot now.
    fn is_due(&self, gate: &Name, now: Time) -> bool {
        self.told.0 != *gate || now.saturating_sub(self.told.1) >= RENEW_AFTER
    }
}

/// A slot on its way back.
#[derive(Debug)]
struct Post {
    done: ReleasedSlot,
    gate: Option<Peer>,
}

#[derive(Debug)]
struct Down {
    name: Name,
    until: Time,
}

/// A slot of a backend server; given back when it is dropped.
#[derive(Debug)]
pub struct Slot {
    host: Arc<Host>,
    /// Backend server.
    pub server: Name,
    /// Id of the attempt.
    pub id: Name,
    /// Tokens used so far.
    pub used: u32,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.host
            .gates
            .held
            .release(&self.server, &self.id, self.used);
    }
}

/// What a gate answered.
#[derive(Debug)]
pub enum Reply {
    /// A slot.
    Slot(Slot, Counts),
    /// None yet; ask again.
    Waiting(Counts),
    /// None, and no place in the queue.
    Busy(Counts),
    /// The server takes no new work.
    Closed,
}

impl Held {
    /// Asks the gate of `server` for a slot, or the gate of this host if no other answers.
    ///
    /// # Errors
    /// This host's own gate cannot be asked.
    pub fn acquire(
        &self,
        host: &Arc<Host>,
        server: &Name,
        request: &SlotRequest,
        wait: Duration,
    ) -> Res<Reply> {
        let owners = host.members.owners(&gate_key(server), 2);
        let mut call = Acquire {
            server: server.clone(),
            request: request.clone(),
            served: self.served(request),
            wait,
            force: false,
        };
        let is_up =
            |p: &&Peer| !self.is_down(&p.name, host.now()) && !host.members.is_down(&p.name);
        for peer in owners.iter().filter(is_up) {
            host.members.watch(peer, host.now());
            match self.acquire_from(host, peer, &mut call) {
                Ok((gate, admission)) => return Ok(self.read(host, &call, &gate, &admission)),
                Err(_) => {
                    self.set_down(&peer.name, host.now());
                    call.force = true;
                }
            }
            // What a gate granted without an answer that arrived.
            self.release(server, &request.id, 0);
        }
        // A host that reaches no gate grants for itself: the server refuses what is too much.
        call.force = true;
        let admission = send(host, &host.me, &call)?;
        Ok(self.read(host, &call, &host.me, &admission))
    }

    /// Asks one host, and the one that it names if the gate moved.
    fn acquire_from(
        &self,
        host: &Arc<Host>,
        peer: &Peer,
        call: &mut Acquire,
    ) -> Res<(Peer, Admission)> {
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

    fn read(&self, host: &Arc<Host>, call: &Acquire, gate: &Peer, admission: &Admission) -> Reply {
        let Admission::Answered {
            verdict,
            counts,
            virtual_time,
        } = *admission
        else {
            return Reply::Closed;
        };
        if call.request.class == Class::Batch {
            self.shares().learn(virtual_time);
        }
        match verdict {
            Verdict::Granted => Reply::Slot(self.keep(host, call, gate), counts),
            Verdict::Waiting => Reply::Waiting(counts),
            Verdict::Busy => Reply::Busy(counts),
        }
    }

    /// Tags of the workspaces that this host has batch work of.
    pub(super) fn shares(&self) -> MutexGuard<'_, Local> {
        self.shares.lock().expect("shares")
    }

    fn served(&self, request: &SlotRequest) -> Tag {
        match request.class {
            Class::Online => 0,
            Class::Batch => self.shares().tag(&request.workspace),
        }
    }

    fn keep(&self, host: &Arc<Host>, call: &Acquire, gate: &Peer) -> Slot {
        let own = Own {
            kept: HeldSlot {
                server: call.server.clone(),
                request: call.request.clone(),
            },
            weight: weight(host, &call.request),
            gate: gate.clone(),
            told: (gate.name.clone(), host.now()),
        };
        let SlotRequest {
            workspace, cost, ..
        } = &call.request;
        let (weight, batch) = (own.weight, call.request.class == Class::Batch);
        let mut slots = self.slots.lock().expect("held slots");
        match slots.binary_search_by(|s| s.kept.request.id.cmp(&call.request.id)) {
            Ok(at) => slots[at] = own,
            Err(at) => {
                slots.insert(at, own);
                if batch {
                    self.shares().charge(workspace, weight, *cost);
                }
            }
        }
        Slot {
            host: host.clone(),
            server: call.server.clone(),
            id: call.request.id.clone(),
            used: 0,
        }
    }

    /// Queues a slot, or a place in a queue, to be given back.
    pub fn release(&self, server: &Name, id: &Name, used: u32) {
        let mut slots = self.slots.lock().expect("held slots");
        let found = slots.binary_search_by(|s| s.kept.request.id.cmp(id)).ok();
        let found = found.filter(|at| slots[*at].kept.server == *server);
        let own = found.map(|at| slots.remove(at));
        drop(slots);
        if let Some(own) = own
            .as_ref()
            .filter(|o| o.kept.request.class == Class::Batch)
        {
            let SlotRequest {
                workspace, cost, ..
            } = &own.kept.request;
            self.shares().settle(workspace, own.weight, *cost, used);
        }
        let gate = own.map(|o| o.gate);
        let done = ReleasedSlot {
            server: server.clone(),
            id: id.clone(),
            used,
        };
        self.outbox
            .lock()
            .expect("outbox")
            .push(Post { done, gate });
        self.posted.notify_all();
    }

    /// Number of slots held.
    pub fn count(&self) -> usize {
        self.slots.lock().expect("held slots").len()
    }

    /// Gives back what is queued, one message for each gate.
    pub(super) fn flush(&self, host: &Arc<Host>) {
        let outbox = self.outbox.lock().expect("outbox");
        let (mut outbox, _) = self
            .posted
            .wait_timeout_while(outbox, NAP, |o| o.is_empty())
            .expect("outbox");
        let due = std::mem::take(&mut *outbox);
        drop(outbox);
        let mut mail = Mail::default();
        for post in due {
            let owner = host.members.owner(&gate_key(&post.done.server));
            if let Some(gate) = post.gate.filter(|g| Some(g) != owner.as_ref()) {
                mail.add(gate, post.done.clone());
            }
            if let Some(owner) = owner {
                mail.add(owner, post.done);
            }
        }
        for (peer, slots) in mail.groups {
            let servers: Vec<Name> = slots.iter().map(|d| d.server.clone()).collect();
            let counts = if peer.name == host.me.name {
                host.gates.queues.release(host, &slots)
            } else {
                self.tell(host, &peer, &Release { slots })
            };
            host.routes.learn(host.now(), &servers, &counts);
        }
    }

    /// Renews the slots held, one message for each gate that has not heard of one of them lately.
    pub(super) fn renew(&self, host: &Arc<Host>) {
        let slots = self.slots.lock().expect("held slots").clone();
        let now = host.now();
        let mut mail = Mail::default();
        for own in slots {
            let owner = host.members.owner(&gate_key(&own.kept.server));
            let owner = owner.filter(|o| !self.is_down(&o.name, now));
            let gate = owner.unwrap_or(own.gate.clone());
            mail.add(gate, own);
        }
        for (peer, slots) in mail.groups {
            if !slots.iter().any(|own| own.is_due(&peer.name, now)) {
                continue;
            }
            let slots: Vec<HeldSlot> = slots.into_iter().map(|own| own.kept).collect();
            let servers: Vec<Name> = slots.iter().map(|k| k.server.clone()).collect();
            let ids: Vec<Name> = slots.iter().map(|k| k.request.id.clone()).collect();
            let counts = if peer.name == host.me.name {
                host.gates.queues.renew(host, &slots)
            } else {
                self.tell(host, &peer, &Renew { slots })
            };
            if !counts.is_empty() {
                self.note_told(&ids, &peer.name, now);
            }
            host.routes.learn(host.now(), &servers, &counts);
        }
    }

    fn note_told(&self, ids: &[Name], gate: &Name, now: Time) {
        let mut slots = self.slots.lock().expect("held slots");
        for id in ids {
            if let Ok(at) = slots.binary_search_by(|s| s.kept.request.id.cmp(id)) {
                slots[at].told = (gate.clone(), now);
            }
        }
    }

    /// Sends a message to a gate; no counts if the gate does not answer.
    fn tell<Q: Call<Reply = CountsReply>>(
        &self,
        host: &Host,
        peer: &Peer,
        call: &Q,
    ) -> Vec<Counts> {
        if self.is_down(&peer.name, host.now()) {
            return Vec::new();
        }
        let noted = host.call(peer.addr, call, CALL_LIMIT);
        if noted.is_err() {
            self.set_down(&peer.name, host.now());
        }
        noted.unwrap_or_default().counts
    }

    fn is_down(&self, name: &str, now: Time) -> bool {
        let down = self.down.lock().expect("down hosts");
        down.iter().any(|d| *d.name == *name && d.until > now)
    }

    fn set_down(&self, name: &Name, now: Time) {
        let mut down = self.down.lock().expect("down hosts");
        down.retain(|d| d.until > now && d.name != *name);
        down.push(Down {
            name: name.clone(),
            until: now + DOWN,
        });
    }
}

fn send(host: &Arc<Host>, peer: &Peer, call: &Acquire) -> Res<Admission> {
    if peer.name == host.me.name {
        return Ok(host.gates.queues.acquire(host, call));
    }
    host.call(peer.addr, call, call.wait + CALL_LIMIT)
}

/// Messages grouped by the host that they go to.
#[derive(Debug)]
struct Mail<T> {
    groups: Vec<(Peer, Vec<T>)>,
}

impl<T> Default for Mail<T> {
    fn default() -> Self {
        Self { groups: Vec::new() }
    }
}

impl<T> Mail<T> {
    fn add(&mut self, peer: Peer, item: T) {
        match self.groups.iter_mut().find(|(p, _)| *p == peer) {
            Some((_, group)) => group.push(item),
            None => self.groups.push((peer, vec![item])),
        }
    }
}
