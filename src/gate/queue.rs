//! Admission queue of one backend server: slots held, requests waiting, and preemption.

use super::{
    cold::GrantLimit,
    pace::Pace,
    slot::{Counts, Effects, SlotRequest, Verdict},
};
use crate::{
    clock::Time,
    share::{FairQueue, QueueTags, Tag},
    wire::{Class, Name},
};
use std::time::Duration;

/// Time after its last renewal at which a slot becomes free.
pub const SLOT_LEASE: Duration = Duration::from_secs(3);
/// Time after the answer to its last call at which a waiting request loses its place.
pub const WAIT_LEASE: Duration = Duration::from_secs(1);
/// Time after the start of a gate in which it grants no batch work, because hosts have yet to renew
/// the slots that an earlier gate granted.
pub const SETTLE: Duration = Duration::from_secs(2);
/// Number of workspaces with a batch tag above which those without work at the server are dropped.
const TRACKED_WORKSPACES: usize = 256;
/// Most requests in the queue of one server.
pub const QUEUE_MAX: usize = 4096;

/// The admission queue of one server.
#[derive(Debug, Clone)]
pub struct Queue {
    pub(super) slots: u32,
    /// Learned concurrency limits: of batch work, and above which online requests preempt it.
    pub(super) concurrency: (u32, u32),
    pub(super) started: Time,
    /// Sorted by id.
    pub(super) held: Vec<Held>,
    /// Sorted so that the next to serve is last.
    waiting: Vec<Waiting>,
    online: FairQueue,
    batch: QueueTags,
    sequence: u64,
    /// Limits the grants, if the server limits the requests that it takes.
    pace: Pace,
    /// Slots kept free of batch work, those that online requests hold included.
    pub(super) reserve: u32,
}

#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) request: SlotRequest,
    weight: u32,
    pub(super) grant: u64,
    expires: Time,
    /// Whether the attempt is to be cancelled at the server.
    pub(super) preempted: bool,
    /// The server ended the attempt; its holder has yet to report the tokens used.
    pub(super) ended: bool,
    /// Whether the throttle was charged for it.
    is_charged: bool,
}

#[derive(Debug, Clone)]
struct Waiting {
    request: SlotRequest,
    weight: u32,
    start: Tag,
    arrival: u64,
    last_request: Time,
}

impl Waiting {
    fn sort_key(&self) -> (Class, Tag, u64) {
        (self.request.class, self.start, self.arrival)
    }
}

impl Queue {
    /// An empty queue for a server that runs `slots` requests at the same time; zero counts as one.
    pub fn new(slots: u32, now: Time) -> Self {
        Self {
            slots: slots.max(1),
            concurrency: (u32::MAX, u32::MAX),
            started: now,
            held: Vec::new(),
            waiting: Vec::new(),
            online: FairQueue::default(),
            batch: QueueTags::default(),
            sequence: 0,
            pace: Pace::default(),
            reserve: 0,
        }
    }

    /// Grants at most `rate` slots per second from `now` on; any number with `None`.
    pub fn set_rate(&mut self, rate: Option<f64>, now: Time) {
        self.set_rate_limits(rate, None, now);
    }

    /// Limits the grants from `now` on to `stated` slots per second and by the limit of a cold server.
    pub fn set_rate_limits(&mut self, stated: Option<f64>, cold: Option<GrantLimit>, now: Time) {
        self.pace.set(stated, cold, now);
    }

    /// Remembers the grants of the last second from `now` on, or none of them. A queue remembers them unless
    /// told otherwise; only a cold limit needs them.
    pub fn track_grants(&mut self, is_tracked: bool, now: Time) {
        self.pace.track(is_tracked, now);
    }

    /// Whether the number of grants per second is limited.
    pub fn is_throttled(&self) -> bool {
        self.pace.is_limited()
    }

    /// Time until the throttle lets the next waiting request pass; `None` if it holds none back.
    pub fn throttle_delay(&self, now: Time) -> Option<Duration> {
        let next = &self.waiting[self.next()?].request;
        self.pace.delay(now, next.class == Class::Batch)
    }

    /// Requests a slot, or repeats a waiting request. The call is idempotent by the id of the
    /// attempt, so that a lost answer loses no slot.
    pub fn request(
        &mut self,
        now: Time,
        request: &SlotRequest,
        weight: u32,
        may_wait: bool,
    ) -> (Verdict, Effects) {
        self.expire(now);
        if self.find(&request.id).is_ok() {
            return (Verdict::Granted, Effects::default());
        }
        match self.waiting.iter_mut().find(|w| w.request.id == request.id) {
            Some(waiting) => waiting.last_request = now,
            None => self.enqueue(now, request, weight),
        }
        let effects = self.serve(now);
        if self.find(&request.id).is_ok() {
            return (Verdict::Granted, effects);
        }
        if self.waiting.len() <= QUEUE_MAX && may_wait {
            return (Verdict::Waiting, effects);
        }
        self.withdraw(&request.id);
        (Verdict::Busy, effects)
    }

    /// Keeps the place of a waiting request whose call is held open until `end`.
    pub fn extend_wait(&mut self, id: &str, end: Time) {
        if let Some(waiting) = self.waiting.iter_mut().find(|w| *w.request.id == *id) {
            waiting.last_request = waiting.last_request.max(end);
        }
    }

    /// Sets the fleet-wide tag of the batch work of a workspace, as the requesting host knows it.
    pub fn note_served(&mut self, workspace: &Name, served: Tag) {
        self.batch.set(workspace, served);
    }

    /// Virtual time of batch work: the lowest tag of a workspace with batch work waiting.
    pub fn virtual_time(&self) -> Tag {
        let waiting = self.waiting.iter().map(|w| &w.request);
        let batch = waiting.filter(|r| r.class == Class::Batch);
        let tags = batch.map(|r| self.batch.tag(&r.workspace));
        tags.min().unwrap_or(self.batch.virtual_time())
    }

    /// Removes a waiting request from the queue.
    pub fn withdraw(&mut self, id: &str) {
        if let Some(at) = self.waiting.iter().position(|w| *w.request.id == *id) {
            let gone = self.waiting.remove(at);
            if gone.request.class == Class::Online {
                self.settle(&gone.request, gone.weight, 0);
            }
        }
    }

    /// Releases a slot after `used` tokens.
    pub fn release(&mut self, now: Time, id: &str, used: u32) -> Effects {
        self.remove_held(id, used);
        self.serve(now)
    }

    /// Releases a slot whose attempt was not sent to the server.
    pub fn release_unsent(&mut self, now: Time, id: &str) -> Effects {
        let is_charged = self.remove_held(id, 0).is_some_and(|h| h.is_charged);
        if is_charged {
            self.pace.refund();
        }
        self.serve(now)
    }

    /// Records that the server ended a preempted batch attempt.
    pub fn confirm(&mut self, now: Time, id: &str) -> Effects {
        match self.find(id) {
            Ok(at) if self.held[at].preempted => {
                self.held[at].ended = true;
                self.serve(now)
            }
            _ => Effects::default(),
        }
    }

    /// Whether the attempt is preempted and neither its server nor its holder has ended it yet.
    pub fn is_ending(&self, id: &str) -> bool {
        self.find(id)
            .is_ok_and(|at| self.held[at].preempted && !self.held[at].ended)
    }

    /// Host that holds the slot of the attempt `id`.
    pub fn holder(&self, id: &str) -> Option<Name> {
        let at = self.find(id).ok()?;
        Some(self.held[at].request.holder.clone())
    }

    /// Renews a slot, or adopts it if an earlier gate granted it.
    pub fn renew(&mut self, now: Time, request: &SlotRequest, weight: u32) {
        match self.find(&request.id) {
            Ok(at) => self.held[at].expires = now + SLOT_LEASE,
            Err(at) => {
                self.withdraw(&request.id);
                let held = self.new_held(now, request.clone(), weight);
                self.held.insert(at, held);
            }
        }
    }

    /// Drops slots and waiting requests whose lease expired.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|h| h.expires > now);
        self.waiting.retain(|w| w.last_request + WAIT_LEASE > now);
        if self.batch.tracked() > TRACKED_WORKSPACES {
            let (held, waiting) = (&self.held, &self.waiting);
            let holds = |name: &Name| held.iter().any(|h| h.request.workspace == *name);
            let waits = |name: &Name| waiting.iter().any(|w| w.request.workspace == *name);
            self.batch.retain(|name| holds(name) || waits(name));
        }
        if self.held.is_empty() && self.waiting.is_empty() {
            self.online.reset();
        }
    }

    /// Grants free slots, online before batch. An online request takes the slot of a batch attempt
    /// at once, while the attempt is being cancelled. Batch work takes it only after the server
    /// ended the attempt.
    pub fn serve(&mut self, now: Time) -> Effects {
        let mut effects = Effects::default();
        let mut online = 0;
        while let Some(at) = self.next() {
            let class = self.waiting[at].request.class;
            if !self.has_room(now, class) || !self.take_token(now, class) {
                break;
            }
            let next = self.waiting.remove(at);
            let request = &next.request;
            match class {
                Class::Online => self.online.serve(next.start),
                Class::Batch => {
                    self.batch
                        .serve(&request.workspace, next.weight, request.cost);
                }
            }
            online += usize::from(class == Class::Online);
            effects.granted.push(request.id.clone());
            let mut held = self.new_held(now, next.request, next.weight);
            held.is_charged = self.pace.is_limited();
            let at = self.find(&held.request.id).unwrap_or_else(|at| at);
            self.held.insert(at, held);
        }
        self.preempt(&mut effects, online);
        effects
    }

    /// Index of the next request to serve. Batch work is chosen by the fleet-wide tag of its
    /// workspace; within a workspace the oldest job comes first, however often it was preempted.
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

    /// Number of requests for `model` that hold a slot or wait.
    pub fn running(&self, model: &str) -> usize {
        let held = self.held.iter().map(|h| &h.request);
        let asks = held.chain(self.waiting.iter().map(|w| &w.request));
        asks.filter(|a| *a.model == *model).count()
    }

    /// Whether no slot is held and no request waits.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty() && self.waiting.is_empty()
    }

    /// Current counts; attempts that the server ended are not counted as holding a slot.
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

    fn take_token(&mut self, now: Time, class: Class) -> bool {
        self.pace.take(now, class == Class::Batch)
    }

    fn remove_held(&mut self, id: &str, used: u32) -> Option<Held> {
        let at = self.find(id).ok()?;
        let gone = self.held.remove(at);
        self.settle(&gone.request, gone.weight, used);
        Some(gone)
    }

    fn enqueue(&mut self, now: Time, request: &SlotRequest, weight: u32) {
        self.sequence += 1;
        let start = match request.class {
            Class::Online => self.online.arrive(&request.workspace, weight, request.cost),
            Class::Batch => 0,
        };
        let waiting = Waiting {
            start,
            request: request.clone(),
            weight,
            arrival: self.sequence,
            last_request: now,
        };
        let sort_key = waiting.sort_key();
        let at = self.waiting.partition_point(|w| w.sort_key() > sort_key);
        self.waiting.insert(at, waiting);
    }

    fn new_held(&mut self, now: Time, request: SlotRequest, weight: u32) -> Held {
        self.sequence += 1;
        Held {
            request,
            weight,
            grant: self.sequence,
            expires: now + SLOT_LEASE,
            preempted: false,
            ended: false,
            is_charged: false,
        }
    }

    fn settle(&mut self, request: &SlotRequest, weight: u32, used: u32) {
        let (workspace, cost) = (&request.workspace, request.cost);
        match request.class {
            Class::Online => self.online.settle(workspace, weight, cost, used),
            Class::Batch => self.batch.settle(workspace, weight, cost, used),
        }
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| (*h.request.id).cmp(id))
    }
}
