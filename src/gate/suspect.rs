//! Tells gates which servers may have started again, so that they count as cold.

use super::{
    call::StartNotice,
    cold_servers::{PendingNotice, Raised},
    gate_key,
    hold::{CALL_TIMEOUT, Held, OWNERS},
    release::add,
};
use crate::{
    config::Server,
    error::{Fail, Kind, Res},
    kernel::Host,
    wire::{Name, Peer},
};
use std::sync::Arc;

impl Host {
    /// Records that `server` may have started again, because of `cause`, and has its gate told before the
    /// release of the slot of attempt `id`. Does nothing if no service has a cold limit.
    pub fn suspect_start(&self, server: &Server, id: &str, cause: &str) {
        if !self.gates.cold.has_limits() {
            return;
        }
        let raised = self.gates.cold.suspect(&server.name, self.now());
        if raised == Raised::Known {
            return;
        }
        if raised == Raised::New {
            tracing::info!(id, server = &*server.name, cause, "server_start_suspected");
            self.meters.start_suspected();
        }
        self.gates.queues.follow_cold(self, server);
        self.gates.held.queue_suspect(&server.name);
    }

    /// Records at the end of an evacuation that the `servers` of the failure domain may have started
    /// again. Each host does so by itself.
    pub fn suspect_evacuated(&self, servers: &[Server]) {
        let now = self.now();
        for server in servers {
            if self.gates.cold.suspect_shared(&server.name, now) != Raised::Known {
                self.gates.queues.follow_cold(self, server);
            }
        }
    }
}

impl Held {
    /// Has the gate of `server` told of the suspicion.
    fn queue_suspect(&self, server: &Name) {
        let mut outbox = self.outbox.lock().expect("outbox");
        if !outbox.suspects.contains(server) {
            outbox.suspects.push(server.clone());
        }
        drop(outbox);
        self.queued.notify_all();
    }
}

/// Tells `peer` of the suspicion of `server`, if it has not been told. A host that runs an earlier build
/// and does not know the message counts as told.
///
/// # Errors
/// The host cannot be reached or did not record the suspicion.
pub(super) fn tell(host: &Host, peer: &Peer, server: &Name) -> Res<()> {
    let cold = &host.gates.cold;
    if !cold.has_limits() {
        return Ok(());
    }
    let pending = cold.pending_notices(std::slice::from_ref(server), &peer.name, host.now());
    match pending.is_empty() {
        true => Ok(()),
        false => send(host, peer, &pending),
    }
}

/// Tells the gates of `servers`, the hosts that stand in for them, and the hosts of `granted`, which granted
/// slots of the servers named, of the suspicions. Hosts that do not answer are told later.
pub(super) fn tell_gates(host: &Host, servers: &[Name], granted: &[(Name, Peer)]) {
    let mut batches: Vec<(Peer, Vec<Name>)> = Vec::new();
    for server in servers {
        let mut peers = host.members.owners(&gate_key(server), OWNERS);
        let earlier = granted.iter().filter(|(s, _)| s == server);
        peers.extend(earlier.map(|(_, peer)| peer.clone()));
        for peer in peers {
            if peer.name != host.me.name {
                add(&mut batches, peer, server.clone());
            }
        }
    }
    let held = &host.gates.held;
    for (peer, mut servers) in batches {
        servers.sort();
        servers.dedup();
        let cold = &host.gates.cold;
        let pending = cold.pending_notices(&servers, &peer.name, host.now());
        let is_down = held.is_down(&peer.name, host.now()) || host.members.is_down(&peer.name);
        if pending.is_empty() || is_down {
            continue;
        }
        if let Err(fail) = send(host, &peer, &pending) {
            if matches!(fail.kind, Kind::Unreachable | Kind::ServerLost) {
                held.mark_down(&peer.name, host.now());
            }
            // It is told again by `tell_moved`, and before it is asked for a slot.
            tracing::info!(peer = &*peer.name, error = %fail, "suspicions_not_told");
        }
    }
}

/// Tells hosts to which a gate moved of the suspicions that its earlier host and its holders know.
pub(super) fn tell_moved(host: &Arc<Host>) {
    if host.gates.cold.has_limits() {
        let servers = host.gates.cold.suspected(host.now());
        tell_gates(host, &servers, &[]);
    }
}

fn send(host: &Host, peer: &Peer, pending: &[PendingNotice]) -> Res<()> {
    let notice = StartNotice {
        servers: pending.iter().map(|p| p.server.clone()).collect(),
    };
    let reply = host.call(peer.addr, &notice, CALL_TIMEOUT);
    reply.or_else(|fail| match fail.kind {
        // A host of an earlier build does not know the path.
        Kind::NotFound => Ok(()),
        _ => Err(fail),
    })?;
    for notice in pending {
        host.gates.cold.mark_told(notice, &peer.name);
    }
    Ok(())
}

/// Records what other hosts suspect. The period counts from the receipt: this host may have been suspended
/// in between, and a later time is safe.
///
/// # Errors
/// `Overloaded` if there is no room for another server.
pub(super) fn receive(host: &Host, notice: &StartNotice) -> Res<()> {
    let mut is_full = false;
    for name in &notice.servers {
        let raised = host.gates.cold.note_told(name, host.now());
        is_full |= raised.is_none();
        if raised == Some(Raised::New) {
            tracing::info!(server = &**name, told = true, "server_start_suspected");
        }
        if let Some(server) = host.config.view(|s| s.server(name).cloned()) {
            host.gates.queues.follow_cold(host, &server);
        }
    }
    match is_full {
        true => Err(Fail::new(Kind::Overloaded, "too many suspected servers")),
        false => Ok(()),
    }
}
