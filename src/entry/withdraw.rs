//! Gossip of API key withdrawals between hosts, ahead of the log.
//!
//! Each host that learns of a withdrawal, from the log or from a peer, sends it once to a few
//! random peers, so that it also reaches a host that lags behind the log or is cut off from it.

use crate::{
    config::{Item, State},
    fold::Pos,
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, serve_call},
    timeline::Happening,
    wire::{Name, Peer},
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

/// Peers that each batch of withdrawals is sent to.
const FANOUT: usize = 4;
/// Time between two rounds of gossip.
const PERIOD: Duration = Duration::from_millis(200);
/// Time limit of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Most withdrawals in one message.
const BATCH_MAX: usize = 256;

inventory::submit! {
    Plugin {
        name: "withdraw",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/keys/withdraw", handle: serve }],
        tasks: &[Task { name: "withdraw", every: PERIOD, run: forward, waits: true, on: On::Own }],
        stop: |_| {},
    }
}

/// A withdrawn API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// SHA-256 of the key, in hexadecimal.
    pub hash: Name,
    /// Position in the configuration stream of the change that withdrew the key.
    pub revision: Pos,
}

/// Sends withdrawals to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawCall {
    /// Withdrawn keys, at most 256.
    pub keys: Vec<Withdrawn>,
}

impl Call for WithdrawCall {
    type Reply = ();
    const PATH: &'static str = "/peer/keys/withdraw";
}

/// Withdrawals received from peers, and those still to be sent on.
#[derive(Debug, Default)]
pub struct Withdrawals {
    /// Received from peers and not read from the log yet, sorted by hash.
    received: RwLock<Vec<Withdrawn>>,
    /// To be sent to peers.
    queue: Mutex<Vec<Withdrawn>>,
    /// Revision up to which the configuration was scanned; none before the first scan.
    scanned: Mutex<Option<Pos>>,
}

impl Withdrawals {
    /// Whether a peer reported that the key was withdrawn after `revision`.
    pub fn is_withdrawn(&self, hash: &str, revision: Pos) -> bool {
        let received = self.received.read().expect("withdrawals lock");
        received
            .binary_search_by(|w| (*w.hash).cmp(hash))
            .is_ok_and(|i| received[i].revision > revision)
    }

    /// Stores the withdrawals that a peer sent and that are later than `revision`, the revision of
    /// this host's configuration. Returns the number that were not known.
    pub fn receive(&self, keys: Vec<Withdrawn>, revision: Pos) -> usize {
        let mut received = self.received.write().expect("withdrawals lock");
        let mut added = Vec::new();
        for key in keys.into_iter().filter(|k| k.revision > revision) {
            match received.binary_search_by(|w| w.hash.cmp(&key.hash)) {
                Ok(i) if received[i].revision >= key.revision => continue,
                Ok(i) => received[i] = key.clone(),
                Err(i) => received.insert(i, key.clone()),
            }
            added.push(key);
        }
        drop(received);
        let count = added.len();
        self.queue.lock().expect("queue lock").extend(added);
        count
    }

    /// Queues the withdrawals that entered the configuration since the last scan, and drops those
    /// received from peers that are in the configuration now.
    pub fn scan(&self, state: &State) {
        let mut scanned = self.scanned.lock().expect("scan lock");
        let before = scanned.replace(state.revision);
        if before == Some(state.revision) {
            return;
        }
        let mut received = self.received.write().expect("withdrawals lock");
        received.retain(|w| w.revision > state.revision);
        drop(received);
        let Some(before) = before else { return };
        let fresh = state.objects.iter().filter(|o| o.revision > before);
        let found = fresh.filter_map(|o| match &o.item {
            Item::Key {
                withdrawn: true, ..
            } => Some(Withdrawn {
                hash: o.id.name.clone(),
                revision: o.revision,
            }),
            _ => None,
        });
        self.queue.lock().expect("queue lock").extend(found);
    }

    fn take(&self) -> Vec<Withdrawn> {
        let mut queue = self.queue.lock().expect("queue lock");
        let count = queue.len().min(BATCH_MAX);
        queue.drain(..count).collect()
    }
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: WithdrawCall| {
        let revision = host.config.view(|s| s.revision);
        if host.withdrawals.receive(call.keys, revision) > 0 {
            host.timeline
                .note(Happening::KeyWithdrawn, "", None, "from=peer");
        }
        Ok(())
    })
}

fn forward(host: &Arc<Host>) {
    host.config.view(|state| host.withdrawals.scan(state));
    let keys = host.withdrawals.take();
    if keys.is_empty() {
        return;
    }
    let call = WithdrawCall { keys };
    for peer in random_peers(host) {
        // A failure is harmless: other hosts send the same withdrawals.
        let _ = host.call(peer.addr, &call, CALL_TIMEOUT);
    }
}

fn random_peers(host: &Host) -> Vec<Peer> {
    let ring = host.members.ring();
    let others: Vec<&Peer> = ring
        .peers()
        .iter()
        .filter(|p| p.name != host.me.name)
        .collect();
    let some = others.choose_multiple(&mut rand::rng(), FANOUT);
    some.map(|p| (*p).clone()).collect()
}
