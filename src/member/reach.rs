//! Tracks contact with other hosts, directly or through peers, while the log cannot be read.

use super::NEIGHBOURS;
use crate::{
    clock::Time,
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, serve_call},
    wire::{Name, Peer},
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc, thread, time::Duration};

/// Interval of requests to the neighbours.
const EVERY: Duration = Duration::from_secs(1);
/// Age of the last read of the log from which hosts ask each other for their contacts.
const STALE: Duration = Duration::from_secs(1);
/// Time limit of a request to a peer.
const ASK_LIMIT: Duration = Duration::from_secs(1);
/// Time for which a contact counts, plus a second for each host that passes it on.
const CONTACT_MAX: Duration = Duration::from_secs(3);

inventory::submit! {
    Plugin {
        name: "reach",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/member/reach", handle: serve }],
        tasks: &[Task { name: "reach", every: EVERY, run: ask, waits: true, on: On::All }],
        stop: |_| {},
    }
}

/// A host and the age of the last contact with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The host.
    pub name: Name,
    /// Age of the contact at the time of the report.
    pub age: Duration,
}

/// Asks a peer for its contacts, direct and reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachCall {}

impl Call for ReachCall {
    type Reply = ContactReport;
    const PATH: &'static str = "/peer/member/reach";
}

/// A host's report of its contacts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactReport {
    /// Hosts in contact, including the reporting one.
    #[serde(rename = "heard")]
    pub contacts: Vec<Contact>,
    /// Offset after the last configuration record that any host reported as applied.
    pub next: u64,
}

/// Time for which a contact counts among `count` hosts: reports pass it on over several hosts, with
/// up to a second of delay at each.
pub fn reach_span(count: usize) -> Duration {
    let hops = (count.max(1) as u32).ilog(NEIGHBOURS) + 1;
    CONTACT_MAX + EVERY * hops
}

/// Time of this host's last contact with each other host, directly or through peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reach {
    /// Sorted by name.
    hosts: Vec<(Name, Time)>,
    /// Highest offset after a configuration record that any host reported as applied.
    next: u64,
}

impl Reach {
    /// Merges the report of a peer that was asked at `asked`.
    pub fn merge(&mut self, report: &ContactReport, asked: Time) {
        self.next = self.next.max(report.next);
        for contact in &report.contacts {
            let at = asked.saturating_sub(contact.age);
            match self.hosts.binary_search_by(|h| h.0.cmp(&contact.name)) {
                Ok(i) => self.hosts[i].1 = self.hosts[i].1.max(at),
                Err(i) => self.hosts.insert(i, (contact.name.clone(), at)),
            }
        }
    }

    /// Report for a peer: the contacts and `me`, which has applied the configuration up to `next`.
    /// Drops contacts of age `span` or more.
    pub fn report(&mut self, me: &Name, next: u64, now: Time, span: Duration) -> ContactReport {
        self.hosts.retain(|(_, at)| now.saturating_sub(*at) < span);
        let others = self.hosts.iter().filter(|(n, _)| n != me);
        let others = others.map(|(name, at)| Contact {
            name: name.clone(),
            age: now.saturating_sub(*at),
        });
        let own = Contact {
            name: me.clone(),
            age: Duration::ZERO,
        };
        ContactReport {
            contacts: others.chain([own]).collect(),
            next: self.next.max(next),
        }
    }

    /// Whether some host reported configuration records at or after offset `next` as applied.
    pub fn is_behind(&self, next: u64) -> bool {
        self.next > next
    }

    /// Latest time as of which this host and its contacts are a majority of `fleet`, a sorted list
    /// that includes this host; `None` if they are not, or if it is alone.
    pub fn majority(&self, fleet: &[Name], me: &Name) -> Option<Time> {
        let others = self.hosts.iter().filter(|(n, _)| n != me);
        let known = others.filter(|(n, _)| fleet.binary_search(n).is_ok());
        let mut times: Vec<Time> = known.map(|(_, at)| *at).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        let needed = fleet.len() / 2;
        times.get(needed.checked_sub(1)?).copied()
    }
}

/// While the log cannot be read, asks the neighbours and one random host without contact.
fn ask(host: &Arc<Host>) {
    let fresh = host.config.progress().caught_up;
    let is_stale = |f: &Time| host.now().saturating_sub(*f) >= STALE;
    let Some(fresh) = fresh.filter(is_stale) else {
        return;
    };
    let report = host.members.contact_report(host);
    thread::scope(|scope| {
        for peer in choose_peers(host, &report.contacts) {
            scope.spawn(move || ask_one(host, &peer));
        }
    });
    host.members.update_reached(host, fresh);
}

fn choose_peers(host: &Host, contacts: &[Contact]) -> Vec<Peer> {
    let ring = host.members.ring();
    let mut chosen = ring.owners(&host.me.name, NEIGHBOURS as usize + 1);
    chosen.retain(|p| p.name != host.me.name);
    let known = |p: &Peer| chosen.contains(p) || contacts.iter().any(|h| h.name == p.name);
    let others: Vec<&Peer> = ring.peers().iter().filter(|p| !known(p)).collect();
    let other = others.choose(&mut rand::rng()).map(|p| (*p).clone());
    chosen.extend(other);
    chosen
}

fn ask_one(host: &Host, peer: &Peer) {
    let asked = host.now();
    if let Ok(report) = host.call(peer.addr, &ReachCall {}, ASK_LIMIT) {
        host.members.merge_contacts(&report, asked);
    }
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, _: ReachCall| {
        Ok(host.members.contact_report(host))
    })
}
