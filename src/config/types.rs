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
    /// Address of its HTTP interface.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Models to have loaded.
    pub models: Vec<Name>,
    /// Requests that run concurrently at full speed.
    pub slots: u32,
    /// Whether it rejects orders (load, unload, change role) with an outdated fencing token.
    pub fenced: bool,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
    /// Incarnation number, higher after each restart; zero if unknown.
    #[serde(default)]
    pub start: u64,
    /// Version of its software, not of its models; empty if unknown. A stream goes on only at servers with
    /// the version that began it.
    #[serde(default)]
    pub software: Name,
}

/// A route from a path to the fixed addresses of a plain service; compare [`PassRoute`].
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

/// State of the configuration at a position of the log, or in a version declared from outside.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Position of the last accepted change; the version of the catalog if declared from outside.
    pub revision: Pos,
    /// Position of the last accepted change of a backend server or of a setting of one; if declared
    /// from outside, a version of the server list that also rises with the catalog.
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
    /// Objects as written, by id, from which the lists above derive; empty if declared from outside.
    pub objects: Vec<Object>,
    /// The host that may send orders to each backend server, sorted by server.
    pub issuers: Vec<Issuer>,
    /// Verdicts on recent changes, to answer repeats; sorted by id, at most `OUTCOMES_MAX`.
    pub outcomes: Vec<Outcome>,
    /// Routes to services that backend servers run, sorted by host name and prefix.
    #[serde(default)]
    pub passes: Vec<Arc<PassRoute>>,
}

/// A configuration object as operators wrote it.
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
    /// Its content.
    pub item: Item,
}

/// The host whose claim lets it order a backend server to load or unload models or change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issuer {
    /// The backend server.
    pub server: Name,
    /// The host.
    pub host: Name,
    /// Position of its claim, which is the fencing token of its orders.
    pub epoch: Pos,
}

impl State {
    /// Whether there is a key with `hash`, withdrawn or not.
    pub fn has_key(&self, hash: &str) -> bool {
        find(&self.keys, |k| &k.hash, hash).is_some()
    }

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

/// Kind of a route's requests: how often each may run, and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PassKind {
    /// Requests that may run more than once.
    Repeatable,
    /// Requests that run at most once.
    Once,
    /// Requests answered by an event stream; may run again only if the route is resumable.
    Stream,
    /// Batch jobs.
    Batch,
}

/// A weighted destination of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service; runs on the servers that list it in [`Server::models`].
    pub service: Name,
    /// Share of the requests, relative to the route's other targets.
    pub weight: u32,
}

/// A route from a host name and path prefix to weighted services; forwards requests unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassRoute {
    /// Host name that requests give.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Kind of its requests.
    pub kind: PassKind,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// Maximum duration of a whole request; caps the limit that its caller gives.
    pub timeout: Duration,
    /// Target latency of an answer's first part; shares of it limit admission waits. Zero for none.
    pub aim: Duration,
    /// Maximum attempts that may have run the request; batch: maximum failed answers of an item.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a stream may resume at another server.
    pub resumable: bool,
    /// Batch: retention period that the route declares.
    pub retention: Duration,
    /// Batch: maximum tokens of a workspace's waiting items; zero for no limit.
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
