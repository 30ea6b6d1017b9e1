//! A configuration that an outside system declares whole, in place of this product's own changes.
//!
//! It has two halves that change apart: what operators declare, and the servers that are there. Each
//! half is numbered by its source; a host never goes back to a lower number. Hosts that cannot reach
//! the source take newer halves from their peers.

use crate::{
    clock::Time,
    config::{Key, Model, PassRoute, Server, State, Workspace},
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, serve_call},
    timeline::Happening,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Time between two looks at whether peers are to be asked.
const EVERY: Duration = Duration::from_millis(300);
/// Age of the last reading of the source from which peers are asked.
const STALE: Duration = Duration::from_millis(1500);
/// Longest time for a peer to answer.
const LIMIT: Duration = Duration::from_millis(500);

inventory::submit! {
    Plugin {
        name: "declared",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/declared", handle: serve }],
        tasks: &[Task { name: "declared", every: EVERY, run: catch_up, waits: true, on: On::Outside }],
        stop: |_| {},
    }
}

/// What operators declare.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// The operators' own number of the version, for logs.
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

/// A half of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Half<T> {
    /// Number given by its source; a higher one is newer.
    pub at: u64,
    /// Content.
    pub value: Arc<T>,
}

impl<T: Default> Default for Half<T> {
    fn default() -> Self {
        Self {
            at: 0,
            value: Arc::default(),
        }
    }
}

impl<T> Half<T> {
    /// Takes `other` over if it is newer; whether it was.
    fn renew(&mut self, other: Option<Self>) -> bool {
        let newer = other.filter(|o| o.at > self.at);
        let is_newer = newer.is_some();
        if let Some(newer) = newer {
            *self = newer;
        }
        is_newer
    }
}

fn loaded(host: &Host, id: &str, at: u64, note: &str) {
    host.timeline
        .note(Happening::StateLoaded, id, Some(at), note);
}

/// Both halves as one host knows them.
#[derive(Debug, Default)]
pub struct Declared {
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    catalog: Half<Catalog>,
    fleet: Half<Vec<Server>>,
    /// When each half was last known to be the newest one.
    catalog_fresh: Option<Time>,
    fleet_fresh: Option<Time>,
}

impl Declared {
    /// Takes a reading of what operators declare, which was the newest at `fresh`.
    pub fn take_catalog(&self, host: &Host, half: Option<Half<Catalog>>, fresh: Time) {
        let mut known = self.lock();
        if known.catalog.renew(half) {
            let (at, version) = (known.catalog.at, known.catalog.value.version);
            loaded(host, "catalog", at, &format!("version={version}"));
        }
        known.catalog_fresh = known.catalog_fresh.max(Some(fresh));
        known.adopt(host);
    }

    /// Takes a reading of the servers, which was the newest at `fresh`.
    pub fn take_fleet(&self, host: &Host, half: Option<Half<Vec<Server>>>, fresh: Time) {
        let mut known = self.lock();
        if known.fleet.renew(half) {
            let (at, count) = (known.fleet.at, known.fleet.value.len());
            loaded(host, "servers", at, &format!("servers={count}"));
        }
        known.fleet_fresh = known.fleet_fresh.max(Some(fresh));
        known.adopt(host);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().expect("declared configuration")
    }
}

impl Known {
    /// Number of both halves together. It rises with each change, so that hosts can tell whether
    /// they are behind another.
    fn at(&self) -> u64 {
        self.catalog.at + self.fleet.at
    }

    /// Puts the state that follows from both halves in force.
    fn adopt(&self, host: &Host) {
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

/// Asks a peer for what is newer than the numbers given.
#[derive(Debug, Serialize, Deserialize)]
struct DeclaredCall {
    catalog: u64,
    fleet: u64,
}

/// What a peer has that is newer, with the age of its own last reading.
#[derive(Debug, Serialize, Deserialize)]
struct DeclaredReply {
    catalog: Option<Half<Catalog>>,
    fleet: Option<Half<Vec<Server>>>,
    catalog_age: Option<Duration>,
    fleet_age: Option<Duration>,
}

impl DeclaredReply {
    /// Whether the peer has read both lately.
    fn is_fresh(&self) -> bool {
        let ages = [self.catalog_age, self.fleet_age];
        ages.iter().all(|age| age.is_some_and(|a| a < STALE))
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

/// Asks peers while the source cannot be read, until one has read it lately.
fn catch_up(host: &Arc<Host>) {
    if host.is_stopping() {
        return;
    }
    let fresh = host.config.progress().fresh;
    if fresh.is_some_and(|f| host.now().saturating_sub(f) < STALE) {
        return;
    }
    host.relay.try_peers(host, |peer| {
        let known = host.declared.lock();
        let call = DeclaredCall {
            catalog: known.catalog.at,
            fleet: known.fleet.at,
        };
        drop(known);
        let began = host.now();
        match host.call(peer.addr, &call, LIMIT) {
            Ok(reply) => {
                let is_fresh = reply.is_fresh();
                take(host, reply, began);
                is_fresh.then_some(())
            }
            Err(fail) => {
                tracing::debug!(peer = &*peer.name, error = %fail, "peer_state_not_read");
                None
            }
        }
    });
}

fn take(host: &Host, reply: DeclaredReply, began: Time) {
    let at = |age: Duration| began.saturating_sub(age);
    if let Some(age) = reply.catalog_age {
        host.declared.take_catalog(host, reply.catalog, at(age));
    }
    if let Some(age) = reply.fleet_age {
        host.declared.take_fleet(host, reply.fleet, at(age));
    }
}
