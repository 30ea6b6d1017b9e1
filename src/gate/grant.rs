//! The granting side: the queues of the servers that this host is in charge of.

use super::{
    call::{Acquire, Admission, HeldSlot, ReleasedSlot, Yield},
    queue::{Counts, Queue, SlotRequest, Turn, Verdict},
};
use crate::{
    clock::{Clock, Time},
    config::Server,
    engine::{Cancelled, Target},
    http::Timeouts,
    kernel::Host,
    timeline::Happening,
    wire::{Class, Name, Peer},
};
use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::Duration,
};

/// Longest time that one answer waits for a free slot.
pub const WAIT_MAX: Duration = Duration::from_millis(500);
/// Longest time for which a question waits without a look at whether the server leaves.
const LEAVING_LOOK: Duration = Duration::from_millis(500);
/// Longest time for a cancel at a server.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
/// Longest time without a look at whether there is something to cancel.
const NAP: Duration = Duration::from_secs(1);
/// Longest pause before a cancel that found nothing is sent again.
const CANCEL_PAUSE: Duration = Duration::from_millis(100);
/// Pause before it is sent again for the first time; it doubles.
const CANCEL_AGAIN: Duration = Duration::from_millis(2);

/// The queues of one host.
#[derive(Debug, Default)]
pub struct Queues {
    /// Sorted by server.
    gates: Mutex<Vec<Arc<Gate>>>,
    evictions: Mutex<Vec<Eviction>>,
    evicted: Condvar,
    /// What the gates were last made for.
    made_for: Mutex<MadeFor>,
}

/// Servers and live hosts, by which it is told whether placement changed.
#[derive(Debug, Default, PartialEq, Eq)]
struct MadeFor {
    servers: Vec<Name>,
    hosts: Vec<Peer>,
}

/// The gate of one server.
#[derive(Debug)]
struct Gate {
    server: Name,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    queue: Queue,
    /// Questions that wait for their answer on this host.
    waiters: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    id: Name,
    wake: Arc<Condvar>,
}

#[derive(Debug)]
struct Eviction {
    gate: Arc<Gate>,
    id: Name,
}

impl Gate {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("gate")
    }
}

impl Inner {
    fn wake(&self, turn: &Turn) {
        for waiter in self.waiters.iter().filter(|w| turn.granted.contains(&w.id)) {
            waiter.wake.notify_all();
        }
    }
}

/// The server `name`, unless it is gone or leaves.
fn staying(host: &Host, name: &str) -> Option<Server> {
    let server = host.config.view(|s| s.server(name).cloned());
    server.filter(|s| !s.leaving && !host.routes.departures.has(s))
}

impl Queues {
    /// Answers a question for a slot; waits up to its limit while none is free.
    pub(super) fn acquire(&self, host: &Host, call: &Acquire) -> Admission {
        if !call.force
            && let Some(owner) = host.members.owner(&super::gate_key(&call.server))
            && owner.name != host.me.name
        {
            return Admission::Moved(owner);
        }
        let Some(server) = staying(host, &call.server) else {
            return Admission::Closed;
        };
        let SlotRequest { model, adapter, .. } = &call.request;
        let serves = match host.dialect {
            Some(_) => server.models.contains(model),
            None => host
                .orders
                .serves(&call.server, model, adapter.as_deref(), host.now()),
        };
        if !serves {
            return Admission::Closed;
        }
        let gate = self.gate(&server, host.now());
        let weight = weight(host, &call.request);
        let may_wait = !call.wait.is_zero();
        let mut inner = gate.lock();
        inner.queue.resize(server.slots);
        if call.request.class == Class::Batch {
            inner
                .queue
                .note_served(&call.request.workspace, call.served);
        }
        let (mut verdict, turn) = inner
            .queue
            .request(host.now(), &call.request, weight, may_wait);
        self.follow(&gate, &inner, turn);
        if verdict == Verdict::Waiting {
            let end = host.now() + call.wait.min(WAIT_MAX);
            let waited = self.wait(host, &gate, inner, call, weight, end);
            let Some((then, answer)) = waited else {
                return Admission::Closed;
            };
            (inner, verdict) = (then, answer);
        }
        Admission::Answered {
            verdict,
            counts: inner.queue.counts(),
            virtual_time: inner.queue.virtual_time(),
        }
    }

    /// Waits for a slot until `end`; `None` if the server takes no new work any more.
    fn wait<'a>(
        &self,
        host: &Host,
        gate: &'a Arc<Gate>,
        mut inner: MutexGuard<'a, Inner>,
        call: &Acquire,
        weight: u32,
        end: Time,
    ) -> Option<(MutexGuard<'a, Inner>, Verdict)> {
        let request = &call.request;
        let wake = Arc::new(Condvar::new());
        inner.waiters.push(Waiter {
            id: request.id.clone(),
            wake: wake.clone(),
        });
        let mut answer = Some(Verdict::Waiting);
        while answer == Some(Verdict::Waiting) {
            inner.queue.keep(&request.id, end);
            let left = end.saturating_sub(host.now());
            if left.is_zero() || host.is_dead() {
                break;
            }
            inner = wake
                .wait_timeout(inner, left.min(LEAVING_LOOK))
                .expect("gate")
                .0;
            let turn;
            (answer, turn) = if staying(host, &call.server).is_some() {
                let (verdict, turn) = inner.queue.request(host.now(), request, weight, true);
                (Some(verdict), turn)
            } else {
                inner.queue.withdraw(&request.id);
                (None, inner.queue.release(host.now(), &request.id, 0))
            };
            self.follow(gate, &inner, turn);
        }
        inner.waiters.retain(|w| !Arc::ptr_eq(&w.wake, &wake));
        answer.map(|verdict| (inner, verdict))
    }

    /// Takes slots back and returns the servers' counts.
    pub(super) fn release(&self, host: &Host, slots: &[ReleasedSlot]) -> Vec<Counts> {
        let counts = slots.iter().map(|done| {
            let Some(gate) = self.find(&done.server) else {
                return Counts::default();
            };
            let mut inner = gate.lock();
            inner.queue.withdraw(&done.id);
            let turn = inner.queue.release(host.now(), &done.id, done.used);
            self.follow(&gate, &inner, turn);
            inner.queue.counts()
        });
        counts.collect()
    }

    /// Renews slots and returns the servers' counts.
    pub(super) fn renew(&self, host: &Host, slots: &[HeldSlot]) -> Vec<Counts> {
        let counts = slots.iter().map(|kept| {
            let server = host.config.view(|s| s.server(&kept.server).cloned());
            let Some(server) = server else {
                return Counts::default();
            };
            let gate = self.gate(&server, host.now());
            let weight = weight(host, &kept.request);
            let mut inner = gate.lock();
            inner.queue.renew(host.now(), &kept.request, weight);
            let turn = inner.queue.serve(host.now());
            self.follow(&gate, &inner, turn);
            inner.queue.counts()
        });
        counts.collect()
    }

    /// Makes the gates that this host is in charge of, so that they are settled when the first
    /// request comes, and forgets those that it is not and that nobody uses.
    fn make(&self, host: &Host) {
        let mut made_for = self.made_for.lock().expect("placement");
        let now_for = MadeFor {
            servers: host
                .config
                .view(|s| s.servers.iter().map(|s| s.name.clone()).collect()),
            hosts: host.members.live(),
        };
        if *made_for == now_for {
            return;
        }
        let mine = |server: &str| {
            let owner = host.members.owner(&super::gate_key(server));
            owner.is_some_and(|o| o.name == host.me.name)
        };
        for server in now_for.servers.iter().filter(|s| mine(s)) {
            if let Some(server) = host.config.view(|s| s.server(server).cloned()) {
                self.gate(&server, host.now());
            }
        }
        let mut gates = self.gates.lock().expect("gates");
        gates.retain(|g| mine(&g.server) || !g.lock().queue.is_idle());
        *made_for = now_for;
    }

    /// Ends leases and follows changes of placement.
    pub(super) fn sweep(&self, host: &Host) {
        self.make(host);
        let all = self.gates.lock().expect("gates").clone();
        for gate in all {
            let mut inner = gate.lock();
            inner.queue.expire(host.now());
            let turn = inner.queue.serve(host.now());
            self.follow(&gate, &inner, turn);
        }
    }

    /// Requests for `model` that hold a slot of `server` or wait for one.
    pub fn running(&self, server: &str, model: &str) -> usize {
        self.find(server)
            .map_or(0, |g| g.lock().queue.running(model))
    }

    /// Counts of every server that this host granted slots of.
    pub fn counts(&self) -> Vec<(Name, Counts)> {
        let all = self.gates.lock().expect("gates").clone();
        let counts = all
            .iter()
            .map(|g| (g.server.clone(), g.lock().queue.counts()));
        counts.collect()
    }

    /// Cancels batch attempts that gave way, each in a thread of its own.
    pub(super) fn cancel_evicted(&self, host: &Arc<Host>) {
        let queue = self.evictions.lock().expect("evictions");
        let (mut queue, _) = self
            .evicted
            .wait_timeout_while(queue, NAP, |q| q.is_empty())
            .expect("evictions");
        let due = std::mem::take(&mut *queue);
        drop(queue);
        for Eviction { gate, id } in due {
            let host = host.clone();
            thread::spawn(move || host.gates.queues.cancel(&host, &gate, &id));
        }
    }

    /// Cancels an attempt at its server until it ended there or its holder gave the slot back. The
    /// first cancel may overtake the attempt itself, and then finds nothing.
    fn cancel(&self, host: &Host, gate: &Arc<Gate>, id: &Name) {
        let server = &gate.server;
        host.timeline.note(Happening::Preempted, id, None, server);
        let mut pause = CANCEL_AGAIN;
        while gate.lock().queue.is_ending(id) && !host.is_dead() {
            let Some(addr) = host.config.view(|s| s.server(server).map(|s| s.addr)) else {
                return;
            };
            let is_ended = match host.dialect {
                Some(_) => give_way(host, gate, id),
                None => cancel_at(host, addr, id),
            };
            if is_ended {
                let mut inner = gate.lock();
                let turn = inner.queue.confirm(host.now(), id);
                return self.follow(gate, &inner, turn);
            }
            host.clock.sleep(pause);
            pause = CANCEL_PAUSE.min(pause * 2);
        }
    }

    fn follow(&self, gate: &Arc<Gate>, inner: &Inner, turn: Turn) {
        inner.wake(&turn);
        if turn.evicted.is_empty() {
            return;
        }
        let evicted = turn.evicted.into_iter().map(|id| Eviction {
            gate: gate.clone(),
            id,
        });
        self.evictions.lock().expect("evictions").extend(evicted);
        self.evicted.notify_all();
    }

    fn find(&self, server: &str) -> Option<Arc<Gate>> {
        let gates = self.gates.lock().expect("gates");
        let at = gates.binary_search_by(|g| (*g.server).cmp(server)).ok()?;
        Some(gates[at].clone())
    }

    fn gate(&self, server: &Server, now: Time) -> Arc<Gate> {
        let mut gates = self.gates.lock().expect("gates");
        match gates.binary_search_by(|g| g.server.cmp(&server.name)) {
            Ok(at) => gates[at].clone(),
            Err(at) => {
                let gate = Arc::new(Gate {
                    server: server.name.clone(),
                    inner: Mutex::new(Inner {
                        queue: Queue::new(server.slots, now),
                        waiters: Vec::new(),
                    }),
                });
                gates.insert(at, gate.clone());
                gate
            }
        }
    }
}

/// Has the holder of a slot close its connection to the server, at which the server ends the
/// attempt; `true` if it did.
fn give_way(host: &Host, gate: &Gate, id: &Name) -> bool {
    let Some(holder) = gate.lock().queue.holder(id) else {
        return false;
    };
    if holder == host.me.name {
        return host.passing.end(id);
    }
    let ring = host.members.ring();
    let Some(peer) = ring.peer(&holder) else {
        return false;
    };
    let call = Yield { id: id.clone() };
    match host.call(peer.addr, &call, CANCEL_LIMIT) {
        Ok(reply) => reply.found,
        Err(fail) => {
            tracing::info!(id = &**id, peer = &*holder, error = %fail, "yield_not_answered");
            false
        }
    }
}

/// Cancels a generation at a server; `true` if the server says that it ended it.
pub fn cancel_at(host: &Host, addr: std::net::SocketAddr, id: &Name) -> bool {
    let url = format!("http://{addr}/v1/cancel");
    let body = serde_json::to_vec(&Target { id: id.clone() }).unwrap_or_default();
    let fields = [("content-type", "application/json")];
    let limits = Timeouts::within(CANCEL_LIMIT);
    let reply = host.client.call("POST", &url, &fields, &body, limits);
    reply.is_ok_and(|r| serde_json::from_slice::<Cancelled>(&r.body).is_ok_and(|c| c.found))
}

pub(super) fn weight(host: &Host, request: &SlotRequest) -> u32 {
    host.config
        .view(|s| s.workspace(&request.workspace).map_or(1, |w| w.weight))
}
