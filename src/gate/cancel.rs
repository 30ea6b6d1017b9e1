//! Cancels preempted batch attempts at their servers.

use super::{
    call::Yield,
    grant::{Gate, Queues},
};
use crate::{
    clock::Clock,
    engine::{Cancelled, Target},
    http::Timeouts,
    kernel::Host,
    timeline::Happening,
    wire::Name,
};
use std::{sync::Arc, thread, time::Duration};

/// Timeout of one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for a preempted attempt to appear before the task returns.
const CANCEL_IDLE_MAX: Duration = Duration::from_secs(1);
/// Longest pause before a cancel that found no attempt is sent again.
const CANCEL_RETRY_MAX: Duration = Duration::from_millis(100);
/// First pause before such a cancel is sent again; it doubles each time.
const CANCEL_RETRY_MIN: Duration = Duration::from_millis(2);

#[derive(Debug)]
pub(super) struct Preempted {
    pub(super) gate: Arc<Gate>,
    pub(super) id: Name,
}

impl Queues {
    /// Cancels preempted batch attempts, each in its own thread.
    pub(super) fn cancel_evicted(&self, host: &Arc<Host>) {
        let queue = self.cancels.lock().expect("cancels");
        let (mut queue, _) = self
            .preempted
            .wait_timeout_while(queue, CANCEL_IDLE_MAX, |q| q.is_empty())
            .expect("cancels");
        let batch = std::mem::take(&mut *queue);
        drop(queue);
        for Preempted { gate, id } in batch {
            let host = host.clone();
            thread::spawn(move || host.gates.queues.cancel(&host, &gate, &id));
        }
    }

    /// Cancels an attempt at its server until the server ended it or the holder released the slot.
    /// The first cancel may reach the server before the attempt does, and then finds nothing.
    fn cancel(&self, host: &Host, gate: &Arc<Gate>, id: &Name) {
        let server = &gate.server;
        host.timeline.note(Happening::Preempted, id, None, server);
        let mut pause = CANCEL_RETRY_MIN;
        while gate.lock().queue.is_ending(id) && !host.is_dead() {
            let Some(addr) = host.config.view(|s| s.server(server).map(|s| s.addr)) else {
                return;
            };
            let is_ended = match host.dialect {
                Some(_) => preempt_at_holder(host, gate, id),
                None => cancel_at(host, addr, id),
            };
            if is_ended {
                let mut inner = gate.lock();
                let effects = inner.queue.confirm(host.now(), id);
                return self.apply(host, gate, &mut inner, effects);
            }
            host.clock.sleep(pause);
            pause = CANCEL_RETRY_MAX.min(pause * 2);
        }
    }
}

/// Has the holder of a slot close its connection to the server, which makes the server end the
/// attempt; `true` if the attempt was under way.
fn preempt_at_holder(host: &Host, gate: &Gate, id: &Name) -> bool {
    let Some(holder) = gate.lock().queue.holder(id) else {
        return false;
    };
    if holder == host.me.name {
        return host.passing.end(id);
    }
    let ring = host.members.ring();
    let Some(peer) = ring.peer(&holder) else {
        return false;
    };
    let call = Yield { id: id.clone() };
    match host.call(peer.addr, &call, CANCEL_TIMEOUT) {
        Ok(reply) => reply.found,
        Err(fail) => {
            tracing::info!(id = &**id, peer = &*holder, error = %fail, "yield_not_answered");
            false
        }
    }
}

/// Cancels a generation at a server; `true` if the server confirms that it ended one.
pub fn cancel_at(host: &Host, addr: std::net::SocketAddr, id: &Name) -> bool {
    let url = format!("http://{addr}/v1/cancel");
    let body = serde_json::to_vec(&Target { id: id.clone() }).unwrap_or_default();
    let fields = [("content-type", "application/json")];
    let limits = Timeouts::within(CANCEL_TIMEOUT);
    let reply = host.client.call("POST", &url, &fields, &body, limits);
    reply.is_ok_and(|r| serde_json::from_slice::<Cancelled>(&r.body).is_ok_and(|c| c.found))
}
