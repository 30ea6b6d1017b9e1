//! Admission to one backend server: what holds a slot, what waits, and what must give way.

use crate::{
    clock::Time,
    fold::Pos,
    share::{Fair, Tag, Waits},
    wire::{Class, Name},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time without a renewal after which a slot is free again.
pub const SLOT_LEASE: Duration = Duration::from_secs(3);
/// Time after the answer to its last question after which a waiting request is forgotten.
pub const WAIT_LEASE: Duration = Duration::from_secs(1);
/// Time after the start of a gate in which batch work is held back, because hosts have yet to
/// report the slots that an earlier gate granted.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Workspaces above which those without work at the server are forgotten.
const TRACKED_MAX: usize = 256;
/// Most requests that wait for one server.
pub const QUEUE_MAX: usize = 4096;

/// Asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Id of the attempt, unique.
    pub id: Name,
    /// Host that will hold the slot.
    pub holder: Name,
    /// Workspace.
    pub workspace: Name,
    /// Model.
    pub model: Name,
    /// Adapter of the model, if any.
    pub adapter: Option<Name>,
    /// Priority.
    pub class: Class,
    /// Tokens expected.
    pub cost: u32,
    /// Batch: age of the job as the position of its acceptance; lower is older. Zero for online.
    pub since: Pos,
}

/// Answer to [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The slot is the holder's until it is released or its lease ends.
    Granted,
    /// The request has a place in the queue; to be asked again.
    Waiting,
    /// No slot is free, and the request keeps no place.
    Busy,
}

/// Counts of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Online requests that hold a slot.
    pub online: u32,
    /// Batch items that hold a slot.
    pub batch: u32,
    /// Online requests that wait.
    pub waiting: u32,
    /// Batch items that wait.
    pub backlog: u32,
    /// Slots of the server.
    pub slots: u32,
}

/// Consequences of a change, to be carried out by the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Turn {
    /// Attempts that got a slot.
    pub granted: Vec<Name>,
    /// Batch attempts to cancel at the server at once.
    pub evicted: Vec<Name>,
}

/// The admission queue of one server.
#[derive(Debug, Clone)]
pub struct Queue {
    slots: u32,
    began: Time,
    /// Sorted by id.
    held: Vec<Held>,
    /// Sorted so that the next to serve is last.
    waiting: Vec<Waiting>,
    online: Fair,
    batch: Waits,
    arrivals: u64,
}

#[derive(Debug, Clone)]
struct Held {
    request: SlotRequest,
    weight: u32,
    granted: u64,
    until: Time,
    /// Whether it was told to give way.
    evicted: bool,
    /// The server ended it; its holder has yet to tell how many tokens it used.
    ended: bool,
}

#[derive(Debug, Clone)]
struct Waiting {
    request: SlotRequest,
    weight: u32,
    start: Tag,
    arrival: u64,
    seen: Time,
}

impl Waiting {
    fn order(&self) -> (Class, Tag, u64) {
        (self.request.class, self.start, self.arrival)
    }
}

impl Queue {
    /// An empty queue for a server that runs `slots` requests side by side.
    pub fn new(slots: u32, now: Time) -> Self {
        Self {
            slots: slots.max(1),
            began: now,
            held: Vec::new(),
            waiting: Vec::new(),
            online: Fair::default(),
            batch: Waits::default(),
            arrivals: 0,
        }
    }

    /// Sets the number of slots.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Asks for a slot, or asks again for a request that waits. The same question gets the same
    /// slot, so that a lost answer loses none.
    pub fn request(
        &mut self,
        now: Time,
        request: &SlotRequest,
        weight: u32,
        may_wait: bool,
    ) -> (Verdict, Turn) {
        self.expire(now);
        if self.find(&request.id).is_ok() {
            return (Verdict::Granted, Turn::default());
        }
        match self.waiting.iter_mut().find(|w| w.request.id == request.id) {
            Some(waiting) => waiting.seen = now,
            None => self.arrive(now, request, weight),
        }
        let turn = self.serve(now);
        if self.find(&request.id).is_ok() {
            return (Verdict::Granted, turn);
        }
        if self.waiting.len() <= QUEUE_MAX && may_wait {
            return (Verdict::Waiting, turn);
        }
        self.withdraw(&request.id);
        (Verdict::Busy, turn)
    }

    /// Keeps the place of a request whose question waits for its answer until `end`.
    pub fn keep(&mut self, id: &str, end: Time) {
        if let Some(waiting) = self.waiting.iter_mut().find(|w| *w.request.id == *id) {
            waiting.seen = waiting.seen.max(end);
        }
    }

    /// Takes over what the batch work of a workspace was served by the whole fleet.
    pub fn note_served(&mut self, workspace: &Name, served: Tag) {
        self.batch.note(workspace, served);
    }

    /// Virtual time of batch work: the least that a workspace with work waiting was served.
    pub fn virtual_time(&self) -> Tag {
        let waiting = self
            .waiting
            .iter()
            .filter(|w| w.request.class == Class::Batch);
        let tags = waiting.map(|w| self.batch.tag(&w.request.workspace));
        tags.min().unwrap_or(self.batch.virtual_time())
    }

    /// Takes a request that waits out of the queue.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(at) = self.waiting.iter().position(|w| *w.request.id == *id) {
            let gone = self.waiting.remove(at);
            if gone.request.class == Class::Online {
                self.settle(&gone.request, gone.weight, 0);
            }
        }
    }

    /// Gives a slot back after `used` tokens.
    pub fn release(&mut self, now: Time, id: &str, used: u32) -> Turn {
        if let Ok(at) = self.find(id) {
            let gone = self.held.remove(at);
            self.settle(&gone.request, gone.weight, used);
        }
        self.serve(now)
    }

    /// Notes that the server ended a batch attempt that had to give way.
    pub fn confirm(&mut self, now: Time, id: &str) -> Turn {
        match self.find(id) {
            Ok(at) if self.held[at].evicted => {
                self.held[at].ended = true;
                self.serve(now)
            }
            _ => Turn::default(),
        }
    }

    /// Whether the attempt was told to give way and neither its server nor its holder ended it.
    pub fn is_ending(&self, id: &str) -> bool {
        self.find(id)
            .is_ok_and(|at| self.held[at].evicted && !self.held[at].ended)
    }

    /// Host that holds the slot of the attempt `id`.
    pub fn holder(&self, id: &str) -> Option<Name> {
        let at = self.find(id).ok()?;
        Some(self.held[at].request.holder.clone())
    }

    /// Renews a slot; takes it over if an earlier gate granted it.
    pub fn renew(&mut self, now: Time, request: &SlotRequest, weight: u32) {
        match self.find(&request.id) {
            Ok(at) => self.held[at].until = now + SLOT_LEASE,
            Err(at) => {
                self.withdraw(&request.id);
                let held = self.hold(now, request.clone(), weight);
                self.held.insert(at, held);
            }
        }
    }

    /// Drops slots whose lease ended and requests that nobody asks for any more.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|h| h.until > now);
        self.waiting.retain(|w| w.seen + WAIT_LEASE > now);
        if self.batch.tracked() > TRACKED_MAX {
            let (held, waiting) = (&self.held, &self.waiting);
            let asks = || {
                held.iter()
                    .map(|h| &h.request)
                    .chain(waiting.iter().map(|w| &w.request))
            };
            self.batch
                .retain(|name| asks().any(|a| a.workspace == *name));
        }
        if self.held.is_empty() && self.waiting.is_empty() {
            self.online.rest();
        }
    }

    /// Grants free slots: online first, and batch only what online leaves. An online request takes
    /// the slot of a batch attempt at once, while that is being cancelled at the server. Batch work
    /// takes it only after the server ended the attempt.
    pub fn serve(&mut self, now: Time) -> Turn {
        let mut turn = Turn::default();
        while let Some(at) = self.next() {
            let class = self.waiting[at].request.class;
            if !self.has_room(now, class) {
                break;
            }
            let next = self.waiting.remove(at);
            match class {
                Class::Online => self.online.serve(next.start),
                Class::Batch => {
                    let SlotRequest {
                        workspace, cost, ..
                    } = &next.request;
                    self.batch.serve(workspace, next.weight, *cost);
                }
            }
            turn.granted.push(next.request.id.clone());
            let held = self.hold(now, next.request, next.weight);
            let at = self.find(&held.request.id).unwrap_or_else(|at| at);
            self.held.insert(at, held);
        }
        self.evict(&mut turn);
        turn
    }

    /// Place in the queue of the next to serve. Batch work is chosen by what its workspace was served
    /// by the whole fleet until now, and among the work of one workspace the oldest job comes first,
    /// however often it gave way.
    fn next(&self) -> Option<usize> {
        let last = self.waiting.last()?;
        if last.request.class == Class::Online {
            return Some(self.waiting.len() - 1);
        }
        let served = |w: &Waiting| {
            let tag = self.batch.tag(&w.request.workspace);
            (tag, w.request.since, w.arrival)
        };
        (0..self.waiting.len()).min_by_key(|at| served(&self.waiting[*at]))
    }

    /// Requests for `model` that hold a slot or wait.
    pub fn running(&self, model: &str) -> usize {
        let held = self.held.iter().map(|h| &h.request);
        let asks = held.chain(self.waiting.iter().map(|w| &w.request));
        asks.filter(|a| *a.model == *model).count()
    }

    /// Whether nothing runs and nothing waits.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty()
    }

    /// Present counts.
    pub fn counts(&self) -> Counts {
        let held = |c| self.active().filter(|h| h.request.class == c).count() as u32;
        let waiting = |c| self.waiting.iter().filter(|w| w.request.class == c).count() as u32;
        Counts {
            online: held(Class::Online),
            batch: held(Class::Batch),
            waiting: waiting(Class::Online),
            backlog: waiting(Class::Batch),
            slots: self.slots,
        }
    }

    fn active(&self) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(|h| !h.ended)
    }

    fn has_room(&self, now: Time, class: Class) -> bool {
        match class {
            Class::Online => {
                let online = self.active().filter(|h| h.request.class == Class::Online);
                online.count() < self.slots as usize
            }
            Class::Batch => {
                self.active().count() < self.slots as usize && now >= self.began + SETTLE
            }
        }
    }

    /// Tells batch attempts to give way until what stays has room: those of the youngest jobs first, so
    /// that a burst of jobs ends one after the other and not all of them late.
    fn evict(&mut self, turn: &mut Turn) {
        let staying = self.active().filter(|h| !h.evicted).count();
        for _ in self.slots as usize..staying {
            let batch = self.held.iter_mut();
            let victim = batch
                .filter(|h| h.request.class == Class::Batch && !h.evicted)
                .max_by_key(|h| (h.request.since, h.granted));
            let Some(victim) = victim else {
                return;
            };
            victim.evicted = true;
            turn.evicted.push(victim.request.id.clone());
        }
    }

    fn arrive(&mut self, now: Time, request: &SlotRequest, weight: u32) {
        self.arrivals += 1;
        let start = match request.class {
            Class::Online => self.online.arrive(&request.workspace, weight, request.cost),
            Class::Batch => 0,
        };
        let waiting = Waiting {
            start,
            request: request.clone(),
            weight,
            arrival: self.arrivals,
            seen: now,
        };
        let order = waiting.order();
        let at = self.waiting.partition_point(|w| w.order() > order);
        self.waiting.insert(at, waiting);
    }

    fn hold(&mut self, now: Time, request: SlotRequest, weight: u32) -> Held {
        self.arrivals += 1;
        Held {
            request,
            weight,
            granted: self.arrivals,
            until: now + SLOT_LEASE,
            evicted: false,
            ended: false,
        }
    }

    fn settle(&mut self, request: &SlotRequest, weight: u32, used: u32) {
        let SlotRequest {
            workspace, cost, ..
        } = request;
        match request.class {
            Class::Online => self.online.settle(workspace, weight, *cost, used),
            Class::Batch => self.batch.settle(workspace, weight, *cost, used),
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| (*h.request.id).cmp(id))
    }
}
