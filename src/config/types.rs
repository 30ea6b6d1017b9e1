//! The configuration in force.

use super::{Item, ObjectId, Outcome};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use twox_hash::XxHash3_64;

/// A workspace, on whose behalf requests run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Weight in fair sharing.
    pub weight: u32,
    /// Requests per minute, over all hosts.
    pub rate: u32,
    /// Maximum burst of requests after an idle period, over all hosts.
    pub burst: u32,
}

/// A caller's key; only its hash is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// SHA-256 of the key, in hexadecimal.
    pub hash: Name,
    /// Workspace that requests with the key run for.
    pub workspace: Name,
    /// Name by which operators know the key.
    pub label: Name,
    /// Whether it was withdrawn.
    pub withdrawn: bool,
}

/// A model in the version that the fleet should run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name that callers give.
    pub name: Name,
    /// Version to serve.
    pub version: Name,
    /// Adapters that callers may name.
    pub adapters: Vec<Name>,
    /// Maximum tokens in one answer.
    pub tokens: u32,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Name.
    pub name: Name,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Models to have loaded.
    pub models: Vec<Name>,
    /// Requests that run concurrently at full speed.
    pub slots: u32,
    /// Whether it rejects orders with a stale fencing token.
    pub fenced: bool,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Number of its current start, which increases with each start; zero if unknown.
    #[serde(default)]
    pub start: u64,
}

/// A route to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix on the callers' port, such as `/svc/lookup`.
    pub path: Name,
    /// Addresses of the service.
    pub addrs: Vec<SocketAddr>,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a call may be sent more than once.
    pub repeatable: bool,
}

/// State of the configuration at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Position of the last accepted change.
    pub revision: Pos,
    /// Position of the last accepted change of a backend server or of a setting of one.
    pub servers_at: Pos,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Keys, sorted by hash.
    pub keys: Vec<Key>,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Backend servers, sorted by name.
    pub servers: Vec<Server>,
    /// Routes, sorted by path.
    pub routes: Vec<Route>,
    /// Declared objects, sorted by id; the lists above are derived from them.
    pub objects: Vec<Object>,
    /// Hosts that may send orders to backend servers, sorted by server.
    pub issuers: Vec<Issuer>,
    /// Outcomes of the latest changes, sorted by id.
    pub outcomes: Vec<Outcome>,
    /// Routes of requests that are forwarded unchanged, sorted by host name and prefix.
    #[serde(default)]
    pub passes: Vec<Arc<PassRoute>>,
}

/// A declared object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Id.
    pub id: ObjectId,
    /// Position of the last accepted change of the object.
    pub revision: Pos,
    /// Id of that change.
    pub change: Name,
    /// Author of that change.
    pub author: Name,
    /// The declaration.
    pub item: Item,
}

/// The one host that may send orders to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issuer {
    /// The backend server.
    pub server: Name,
    /// The host.
    pub host: Name,
    /// Position of its claim: the fencing token of its orders.
    pub epoch: Pos,
}

impl State {
    /// The key with `hash`, unless it was withdrawn.
    pub fn key(&self, hash: &str) -> Option<&Key> {
        find(&self.keys, |k| &k.hash, hash).filter(|k| !k.withdrawn)
    }

    /// The workspace `name`.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, |w| &w.name, name)
    }

    /// The model `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        find(&self.models, |m| &m.name, name)
    }

    /// The backend server `name`.
    pub fn server(&self, name: &str) -> Option<&Server> {
        find(&self.servers, |s| &s.name, name)
    }
}

fn find<'a, T>(sorted: &'a [T], key_of: impl Fn(&T) -> &Name, key: &str) -> Option<&'a T> {
    let at = sorted.binary_search_by(|t| (**key_of(t)).cmp(key)).ok()?;
    sorted.get(at)
}

/// How the requests of a route may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PassKind {
    /// Requests that may run more than once.
    Repeatable,
    /// Requests that run at most once.
    Once,
    /// Requests answered by an event stream.
    Stream,
    /// Batch jobs.
    Batch,
}

/// A weighted destination of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service, which selects servers as a model does.
    pub service: Name,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// A route of requests that are forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassRoute {
    /// Host name that requests give.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// How its requests may be run.
    pub kind: PassKind,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Maximum time that a request is kept waiting.
    pub timeout: Duration,
    /// Target latency of the first piece of an answer; zero for none.
    pub aim: Duration,
    /// Maximum number of servers that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a stream may resume on another server.
    pub resumable: bool,
    /// Batch: time after which an item may be abandoned.
    pub retention: Duration,
    /// Batch: maximum queued tokens of a workspace; zero for no limit.
    pub queued: u64,
}

impl PassRoute {
    /// Service that handles the request `id`: the same one on every host.
    pub fn target(&self, id: &str) -> Name {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut rest = XxHash3_64::oneshot(id.as_bytes()) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if rest < weight {
                return target.service.clone();
            }
            rest -= weight;
        }
        self.targets
            .last()
            .map(|t| t.service.clone())
            .unwrap_or_default()
    }
}

/// The route of a request for `path` at the host name `host`: the one with the longest prefix.
pub fn pass_route<'a>(state: &'a State, host: &str, path: &str) -> Option<&'a Arc<PassRoute>> {
    let from = state.passes.partition_point(|r| *r.host < *host);
    let same = state.passes[from..].iter().take_while(|r| *r.host == *host);
    same.filter(|r| path.starts_with(&*r.prefix))
        .max_by_key(|r| r.prefix.len())
}
