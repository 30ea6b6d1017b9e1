//! Withdrawals of keys, passed from host to host ahead of the log.
//!
//! Each host that learns of a withdrawal, from the log or from a peer, tells a few others once. So
//! a host that is late with the log, or cannot reach it, hears of it from many.

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

/// Peers that a host tells of a withdrawal.
const FANOUT: usize = 4;
/// Time between two looks for withdrawals to pass on.
const EVERY: Duration = Duration::from_millis(200);
/// Longest time for a peer to answer.
const LIMIT: Duration = Duration::from_millis(300);
/// Most withdrawals in one message.
const MOST: usize = 256;

inventory::submit! {
    Plugin {
        name: "withdraw",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/keys/withdraw", handle: serve }],
        tasks: &[Task { name: "withdraw", every: EVERY, run: pass_on, waits: true, on: On::Own }],
        stop: |_| {},
    }
}

/// A key that was withdrawn by the change at `revision`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawn {
    /// Hash of the key.
    pub hash: Name,
    /// Position of the change in the configuration's stream.
    pub revision: Pos,
}

/// Tells a host of withdrawals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawCall {
    /// The keys.
    pub keys: Vec<Withdrawn>,
}

impl Call for WithdrawCall {
    type Reply = ();
    const PATH: &'static str = "/peer/keys/withdraw";
}

/// Withdrawals that this host heard of from peers, or has still to pass on.
#[derive(Debug, Default)]
pub struct Keys {
    /// Heard of and not known from the log yet, sorted by hash.
    heard: RwLock<Vec<Withdrawn>>,
    /// To be passed on.
    queue: Mutex<Vec<Withdrawn>>,
    /// Revision up to which the configuration was searched; none before the first search.
    searched: Mutex<Option<Pos>>,
}

impl Keys {
    /// Whether a peer told that the key was withdrawn after `revision`.
    pub fn is_withdrawn(&self, hash: &str, revision: Pos) -> bool {
        let heard = self.heard.read().expect("withdrawn keys");
        heard
            .binary_search_by(|w| (*w.hash).cmp(hash))
            .is_ok_and(|i| heard[i].revision > revision)
    }

    /// Takes in what a peer told, where the configuration is at `revision`; returns the number of
    /// withdrawals that are news.
    pub fn hear(&self, keys: Vec<Withdrawn>, revision: Pos) -> usize {
        let mut heard = self.heard.write().expect("withdrawn keys");
        let mut news = Vec::new();
        for key in keys.into_iter().filter(|k| k.revision > revision) {
            match heard.binary_search_by(|w| w.hash.cmp(&key.hash)) {
                Ok(i) if heard[i].revision >= key.revision => continue,
                Ok(i) => heard[i] = key.clone(),
                Err(i) => heard.insert(i, key.clone()),
            }
            news.push(key);
        }
        drop(heard);
        let count = news.len();
        self.queue.lock().expect("queue").extend(news);
        count
    }

    /// Finds the withdrawals that the configuration took in since the last search, and forgets
    /// what was heard of and is in the configuration now.
    pub fn search(&self, state: &State) {
        let mut searched = self.searched.lock().expect("searched");
        let before = searched.replace(state.revision);
        if before == Some(state.revision) {
            return;
        }
        let mut heard = self.heard.write().expect("withdrawn keys");
        heard.retain(|w| w.revision > state.revision);
        drop(heard);
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
        self.queue.lock().expect("queue").extend(found);
    }

    fn take(&self) -> Vec<Withdrawn> {
        let mut queue = self.queue.lock().expect("queue");
        let count = queue.len().min(MOST);
        queue.drain(..count).collect()
    }
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: WithdrawCall| {
        let revision = host.config.view(|s| s.revision);
        if host.keys.hear(call.keys, revision) > 0 {
            host.timeline
                .note(Happening::KeyWithdrawn, "", None, "from=peer");
        }
        Ok(())
    })
}

fn pass_on(host: &Arc<Host>) {
    host.config.view(|state| host.keys.search(state));
    let keys = host.keys.take();
    if keys.is_empty() {
        return;
    }
    let call = WithdrawCall { keys };
    for peer in chosen(host) {
        // Others tell it as well.
        let _ = host.call(peer.addr, &call, LIMIT);
    }
}

fn chosen(host: &Host) -> Vec<Peer> {
    let ring = host.members.ring();
    let others: Vec<&Peer> = ring
        .peers()
        .iter()
        .filter(|p| p.name != host.me.name)
        .collect();
    let some = others.choose_multiple(&mut rand::rng(), FANOUT);
    some.map(|p| (*p).clone()).collect()
}
