//! Configuration that an outside system declares as a whole, in place of changes in the log.
//!
//! It has two independently updated parts: the operators' catalog and the list of servers. Each part
//! is versioned by its source; a host never goes back to a lower version. Hosts that cannot reach the
//! source fetch newer parts from their peers.

mod regions;
mod restrictions;

pub use regions::RegionVersions;
pub use restrictions::{SeenEntry, ServerRestrictions};

use crate::{
    clock::Time,
    config::{Key, Model, PassRoute, Server, State, Workspace},
    http::{Exchange, Timeouts},
    kernel::{Call, Host, On, Plugin, Port, Route, Task, serve_call},
    timeline::Happening,
    wire::Name,
};
use regions::{KnownRegions, Round};
use serde::{Deserialize, Serialize};
use std::{
    cell::RefCell,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Interval between checks whether peers must be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Age of the last read of the source from which peers are asked.
const STALE_AGE: Duration = Duration::from_millis(1500);
/// Timeout of a call to a peer, and of each read of a long answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a whole answer with newer parts, which may be large.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin {
        name: "declared",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/declared", handle: serve },
            Route { port: Port::Peer, method: "POST", path: "/peer/declared/restrictions", handle: restrictions::serve },
            Route { port: Port::Peer, method: "POST", path: "/peer/declared/regions", handle: regions::serve },
        ],
        tasks: &[Task { name: "declared", every: CHECK_INTERVAL, run: catch_up, waits: true, on: On::Outside }],
        stop: |_| {},
    }
}

/// What operators declare.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version that the operators give, for logs.
    pub version: u64,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Keys, sorted by hash.
    pub keys: Vec<Key>,
    /// Services that servers belong to, sorted.
    pub services: Vec<Name>,
    /// Routes, sorted by host name and prefix.
    pub routes: Vec<Arc<PassRoute>>,
}

/// A versioned part of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// Version given by its source; a higher one is newer.
    pub at: u64,
    /// Content.
    pub value: Arc<T>,
}

impl<T: Default> Default for Versioned<T> {
    fn default() -> Self {
        Self {
            at: 0,
            value: Arc::default(),
        }
    }
}

impl<T> Versioned<T> {
    /// Version `at` with the content `value`.
    pub fn new(at: u64, value: impl Into<Arc<T>>) -> Self {
        let value = value.into();
        Self { at, value }
    }

    /// Whether it has a higher version than `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.at > other.at
    }

    /// Replaces itself with `other` if that is newer; returns whether it was.
    fn update(&mut self, other: Option<Self>) -> bool {
        let newer = other.filter(|o| o.is_newer_than(self));
        let is_newer = newer.is_some();
        if let Some(newer) = newer {
            *self = newer;
        }
        is_newer
    }
}

/// A part of the declared configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// What operators declare.
    Catalog,
    /// The list of servers.
    Servers,
}

/// What a host knows of its own reading of the source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceState {
    /// Whether the last read of a part failed.
    pub is_lost: bool,
    /// Whether servers may be missing from the list.
    pub is_partial: bool,
    /// Time since both parts were last known to be the newest; `None` if they never were.
    pub age: Option<Duration>,
}

impl SourceState {
    /// Whether peers are to be asked for newer parts.
    pub fn needs_peers(&self) -> bool {
        self.is_lost || self.is_partial || self.age.is_none_or(|age| age >= STALE_AGE)
    }
}

fn note_loaded(host: &Host, id: &str, at: u64, note: &str) {
    host.timeline
        .note(Happening::StateLoaded, id, Some(at), note);
}

/// The newest declared configuration that this host knows.
#[derive(Debug, Default)]
pub struct Declared {
    known: Mutex<Known>,
    restrictions: Mutex<ServerRestrictions>,
    regions: KnownRegions,
}

#[derive(Debug, Default)]
struct Known {
    catalog: Versioned<Catalog>,
    fleet: Versioned<Vec<Server>>,
    /// When each part was last known to be the newest version.
    catalog_fresh: Option<Time>,
    fleet_fresh: Option<Time>,
    /// Whether the last read of each part from the source failed.
    catalog_lost: bool,
    fleet_lost: bool,
    /// Whether servers may be missing from the list.
    is_partial: bool,
}

impl Declared {
    /// Updates the catalog from a read that was up to date at `fresh`; `None` if nothing changed.
    pub fn update_catalog(&self, host: &Host, update: Option<Versioned<Catalog>>, fresh: Time) {
        let mut known = self.lock();
        if known.catalog.update(update) {
            let (at, version) = (known.catalog.at, known.catalog.value.version);
            note_loaded(host, "catalog", at, &format!("version={version}"));
        }
        known.catalog_fresh = known.catalog_fresh.max(Some(fresh));
        known.install_state(host);
    }

    /// Updates the servers from a read that was up to date at `fresh`; `None` if nothing changed.
    pub fn update_servers(&self, host: &Host, update: Option<Versioned<Vec<Server>>>, fresh: Time) {
        let mut known = self.lock();
        if known.fleet.update(update) {
            let (at, count) = (known.fleet.at, known.fleet.value.len());
            let versions = software_versions(&known.fleet.value).join(",");
            note_loaded(
                host,
                "servers",
                at,
                &format!("servers={count} software={versions}"),
            );
        }
        known.fleet_fresh = known.fleet_fresh.max(Some(fresh));
        host.gates.cold.prune(&known.fleet.value, host.now());
        known.install_state(host);
    }

    /// The list of servers in force.
    pub fn servers(&self) -> Versioned<Vec<Server>> {
        self.lock().fleet.clone()
    }

    /// Records whether the list of servers may lack some whose entries expired before this host started. If so, peers
    /// are asked for a newer list also while the source can be read.
    pub fn set_partial(&self, is_partial: bool) {
        self.lock().is_partial = is_partial;
    }

    /// Records whether the last read of `part` from the source failed. Peers are asked for newer parts until it is read
    /// again.
    pub fn set_lost(&self, part: Part, is_lost: bool) {
        let mut known = self.lock();
        match part {
            Part::Catalog => known.catalog_lost = is_lost,
            Part::Servers => known.fleet_lost = is_lost,
        }
    }

    fn source_state(&self, host: &Host) -> SourceState {
        let fresh = host.config.progress().caught_up;
        let known = self.lock();
        SourceState {
            is_lost: known.catalog_lost || known.fleet_lost,
            is_partial: known.is_partial,
            age: fresh.map(|f| host.now().saturating_sub(f)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("declared configuration")
    }
}

/// The software versions of `servers`, sorted.
fn software_versions(servers: &[Server]) -> Vec<&str> {
    let mut versions: Vec<&str> = servers.iter().map(|s| &*s.software).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

impl Known {
    /// Version of both parts together. It increases with each change, so that hosts can tell whether
    /// they are behind another.
    fn at(&self) -> u64 {
        self.catalog.at + self.fleet.at
    }

    /// Installs the state derived from both parts.
    fn install_state(&self, host: &Host) {
        host.note_versions(&self.fleet.value);
        if self.catalog.at == 0 {
            return;
        }
        let fresh = self.catalog_fresh.min(self.fleet_fresh);
        let is_new = self.at() > host.config.progress().next;
        let state = is_new.then(|| self.state());
        host.config.install(state, self.at(), fresh);
    }

    fn state(&self) -> State {
        let model = |name: &Name| Model {
            name: name.clone(),
            version: Name::default(),
            adapters: Vec::new(),
            tokens: u32::MAX,
        };
        let catalog = &self.catalog.value;
        State {
            revision: self.catalog.at,
            servers_at: self.at(),
            workspaces: catalog.workspaces.clone(),
            keys: catalog.keys.clone(),
            models: catalog.services.iter().map(model).collect(),
            servers: self.fleet.value.to_vec(),
            passes: catalog.routes.clone(),
            ..State::default()
        }
    }
}

/// Asks a peer for the parts that are newer than the given versions.
#[derive(Debug, Serialize, Deserialize)]
struct DeclaredCall {
    catalog: u64,
    fleet: u64,
}

/// The peer's newer parts, with the age of its own last read of each.
#[derive(Debug, Serialize, Deserialize)]
struct DeclaredReply {
    catalog: Option<Versioned<Catalog>>,
    fleet: Option<Versioned<Vec<Server>>>,
    catalog_age: Option<Duration>,
    fleet_age: Option<Duration>,
}

impl DeclaredReply {
    /// Whether the peer has read both parts recently.
    fn is_fresh(&self) -> bool {
        let ages = [self.catalog_age, self.fleet_age];
        ages.iter().all(|age| age.is_some_and(|a| a < STALE_AGE))
    }
}

impl Call for DeclaredCall {
    type Reply = DeclaredReply;
    const PATH: &'static str = "/peer/declared";
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: DeclaredCall| {
        let now = host.now();
        let age = |fresh: Option<Time>| fresh.map(|f| now.saturating_sub(f));
        let known = host.declared.lock();
        let (catalog, fleet) = (&known.catalog, &known.fleet);
        Ok(DeclaredReply {
            catalog: (catalog.at > call.catalog).then(|| catalog.clone()),
            fleet: (fleet.at > call.fleet).then(|| fleet.clone()),
            catalog_age: age(known.catalog_fresh),
            fleet_age: age(known.fleet_fresh),
        })
    })
}

/// Asks peers while the source cannot be read or the list of servers is partial, until one has read it recently and has
/// a newer list.
fn catch_up(host: &Arc<Host>) {
    let state = host.declared.source_state(host);
    if host.is_stopping() || !state.needs_peers() {
        return;
    }
    let limits = Timeouts {
        quiet: CALL_TIMEOUT,
        ..Timeouts::within(TRANSFER_TIMEOUT)
    };
    let round = RefCell::new(Round::default());
    let found = host.relay.try_peers(host, |peer| {
        let known = host.declared.lock();
        let call = DeclaredCall {
            catalog: known.catalog.at,
            fleet: known.fleet.at,
        };
        drop(known);
        // Before the servers, so that none of them is known without what limits it.
        if !restrictions::catch_up(host, peer) {
            return None;
        }
        let began = host.now();
        match host.call_within(peer.addr, &call, limits) {
            Ok(mut reply) => {
                // Before the catalog, so that no route is known without its list.
                round.borrow_mut().check(host, peer, &mut reply, began);
                let is_found = reply.is_fresh() && (!state.is_partial || reply.fleet.is_some());
                apply_reply(host, reply, began);
                is_found.then_some(())
            }
            Err(fail) => {
                tracing::debug!(peer = &*peer.name, error = %fail, "peer_state_not_read");
                None
            }
        }
    });
    if found.is_none() {
        round.into_inner().end(host);
    }
}

fn apply_reply(host: &Host, reply: DeclaredReply, began: Time) {
    let at = |age: Duration| began.saturating_sub(age);
    if let Some(age) = reply.catalog_age {
        host.declared.update_catalog(host, reply.catalog, at(age));
    }
    if let Some(age) = reply.fleet_age {
        host.declared.update_servers(host, reply.fleet, at(age));
    }
}
