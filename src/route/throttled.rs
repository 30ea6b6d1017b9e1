//! Servers whose gates lately held a request back because of the limit that the server states.

use super::ServerLimits;
use crate::{
    clock::Time,
    config::Server,
    gate::Counts,
    wire::{Class, Name},
};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// Time for which other servers are preferred if the limit is not known.
const UNKNOWN_SPAN: Duration = Duration::from_millis(250);
/// Longest such time.
const SPAN_MAX: Duration = Duration::from_secs(60);

/// When throttled servers may take the next request.
#[derive(Debug, Default)]
pub struct Throttled {
    /// Sorted by server name.
    servers: Mutex<Vec<Entry>>,
}

#[derive(Debug, Clone)]
struct Entry {
    server: Name,
    /// When it takes one more request at the earliest.
    earliest: Time,
    /// When it is expected to.
    expected: Time,
}

impl Throttled {
    /// Records that the gate of `server` granted no slot at `now`, with its `counts` after that. `is_queued`
    /// tells whether they include the request. Whether it was throttled follows from free slots.
    pub fn note(
        &self,
        limits: &ServerLimits,
        server: &Server,
        class: Class,
        counts: Counts,
        is_queued: bool,
        now: Time,
    ) -> bool {
        let rate = limits.rate(server).map(|(rate, _)| rate);
        self.note_rate(rate, server, class, counts, is_queued, now)
    }

    /// Like [`Self::note`], with the requests per second that the server takes as far as that is known.
    pub fn note_rate(
        &self,
        rate: Option<f64>,
        server: &Server,
        class: Class,
        counts: Counts,
        is_queued: bool,
        now: Time,
    ) -> bool {
        let taken = match class {
            Class::Online => counts.online,
            // A new gate holds batch work back as well.
            Class::Batch if rate.is_none() => return false,
            Class::Batch => counts.online + counts.batch,
        };
        if taken >= counts.slots {
            return false;
        }
        let ahead = counts.waiting.saturating_sub(u32::from(is_queued));
        let span = |tokens: f64| {
            let Some(rate) = rate else {
                return UNKNOWN_SPAN;
            };
            let span = Duration::try_from_secs_f64(tokens / rate).unwrap_or(SPAN_MAX);
            span.min(SPAN_MAX)
        };
        let entry = Entry {
            server: server.name.clone(),
            earliest: match rate {
                Some(_) => now + span(f64::from(ahead)),
                None => now,
            },
            expected: now + span(f64::from(ahead) + 0.5),
        };
        let mut servers = self.lock();
        match servers.binary_search_by(|e| e.server.cmp(&server.name)) {
            Ok(at) => servers[at] = entry,
            Err(at) => servers.insert(at, entry),
        }
        true
    }

    /// Whether any server was found to be throttled.
    pub fn has_any(&self) -> bool {
        !self.lock().is_empty()
    }

    /// Whether `server` is not expected to take a request at `now`.
    pub fn has(&self, server: &str, now: Time) -> bool {
        let servers = self.lock();
        let found = servers.binary_search_by(|e| (*e.server).cmp(server));
        found.is_ok_and(|at| servers[at].expected > now)
    }

    /// When the first of `servers` takes a request at the earliest; `now` if that is not known of each.
    pub fn earliest<'a>(&self, servers: impl Iterator<Item = &'a Name>, now: Time) -> Time {
        let known = self.lock();
        let earliest = servers.map(|server| {
            let found = known.binary_search_by(|e| e.server.cmp(server));
            found.map_or(now, |at| known[at].earliest)
        });
        earliest.min().unwrap_or(now)
    }

    /// Removes servers that are not among `servers` (sorted by name).
    pub fn prune(&self, servers: &[Server]) {
        let is_kept = |e: &Entry| servers.binary_search_by(|s| s.name.cmp(&e.server)).is_ok();
        self.lock().retain(is_kept);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.servers.lock().expect("throttled servers")
    }
}
