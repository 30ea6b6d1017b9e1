//! State that this host read back from backend servers.

use super::{LoadPacer, Track};
use crate::{
    clock::Time, engine::Loaded, fold::Pos, gate::gate_key, kernel::Host, member::Ring, wire::Name,
};
use std::{
    sync::{Arc, Mutex, MutexGuard, RwLock},
    time::Duration,
};

/// Time after the last query about a server for which it is read back although another host runs
/// its gate.
const WATCH_TIME: Duration = Duration::from_secs(10);

/// Servers that one host reads back, and those that it orders.
#[derive(Debug, Default)]
pub struct Orders {
    /// Servers that are read back, sorted by name.
    servers: RwLock<Vec<ReadBack>>,
    issuing: Mutex<Vec<Issuing>>,
    placed: Mutex<PlacementCache>,
    pace: Mutex<LoadPacer>,
}

/// Result of the last computation of the servers whose gate runs on this host.
#[derive(Debug, Default)]
struct PlacementCache {
    ring: Arc<Ring>,
    all: Vec<Name>,
    mine: Vec<Name>,
}

/// Last state read back from one server.
#[derive(Debug, Clone)]
struct ReadBack {
    server: Name,
    last_query: Time,
    last_read: Option<Time>,
    loaded: Option<Arc<Loaded>>,
    /// Models that are being drained and get no new work.
    draining: Vec<Name>,
}

/// A server that this host sends orders to.
#[derive(Debug, Clone)]
pub(super) struct Issuing {
    pub server: Name,
    /// Position of the claim under which the track was started; zero before it is in the log.
    pub epoch: Pos,
    /// Time since which the gate of the server runs on this host.
    pub since: Time,
    /// Time at which the last claim was submitted.
    pub last_claim: Option<Time>,
    pub track: Track,
}

impl Orders {
    /// State of `server` when it was last read back; `None` if it has not been yet. The query makes
    /// this host read the server back for the next `WATCH_TIME`.
    pub fn loaded(&self, server: &str, now: Time) -> Option<Arc<Loaded>> {
        let servers = self.servers.read().expect("servers read back");
        let found = servers.binary_search_by(|s| (*s.server).cmp(server));
        let known = found.ok().map(|at| &servers[at]);
        let loaded = known.and_then(|s| s.loaded.clone());
        let stale = known.is_none_or(|s| s.last_query + WATCH_TIME / 2 < now);
        drop(servers);
        if stale {
            self.watch(server, now);
        }
        loaded
    }

    /// Whether `server` reported `model` with `adapter` as loaded and is not draining it.
    pub fn serves(&self, server: &str, model: &str, adapter: Option<&str>, now: Time) -> bool {
        let Some(loaded) = self.loaded(server, now) else {
            return false;
        };
        let has = loaded.models.iter().any(|m| {
            *m.name == *model && adapter.is_none_or(|a| m.adapters.iter().any(|n| **n == *a))
        });
        has && !self.is_draining(server, model)
    }

    fn is_draining(&self, server: &str, model: &str) -> bool {
        let servers = self.servers.read().expect("servers read back");
        let found = servers.binary_search_by(|s| (*s.server).cmp(server));
        found.is_ok_and(|at| servers[at].draining.iter().any(|n| **n == *model))
    }

    /// The servers whose gate runs on this host. Computed again only when the hosts or the servers
    /// have changed: with many of both it costs some milliseconds.
    pub(super) fn in_charge(&self, host: &Host) -> Vec<Name> {
        let ring = host.members.ring();
        let mut placed = self.placed.lock().expect("servers in charge of");
        let same = host
            .config
            .view(|s| s.servers.iter().map(|s| &s.name).eq(&placed.all));
        if !same || !Arc::ptr_eq(&ring, &placed.ring) {
            let all = host
                .config
                .view(|s| s.servers.iter().map(|s| s.name.clone()).collect());
            placed.all = all;
            let mine = placed.all.iter().filter(|n| {
                let owner = ring.owner(&gate_key(n));
                owner.is_some_and(|p| p.name == host.me.name)
            });
            placed.mine = mine.cloned().collect();
            placed.ring = ring;
        }
        placed.mine.clone()
    }

    /// Has `server` read back for `WATCH_TIME` from `now` on.
    pub(super) fn watch(&self, server: &str, now: Time) {
        self.update(server, true, |entry| entry.last_query = now);
    }

    /// Stores the state that was read back from `server`.
    pub(super) fn record(&self, server: &str, loaded: Loaded) {
        let loaded = Arc::new(loaded);
        self.update(server, false, |entry| entry.loaded = Some(loaded));
    }

    /// Whether `server` is to be read back at `now`. It is every `interval`, and in every round
    /// while an order is outstanding or a model is being drained.
    pub(super) fn is_due(&self, server: &str, now: Time, interval: Duration) -> bool {
        let is_busy = self.is_busy(server);
        let mut due = false;
        self.update(server, false, |entry| {
            let is_old = entry.last_read.is_none_or(|t| t + interval <= now);
            due = is_busy || entry.loaded.is_none() || is_old;
            if due {
                entry.last_read = Some(now);
            }
        });
        due
    }

    fn is_busy(&self, server: &str) -> bool {
        let issuing = self.issuing();
        let found = issuing.binary_search_by(|i| (*i.server).cmp(server));
        found.is_ok_and(|at| {
            let track = &issuing[at].track;
            track.is_waiting() || !track.draining().is_empty()
        })
    }

    pub(super) fn pace(&self) -> MutexGuard<'_, LoadPacer> {
        self.pace.lock().expect("pace")
    }

    /// Sets the models of `server` that get no new work.
    pub(super) fn set_draining(&self, server: &str, draining: &[Name]) {
        self.update(server, false, |entry| entry.draining = draining.to_vec());
    }

    /// Names of the servers to read back; drops those without a recent query.
    pub(super) fn watched(&self, now: Time) -> Vec<Name> {
        let mut servers = self.servers.write().expect("servers read back");
        servers.retain(|s| s.last_query + WATCH_TIME > now);
        servers.iter().map(|s| s.server.clone()).collect()
    }

    fn update(&self, server: &str, add: bool, update: impl FnOnce(&mut ReadBack)) {
        let mut servers = self.servers.write().expect("servers read back");
        match servers.binary_search_by(|s| (*s.server).cmp(server)) {
            Ok(at) => update(&mut servers[at]),
            Err(at) if add => {
                let mut entry = ReadBack {
                    server: server.into(),
                    last_query: Time::ZERO,
                    last_read: None,
                    loaded: None,
                    draining: Vec::new(),
                };
                update(&mut entry);
                servers.insert(at, entry);
            }
            Err(_) => {}
        }
    }

    pub(super) fn issuing(&self) -> MutexGuard<'_, Vec<Issuing>> {
        self.issuing.lock().expect("servers in charge of")
    }
}
