//! Connections to backend servers through peers, for a host that is cut off from the servers.
//!
//! Such a host keeps its requests: slots, limits, deadlines, retries and resumption stay with it, and only the bytes of
//! each attempt pass through a peer. A peer never uses a tunnel itself to serve one, so there is one hop at most.

mod frames;
mod open;
mod reach;
mod serve;

pub use frames::{End, FRAME_MAX_BYTES, Frames, frame_head};
pub use open::{NoTunnel, TunnelPeers};
pub use reach::ServerReach;

use crate::{
    error::Fail,
    kernel::{Call, Host, On, Plugin, Port, Route, Task},
    wire::{Class, Name},
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use serve::Served;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Interval of attempts of a host that is cut off to connect to a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Most servers that are tried to find out whether the path is cut, and the timeout of all together.
const CHECK_SERVERS: usize = 3;
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);

inventory::submit! {
    Plugin {
        name: "tunnel",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: TunnelCall::PATH, handle: serve::serve },
        ],
        tasks: &[Task { name: "server-probe", every: PROBE_INTERVAL, run: probe, waits: true, on: On::All }],
        stop: |_| {},
    }
}

/// Asks a peer to connect to a server. After a positive answer the connection carries the caller's bytes to the server
/// as they are, and the server's bytes in frames.
#[derive(Debug, Serialize, Deserialize)]
struct TunnelCall {
    server: Name,
    class: Class,
    /// Time after which the peer closes the tunnel.
    limit: Duration,
}

impl Call for TunnelCall {
    type Reply = ();
    const PATH: &'static str = "/peer/tunnel";
}

/// Why a peer serves no tunnel.
#[derive(Debug, Serialize, Deserialize)]
struct TunnelRefusal {
    fail: Fail,
    /// Peers that served the refusing host's own tunnels, if it is cut off itself.
    others: Vec<Name>,
}

/// Tunnels of one host, through peers and for peers.
#[derive(Debug, Default)]
pub struct Tunnels {
    reach: Mutex<ServerReach>,
    peers: Mutex<TunnelPeers>,
    served: Served,
}

impl Tunnels {
    /// Whether this host is cut off from the servers.
    pub fn is_cut(&self) -> bool {
        self.reach().is_cut()
    }

    fn reach(&self) -> MutexGuard<'_, ServerReach> {
        self.reach.lock().expect("reach of servers")
    }

    fn peers(&self) -> MutexGuard<'_, TunnelPeers> {
        self.peers.lock().expect("peers for tunnels")
    }
}

impl Host {
    /// Records a connection of this host to a server.
    pub fn note_server_reached(&self) {
        let cut = self.tunnels.reach().note_reached(self.now());
        if let Some(span) = cut {
            self.routes.readmit_all();
            let cut_ms = span.as_millis() as u64;
            tracing::info!(cut_ms, "servers_reached_again");
            self.meters.gauges().servers_cut.set(0);
        }
    }

    /// Records that this host failed to connect to `server`. Returns whether the path to all servers may be cut: then it
    /// cannot connect to some others either.
    pub fn note_server_failed(&self, server: &Name) -> bool {
        let mut reach = self.tunnels.reach();
        reach.note_failed(server);
        let is_doubtful = reach.is_doubtful(self.now());
        drop(reach);
        is_doubtful && !self.reaches_some_server()
    }

    /// Tries to connect to a few random servers.
    fn reaches_some_server(&self) -> bool {
        let end = self.now() + CHECK_TIMEOUT;
        let rng = &mut rand::rng();
        let servers: Vec<SocketAddr> = self.config.view(|s| {
            let chosen = (0..CHECK_SERVERS).filter_map(|_| s.servers.choose(rng));
            chosen.map(|server| server.addr).collect()
        });
        let reaches = |addr: &SocketAddr| {
            let left = end.saturating_sub(self.now());
            !left.is_zero() && self.passing.connect(*addr, left).is_ok()
        };
        let is_reached = servers.iter().any(reaches);
        if is_reached {
            self.note_server_reached();
        }
        is_reached
    }

    /// Records that `peer` connected to `server`, which this host failed to connect to.
    fn note_tunnel(&self, server: &Name, peer: &Name) {
        let mut reach = self.tunnels.reach();
        if !reach.note_tunnel(self.now()) {
            return;
        }
        let failures = reach.failures();
        drop(reach);
        // The peers of an earlier cut may be gone.
        *self.tunnels.peers() = TunnelPeers::default();
        // The failures were not those of the servers.
        self.routes.readmit_all();
        tracing::warn!(
            server = &**server,
            peer = &**peer,
            failures,
            "servers_cut_off"
        );
        self.meters.gauges().servers_cut.set(1);
    }
}

/// Finds out whether a host that is cut off can connect to servers again.
fn probe(host: &Arc<Host>) {
    if !host.tunnels.is_cut() {
        return;
    }
    // Records a connection itself.
    host.reaches_some_server();
}
