//! Tells the hosts in charge of a server that it leaves.

use super::{call::Leaves, gate_key, hold::CALL_LIMIT};
use crate::{kernel::Host, timeline::Happening, wire::Name};
use std::{sync::Arc, thread};

/// Hosts that are told: the one in charge and the one that is asked where that is lost.
const TOLD: usize = 2;

impl Host {
    /// Notes that the answer to the attempt `id` said that `server` leaves, and tells its gate.
    pub fn note_leaving(self: &Arc<Self>, server: &Name, start: u64, id: &Name) {
        if !self.routes.departures.note(server, start, self.now()) {
            return;
        }
        let note = format!("server={server} start={start}");
        self.timeline.note(Happening::ServerLeaves, id, None, &note);
        let leaves = Leaves {
            server: server.clone(),
            start,
        };
        let host = self.clone();
        // The answer under way does not wait for it.
        thread::spawn(move || tell(&host, &leaves));
    }
}

fn tell(host: &Host, leaves: &Leaves) {
    for peer in host.members.owners(&gate_key(&leaves.server), TOLD) {
        if peer.name == host.me.name {
            continue;
        }
        if let Err(fail) = host.call(peer.addr, leaves, CALL_LIMIT) {
            // That host learns it from an answer of its own, or from the configuration.
            tracing::info!(server = &*leaves.server, peer = &*peer.name, error = %fail, "departure_not_told");
        }
    }
}

/// Takes account of what another host heard.
pub(super) fn told(host: &Host, leaves: &Leaves) {
    let departures = &host.routes.departures;
    if departures.note(&leaves.server, leaves.start, host.now()) {
        let note = format!("start={} told=true", leaves.start);
        host.timeline
            .note(Happening::ServerLeaves, &leaves.server, None, &note);
    }
}
