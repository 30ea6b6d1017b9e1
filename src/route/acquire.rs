//! Acquires a slot on a backend server.

use super::dispatch::{Run, Sink};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    gate::{Counts, Reply, Slot, SlotRequest},
    timeline::Happening,
    wire::{Class, Name},
};
use std::{sync::atomic::Ordering, thread, time::Duration};

/// Longest wait of one slot request of batch work at a gate.
const BATCH_ASK_WAIT: Duration = Duration::from_millis(500);
/// Slot requests of batch work at one server before it considers the others again.
const BATCH_ASKS: u32 = 6;
/// Time after which batch work without a slot is returned to its job.
const BATCH_WAIT_MAX: Duration = Duration::from_secs(5);
/// Pause before the next try when no gate answers or no server takes work.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Total of these pauses after which the work fails.
const RETRY_PAUSES_MAX: Duration = Duration::from_secs(2);

/// Retry-after time of a request that got no slot in time: about the length of a generation, after
/// which slots are free again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Divisor of the time to wait for a slot; asking servers in turn takes at most that part. With slow hosts, asking
/// would otherwise leave no time for the queue.
const ASKING_PART: u32 = 4;

/// Result of asking servers for a slot without waiting.
pub(super) enum AskResult {
    Slot(Slot),
    /// No slot is free; the server with the shortest queue, or `None` if no queue is known.
    Shortest(Name),
    None,
}

impl<S: Sink> Run<'_, S> {
    /// Acquires a slot on a server that can run the work.
    ///
    /// # Errors
    /// No slot in time, no server for the work, or the answer is no longer wanted.
    pub(super) fn acquire(&mut self) -> Res<Slot> {
        let ask = self.next_ask();
        let began = self.host.now();
        let give_up = began + BATCH_WAIT_MAX;
        let mut pauses = Duration::ZERO;
        loop {
            self.check_wanted()?;
            if self.may_return_work() && self.host.now() >= give_up {
                return Err(Fail::new(Kind::Overloaded, "no free slot for batch work"));
            }
            self.settle_version()?;
            let version = self.version.as_ref();
            let order = self
                .host
                .routes
                .order(self.host, self.work, version, &self.tried);
            let order = match order {
                Ok(order) => order,
                // An ejected server may soon be due for a probe.
                Err(_) if pauses < RETRY_PAUSES_MAX && self.may_pause() => {
                    thread::sleep(RETRY_PAUSE);
                    pauses += RETRY_PAUSE;
                    continue;
                }
                Err(fail) => return Err(self.out_of_regions(fail)),
            };
            match self.ask_servers(&ask, &order) {
                AskResult::Slot(slot) => return Ok(self.note_granted(slot, began)),
                AskResult::Shortest(server) => {
                    self.check_limits()?;
                    if let Some(slot) = self.wait_in_queue(&ask, &server)? {
                        return Ok(self.note_granted(slot, began));
                    }
                }
                AskResult::None if pauses < RETRY_PAUSES_MAX => {
                    thread::sleep(RETRY_PAUSE);
                    pauses += RETRY_PAUSE;
                }
                AskResult::None => {
                    let text = "no backend server with the model takes work now; retry later";
                    return Err(Fail::new(Kind::Overloaded, text));
                }
            }
        }
    }

    /// Checks that a server with the version that began the stream takes work. Batch work without one begins
    /// again at any version.
    ///
    /// # Errors
    /// `VersionGone` for a stream whose events its caller has.
    fn settle_version(&mut self) -> Res<()> {
        let Some(version) = &self.version else {
            return Ok(());
        };
        let host = self.host;
        if host.routes.has_version(host, self.work, version) {
            return Ok(());
        }
        let (id, last, batch) = (&*self.work.id, self.pos, self.work.class == Class::Batch);
        tracing::info!(id, version = &**version, last, batch, "version_gone_midway");
        if batch {
            self.restart();
            return Ok(());
        }
        let text = format!("no server with software version \"{version}\" takes work");
        Err(Fail::new(Kind::VersionGone, text))
    }

    /// Whether the work may be returned to its job. Not if it already has tokens: they would be
    /// generated again.
    fn may_return_work(&self) -> bool {
        self.work.class == Class::Batch && self.pos == 0
    }

    /// Whether a server that is not usable now may become usable.
    fn may_pause(&self) -> bool {
        let (host, work) = (self.host, self.work);
        work.repeatable && host.routes.has_server(host, work)
    }

    pub(super) fn next_ask(&mut self) -> SlotRequest {
        self.asks += 1;
        let id = match self.asks {
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

    pub(super) fn note_granted(&self, slot: Slot, began: Time) -> Slot {
        let waited = self.host.now().saturating_sub(began);
        self.host.meters.slot(waited);
        let timeline = &self.host.timeline;
        timeline.note(Happening::Granted, &slot.id, None, &slot.server);
        slot
    }

    /// Asks each server in turn for a slot that is free now. Skips servers whose recent counts show none: for
    /// online requests, only those at which others wait.
    pub(super) fn ask_servers(&mut self, ask: &SlotRequest, order: &[Name]) -> AskResult {
        let is_online = self.work.class == Class::Online;
        let began = self.host.now();
        let end = began + self.wait_end().saturating_sub(began) / ASKING_PART;
        let mut shortest: Option<(f32, &Name)> = None;
        let queue = |c: Counts| (c.waiting + c.backlog) as f32 / c.slots as f32;
        for server in order {
            if is_online && shortest.is_some() && self.host.now() >= end {
                break;
            }
            let full = match self.work.class {
                Class::Online => self.host.routes.online_full(self.host.now(), server),
                Class::Batch => self.host.routes.busy_counts(self.host.now(), server),
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
                    self.record_counts(server, counts);
                    return AskResult::Slot(slot);
                }
                Ok(Reply::Busy(counts)) => {
                    self.record_denied(server, counts, false);
                    let queue = queue(counts);
                    if shortest.is_none_or(|(q, _)| queue < q) {
                        shortest = Some((queue, server));
                    }
                }
                Ok(Reply::Closed) => self.host.routes.forget_counts(server),
                // Without a wait, a request is not queued.
                Ok(Reply::Waiting(_)) | Err(_) => {}
            }
        }
        shortest.map_or(AskResult::None, |(_, s)| AskResult::Shortest(s.clone()))
    }

    /// Waits in the queue of `server`; `None` if another server is to be tried.
    fn wait_in_queue(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        let host = self.host;
        let waiting = host.routes.waiting.fetch_add(1, Ordering::Relaxed);
        let is_full = self.work.class == Class::Online && waiting >= host.settings.waiting;
        let result = if is_full {
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
            host.gates.held.release_unsent(server, &ask.id);
        }
        result
    }

    /// Renews the place in the queue of `server` with a bounded number of slot requests.
    fn wait_batch(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        for _ in 0..BATCH_ASKS {
            self.check_wanted()?;
            let left = self.work.deadline.saturating_sub(self.host.now());
            let held = &self.host.gates.held;
            match held.acquire(self.host, server, ask, BATCH_ASK_WAIT.min(left)) {
                Ok(Reply::Slot(slot, counts)) => {
                    self.record_counts(server, counts);
                    self.check_wanted()?;
                    return Ok(Some(slot));
                }
                Ok(Reply::Waiting(counts)) => self.record_denied(server, counts, true),
                Ok(Reply::Busy(_)) => return Err(queue_full()),
                Ok(Reply::Closed) | Err(_) => return Ok(None),
            }
        }
        Ok(None)
    }

    /// Fails if the deadline or the longest wait has passed or the caller no longer wants the answer.
    pub(super) fn check_wanted(&mut self) -> Res<()> {
        if self.host.now() >= self.work.deadline {
            return Err(Fail::new(
                Kind::ExpiredWaiting,
                "the deadline passed before a backend server had a free slot",
            ));
        }
        if self.sent == 0 && self.host.now() >= self.work.slot_deadline {
            let text = "no backend server had a free slot in time; retry later";
            return Err(Fail::new(Kind::Overloaded, text).retry_after(RETRY_AFTER));
        }
        self.sink.check().map_err(|fail| self.map_withdrawn(fail))
    }

    /// Until when the work waits for a slot.
    pub(super) fn wait_end(&self) -> Time {
        match self.sent {
            0 => self.work.deadline.min(self.work.slot_deadline),
            _ => self.work.deadline,
        }
    }

    /// A key that is withdrawn before the work can have run counts as no key.
    fn map_withdrawn(&self, fail: Fail) -> Fail {
        if fail.kind == Kind::KeyWithdrawn && self.pos == 0 && self.earlier.is_none() {
            return Fail::new(Kind::Unauthorized, "the key was withdrawn");
        }
        fail
    }

    fn record_counts(&self, server: &Name, counts: Counts) {
        let servers = std::slice::from_ref(server);
        self.host.routes.learn(self.host.now(), servers, &[counts]);
    }

    fn record_denied(&mut self, server: &Name, counts: Counts, is_queued: bool) {
        let class = self.work.class;
        let routes = &self.host.routes;
        let is_throttled = routes.note_denied(self.host, server, class, counts, is_queued);
        if is_throttled && !self.was_throttled {
            self.was_throttled = true;
            let (id, waiting) = (&*self.work.id, counts.waiting);
            tracing::info!(id, server = &**server, waiting, "request_throttled");
            self.host.meters.throttled();
        }
    }

    /// Fails if every server that can run the work states a limit that holds it back until it is too late.
    pub(super) fn check_limits(&self) -> Res<()> {
        let (now, routes) = (self.host.now(), &self.host.routes);
        if self.work.class == Class::Batch || !routes.throttled.has_any() {
            return Ok(());
        }
        let earliest = routes.earliest_slot(self.host, self.work, self.version.as_ref(), now);
        if earliest <= now.max(self.wait_end()) {
            return Ok(());
        }
        let text = "every backend server that can run the request is at the limit that it states";
        let fail = Fail::new(Kind::Overloaded, text);
        Err(fail.retry_after(earliest.saturating_sub(now)))
    }
}

/// Error of a request that the full queue of a server refused.
pub(super) fn queue_full() -> Fail {
    Fail::new(Kind::Overloaded, "the queue is full; retry later")
}
