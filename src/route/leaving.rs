//! Servers that say in their answers that they leave, ahead of the configuration.
//!
//! The configuration may be old on a host that cannot read it, and a server may leave without an
//! entry that says so. Its own word counts from the answer on, until it started anew or is gone.

use crate::{clock::Time, config::Server, wire::Name};
use std::sync::{Mutex, MutexGuard};

/// The servers of which this host heard that they leave.
#[derive(Debug, Default)]
pub struct Departures {
    /// Sorted by server.
    known: Mutex<Vec<Departure>>,
}

#[derive(Debug, Clone)]
struct Departure {
    server: Name,
    /// The start of the server that leaves.
    start: u64,
    /// When this host heard of it.
    since: Time,
}

impl Departures {
    /// Notes at `now` that this start of `server` leaves; `false` if that was known.
    pub fn note(&self, server: &Name, start: u64, now: Time) -> bool {
        let mut known = self.lock();
        let departure = Departure {
            server: server.clone(),
            start,
            since: now,
        };
        match known.binary_search_by(|d| d.server.cmp(server)) {
            Ok(at) if known[at].start >= start => return false,
            Ok(at) => known[at] = departure,
            Err(at) => known.insert(at, departure),
        }
        true
    }

    /// Whether the present start of `server` leaves.
    pub fn has(&self, server: &Server) -> bool {
        let known = self.lock();
        let found = known.binary_search_by(|d| d.server.cmp(&server.name));
        found.is_ok_and(|at| known[at].start >= server.start)
    }

    /// Forgets servers that are not among `servers` (sorted by name) any more or started anew.
    pub fn confirm(&self, servers: &[Server], now: Time) {
        self.lock().retain(|d| {
            let found = servers.binary_search_by(|s| s.name.cmp(&d.server));
            let is_kept = found.is_ok_and(|at| servers[at].start <= d.start);
            if !is_kept {
                let age_ms = now.saturating_sub(d.since).as_millis() as u64;
                let is_gone = found.is_err();
                tracing::info!(
                    server = &*d.server,
                    start = d.start,
                    age_ms,
                    is_gone,
                    "departure_over"
                );
            }
            is_kept
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Departure>> {
        self.known.lock().expect("departures")
    }
}
