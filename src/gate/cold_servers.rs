//! What one host knows of cold servers.

use super::cold::{ColdEntry, ColdLimit, ColdState};
use crate::{clock::Time, config::Server, wire::Name};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// Cold limits of the services and states of their servers; empty if no service has a limit.
#[derive(Debug, Default)]
pub struct ColdServers {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    limits: Vec<ColdLimit>,
    /// Sorted by server name.
    servers: Vec<Tracked>,
}

#[derive(Debug)]
struct Tracked {
    server: Name,
    state: ColdState,
    /// Hosts that know of the suspicion raised at `told_of`.
    told: Vec<Name>,
    told_of: Time,
    /// When a suspicion was raised that every host raises by itself.
    shared_at: Option<Time>,
}

/// A suspicion of which a host is to be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Untold {
    /// Suspected server.
    pub server: Name,
    /// When the suspicion was raised.
    pub at: Time,
}

impl ColdServers {
    /// Replaces the limits of the services.
    pub fn set_limits(&self, limits: &[ColdLimit]) {
        self.lock().limits = limits.to_vec();
    }

    /// Whether a service has a limit.
    pub fn has_limits(&self) -> bool {
        !self.lock().limits.is_empty()
    }

    /// Requests per second that `server` accepts if it counts as cold at `now`, else `None`. A server
    /// without a known entry and without a suspicion counts as cold: it may just have started.
    pub fn rate(&self, server: &Server, now: Time) -> Option<f64> {
        let known = self.lock();
        let (rate, span) = known.limit(server)?;
        let found = known.find(&server.name).ok();
        let state = found.map(|at| &known.servers[at].state);
        let is_cold = state.is_none_or(|s| s.is_unknown() || s.is_cold(span, now));
        is_cold.then_some(rate)
    }

    /// Records the entry of a server. Returns whether it is newer than the last.
    pub fn note_entry(&self, server: &Name, entry: ColdEntry) -> bool {
        self.lock().tracked(server).state.note_entry(entry)
    }

    /// Records that `server` may have started again at `at`; `false` if that is not new or the service of
    /// the server has no limit.
    pub fn suspect(&self, server: &Server, at: Time) -> bool {
        let mut known = self.lock();
        known.limit(server).is_some() && known.tracked(&server.name).state.suspect(at)
    }

    /// Like [`Self::suspect`], for a suspicion that every host raises by itself and tells nobody.
    pub fn suspect_shared(&self, server: &Server, at: Time) -> bool {
        let is_new = self.suspect(server, at);
        if is_new {
            self.lock().tracked(&server.name).shared_at = Some(at);
        }
        is_new
    }

    /// Records that `server` was granted the request of the attempt `id` at `at`.
    pub fn note_granted(&self, server: &str, id: &Name, at: Time) {
        let mut known = self.lock();
        if let Ok(i) = known.find(server) {
            known.servers[i].state.note_granted(id, at);
        }
    }

    /// Records that the attempt `id` was not sent to `server`.
    pub fn note_unsent(&self, server: &str, id: &Name) {
        let mut known = self.lock();
        if let Ok(i) = known.find(server) {
            known.servers[i].state.note_unsent(id);
        }
    }

    /// Servers that are suspected at `now`.
    pub fn suspected(&self, now: Time) -> Vec<Name> {
        let known = self.lock();
        let spans = known.limits.iter().map(|l| l.span);
        let span = spans.max().unwrap_or_default();
        let all = known.servers.iter();
        all.filter(|t| t.state.suspected(span, now).is_some())
            .map(|t| t.server.clone())
            .collect()
    }

    /// The suspicions of `servers` that are in force and that the host `peer` was not told of.
    pub fn untold<'a>(
        &self,
        servers: impl Iterator<Item = &'a Server>,
        peer: &Name,
        now: Time,
    ) -> Vec<Untold> {
        let known = self.lock();
        let untold = servers.filter_map(|server| {
            let (_, span) = known.limit(server)?;
            let tracked = &known.servers[known.find(&server.name).ok()?];
            let at = tracked.state.suspected(span, now)?;
            let is_told = tracked.told_of == at && tracked.told.contains(peer);
            let is_shared = tracked.shared_at == Some(at);
            (!is_told && !is_shared).then(|| Untold {
                server: server.name.clone(),
                at,
            })
        });
        untold.collect()
    }

    /// Records that the host `peer` knows of a suspicion.
    pub fn mark_told(&self, untold: &Untold, peer: &Name) {
        let mut known = self.lock();
        let tracked = known.tracked(&untold.server);
        if tracked.told_of != untold.at {
            tracked.told.clear();
            tracked.told_of = untold.at;
        }
        if !tracked.told.contains(peer) {
            tracked.told.push(peer.clone());
        }
    }

    /// The newest entries, to be passed on.
    pub fn entries(&self) -> Vec<(Name, ColdEntry)> {
        let known = self.lock();
        let entry = |t: &Tracked| Some((t.server.clone(), t.state.entry()?));
        known.servers.iter().filter_map(entry).collect()
    }

    /// Removes servers that are not among `servers` (sorted by name).
    pub fn prune(&self, servers: &[Server]) {
        let is_kept = |t: &Tracked| servers.binary_search_by(|s| s.name.cmp(&t.server)).is_ok();
        self.lock().servers.retain(is_kept);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("cold servers")
    }
}

impl Known {
    /// Rate and span of the lowest limit of the services of `server`.
    fn limit(&self, server: &Server) -> Option<(f64, Duration)> {
        let limits = self.limits.iter();
        let own = limits.filter(|l| server.models.contains(&l.service));
        let lowest = own.min_by(|a, b| a.rate.total_cmp(&b.rate));
        lowest.map(|l| (l.rate, l.span))
    }

    fn find(&self, server: &str) -> Result<usize, usize> {
        self.servers.binary_search_by(|t| (*t.server).cmp(server))
    }

    fn tracked(&mut self, server: &Name) -> &mut Tracked {
        let found = self.find(server);
        let at = found.unwrap_or_else(|at| {
            let tracked = Tracked {
                server: server.clone(),
                state: ColdState::default(),
                told: Vec::new(),
                told_of: Time::ZERO,
                shared_at: None,
            };
            self.servers.insert(at, tracked);
            at
        });
        &mut self.servers[at]
    }
}
