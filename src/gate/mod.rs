//! Admission control: no request goes to a backend server without a slot.
//!
//! The gate of each server runs on one host, found by rendezvous hashing. The host that holds a
//! slot talks to the server itself and renews the slot; slots of a lost holder expire.

mod call;
mod cancel;
mod cold;
mod cold_servers;
mod fleet;
mod follow;
mod grant;
mod headroom;
mod hold;
mod learned;
mod leave;
mod levels;
mod limit;
mod observe;
mod pace;
mod queue;
mod release;
mod room;
mod slot;
mod suspect;
mod throttle;
mod trial;

pub use call::{
    Acquire, Admission, CountsReply, HeldSlot, LimitNotice, Release, ReleaseUnsent, ReleasedSlot,
    Renew, ServerLeaving, StartNotice, StatedLimit, Yield, Yielded,
};
pub use cancel::cancel_at;
pub use cold::{ColdEntry, ColdLimit, ColdState, GrantLimit};
pub use cold_servers::{ColdServers, PendingNotice, Raised};
pub use fleet::{Served, Tags};
pub use grant::{Queues, WAIT_MAX};
pub use headroom::{Headroom, Reserve};
pub use hold::{Held, Reply, Slot};
pub use learned::{HINT_AGE, HINT_MAX, Learned, Sample, Speed};
pub use limit::{Confirmation, PROBE_RATE, Role, SHARED_PART};
pub use observe::{Observed, ObservedReply, ReleaseObserved, ToldSpeed};
pub use queue::{QUEUE_MAX, Queue, SETTLE, SLOT_LEASE, WAIT_LEASE};
pub use slot::{Counts, Effects, SlotRequest, Verdict};
pub use throttle::Throttle;

use crate::{
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task, serve_call},
    share::FleetTags,
};
use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

inventory::submit! {
    Plugin {
        name: "gate",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/acquire", handle: acquire },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/release", handle: release },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/unsent", handle: release_unsent },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/observed", handle: release_observed },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/renew", handle: renew },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/served", handle: served },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/yield", handle: end_attempt },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/leaves", handle: server_leaving },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/limits", handle: limits },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/starts", handle: starts },
        ],
        tasks: &[
            Task { name: "gate-renew", every: RENEW_EVERY, run: |h| h.gates.held.renew(h), waits: true, on: On::All },
            Task { name: "gate-sweep", every: RENEW_EVERY, run: |h| h.gates.queues.sweep(h), waits: false, on: On::All },
            Task { name: "gate-served", every: REPORT_EVERY, run: fleet::report, waits: true, on: On::All },
            Task { name: "gate-suspects", every: REPORT_EVERY, run: suspect::tell_moved, waits: true, on: On::Outside },
            Task { name: "gate-flush", every: Duration::ZERO, run: |h| h.gates.held.flush(h), waits: true, on: On::All },
            Task { name: "gate-cancel", every: Duration::ZERO, run: |h| h.gates.queues.cancel_evicted(h), waits: true, on: On::All },
        ],
        stop: |_| {},
    }
}

/// Time between two passes over the slots held and the slots granted.
const RENEW_EVERY: Duration = Duration::from_millis(500);

/// Time between two reports of the service of batch work, and between two checks whether gates that moved
/// are to be told of suspicions.
const REPORT_EVERY: Duration = Duration::from_millis(200);

/// Both sides of admission on one host.
#[derive(Debug, Default)]
pub struct Gates {
    /// Gates that run on this host.
    pub queues: Queues,
    /// Slots held by this host.
    pub held: Held,
    /// Servers that are cold or may be.
    pub cold: ColdServers,
    /// Fair-share tags of the workspaces whose home is this host.
    totals: Mutex<FleetTags>,
}

/// Placement key of the gate of a server.
pub fn gate_key(server: &str) -> String {
    format!("gate/{server}")
}

fn acquire(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Acquire| {
        Ok(host.gates.queues.acquire(host, &call))
    })
}

fn release(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Release| {
        let counts = host.gates.queues.release(host, &call.slots, true);
        Ok(CountsReply { counts })
    })
}

fn release_unsent(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: ReleaseUnsent| {
        let counts = host.gates.queues.release(host, &call.slots, false);
        Ok(CountsReply { counts })
    })
}

fn release_observed(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: ReleaseObserved| {
        let (slots, samples) = (&call.slots, &call.samples);
        Ok(host.gates.queues.release_observed(host, slots, samples))
    })
}

fn renew(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Renew| {
        let counts = host.gates.queues.renew(host, &call.slots);
        Ok(CountsReply { counts })
    })
}

fn end_attempt(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Yield| {
        let found = host.passing.end(&call.id);
        Ok(Yielded { found })
    })
}

fn served(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Served| {
        Ok(fleet::add(host, &call))
    })
}

fn server_leaving(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: ServerLeaving| {
        leave::receive(host, &call);
        Ok(())
    })
}

fn limits(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: LimitNotice| {
        limit::receive(host, &call);
        Ok(())
    })
}

fn starts(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: StartNotice| {
        suspect::receive(host, &call)
    })
}
