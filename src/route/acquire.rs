//! Gets a slot of a backend server.

use super::dispatch::{Run, Sink};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    gate::{Counts, Reply, Slot, SlotRequest},
    timeline::Happening,
    wire::{Class, Name},
};
use std::{sync::atomic::Ordering, thread, time::Duration};

/// How long one question of batch work waits at a gate.
const BATCH_ROUND: Duration = Duration::from_millis(500);
/// Rounds that batch work waits at one server before it looks at the others again.
const BATCH_ROUNDS: u32 = 6;
/// Time after which batch work without a slot is given back.
const BATCH_PATIENCE: Duration = Duration::from_secs(5);
/// Pause when no gate answers or no server takes work.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for a server when all are set aside or no gate answers.
const PAUSES_MAX: Duration = Duration::from_secs(2);

/// Time to come back for a request that waited for a slot in vain: about as long as a generation
/// takes, after which slots are free again.
const COME_BACK: Duration = Duration::from_millis(500);

/// What came of asking around without waiting.
pub(super) enum Asked {
    Slot(Slot),
    /// The server with the shortest queue.
    Shortest(Name),
    None,
}

impl<S: Sink> Run<'_, S> {
    /// Gets a slot of a server that can run the work.
    ///
    /// # Errors
    /// No slot by the deadline, or nobody wants the answer any more.
    pub(super) fn acquire(&mut self) -> Res<Slot> {
        let ask = self.next_ask();
        let began = self.host.now();
        let patience = began + BATCH_PATIENCE;
        let mut pauses = Duration::ZERO;
        loop {
            self.look()?;
            if self.may_give_back() && self.host.now() >= patience {
                return Err(Fail::new(Kind::Overloaded, "no spare capacity"));
            }
            let order = match self.host.routes.order(self.host, self.work, &self.tried) {
                Ok(order) => order,
                // A server may be due for a probe soon.
                Err(_) if pauses < PAUSES_MAX && self.may_pause() => {
                    thread::sleep(PAUSE);
                    pauses += PAUSE;
                    continue;
                }
                Err(fail) => return Err(fail),
            };
            match self.ask_around(&ask, &order) {
                Asked::Slot(slot) => return Ok(self.granted(slot, began)),
                Asked::Shortest(server) => {
                    if let Some(slot) = self.wait_at(&ask, &server)? {
                        return Ok(self.granted(slot, began));
                    }
                }
                Asked::None if pauses < PAUSES_MAX => {
                    thread::sleep(PAUSE);
                    pauses += PAUSE;
                }
                Asked::None => {
                    let text = "no server that has the model takes work now";
                    return Err(Fail::new(Kind::Overloaded, text));
                }
            }
        }
    }

    /// Whether somebody else may take the work over. Not if it already has tokens: they would be
    /// generated again.
    fn may_give_back(&self) -> bool {
        self.work.class == Class::Batch && self.pos == 0
    }

    /// Whether a later look at the servers may find more than this one.
    fn may_pause(&self) -> bool {
        let model = &self.work.model;
        let host = self.host;
        self.work.repeatable
            && host.config.view(|s| {
                s.servers
                    .iter()
                    .any(|s| !s.leaving && s.models.contains(model))
            })
    }

    pub(super) fn next_ask(&mut self) -> SlotRequest {
        self.count += 1;
        let id = match self.count {
            1 => self.work.id.clone(),
            n => format!("{}.{n}", self.work.id).into(),
        };
        SlotRequest {
            id,
            holder: self.host.me.name.clone(),
            workspace: self.work.workspace.clone(),
            model: self.work.model.clone(),
            adapter: self.work.adapter.clone(),
            class: self.work.class,
            cost: self.work.tokens.saturating_sub(self.pos).max(1),
            since: self.work.since,
        }
    }

    fn granted(&self, slot: Slot, began: Time) -> Slot {
        let waited = self.host.now().saturating_sub(began);
        self.host.meters.slot(waited);
        let timeline = &self.host.timeline;
        timeline.note(Happening::Granted, &slot.id, None, &slot.server);
        slot
    }

    /// Asks each server in turn for a slot that is free now. Batch work does not ask where it lately
    /// heard that there is none.
    pub(super) fn ask_around(&self, ask: &SlotRequest, order: &[Name]) -> Asked {
        let mut shortest: Option<(f32, &Name)> = None;
        let queue = |c: Counts| (c.waiting + c.backlog) as f32 / c.slots as f32;
        for server in order {
            let full = match self.work.class {
                Class::Online => None,
                Class::Batch => self.host.routes.full(self.host.now(), server),
            };
            if let Some(counts) = full {
                let queue = queue(counts);
                if shortest.is_none_or(|(q, _)| queue < q) {
                    shortest = Some((queue, server));
                }
                continue;
            }
            let reply = self
                .host
                .gates
                .held
                .acquire(self.host, server, ask, Duration::ZERO);
            match reply {
                Ok(Reply::Slot(slot, counts)) => {
                    self.learn(server, counts);
                    return Asked::Slot(slot);
                }
                Ok(Reply::Busy(counts) | Reply::Waiting(counts)) => {
                    self.learn(server, counts);
                    let queue = queue(counts);
                    if shortest.is_none_or(|(q, _)| queue < q) {
                        shortest = Some((queue, server));
                    }
                }
                Ok(Reply::Closed) | Err(_) => {}
            }
        }
        shortest.map_or(Asked::None, |(_, s)| Asked::Shortest(s.clone()))
    }

    /// Waits in the queue of `server`; `None` if another server should be tried.
    fn wait_at(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        let host = self.host;
        let waiting = host.routes.waiting.fetch_add(1, Ordering::Relaxed);
        let full = self.work.class == Class::Online && waiting >= host.settings.waiting;
        let result = if full {
            Err(Fail::new(
                Kind::Overloaded,
                "too many requests of this host wait for a backend server",
            ))
        } else {
            match self.work.class {
                Class::Online => self.wait_online(ask, server),
                Class::Batch => self.wait_batch(ask, server),
            }
        };
        host.routes.waiting.fetch_sub(1, Ordering::Relaxed);
        if !matches!(result, Ok(Some(_))) {
            host.gates.held.release(server, &ask.id, 0);
        }
        result
    }

    /// Keeps the place in the queue of `server` for some rounds.
    fn wait_batch(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        for _ in 0..BATCH_ROUNDS {
            self.look()?;
            let left = self.work.deadline.saturating_sub(self.host.now());
            let held = &self.host.gates.held;
            match held.acquire(self.host, server, ask, BATCH_ROUND.min(left)) {
                Ok(Reply::Slot(slot, counts)) => {
                    self.learn(server, counts);
                    self.look()?;
                    return Ok(Some(slot));
                }
                Ok(Reply::Waiting(counts)) => self.learn(server, counts),
                Ok(Reply::Busy(_)) => return Err(queue_full()),
                Ok(Reply::Closed) | Err(_) => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Whether anybody still waits for the answer.
    pub(super) fn look(&mut self) -> Res<()> {
        if self.host.now() >= self.work.deadline {
            return Err(Fail::new(
                Kind::ExpiredWaiting,
                "the deadline passed before a server was free",
            ));
        }
        if self.sent == 0 && self.host.now() >= self.work.patience {
            let text = "no server is free in time";
            return Err(Fail::new(Kind::Overloaded, text).retry_after(COME_BACK));
        }
        self.sink.check().map_err(|fail| self.unsent(fail))
    }

    /// A withdrawn key is no key as long as nothing was sent.
    fn unsent(&self, fail: Fail) -> Fail {
        if fail.kind == Kind::KeyWithdrawn && self.pos == 0 && self.earlier.is_none() {
            return Fail::new(Kind::Unauthorized, "the key was withdrawn");
        }
        fail
    }

    fn learn(&self, server: &Name, counts: Counts) {
        let servers = std::slice::from_ref(server);
        self.host.routes.learn(self.host.now(), servers, &[counts]);
    }
}

/// The answer to a request that finds no place in a queue.
pub(super) fn queue_full() -> Fail {
    Fail::new(Kind::Overloaded, "the queue is full")
}
