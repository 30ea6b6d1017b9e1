//! Reads servers back and sends them orders.

use super::{
    Placement, Step, Track, predecessor,
    read_back::{Issuing, Orders},
};
use crate::{
    config::{Claim, Issuer, Record, Server},
    engine::{Action, Loaded, LoadedModel, Order},
    error::Res,
    fold::Pos,
    gate::{SETTLE, gate_key},
    http::{Exchange, Timeouts},
    kernel::{Call, Host, serve_call},
    timeline::Happening,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc, thread, time::Duration};

/// Time between two reads of the state of a server, and between two claims to it.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call to a server.
const SERVER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a call to another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Servers that are reconciled at the same time.
const FAN_OUT: usize = 8;

/// Asks the host that runs a server's gate for the state that it read back from the server.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadedCall {
    /// Backend server.
    pub server: Name,
}

impl Call for LoadedCall {
    type Reply = Option<Loaded>;
    const PATH: &'static str = "/peer/order/loaded";
}

pub(super) fn serve_loaded(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: LoadedCall| {
        let loaded = host.orders.loaded(&call.server, host.now());
        Ok(loaded.as_deref().cloned())
    })
}

/// Reconciles each server whose gate runs on this host, and reads back those queried lately.
pub(super) fn run(host: &Arc<Host>) {
    let now = host.now();
    if host.is_stopping() {
        return;
    }
    let names = host.orders.in_charge(host);
    let owned: Vec<Server> = host
        .config
        .view(|s| names.iter().filter_map(|n| s.server(n)).cloned().collect());
    claim(host, &owned);
    owned.iter().for_each(|s| host.orders.watch(&s.name, now));
    let watched = host.orders.watched(now);
    let due: Vec<Server> = host.config.view(|s| {
        let servers = watched.iter().filter_map(|n| s.server(n));
        servers.cloned().collect()
    });
    for group in due.chunks(FAN_OUT) {
        thread::scope(|scope| {
            for server in group {
                scope.spawn(|| reconcile(host, server));
            }
        });
    }
}

/// Claims the servers whose gate runs on this host and that it has not claimed yet.
fn claim(host: &Host, owned: &[Server]) {
    let now = host.now();
    let mut issuing = host.orders.issuing();
    issuing.retain(|i| owned.iter().any(|s| s.name == i.server));
    for server in owned {
        let current = host.config.view(|s| s.issuer(&server.name).cloned());
        let claimed = current.as_ref().filter(|i| i.host == host.me.name);
        let epoch = claimed.map_or(0, |i| i.epoch);
        match issuing.binary_search_by(|i| i.server.cmp(&server.name)) {
            Ok(at) if issuing[at].epoch == epoch => {}
            Ok(at) => {
                issuing[at].epoch = epoch;
                issuing[at].track = Track::new(host.settings.load);
            }
            Err(at) => issuing.insert(
                at,
                Issuing {
                    server: server.name.clone(),
                    epoch,
                    since: now,
                    last_claim: None,
                    track: Track::new(host.settings.load),
                },
            ),
        }
        let Ok(at) = issuing.binary_search_by(|i| i.server.cmp(&server.name)) else {
            continue;
        };
        let last = issuing[at].last_claim;
        let due = last.is_none_or(|c| c + READ_INTERVAL < now);
        if epoch == 0 && due {
            issuing[at].last_claim = Some(now);
            host.config.submit(&Record::Claim(Claim {
                server: server.name.clone(),
                host: host.me.name.clone(),
                replaces: current.map_or(0, |i| i.epoch),
            }));
        }
    }
}

/// Reads `server` back if due, and sends it the next order if this host is its issuer.
fn reconcile(host: &Arc<Host>, server: &Server) {
    if !host.orders.is_due(&server.name, host.now(), READ_INTERVAL) {
        return;
    }
    let Some(loaded) = read_back(host, server) else {
        return;
    };
    host.orders.record(&server.name, loaded.clone());
    let Some(mut track) = host.orders.track(&server.name) else {
        return;
    };
    let step = next_step(host, server, &mut track, &loaded);
    host.orders.set_track(&server.name, &track);
    let action = match step {
        Step::Settled | Step::Wait => return,
        Step::Order(action) => action,
        Step::Load(model) if may_load(host) => Action::Load(model),
        Step::Replace(model) if may_replace(host, server, &model) => {
            if let Some(has) = loaded.models.iter().find(|m| m.name == model.name) {
                track.drain(has);
                host.orders.set_track(&server.name, &track);
            }
            return;
        }
        Step::Load(_) | Step::Replace(_) => return,
    };
    send(host, server, track, &action);
}

fn next_step(host: &Host, server: &Server, track: &mut Track, loaded: &Loaded) -> Step {
    let Some(wanted) = host.config.view(|s| Placement::of(s, &server.name)) else {
        return Step::Settled;
    };
    track.step(host.now(), &wanted, loaded, |model| {
        host.gates.queues.running(&server.name, model)
    })
}

fn may_load(host: &Host) -> bool {
    let hosts = host.members.ring().peers().len();
    let spread = rand::random();
    let mut pace = host.orders.pace();
    pace.may_load(host.now(), hosts, host.settings.loads, spread)
}

/// Whether `server` may drain a model to replace it by `model`.
fn may_replace(host: &Host, server: &Server, model: &LoadedModel) -> bool {
    // Within this time the holders renew the slots of an earlier gate at the new one.
    let in_charge_since = host.orders.since(&server.name);
    if in_charge_since.is_none_or(|since| host.now() < since + SETTLE) {
        return false;
    }
    let servers: Vec<Name> = host.config.view(|s| {
        let all = s.servers.iter();
        all.filter(|s| !s.leaving && s.models.contains(&model.name))
            .map(|s| s.name.clone())
            .collect()
    });
    match predecessor(&servers, &server.name) {
        None => true,
        Some(other) => has_loaded(host, other, model),
    }
}

fn has_loaded(host: &Host, server: &Name, model: &LoadedModel) -> bool {
    let Some(owner) = host.members.owner(&gate_key(server)) else {
        return false;
    };
    if owner.name == host.me.name {
        let loaded = host.orders.loaded(server, host.now());
        return loaded.is_some_and(|l| l.models.contains(model));
    }
    let call = LoadedCall {
        server: server.clone(),
    };
    let reply: Res<Option<Loaded>> = host.call(owner.addr, &call, PEER_TIMEOUT);
    matches!(reply, Ok(Some(loaded)) if loaded.models.contains(model))
}

fn read_back(host: &Host, server: &Server) -> Option<Loaded> {
    let url = format!("http://{}/v1/state", server.addr);
    let reply = host
        .client
        .call("GET", &url, &[], &[], Timeouts::within(SERVER_TIMEOUT));
    let reply = reply.ok().filter(|r| r.status == 200)?;
    serde_json::from_slice(&reply.body).ok()
}

/// Sends `action` if this host is still the issuer.
fn send(host: &Arc<Host>, server: &Server, mut track: Track, action: &Action) {
    let Some(fence) = fence(host, server) else {
        return;
    };
    let order = Order {
        fence,
        action: action.clone(),
    };
    let Ok(body) = serde_json::to_vec(&order) else {
        return;
    };
    track.set_outstanding(host.now(), action);
    host.orders.set_track(&server.name, &track);
    host.timeline.note(
        Happening::Ordered,
        &server.name,
        Some(fence),
        &describe(action),
    );
    let url = format!("http://{}/v1/orders", server.addr);
    let fields = [("content-type", "application/json")];
    let limits = Timeouts::within(SERVER_TIMEOUT);
    let sent = host.client.call_fresh("POST", &url, &fields, &body, limits);
    let refused = match &sent {
        Ok(reply) => reply.status != 200,
        Err(e) => !e.sent,
    };
    if refused {
        track.clear_outstanding();
        host.orders.set_track(&server.name, &track);
    }
}

/// Fencing token for an order to `server`, if this host may send one now: it runs the gate, its
/// claim is the latest, and it has read the log within the lease. A server that checks fencing
/// tokens needs no fresh read.
fn fence(host: &Host, server: &Server) -> Option<Pos> {
    let owner = host.members.owner(&gate_key(&server.name))?;
    let issuer: Issuer = host.config.view(|s| s.issuer(&server.name).cloned())?;
    let fresh = host.config.progress().caught_up?;
    let is_lapsed = !server.fenced && host.now() > fresh + host.settings.lease;
    let is_issuer = owner.name == host.me.name && issuer.host == host.me.name;
    (is_issuer && !is_lapsed && !host.is_stopping()).then_some(issuer.epoch)
}

fn describe(action: &Action) -> String {
    match action {
        Action::Load(model) => format!("load {} version {}", model.name, model.version),
        Action::Unload(name) => format!("unload {name}"),
        Action::Role(role) => format!("role {role}"),
    }
}

impl Orders {
    /// The track of `server`, if this host has a claim to it.
    fn track(&self, server: &str) -> Option<Track> {
        let issuing = self.issuing();
        let at = issuing.binary_search_by(|i| (*i.server).cmp(server)).ok()?;
        (issuing[at].epoch > 0).then(|| issuing[at].track.clone())
    }

    /// Time since which the gate of `server` runs on this host.
    fn since(&self, server: &str) -> Option<crate::clock::Time> {
        let issuing = self.issuing();
        let at = issuing.binary_search_by(|i| (*i.server).cmp(server)).ok()?;
        Some(issuing[at].since)
    }

    fn set_track(&self, server: &str, track: &Track) {
        self.set_draining(server, track.draining());
        let mut issuing = self.issuing();
        if let Ok(at) = issuing.binary_search_by(|i| (*i.server).cmp(server)) {
            issuing[at].track = track.clone();
        }
    }
}
