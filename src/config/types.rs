//! What operators declare.

use super::{Item, ObjectId, Outcome};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use twox_hash::XxHash3_64;

/// A workspace: whom requests run for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: Name,
    /// Weight in fair shares.
    pub weight: u32,
    /// Requests a minute, over all hosts.
    pub rate: u32,
    /// Most requests at once after a quiet time, over all hosts.
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
    /// Most tokens in one answer.
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
    /// Requests that run side by side at full speed.
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Number of its present start, which rises from start to start; zero where none is told.
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
    /// What was declared, sorted by id; the lists above are derived from it.
    pub objects: Vec<Object>,
    /// Hosts that may send orders to backend servers, sorted by server.
    pub issuers: Vec<Issuer>,
    /// What became of the latest changes, sorted by id.
    pub outcomes: Vec<Outcome>,
    /// Routes of requests that are passed on unchanged, sorted by host name and prefix.
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
    /// Position of its claim: the fencing number of its orders.
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

fn find<'a, T>(sorted: &'a [T], name: impl Fn(&T) -> &Name, key: &str) -> Option<&'a T> {
    let at = sorted.binary_search_by(|t| (**name(t)).cmp(key)).ok()?;
    sorted.get(at)
}

/// What may be repeated of the requests of a route.
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

/// A part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service, by which servers are found as by a model.
    pub service: Name,
    /// Share of the requests.
    pub weight: u32,
}

/// A route of requests that are passed on unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassRoute {
    /// Host name that requests give.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Kind.
    pub kind: PassKind,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Objective for the first piece of an answer; zero for none.
    pub aim: Duration,
    /// Most servers that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a stream may go on at another server.
    pub resumable: bool,
    /// Batch: time after which an item may be given up.
    pub retention: Duration,
    /// Batch: most tokens of a workspace that wait; zero for no limit.
    pub queued: u64,
}

impl PassRoute {
    /// Service that the request `id` goes to: the same one on every host.
    pub fn target(&self, id: &str) -> Name {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut at = XxHash3_64::oneshot(id.as_bytes()) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return target.service.clone();
            }
            at -= weight;
        }
        self.targets
            .last()
            .map(|t| t.service.clone())
            .unwrap_or_default()
    }
}

/// The route of a request to `path` at the name `host`: the one with the longest prefix.
pub fn pass_route<'a>(state: &'a State, host: &str, path: &str) -> Option<&'a Arc<PassRoute>> {
    let from = state.passes.partition_point(|r| *r.host < *host);
    let same = state.passes[from..].iter().take_while(|r| *r.host == *host);
    same.filter(|r| path.starts_with(&*r.prefix))
        .max_by_key(|r| r.prefix.len())
}
