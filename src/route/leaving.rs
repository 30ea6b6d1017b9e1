//! Servers that announced in an answer that they are leaving, ahead of the configuration.
//!
//! A host that cannot read the configuration may have an old one, and a server may leave without an
//! entry that says so. Its announcement holds until it restarts or is removed. The servers of an
//! evacuated failure domain count as leaving until the evacuation ends.

use crate::{clock::Time, config::Server, wire::Name};
use std::sync::{
    Arc, Mutex, MutexGuard, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// The servers that told this host that they are leaving.
#[derive(Debug, Default)]
pub struct Departures {
    /// Sorted by server name.
    known: Mutex<Vec<Departure>>,
    /// Evacuated failure domains, sorted.
    evacuated: RwLock<Arc<Vec<Name>>>,
    /// Whether there are any; spares requests the lock if not.
    has_evacuated: AtomicBool,
    /// Number of changes of their list.
    evacuations: AtomicU64,
}

#[derive(Debug, Clone)]
struct Departure {
    server: Name,
    /// Start number of the leaving server; a restart has a higher one.
    start: u64,
    /// When the server told this host.
    since: Time,
}

impl Departures {
    /// Records at `now` that this start of `server` is leaving; `false` if this was known.
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

    /// Replaces the list of evacuated failure domains (sorted).
    pub fn set_evacuated(&self, domains: Arc<Vec<Name>>) {
        let mut evacuated = self.evacuated.write().expect("evacuated domains");
        let has_evacuated = !domains.is_empty();
        *evacuated = domains;
        self.has_evacuated.store(has_evacuated, Ordering::Release);
        self.evacuations.fetch_add(1, Ordering::Release);
    }

    /// Version of the list of evacuated failure domains on this host.
    pub fn evacuations(&self) -> u64 {
        self.evacuations.load(Ordering::Acquire)
    }

    /// Whether the failure domain of `server` is evacuated.
    pub fn is_evacuated(&self, server: &Server) -> bool {
        if !self.has_evacuated.load(Ordering::Acquire) {
            return false;
        }
        let domains = self.evacuated.read().expect("evacuated domains");
        domains.binary_search(&server.domain).is_ok()
    }

    /// Whether the start of `server` in the configuration, or a later one, is leaving, or its failure
    /// domain is evacuated.
    pub fn has(&self, server: &Server) -> bool {
        if self.is_evacuated(server) {
            return true;
        }
        let known = self.lock();
        let found = known.binary_search_by(|d| d.server.cmp(&server.name));
        found.is_ok_and(|at| known[at].start >= server.start)
    }

    /// Removes servers that restarted or are no longer among `servers` (sorted by name).
    pub fn prune(&self, servers: &[Server], now: Time) {
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
