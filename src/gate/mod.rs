//! Grants every admission to a backend server.
//!
//! One host is in charge of each server, found by rendezvous hashing. It grants numbered slots;
//! the host that holds a slot talks to the server itself. Slots are renewed by their holders and
//! lapse with them.

mod call;
mod fleet;
mod grant;
mod hold;
mod leave;
mod queue;

pub use call::{
    Acquire, Admission, CountsReply, HeldSlot, Leaves, Release, ReleasedSlot, Renew, Yield, Yielded,
};
pub use fleet::{Served, Tags};
pub use grant::{Queues, WAIT_MAX, cancel_at};
pub use hold::{Held, Reply, Slot};
pub use queue::{
    Counts, QUEUE_MAX, Queue, SETTLE, SLOT_LEASE, SlotRequest, Turn, Verdict, WAIT_LEASE,
};

use crate::{
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task, serve_call},
    share::Totals,
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
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/renew", handle: renew },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/served", handle: served },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/yield", handle: give_way },
            Route { port: Port::Peer, method: "POST", path: "/peer/gate/leaves", handle: leaves },
        ],
        tasks: &[
            Task { name: "gate-renew", every: RENEW_EVERY, run: |h| h.gates.held.renew(h), waits: true, on: On::All },
            Task { name: "gate-sweep", every: RENEW_EVERY, run: |h| h.gates.queues.sweep(h), waits: false, on: On::All },
            Task { name: "gate-served", every: REPORT_EVERY, run: fleet::report, waits: true, on: On::All },
            Task { name: "gate-flush", every: Duration::ZERO, run: |h| h.gates.held.flush(h), waits: true, on: On::All },
            Task { name: "gate-cancel", every: Duration::ZERO, run: |h| h.gates.queues.cancel_evicted(h), waits: true, on: On::All },
        ],
        stop: |_| {},
    }
}

/// Time between two renewals of the slots that a host holds.
const RENEW_EVERY: Duration = Duration::from_millis(500);

/// Time between two reports of what batch work was served.
const REPORT_EVERY: Duration = Duration::from_millis(200);

/// Admissions of one host.
#[derive(Debug, Default)]
pub struct Gates {
    /// Slots granted by this host.
    pub queues: Queues,
    /// Slots held by this host.
    pub held: Held,
    /// What the workspaces that this host is the home of were served.
    totals: Mutex<Totals>,
}

/// Key under which the host in charge of a server is placed.
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
        let counts = host.gates.queues.release(host, &call.slots);
        Ok(CountsReply { counts })
    })
}

fn renew(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Renew| {
        let counts = host.gates.queues.renew(host, &call.slots);
        Ok(CountsReply { counts })
    })
}

fn give_way(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Yield| {
        Ok(Yielded {
            found: host.passing.end(&call.id),
        })
    })
}

fn served(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Served| {
        Ok(fleet::add(host, &call))
    })
}

fn leaves(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Leaves| {
        leave::told(host, &call);
        Ok(())
    })
}
