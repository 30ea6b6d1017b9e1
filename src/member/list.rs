//! Hosts as shown by successive reads of the platform's list.

use crate::{
    clock::Time,
    store::{HostStatus, Listed},
    wire::{Name, Peer},
};
use std::time::Duration;

/// Time after which an unlisted host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// A host as shown by reads of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The host.
    pub peer: Peer,
    /// Whether the host was live or leaving when last listed.
    pub status: HostStatus,
    /// Number of the host's last announcement; zero if the list does not number announcements.
    pub announced: u64,
    /// Start of the first of the latest reads without the host; `None` if the last one shows it.
    pub missing: Option<Time>,
}

/// State of each host, folded from reads of the list.
#[derive(Debug, Clone, Default)]
pub struct ListView {
    /// Hosts, sorted by name.
    hosts: Vec<Seen>,
    /// Whether the first read showed an earlier process of this host.
    pub(super) has_earlier_start: bool,
    /// Hosts that were queried and never listed, with the time of the first query, sorted by name.
    unlisted: Vec<(Name, Time)>,
    /// Start of the first read.
    first: Option<Time>,
    /// Start of the last read.
    last: Option<Time>,
}

impl ListView {
    /// Applies a successful read of the list that began at `began`. After a failed read the last
    /// list stays in force.
    pub fn read(&mut self, listed: &[Listed], began: Time) {
        self.first.get_or_insert(began);
        self.last = Some(began);
        for seen in &mut self.hosts {
            seen.missing = seen.missing.or(Some(began));
        }
        for entry in listed {
            self.put(Seen {
                peer: entry.peer.clone(),
                status: entry.status,
                announced: entry.announced,
                missing: None,
            });
        }
        self.hosts.retain(|s| {
            s.missing
                .is_none_or(|m| began.saturating_sub(m) < FORGET_AFTER)
        });
        self.unlisted
            .retain(|(_, asked)| began.saturating_sub(*asked) < FORGET_AFTER);
    }

    /// On the first read, notes whether it shows an earlier process of the host `me`.
    pub(super) fn note_earlier_start(&mut self, listed: &[Listed], me: &str) {
        if self.first.is_none() {
            let mut names = listed.iter().map(|l| &*l.peer.name);
            self.has_earlier_start = names.any(|n| n != me && is_same_host(n, me));
        }
    }

    /// Number of hosts in the last read; several processes of one host count once.
    pub(super) fn host_count(&self) -> usize {
        let listed = self.hosts.iter().filter(|s| s.missing.is_none());
        let mut names: Vec<&str> = listed.map(|s| host_of(&s.peer.name)).collect();
        names.dedup();
        names.len()
    }

    fn put(&mut self, seen: Seen) {
        match self.find(&seen.peer.name) {
            Ok(i) => self.hosts[i] = seen,
            Err(i) => self.hosts.insert(i, seen),
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|s| (*s.peer.name).cmp(name))
    }

    /// The host `name`, if it is in the last read.
    pub fn seen(&self, name: &str) -> Option<&Seen> {
        let i = self.find(name).ok()?;
        Some(&self.hosts[i]).filter(|s| s.missing.is_none())
    }

    /// Start of the last successful read.
    pub fn fresh(&self) -> Option<Time> {
        self.last
    }

    /// Time from the first to the last of the consecutive reads that did not show the host; `None`
    /// if the last read shows it. A host that was never listed is missing from its first query on,
    /// as it may have started after earlier reads. `now` is the time of this query.
    pub fn gone_for(&mut self, name: &str, now: Time) -> Option<Duration> {
        let missing = match self.find(name) {
            Ok(i) => self.hosts[i].missing?,
            Err(_) => self.first_asked(name, now),
        };
        self.last?.checked_sub(missing)
    }

    /// Time of the first query about a host that was never listed.
    fn first_asked(&mut self, name: &str, now: Time) -> Time {
        let found = self.unlisted.binary_search_by(|(n, _)| (**n).cmp(name));
        let at = found.unwrap_or_else(|at| {
            self.unlisted.insert(at, (name.into(), now));
            at
        });
        self.unlisted[at].1
    }

    /// Number of the last announcement of each listed host over all its processes, sorted by host.
    fn last_announced(&self) -> Vec<(&str, u64)> {
        let listed = self.hosts.iter().filter(|s| s.missing.is_none());
        let mut last: Vec<(&str, u64)> = listed
            .map(|s| (host_of(&s.peer.name), s.announced))
            .collect();
        last.sort_unstable_by_key(|(host, at)| (*host, std::cmp::Reverse(*at)));
        last.dedup_by_key(|(host, _)| *host);
        last
    }

    /// Sorted names of `me` and of the hosts last listed as live that were not missing before
    /// `since` and that no later process supersedes.
    pub fn fleet(&self, me: &Name, since: Time) -> Vec<Name> {
        let last = self.last_announced();
        let live = self.hosts.iter().filter(|s| {
            s.status == HostStatus::Live
                && s.missing.is_none_or(|missing| missing >= since)
                && !s.is_superseded(me, &last)
        });
        let mut fleet: Vec<Name> = live.map(|s| s.peer.name.clone()).collect();
        if let Err(at) = fleet.binary_search(me) {
            fleet.insert(at, me.clone());
        }
        fleet
    }

    /// Live hosts by name; `me` is included even if not listed yet, unless it is leaving.
    pub fn live(&self, me: &Peer, leaving: bool) -> Vec<Peer> {
        let last = self.last_announced();
        let mut live: Vec<Peer> = self
            .hosts
            .iter()
            .filter(|s| s.missing.is_none() && s.status == HostStatus::Live)
            .filter(|s| !s.is_superseded(&me.name, &last))
            .map(|s| s.peer.clone())
            .filter(|p| p.name != me.name)
            .collect();
        if !leaving {
            let at = live.partition_point(|p: &Peer| p.name < me.name);
            live.insert(at, me.clone());
        }
        live
    }
}

impl Seen {
    /// Whether `me` or a listed process is a later one of the same host. An ended process is listed
    /// until its entry expires. `last` has the last announcements of hosts, sorted.
    fn is_superseded(&self, me: &str, last: &[(&str, u64)]) -> bool {
        let name = &*self.peer.name;
        if name != me && is_same_host(name, me) {
            return true;
        }
        let found = last.binary_search_by(|(host, _)| (*host).cmp(host_of(name)));
        self.announced > 0 && found.is_ok_and(|at| last[at].1 > self.announced)
    }
}

/// Whether two names, each of one daemon process, belong to the same host.
pub fn is_same_host(one: &str, other: &str) -> bool {
    one.contains('.') && host_of(one) == host_of(other)
}

/// Host part of the name of a daemon process.
fn host_of(name: &str) -> &str {
    name.rsplit_once('.').map_or(name, |(host, _)| host)
}
