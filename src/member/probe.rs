//! Direct probes of the few peers that a host works with.

use crate::{
    clock::Time,
    kernel::Call,
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Time for which a peer is probed after it was last worked with.
const WATCH_SPAN: Duration = Duration::from_secs(10);
/// Failed probes in a row after which a peer counts as down.
const MISSES: u32 = 2;
/// Time between two probes of a peer that answered the last call to it: they tell whether it is still
/// the same host.
const RECHECK: Duration = Duration::from_millis(4500);
/// Most peers probed by one host.
const PROBED_MAX: usize = 16;

/// Asks a host who it is.
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
    /// When it was last worked with.
    pub used: Time,
    /// Failed probes in a row.
    pub misses: u32,
    /// Last probe that it answered, unless a later call or probe failed.
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
    /// Has `peer` probed for some seconds. Does nothing for a new one when too many are probed.
    pub fn watch(&mut self, peer: &Peer, now: Time) {
        match self.find(&peer.name) {
            Ok(i) => self.peers[i].used = now,
            Err(_) if self.peers.len() >= PROBED_MAX => {}
            Err(i) => self.peers.insert(
                i,
                Probe {
                    peer: peer.clone(),
                    used: now,
                    misses: 0,
                    answered: None,
                },
            ),
        }
    }

    /// Takes note that a call to the host at `addr` failed.
    pub fn failed(&mut self, addr: SocketAddr) {
        let found = self.peers.iter_mut().filter(|p| p.peer.addr == addr);
        found.for_each(|p| p.answered = None);
    }

    /// The peers to probe now: those in doubt, and now and then the others; all of them if `alone`.
    /// Forgets those that are not worked with any more.
    pub fn due(&mut self, now: Time, alone: bool) -> Vec<Peer> {
        self.peers
            .retain(|p| now.saturating_sub(p.used) < WATCH_SPAN);
        let due = self.peers.iter().filter(|p| alone || p.is_due(now));
        due.map(|p| p.peer.clone()).collect()
    }

    /// Takes in the outcome of a probe: the name that was answered with, if any. Another name than
    /// the one asked for means that the host ended and a new one has its address.
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

    /// Whether the last probes of the peer failed.
    pub fn is_down(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|i| self.peers[i].misses >= MISSES)
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|p| (*p.peer.name).cmp(name))
    }
}
