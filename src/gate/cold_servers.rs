//! What one host knows of cold servers.

use super::cold::{ColdEntry, ColdLimit, ColdState};
use crate::{clock::Time, config::Server, wire::Name};
use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Most servers that other hosts can have added by their suspicions and that are tracked.
const SERVERS_MAX: usize = 16_384;

/// Cold limits of the services and states of their servers; empty if no service has a limit.
#[derive(Debug, Default)]
pub struct ColdServers {
    /// Whether a service has a limit; spares requests the lock if none has.
    has_limits: AtomicBool,
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
    /// Hosts that know of the suspicion that this host raised or was told of at `told_of`.
    told: Vec<Name>,
    told_of: Time,
    /// Whether every host raises this suspicion by itself.
    is_shared: bool,
}

impl Tracked {
    fn begin_notices(&mut self, at: Time, is_shared: bool) {
        self.told.clear();
        (self.told_of, self.is_shared) = (at, is_shared);
    }
}

/// What a suspicion changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Raised {
    /// The server was not suspected before.
    New,
    /// The server was suspected; its period starts again.
    Renewed,
    /// Nothing: the suspicion was known, or a newer entry answers it.
    Known,
}

/// A suspicion of which a host is to be told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingNotice {
    /// Suspected server.
    pub server: Name,
    /// When this host raised the suspicion or was told of it.
    pub at: Time,
}

impl ColdServers {
    /// Replaces the limits of the services.
    pub fn set_limits(&self, limits: &[ColdLimit]) {
        let mut known = self.lock();
        known.limits = limits.to_vec();
        self.has_limits.store(!limits.is_empty(), Ordering::Release);
    }

    /// Whether a service has a limit.
    pub fn has_limits(&self) -> bool {
        self.has_limits.load(Ordering::Acquire)
    }

    /// Requests per second that `server` accepts if it counts as cold at `now`, else `None`. A server
    /// without a known entry and without a suspicion counts as cold: it may just have started.
    pub fn rate(&self, server: &Server, now: Time) -> Option<f64> {
        match self.has_limits() {
            true => self.lock().rate(server, now),
            false => None,
        }
    }

    /// Whether each of `servers` counts as cold at `now`, in their order; empty if no service has a limit.
    pub fn are_cold(&self, servers: &[Server], now: Time) -> Vec<bool> {
        if !self.has_limits() {
            return Vec::new();
        }
        let known = self.lock();
        let is_cold = |server| known.rate(server, now).is_some();
        servers.iter().map(is_cold).collect()
    }

    /// Records the entry of a server. Returns whether it is newer than the last.
    pub fn note_entry(&self, server: &Name, entry: ColdEntry) -> bool {
        self.lock().tracked(server).state.note_entry(entry)
    }

    /// Records that `server` may have started again at `at`. Unless that was known, all hosts that need it are
    /// to be told, also those that were told of an earlier suspicion: they may have granted a request since.
    pub fn suspect(&self, server: &Name, at: Time) -> Raised {
        self.raise(server, at, false)
    }

    /// Like [`Self::suspect`], for a suspicion that every host raises by itself and tells nobody.
    pub fn suspect_shared(&self, server: &Name, at: Time) -> Raised {
        self.raise(server, at, true)
    }

    /// Records at `now` that another host suspects `server`, which need not be configured here yet; `None`
    /// if there is no room. A renewed suspicion is not passed on, as its host tells all that need it.
    pub fn note_told(&self, server: &Name, now: Time) -> Option<Raised> {
        let mut known = self.lock();
        if known.find(server).is_err() && known.servers.len() >= SERVERS_MAX {
            return None;
        }
        let raised = known.suspect(server, now);
        if raised == Raised::New {
            known.tracked(server).begin_notices(now, false);
        }
        Some(raised)
    }

    fn raise(&self, server: &Name, at: Time, is_shared: bool) -> Raised {
        let mut known = self.lock();
        let raised = known.suspect(server, at);
        if raised != Raised::Known {
            known.tracked(server).begin_notices(at, is_shared);
        }
        raised
    }

    /// Records that `server` was granted the request of the attempt `id` at `at`.
    pub fn note_granted(&self, server: &str, id: &Name, at: Time) {
        if !self.has_limits() {
            return;
        }
        let mut known = self.lock();
        if let Ok(i) = known.find(server) {
            known.servers[i].state.note_granted(id, at);
        }
    }

    /// Records that the attempt `id` was not sent to `server`.
    pub fn note_unsent(&self, server: &str, id: &Name) {
        if !self.has_limits() {
            return;
        }
        let mut known = self.lock();
        if let Ok(i) = known.find(server) {
            known.servers[i].state.note_unsent(id);
        }
    }

    /// Servers that are suspected at `now`.
    pub fn suspected(&self, now: Time) -> Vec<Name> {
        let known = self.lock();
        let span = known.longest_span();
        let all = known.servers.iter();
        all.filter(|t| t.state.suspected(span, now).is_some())
            .map(|t| t.server.clone())
            .collect()
    }

    /// The suspicions of `servers` that are in force and that the host `peer` was not told of.
    pub fn pending_notices(&self, servers: &[Name], peer: &Name, now: Time) -> Vec<PendingNotice> {
        let known = self.lock();
        let span = known.longest_span();
        let pending = servers.iter().filter_map(|server| {
            let tracked = &known.servers[known.find(server).ok()?];
            tracked.state.suspected(span, now)?;
            let is_pending = !tracked.is_shared && !tracked.told.contains(peer);
            is_pending.then(|| PendingNotice {
                server: server.clone(),
                at: tracked.told_of,
            })
        });
        pending.collect()
    }

    /// Records that the host `peer` knows of a suspicion, unless it was raised again since.
    pub fn mark_told(&self, notice: &PendingNotice, peer: &Name) {
        let mut known = self.lock();
        let Ok(at) = known.find(&notice.server) else {
            return;
        };
        let tracked = &mut known.servers[at];
        if tracked.told_of == notice.at && !tracked.told.contains(peer) {
            tracked.told.push(peer.clone());
        }
    }

    /// The newest entries, to be passed on.
    pub fn entries(&self) -> Vec<(Name, ColdEntry)> {
        let known = self.lock();
        let entry = |t: &Tracked| Some((t.server.clone(), t.state.entry()?));
        known.servers.iter().filter_map(entry).collect()
    }

    /// Removes servers that are not among `servers` (sorted by name) and not suspected at `now`.
    pub fn prune(&self, servers: &[Server], now: Time) {
        let mut known = self.lock();
        let span = known.longest_span();
        known.servers.retain(|t| {
            let found = servers.binary_search_by(|s| s.name.cmp(&t.server));
            found.is_ok() || t.state.suspected(span, now).is_some()
        });
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

    fn rate(&self, server: &Server, now: Time) -> Option<f64> {
        let (rate, span) = self.limit(server)?;
        let found = self.find(&server.name).ok();
        let state = found.map(|at| &self.servers[at].state);
        let is_cold = state.is_none_or(|s| s.is_unknown() || s.is_cold(span, now));
        is_cold.then_some(rate)
    }

    /// The longest span of a limit. Notices need not be exact, as a host that is told in vain only has the server
    /// limited for longer.
    fn longest_span(&self) -> Duration {
        let spans = self.limits.iter().map(|l| l.span);
        spans.max().unwrap_or_default()
    }

    fn suspect(&mut self, server: &Name, at: Time) -> Raised {
        let span = self.longest_span();
        let state = &mut self.tracked(server).state;
        let was_suspected = state.suspected(span, at).is_some();
        match (state.suspect(at), was_suspected) {
            (false, _) => Raised::Known,
            (true, true) => Raised::Renewed,
            (true, false) => Raised::New,
        }
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
                is_shared: false,
            };
            self.servers.insert(at, tracked);
            at
        });
        &mut self.servers[at]
    }
}
