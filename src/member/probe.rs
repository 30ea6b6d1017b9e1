//! Probes the peers that this host works with.

use crate::{
    clock::Time,
    kernel::Call,
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Time for which a peer is probed after the last call of `watch`.
const WATCH_SPAN: Duration = Duration::from_secs(10);
/// Consecutive failed probes after which a peer counts as down.
const MISSES: u32 = 2;
/// Interval of probes of a peer that answered its last call, to detect that a new host has its
/// address.
const RECHECK: Duration = Duration::from_millis(4500);
/// Most peers probed by a host.
const PROBED_MAX: usize = 16;

/// Asks the host at an address for its name, which shows whether the expected process has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Whoami {}

impl Call for Whoami {
    type Reply = Name;
    const PATH: &'static str = "/peer/member/whoami";
}

/// A probed peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// The peer.
    pub peer: Peer,
    /// Time at which this host last asked for the peer to be probed.
    pub last_used: Time,
    /// Consecutive failed probes.
    pub misses: u32,
    /// Time of the last answered probe; `None` once a later call or probe failed.
    answered: Option<Time>,
}

impl Probe {
    fn is_due(&self, now: Time) -> bool {
        self.answered
            .is_none_or(|t| now.saturating_sub(t) >= RECHECK)
    }
}

/// The probed peers of one host.
#[derive(Debug, Clone, Default)]
pub struct Probes {
    /// Peers, sorted by name.
    peers: Vec<Probe>,
}

impl Probes {
    /// Has `peer` probed for `WATCH_SPAN`. A new peer is ignored while `PROBED_MAX` are probed.
    pub fn watch(&mut self, peer: &Peer, now: Time) {
        match self.find(&peer.name) {
            Ok(i) => self.peers[i].last_used = now,
            Err(_) if self.peers.len() >= PROBED_MAX => {}
            Err(i) => self.peers.insert(
                i,
                Probe {
                    peer: peer.clone(),
                    last_used: now,
                    misses: 0,
                    answered: None,
                },
            ),
        }
    }

    /// Records that a call to the host at `addr` failed, so that it is probed next.
    pub fn failed(&mut self, addr: SocketAddr) {
        let found = self.peers.iter_mut().filter(|p| p.peer.addr == addr);
        found.for_each(|p| p.answered = None);
    }

    /// Peers to probe now: new ones, those whose last call or probe failed, and the others at
    /// intervals; all of them if `all`. Drops the peers that are no longer in use.
    pub fn due(&mut self, now: Time, all: bool) -> Vec<Peer> {
        self.peers
            .retain(|p| now.saturating_sub(p.last_used) < WATCH_SPAN);
        let due = self.peers.iter().filter(|p| all || p.is_due(now));
        due.map(|p| p.peer.clone()).collect()
    }

    /// Records the outcome of a probe of `name`: the name in the answer, if any. A different name
    /// means that the host has ended and a new one has its address.
    pub fn done(&mut self, name: &str, answer: Option<&str>, now: Time) {
        let Ok(i) = self.find(name) else { return };
        if answer == Some(name) {
            self.peers[i].misses = 0;
            self.peers[i].answered = Some(now);
        } else {
            self.peers[i].answered = None;
            self.peers[i].misses += 1;
        }
    }

    /// Whether the last `MISSES` probes of the peer failed.
    pub fn is_down(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|i| self.peers[i].misses >= MISSES)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.peer.name).cmp(name))
    }
}
