//! One `ureq` agent for each address, since the pool of a shared one scans the connections of all
//! addresses at each call, once for each address.

use super::client::{IDLE_AGE, agent};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Instant,
};
use ureq::Agent;

/// Idle connections kept for each address.
const IDLE_CONNS: usize = 64;

/// The agents of recently called addresses.
#[derive(Debug)]
pub(super) struct Agents {
    inner: Mutex<Inner>,
    /// Most bytes of an answer.
    reply: u64,
}

#[derive(Debug)]
struct Inner {
    agents: BTreeMap<SocketAddr, Entry>,
    /// When unused agents were last dropped.
    swept: Instant,
}

#[derive(Debug)]
struct Entry {
    agent: Agent,
    used: Instant,
}

impl Agents {
    /// No agents yet, for answers of `reply` bytes at most.
    pub(super) fn new(reply: u64) -> Self {
        let inner = Inner {
            agents: BTreeMap::new(),
            swept: Instant::now(),
        };
        Self {
            inner: Mutex::new(inner),
            reply,
        }
    }

    /// The agent for `addr`. Drops agents that were not used for `IDLE_AGE`, with their connections.
    pub(super) fn get(&self, addr: SocketAddr) -> Agent {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if now.duration_since(inner.swept) >= IDLE_AGE {
            inner.swept = now;
            let is_used = |e: &Entry| now.duration_since(e.used) < IDLE_AGE;
            inner.agents.retain(|_, e| is_used(e));
        }
        let entry = inner.agents.entry(addr).or_insert_with(|| Entry {
            agent: agent(IDLE_CONNS, self.reply),
            used: now,
        });
        entry.used = now;
        entry.agent.clone()
    }

    /// Drops the kept connections to `addr`; calls in progress go on.
    pub(super) fn forget(&self, addr: SocketAddr) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.agents.remove(&addr);
    }
}
