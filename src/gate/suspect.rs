//! Tells gates which servers may have started again, so that they count as cold.

use super::{
    call::{StartNotice, SuspectedStart},
    cold_servers::Untold,
    gate_key,
    hold::{CALL_TIMEOUT, Held, OWNERS},
    limit::is_answer,
    release::add,
};
use crate::{
    clock::Time,
    config::Server,
    error::Res,
    kernel::Host,
    wire::{Name, Peer},
};
use std::sync::Arc;

impl Host {
    /// Records that `server` may have started again, because of `cause`, and has its gate told before the
    /// release of the slot of attempt `id`.
    pub fn suspect_start(&self, server: &Server, id: &str, cause: &str) {
        if !self.gates.cold.suspect(server, self.now()) {
            return;
        }
        tracing::info!(id, server = &*server.name, cause, "server_start_suspected");
        self.meters.start_suspected();
        self.gates.queues.follow_cold(self, server);
        self.gates.held.queue_suspect(&server.name);
    }

    /// Records at the end of an evacuation that the `servers` of the failure domain may have started
    /// again. Each host does so by itself.
    pub fn suspect_evacuated(&self, servers: &[Server]) {
        let now = self.now();
        for server in servers {
            if self.gates.cold.suspect_shared(server, now) {
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
/// The host cannot be reached.
pub(super) fn tell(host: &Host, peer: &Peer, server: &Name) -> Res<()> {
    if !host.gates.cold.has_limits() {
        return Ok(());
    }
    let server = host.config.view(|s| s.server(server).cloned());
    let untold = host
        .gates
        .cold
        .untold(server.iter(), &peer.name, host.now());
    match untold.is_empty() {
        true => Ok(()),
        false => send(host, peer, &untold),
    }
}

/// Tells the gates of `servers`, and the hosts that stand in for them, of the suspicions.
pub(super) fn tell_gates(host: &Host, servers: &[Name]) {
    let mut batches: Vec<(Peer, Vec<Server>)> = Vec::new();
    for name in servers {
        let Some(server) = host.config.view(|s| s.server(name).cloned()) else {
            continue;
        };
        for peer in host.members.owners(&gate_key(name), OWNERS) {
            if peer.name != host.me.name {
                add(&mut batches, peer, server.clone());
            }
        }
    }
    for (peer, servers) in batches {
        let untold = host
            .gates
            .cold
            .untold(servers.iter(), &peer.name, host.now());
        let held = &host.gates.held;
        if untold.is_empty() || held.is_down(&peer.name, host.now()) {
            continue;
        }
        if let Err(fail) = send(host, &peer, &untold) {
            held.mark_down(&peer.name, host.now());
            // It is told again by `tell_moved`, and before it is asked for a slot.
            tracing::info!(peer = &*peer.name, error = %fail, "suspicions_not_told");
        }
    }
}

/// Tells hosts to which a gate moved of the suspicions that its earlier host and its holders know.
pub(super) fn tell_moved(host: &Arc<Host>) {
    if host.gates.cold.has_limits() {
        let servers = host.gates.cold.suspected(host.now());
        tell_gates(host, &servers);
    }
}

fn send(host: &Host, peer: &Peer, untold: &[Untold]) -> Res<()> {
    let now = host.now();
    let notice = StartNotice {
        starts: untold
            .iter()
            .map(|u| SuspectedStart {
                server: u.server.clone(),
                age: now.saturating_sub(u.at),
            })
            .collect(),
    };
    host.call(peer.addr, &notice, CALL_TIMEOUT)
        .or_else(is_answer)?;
    for untold in untold {
        host.gates.cold.mark_told(untold, &peer.name);
    }
    Ok(())
}

/// Records what other hosts suspect.
pub(super) fn receive(host: &Host, notice: &StartNotice) {
    for start in &notice.starts {
        let at: Time = host.now().saturating_sub(start.age);
        let Some(server) = host.config.view(|s| s.server(&start.server).cloned()) else {
            continue;
        };
        if host.gates.cold.suspect(&server, at) {
            tracing::info!(
                server = &*server.name,
                told = true,
                "server_start_suspected"
            );
            host.gates.queues.follow_cold(host, &server);
        }
    }
}
