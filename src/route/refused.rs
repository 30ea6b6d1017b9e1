//! Requests that a server refused without running them although its gate granted a slot.

use super::{
    attempt::{Abort, Attempt},
    dispatch::{Run, Sink},
};
use crate::{
    clock::{Clock, Time},
    config::Server,
    error::Kind,
    gate::{Counts, Slot},
    pass::{Conn, Head, Registration, Request},
    wire::{Answer, Class, Name},
};
use std::{sync::Mutex, time::Duration};

/// Status of a server that is not the one that was meant.
const OTHER_SERVER_STATUS: u16 = 421;
/// Fields of a refusal that are logged. Others may hold what authenticates a server or its answers.
const LOGGED_FIELDS: [&str; 5] = [
    "connection",
    "content-length",
    "content-type",
    "retry-after",
    "server",
];
/// Most characters of the fields and of the body of a refusal that are logged.
const FIELDS_MAX: usize = 300;
const BODY_MAX: usize = 120;
/// Time in which one refusal of a server and cause is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Pauses before an online request is sent again in its slot. The first is less than the pause before another server
/// is tried; both together are more than a step of a server (25 ms), at whose end it notices closed connections.
const ONLINE_PAUSES: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(25)];
/// Pauses before a batch item is sent again in its slot: a step of a server, then more than one.
const BATCH_PAUSES: [Duration; 2] = [Duration::from_millis(25), Duration::from_millis(40)];

/// Why a server refused a request without running it, as far as the counts of its gate tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Another server answered at the address.
    OtherServer,
    /// The slot was that of a preempted attempt that had not ended at the grant.
    Preempting,
    /// All slots were granted: an attempt whose connection was closed may still run, or another host
    /// granted slots as well.
    Filled,
    /// The gate had slots left. The reason is another one, such as memory, connections or a limit.
    Other,
}

impl RefusalCause {
    /// The cause of a refusal with `status` of a request that was granted a slot, with `counts` after that.
    pub fn of(status: u16, counts: Counts) -> Self {
        let held = counts.online.saturating_add(counts.batch);
        match status {
            OTHER_SERVER_STATUS => Self::OtherServer,
            _ if held > counts.slots => Self::Preempting,
            _ if held == counts.slots => Self::Filled,
            _ => Self::Other,
        }
    }

    /// Whether the server is likely to run an attempt of which the gate knows that it ended.
    pub fn is_overlap(self) -> bool {
        matches!(self, Self::Preempting | Self::Filled)
    }

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::OtherServer => "other_server",
            Self::Preempting => "preempting",
            Self::Filled => "filled",
            Self::Other => "other",
        }
    }
}

/// When refusals were last logged.
#[derive(Debug, Default)]
pub struct RefusalLog {
    /// Those of the last [`LOG_INTERVAL`].
    logged: Mutex<Vec<(Name, RefusalCause, Time)>>,
}

impl RefusalLog {
    /// Whether a refusal by `server` at `now` is to be logged; if so, it is the one of its interval.
    pub fn take_turn(&self, server: &Name, cause: RefusalCause, now: Time) -> bool {
        let mut logged = self.logged.lock().expect("logged refusals");
        logged.retain(|(.., at)| *at + LOG_INTERVAL > now);
        let is_due = !logged.iter().any(|(s, c, _)| s == server && *c == cause);
        if is_due {
            logged.push((server.clone(), cause, now));
        }
        is_due
    }
}

/// The fields of a refusal that are logged, as text.
pub fn logged_fields(head: &Head) -> String {
    let fields = head.fields.iter();
    let fields = fields.filter(|(name, _)| LOGGED_FIELDS.contains(&&**name));
    let fields: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
    fields.join(" ").chars().take(FIELDS_MAX).collect()
}

/// Pause before a refused request is sent again in its slot, after `resends` earlier times, if `left` remains for it.
pub fn resend_pause(class: Class, resends: usize, left: Duration) -> Option<Duration> {
    let pauses = match class {
        Class::Online => ONLINE_PAUSES,
        Class::Batch => BATCH_PAUSES,
    };
    pauses.get(resends).copied().filter(|pause| *pause <= left)
}

impl<S: Sink> Run<'_, S> {
    /// Sends `request` to the slot's server, and again in the same slot while the server refuses it because it
    /// has yet to notice that an earlier attempt was ended. To give the slot back would have the gate grant
    /// it to others, which the server refuses as well, and preempt an attempt of another server.
    pub(super) fn forward_in_slot(
        &mut self,
        slot: &Slot,
        attempt: &mut Attempt,
        request: &Request,
    ) -> Result<Answer, Abort> {
        let host = self.host;
        // Kept over the pauses, so that a preemption in one is noticed.
        let mut entry = None;
        let (mut end, mut resends) = (None, 0);
        loop {
            let result = self.forward(slot, attempt, request, &mut entry);
            let is_full =
                matches!(&result, Err(Abort::Failed(fail)) if fail.kind == Kind::ServerFull);
            let is_overlap = self.refused.is_some_and(RefusalCause::is_overlap);
            if !is_full || !is_overlap || !self.may_resend(slot, attempt) {
                return result;
            }
            let end = *end.get_or_insert(host.now() + host.settings.refused);
            let left = end.min(self.work.deadline).saturating_sub(host.now());
            let Some(pause) = resend_pause(self.work.class, resends, left) else {
                return result;
            };
            self.sink.check().map_err(Abort::Final)?;
            host.clock.sleep(pause);
            if entry.as_ref().is_some_and(Registration::is_ended) {
                return match self.work.class {
                    Class::Batch => Err(Abort::Preempted),
                    Class::Online => result,
                };
            }
            if !self.may_resend(slot, attempt) {
                return result;
            }
            self.places = None;
            // The time to the first event is the server's own.
            attempt.began = host.now();
            resends += 1;
        }
    }

    /// Whether the slot's server may be sent the request again: it is the same as before, takes work, is in a
    /// region that the request may reach, and limits no requests, because the gate charged its throttle for one
    /// request only.
    fn may_resend(&self, slot: &Slot, attempt: &Attempt) -> bool {
        let (host, now) = (self.host, self.host.now());
        let is_off = host.settings.refused.is_zero();
        if is_off || now >= self.work.deadline || host.is_dead() || host.is_stopping() {
            return false;
        }
        let server = host.config.view(|s| s.server(&slot.server).cloned());
        let is_same = |s: &Server| {
            s.addr == attempt.addr && s.start == attempt.start && s.software == attempt.software
        };
        let Some(server) = server.filter(|s| is_same(s) && !s.leaving) else {
            return false;
        };
        let routes = &host.routes;
        let is_limited = routes.limits.rate(&server).is_some()
            || routes.throttled.has(&server.name, now)
            || host.gates.queues.is_throttled(&server.name);
        // The list of regions may have changed since the request was sent.
        !is_limited && !routes.departures.has(&server) && routes.may_reach(host, self.work, &server)
    }

    /// Counts a refusal and logs it unless one like it was logged just before; the request was not run.
    pub(super) fn note_refused(&mut self, slot: &Slot, start: u64, head: &Head, conn: &mut Conn) {
        let cause = RefusalCause::of(head.status, slot.counts);
        self.sent -= 1;
        self.refused = Some(cause);
        self.host.meters.server_refused(cause.name());
        let (log, now) = (&self.host.routes.refusals, self.host.now());
        if !log.take_turn(&slot.server, cause, now) {
            return;
        }
        let body = conn.buffered();
        let body: String = String::from_utf8_lossy(&body)
            .chars()
            .take(BODY_MAX)
            .collect();
        let fields = logged_fields(head);
        let Counts { online, batch, .. } = slot.counts;
        tracing::info!(
            id = &*slot.id,
            server = &*slot.server,
            start,
            class = ?self.work.class,
            status = head.status,
            cause = cause.name(),
            online,
            batch,
            slots = slot.counts.slots,
            fields,
            body,
            "server_refused"
        );
    }
}
