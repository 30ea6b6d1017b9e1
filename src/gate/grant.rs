//! Grants slots: the admission queues of the servers whose gate runs on this host.

use super::{
    call::{Acquire, Admission, HeldSlot, ReleasedSlot},
    cancel::Preempted,
    gate_key,
    headroom::Headroom,
    learned::Learned,
    limit::Confirmation,
    queue::Queue,
    slot::{Counts, Effects, SlotRequest, Verdict},
};
use crate::{
    clock::Time,
    config::Server,
    kernel::Host,
    wire::{Class, Name, Peer},
};
use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// Longest time that the gate holds one [`Acquire`] call open while no slot is free.
pub const WAIT_MAX: Duration = Duration::from_millis(500);
/// Longest time between two checks of a waiting call for whether the server is leaving.
const LEAVING_CHECK: Duration = Duration::from_millis(500);

/// The gates that run on one host.
#[derive(Debug, Default)]
pub struct Queues {
    /// Sorted by server.
    gates: Mutex<Vec<Arc<Gate>>>,
    pub(super) cancels: Mutex<Vec<Preempted>>,
    pub(super) preempted: Condvar,
    /// Servers and hosts for which the gates were last created.
    placement: Mutex<Placement>,
}

/// Inputs of the gate placement, kept to detect changes.
#[derive(Debug, Default, PartialEq, Eq)]
struct Placement {
    servers: Vec<Name>,
    hosts: Vec<Peer>,
    is_listed: bool,
}

/// The gate of one server.
#[derive(Debug)]
pub(super) struct Gate {
    pub(super) server: Name,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) queue: Queue,
    /// Calls on this host that wait for a slot.
    waiters: Vec<Waiter>,
    /// Since when this host has been in charge of the gate.
    pub(super) owned_since: Option<Time>,
    /// Whether the limit that the server stated is still in force.
    pub(super) confirmation: Confirmation,
    /// Host that last asked for a slot.
    pub(super) last_holder: Name,
    pub(super) headroom: Headroom,
    /// Its speed and concurrency limit, if the host learns them.
    pub(super) learned: Learned,
}

#[derive(Debug)]
struct Waiter {
    id: Name,
    wake: Arc<Condvar>,
}

impl Gate {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("gate")
    }
}

impl Inner {
    fn note_ownership(&mut self, is_owner: bool, now: Time) {
        self.owned_since = is_owner.then(|| self.owned_since.unwrap_or(now));
    }

    fn wake(&self, granted: &[Name]) {
        for waiter in self.waiters.iter().filter(|w| granted.contains(&w.id)) {
            waiter.wake.notify_all();
        }
    }
}

/// The server `name`, unless it is not declared or is leaving.
fn accepting_server(host: &Host, name: &str) -> Option<Server> {
    let server = host.config.view(|s| s.server(name).cloned());
    server.filter(|s| !s.leaving && !host.routes.departures.has(s))
}

impl Queues {
    /// Answers a request for a slot, waiting up to `call.wait` or [`WAIT_MAX`] while none is free.
    pub(super) fn acquire(&self, host: &Host, call: &Acquire) -> Admission {
        let owner = host.members.owner(&gate_key(&call.server));
        let is_owner = owner.as_ref().is_none_or(|o| o.name == host.me.name);
        if let Some(owner) = owner.filter(|_| !is_owner && !call.force) {
            return Admission::Moved(owner);
        }
        let Some(server) = accepting_server(host, &call.server) else {
            return Admission::Closed;
        };
        let request = &call.request;
        let SlotRequest { model, adapter, .. } = request;
        let is_served = match host.dialect {
            Some(_) => server.models.contains(model),
            None => host
                .orders
                .serves(&call.server, model, adapter.as_deref(), host.now()),
        };
        if !is_served {
            return Admission::Closed;
        }
        let gate = self.gate_for(&server, host.now());
        let weight = weight(host, request);
        let may_wait = !call.wait.is_zero();
        let is_owner = is_owner && is_listed(host);
        let mut inner = gate.lock();
        inner.queue.resize(server.slots);
        inner.note_ownership(is_owner, host.now());
        inner.last_holder = request.holder.clone();
        inner.follow_limit(host, &server, &request.holder);
        inner.follow_learned(host, &server);
        if request.class == Class::Batch {
            inner.queue.note_served(&request.workspace, call.served);
        }
        let (mut verdict, effects) = inner.queue.request(host.now(), request, weight, may_wait);
        self.apply(host, &gate, &mut inner, effects);
        if verdict == Verdict::Waiting {
            let end = host.now() + call.wait.min(WAIT_MAX);
            let Some(waited) = self.wait(host, &gate, inner, call, weight, end) else {
                return Admission::Closed;
            };
            (inner, verdict) = waited;
        }
        inner.note_verdict(host, request, verdict);
        inner.note_running(host);
        if verdict == Verdict::Granted && request.class == Class::Online {
            host.note_granted_stream(request, &server.software);
        }
        Admission::Answered {
            verdict,
            counts: inner.queue.counts(),
            level: inner.queue.virtual_time(),
        }
    }

    /// Waits for a slot until `end`; `None` if the server stops taking new work.
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
            inner.queue.extend_wait(&request.id, end);
            let left = end.saturating_sub(host.now());
            if left.is_zero() || host.is_dead() {
                break;
            }
            let mut pause = left.min(LEAVING_CHECK);
            if let Some(delay) = inner.queue.throttle_delay(host.now()) {
                pause = pause.min(delay);
            }
            let woken = wake.wait_timeout(inner, pause);
            inner = woken.expect("gate").0;
            let effects;
            (answer, effects) = if accepting_server(host, &call.server).is_some() {
                let (verdict, effects) = inner.queue.request(host.now(), request, weight, true);
                (Some(verdict), effects)
            } else {
                inner.queue.withdraw(&request.id);
                host.gates.cold.note_unsent(&call.server, &request.id);
                (None, inner.queue.release_unsent(host.now(), &request.id))
            };
            self.apply(host, gate, &mut inner, effects);
        }
        inner.waiters.retain(|w| !Arc::ptr_eq(&w.wake, &wake));
        answer.map(|verdict| (inner, verdict))
    }

    /// Frees slots or removes waiting requests; returns the servers' counts. `is_sent` tells whether
    /// the attempts may have been sent.
    pub(super) fn release(
        &self,
        host: &Host,
        slots: &[ReleasedSlot],
        is_sent: bool,
    ) -> Vec<Counts> {
        let counts = slots.iter().map(|slot| {
            host.note_released_stream(&slot.id);
            let Some(gate) = self.find(&slot.server) else {
                return Counts::default();
            };
            let mut inner = gate.lock();
            inner.queue.withdraw(&slot.id);
            let effects = match is_sent {
                true => {
                    if inner.queue.holder(&slot.id).is_some() {
                        inner.confirmation.note_ended();
                    }
                    inner.queue.release(host.now(), &slot.id, slot.used)
                }
                false => {
                    host.gates.cold.note_unsent(&slot.server, &slot.id);
                    inner.queue.release_unsent(host.now(), &slot.id)
                }
            };
            inner.note_running(host);
            self.apply(host, &gate, &mut inner, effects);
            inner.queue.counts()
        });
        counts.collect()
    }

    /// Renews the leases of slots; returns the servers' counts.
    pub(super) fn renew(&self, host: &Host, slots: &[HeldSlot]) -> Vec<Counts> {
        let counts = slots.iter().map(|held| {
            let server = host.config.view(|s| s.server(&held.server).cloned());
            let Some(server) = server else {
                return Counts::default();
            };
            let gate = self.gate_for(&server, host.now());
            let weight = weight(host, &held.request);
            let mut inner = gate.lock();
            inner.queue.renew(host.now(), &held.request, weight);
            let effects = inner.queue.serve(host.now());
            self.apply(host, &gate, &mut inner, effects);
            inner.queue.counts()
        });
        counts.collect()
    }

    /// Creates the gates placed on this host, so that their settling time has passed when the first
    /// request comes. Drops idle gates that are placed elsewhere; busy ones are not in charge any more.
    fn sync_gates(&self, host: &Host) {
        let mut placement = self.placement.lock().expect("placement");
        let current = Placement {
            servers: host
                .config
                .view(|s| s.servers.iter().map(|s| s.name.clone()).collect()),
            hosts: host.members.live(),
            is_listed: is_listed(host),
        };
        if *placement == current {
            return;
        }
        let mine = |server: &str| {
            let owner = host.members.owner(&gate_key(server));
            owner.is_some_and(|o| o.name == host.me.name)
        };
        for server in current.servers.iter().filter(|s| mine(s)) {
            if let Some(server) = host.config.view(|s| s.server(server).cloned()) {
                self.gate_for(&server, host.now());
            }
        }
        let mut gates = self.gates.lock().expect("gates");
        gates.retain(|g| mine(&g.server) || !g.lock().queue.is_idle());
        for gate in gates.iter() {
            let is_owner = current.is_listed && mine(&gate.server);
            gate.lock().note_ownership(is_owner, host.now());
        }
        *placement = current;
    }

    /// Follows changes of placement, expires leases and serves the queues.
    pub(super) fn sweep(&self, host: &Host) {
        self.sync_gates(host);
        for gate in self.all() {
            // Without limits the look-up of the server would have no use.
            if host.gates.cold.has_limits()
                && let Some(server) = accepting_server(host, &gate.server)
            {
                self.follow_cold(host, &server);
            }
            let mut inner = gate.lock();
            inner.queue.expire(host.now());
            inner.follow_headroom(host);
            inner.apply_learned(host);
            let effects = inner.queue.serve(host.now());
            inner.note_running(host);
            // Without a grant, the counts are those that the headroom was set by above.
            match effects.granted.is_empty() {
                true => self.deliver(host, &gate, &inner, effects),
                false => self.apply(host, &gate, &mut inner, effects),
            }
        }
    }

    /// Since when this host has been in charge of the gate of `server`; `None` if it is not.
    pub fn owned_since(&self, server: &str) -> Option<Time> {
        self.find(server)?.lock().owned_since
    }

    /// Whether the gate of `server` runs on this host and throttles its grants.
    pub fn is_throttled(&self, server: &str) -> bool {
        self.find(server)
            .is_some_and(|g| g.lock().queue.is_throttled())
    }

    /// Number of requests for `model` that hold a slot of `server` or wait for one.
    pub fn running(&self, server: &str, model: &str) -> usize {
        self.find(server)
            .map_or(0, |g| g.lock().queue.running(model))
    }

    /// Counts of every server that has a gate on this host.
    pub fn counts(&self) -> Vec<(Name, Counts)> {
        let all = self.all();
        let counts = |g: &Arc<Gate>| (g.server.clone(), g.lock().queue.counts());
        all.iter().map(counts).collect()
    }

    /// Has the headroom follow the counts after `effects`, and delivers these.
    pub(super) fn apply(&self, host: &Host, gate: &Arc<Gate>, inner: &mut Inner, effects: Effects) {
        inner.follow_headroom(host);
        self.deliver(host, gate, inner, effects);
    }

    /// Wakes the calls that got a slot and queues the preempted attempts for a cancel.
    fn deliver(&self, host: &Host, gate: &Arc<Gate>, inner: &Inner, effects: Effects) {
        inner.wake(&effects.granted);
        for id in &effects.granted {
            host.gates.cold.note_granted(&gate.server, id, host.now());
        }
        if effects.preempted.is_empty() {
            return;
        }
        let preempted = effects.preempted.into_iter().map(|id| Preempted {
            gate: gate.clone(),
            id,
        });
        self.cancels.lock().expect("cancels").extend(preempted);
        self.preempted.notify_all();
    }

    pub(super) fn all(&self) -> Vec<Arc<Gate>> {
        self.gates.lock().expect("gates").clone()
    }

    pub(super) fn find(&self, server: &str) -> Option<Arc<Gate>> {
        let gates = self.gates.lock().expect("gates");
        let at = gates.binary_search_by(|g| (*g.server).cmp(server)).ok()?;
        Some(gates[at].clone())
    }

    fn gate_for(&self, server: &Server, now: Time) -> Arc<Gate> {
        let mut gates = self.gates.lock().expect("gates");
        match gates.binary_search_by(|g| g.server.cmp(&server.name)) {
            Ok(at) => gates[at].clone(),
            Err(at) => {
                let gate = Arc::new(Gate {
                    server: server.name.clone(),
                    inner: Mutex::new(Inner {
                        queue: Queue::new(server.slots, now),
                        waiters: Vec::new(),
                        owned_since: None,
                        confirmation: Confirmation::default(),
                        last_holder: Name::default(),
                        headroom: Headroom::default(),
                        learned: Learned::new(server.slots, now),
                    }),
                });
                gates.insert(at, gate.clone());
                gate
            }
        }
    }
}

/// Whether other hosts can know that this one is in charge of its gates.
fn is_listed(host: &Host) -> bool {
    host.members.is_listed(&host.me.name)
}

pub(super) fn weight(host: &Host, request: &SlotRequest) -> u32 {
    host.config
        .view(|s| s.workspace(&request.workspace).map_or(1, |w| w.weight))
}
