//! Reads servers back and sends them orders.

use super::{
    Placement, Step, Track, before,
    seen::{Issuing, Orders},
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

/// Time between two looks at what a server has loaded.
const READ_BACK: Duration = Duration::from_secs(1);
/// Longest time for a server to answer.
const LIMIT: Duration = Duration::from_secs(2);
/// Longest time for another host to answer.
const PEER_LIMIT: Duration = Duration::from_millis(500);
/// Servers dealt with at the same time.
const FAN_OUT: usize = 8;

/// Asks the host in charge of a server what the server has loaded.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadedCall {
    /// The server.
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

/// Deals once with every server that this host is in charge of or was asked about.
pub(super) fn run(host: &Arc<Host>) {
    let now = host.now();
    if host.is_stopping() {
        return;
    }
    let names = host.orders.in_charge(host);
    let mine: Vec<Server> = host
        .config
        .view(|s| names.iter().filter_map(|n| s.server(n)).cloned().collect());
    claim(host, &mine);
    mine.iter().for_each(|s| host.orders.watch(&s.name, now));
    let watched = host.orders.watched(now);
    let due: Vec<Server> = host.config.view(|s| {
        let servers = watched.iter().filter_map(|n| s.server(n));
        servers.cloned().collect()
    });
    for group in due.chunks(FAN_OUT) {
        thread::scope(|scope| {
            for server in group {
                scope.spawn(|| attend(host, server));
            }
        });
    }
}

/// Claims servers that this host is in charge of and has no claim to.
fn claim(host: &Host, mine: &[Server]) {
    let now = host.now();
    let mut issuing = host.orders.issuing();
    issuing.retain(|i| mine.iter().any(|s| s.name == i.server));
    for server in mine {
        let current = host.config.view(|s| s.issuer(&server.name).cloned());
        let mine = current.as_ref().filter(|i| i.host == host.me.name);
        let epoch = mine.map_or(0, |i| i.epoch);
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
                    began: now,
                    claimed: None,
                    track: Track::new(host.settings.load),
                },
            ),
        }
        let Ok(at) = issuing.binary_search_by(|i| i.server.cmp(&server.name)) else {
            continue;
        };
        let due = issuing[at].claimed.is_none_or(|c| c + READ_BACK < now);
        if epoch == 0 && due {
            issuing[at].claimed = Some(now);
            host.config.submit(&Record::Claim(Claim {
                server: server.name.clone(),
                host: host.me.name.clone(),
                replaces: current.map_or(0, |i| i.epoch),
            }));
        }
    }
}

/// Reads `server` back if that is due, and sends it the next order if this host is its issuer.
fn attend(host: &Arc<Host>, server: &Server) {
    if !host.orders.is_due(&server.name, host.now(), READ_BACK) {
        return;
    }
    let Some(loaded) = read_back(host, server) else {
        return;
    };
    host.orders.learn(&server.name, loaded.clone());
    let Some(mut track) = host.orders.track(&server.name) else {
        return;
    };
    let step = next_step(host, server, &mut track, &loaded);
    host.orders.put_track(&server.name, &track);
    let action = match step {
        Step::Settled | Step::Wait => return,
        Step::Plain(action) => action,
        Step::Load(model) if may_load(host) => Action::Load(model),
        Step::Replace(model) if may_replace(host, server, &model) => {
            if let Some(has) = loaded.models.iter().find(|m| m.name == model.name) {
                track.drain(has);
                host.orders.put_track(&server.name, &track);
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
    // An earlier gate's slots are reported to a new one within this time.
    let settled = host.orders.since(&server.name);
    if settled.is_none_or(|began| host.now() < began + SETTLE) {
        return false;
    }
    let servers: Vec<Name> = host.config.view(|s| {
        let all = s.servers.iter();
        all.filter(|s| !s.leaving && s.models.contains(&model.name))
            .map(|s| s.name.clone())
            .collect()
    });
    match before(&servers, &server.name) {
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
    let reply: Res<Option<Loaded>> = host.call(owner.addr, &call, PEER_LIMIT);
    matches!(reply, Ok(Some(loaded)) if loaded.models.contains(model))
}

fn read_back(host: &Host, server: &Server) -> Option<Loaded> {
    let url = format!("http://{}/v1/state", server.addr);
    let reply = host
        .client
        .call("GET", &url, &[], &[], Timeouts::within(LIMIT));
    let reply = reply.ok().filter(|r| r.status == 200)?;
    serde_json::from_slice(&reply.body).ok()
}

/// Sends `action` if this host is the issuer at this very moment.
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
    track.sending(host.now(), action);
    host.orders.put_track(&server.name, &track);
    host.timeline.note(
        Happening::Ordered,
        &server.name,
        Some(fence),
        &describe(action),
    );
    let url = format!("http://{}/v1/orders", server.addr);
    let fields = [("content-type", "application/json")];
    let sent = host
        .client
        .call_fresh("POST", &url, &fields, &body, Timeouts::within(LIMIT));
    let refused = match &sent {
        Ok(reply) => reply.status != 200,
        Err(e) => !e.sent,
    };
    if refused {
        track.not_sent();
        host.orders.put_track(&server.name, &track);
    }
}

/// The fencing number for an order to `server`, if this host may send one now: it is in charge,
/// its claim stands, and it has read the log within the lease. A server that checks fencing
/// numbers needs no fresh read.
fn fence(host: &Host, server: &Server) -> Option<Pos> {
    let owner = host.members.owner(&gate_key(&server.name))?;
    let issuer: Issuer = host.config.view(|s| s.issuer(&server.name).cloned())?;
    let fresh = host.config.progress().caught_up?;
    let lapsed = !server.fenced && host.now() > fresh + host.settings.lease;
    let mine = owner.name == host.me.name && issuer.host == host.me.name;
    (mine && !lapsed && !host.is_stopping()).then_some(issuer.epoch)
}

fn describe(action: &Action) -> String {
    match action {
        Action::Load(model) => format!("load {} version {}", model.name, model.version),
        Action::Unload(name) => format!("unload {name}"),
        Action::Role(role) => format!("role {role}"),
    }
}

impl Orders {
    /// The track of `server` if this host has a claim to it.
    fn track(&self, server: &str) -> Option<Track> {
        let issuing = self.issuing();
        let at = issuing.binary_search_by(|i| (*i.server).cmp(server)).ok()?;
        (issuing[at].epoch > 0).then(|| issuing[at].track.clone())
    }

    /// Since when this host is in charge of `server`.
    fn since(&self, server: &str) -> Option<crate::clock::Time> {
        let issuing = self.issuing();
        let at = issuing.binary_search_by(|i| (*i.server).cmp(server)).ok()?;
        Some(issuing[at].began)
    }

    fn put_track(&self, server: &str, track: &Track) {
        self.set_draining(server, track.draining());
        let mut issuing = self.issuing();
        if let Ok(at) = issuing.binary_search_by(|i| (*i.server).cmp(server)) {
            issuing[at].track = track.clone();
        }
    }
}
