//! Tells the gate of a server that the server is leaving.

use super::{call::ServerLeaving, gate_key, hold::CALL_TIMEOUT};
use crate::{kernel::Host, timeline::Happening, wire::Name};
use std::{sync::Arc, thread};

/// Number of hosts to notify: the one that runs the gate and the next in placement order.
const GATE_HOSTS: usize = 2;

impl Host {
    /// Records that the answer to attempt `id` announced that `server` is leaving; `start` is the
    /// server's start number. If that is new, notifies its gate in the background.
    pub fn note_leaving(self: &Arc<Self>, server: &Name, start: u64, id: &Name) {
        if !self.routes.departures.note(server, start, self.now()) {
            return;
        }
        let note = format!("server={server} start={start}");
        self.timeline.note(Happening::ServerLeaves, id, None, &note);
        let notice = ServerLeaving {
            server: server.clone(),
            start,
        };
        let host = self.clone();
        // In the background, so that the answer under way is not delayed.
        thread::spawn(move || notify(&host, &notice));
    }
}

fn notify(host: &Host, notice: &ServerLeaving) {
    for peer in host.members.owners(&gate_key(&notice.server), GATE_HOSTS) {
        if peer.name == host.me.name {
            continue;
        }
        if let Err(fail) = host.call(peer.addr, notice, CALL_TIMEOUT) {
            // That host learns it from an answer of its own or from the configuration.
            tracing::info!(server = &*notice.server, peer = &*peer.name, error = %fail, "departure_not_told");
        }
    }
}

/// Records a departure that another host announced.
pub(super) fn receive(host: &Host, notice: &ServerLeaving) {
    let departures = &host.routes.departures;
    if departures.note(&notice.server, notice.start, host.now()) {
        let note = format!("start={} told=true", notice.start);
        host.timeline
            .note(Happening::ServerLeaves, &notice.server, None, &note);
    }
}
