//! Loads the configuration from a peer while the log cannot be read.

use super::State;
use crate::{
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, neighbours, serve_call},
    timeline::Happening,
    wire::Peer,
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc, thread, time::Duration};

/// Interval between checks whether a peer's state is needed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call to a peer. With `CHECK_INTERVAL` it stays below the shortest time for which a
/// read counts as fresh (`reach_span`, 4 s).
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

inventory::submit! {
    Plugin {
        name: "peer-state",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/state/config", handle: serve }],
        tasks: &[Task { name: "peer-state", every: CHECK_INTERVAL, run: catch_up, waits: true, on: On::Own }],
        stop: |_| {},
    }
}

/// Asks for a peer's state if it is ahead.
#[derive(Debug, Serialize, Deserialize)]
struct StateCall {
    /// Offset of the next record that the asking host would apply.
    next: u64,
}

/// A peer's state.
#[derive(Debug, Serialize, Deserialize)]
struct StateReply {
    next: u64,
    /// Time since the start of the peer's last read that reached the head of the stream.
    age: Option<Duration>,
    /// The state, if it is ahead of the asking host's.
    state: Option<State>,
}

impl Call for StateCall {
    type Reply = StateReply;
    const PATH: &'static str = "/peer/state/config";
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: StateCall| {
        let now = host.now();
        let progress = host.config.progress();
        let (progress, state) = match progress.next > call.next {
            true => host.config.snapshot(),
            false => (progress, None),
        };
        Ok(StateReply {
            next: progress.next,
            age: progress.caught_up.map(|f| now.saturating_sub(f)),
            state,
        })
    })
}

/// Asks the neighbours for their state while reads fail or none has succeeded yet: all of them in
/// parallel, since a call to an unreachable peer takes the whole timeout.
fn catch_up(host: &Arc<Host>) {
    let progress = host.config.progress();
    if progress.caught_up.is_some() && !progress.is_down {
        return;
    }
    thread::scope(|scope| {
        for peer in neighbours(host) {
            if !host.members.is_down(&peer.name) {
                scope.spawn(move || load_from(host, &peer));
            }
        }
    });
}

fn load_from(host: &Host, peer: &Peer) {
    let call = StateCall {
        next: host.config.progress().next,
    };
    let began = host.now();
    let reply = match host.call(peer.addr, &call, CALL_TIMEOUT) {
        Ok(reply) => reply,
        Err(fail) => {
            return tracing::debug!(peer = &*peer.name, %fail, "peer_state_not_read");
        }
    };
    let fresh = reply.age.map(|age| began.saturating_sub(age));
    if host.config.install(reply.state, reply.next, fresh) {
        host.timeline.note(
            Happening::StateLoaded,
            "config",
            Some(reply.next),
            &peer.name,
        );
    }
}
