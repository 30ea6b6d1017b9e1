//! What reads of the platform's list have shown.

use crate::{
    clock::Time,
    store::{Listed, Standing},
    wire::{Name, Peer},
};
use std::time::Duration;

/// Time after which a host that is no longer listed is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(3600);

/// A host as reads of the list have shown it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The host.
    pub peer: Peer,
    /// Its standing when it was last listed.
    pub standing: Standing,
    /// Number of its last announcement; zero where the list tells none.
    pub announced: u64,
    /// Start of the first read of the unbroken run of reads that did not show it.
    pub missing: Option<Time>,
}

/// Folds reads of the list into what is known of each host.
#[derive(Debug, Clone, Default)]
pub struct ListView {
    /// Hosts, sorted by name.
    hosts: Vec<Seen>,
    /// Whether the first read showed an earlier start of this host.
    pub(super) has_earlier_start: bool,
    /// Hosts that were asked about and never listed, with the time of the first question, sorted by
    /// name.
    unlisted: Vec<(Name, Time)>,
    /// Start of the first read.
    first: Option<Time>,
    /// Start of the last read.
    last: Option<Time>,
}

impl ListView {
    /// Takes in a read of the list that began at `began`. A failed read changes nothing: the last
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
                standing: entry.standing,
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

    /// Notes whether the first read shows an earlier start of the host `me`.
    pub(super) fn note_earlier_start(&mut self, listed: &[Listed], me: &str) {
        if self.first.is_none() {
            let mut names = listed.iter().map(|l| &*l.peer.name);
            self.has_earlier_start = names.any(|n| n != me && is_same_host(n, me));
        }
    }

    /// Number of hosts that the last read showed, several starts of one counted once.
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

    /// The host `name`, if the last read showed it.
    pub fn seen(&self, name: &str) -> Option<&Seen> {
        let i = self.find(name).ok()?;
        Some(&self.hosts[i]).filter(|s| s.missing.is_none())
    }

    /// Start of the last read.
    pub fn fresh(&self) -> Option<Time> {
        self.last
    }

    /// Time from the first to the last read of the run of reads that did not show the host. A host
    /// that was never listed counts as missing from the first question about it: it may have started
    /// after the reads before. `now` is the time of this question.
    pub fn gone_for(&mut self, name: &str, now: Time) -> Option<Duration> {
        let missing = match self.find(name) {
            Ok(i) => self.hosts[i].missing?,
            Err(_) => self.first_asked(name, now),
        };
        self.last?.checked_sub(missing)
    }

    /// When the host, which was never listed, was first asked about.
    fn first_asked(&mut self, name: &str, now: Time) -> Time {
        let found = self.unlisted.binary_search_by(|(n, _)| (**n).cmp(name));
        let at = found.unwrap_or_else(|at| {
            self.unlisted.insert(at, (name.into(), now));
            at
        });
        self.unlisted[at].1
    }

    /// Number of the last announcement of each listed host, over all its starts, sorted by host.
    fn last_announced(&self) -> Vec<(&str, u64)> {
        let listed = self.hosts.iter().filter(|s| s.missing.is_none());
        let mut last: Vec<(&str, u64)> = listed
            .map(|s| (host_of(&s.peer.name), s.announced))
            .collect();
        last.sort_unstable_by_key(|(host, at)| (*host, std::cmp::Reverse(*at)));
        last.dedup_by_key(|(host, _)| *host);
        last
    }

    /// Names of the hosts that were last listed as live and were not missing before `since`, with
    /// `me`, sorted.
    pub fn fleet(&self, me: &Name, since: Time) -> Vec<Name> {
        let last = self.last_announced();
        let live = self.hosts.iter().filter(|s| {
            s.standing == Standing::Live
                && s.missing.is_none_or(|missing| missing >= since)
                && !s.is_superseded(me, &last)
        });
        let mut fleet: Vec<Name> = live.map(|s| s.peer.name.clone()).collect();
        if let Err(at) = fleet.binary_search(me) {
            fleet.insert(at, me.clone());
        }
        fleet
    }

    /// Live hosts with `me`, which the list may not show yet, or without it if it is leaving.
    pub fn live(&self, me: &Peer, leaving: bool) -> Vec<Peer> {
        let last = self.last_announced();
        let mut live: Vec<Peer> = self
            .hosts
            .iter()
            .filter(|s| s.missing.is_none() && s.standing == Standing::Live)
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
    /// Whether a later start of the same host is listed, or is this host `me`: the earlier one has
    /// ended, though the list shows it until its entry lapses. `last` has the last announcements of
    /// hosts, sorted.
    fn is_superseded(&self, me: &str, last: &[(&str, u64)]) -> bool {
        let name = &*self.peer.name;
        if name != me && is_same_host(name, me) {
            return true;
        }
        let found = last.binary_search_by(|(host, _)| (*host).cmp(host_of(name)));
        self.announced > 0 && found.is_ok_and(|at| last[at].1 > self.announced)
    }
}

/// Whether two names, each of one start of a daemon, are of the same host.
pub fn is_same_host(one: &str, other: &str) -> bool {
    one.contains('.') && host_of(one) == host_of(other)
}

/// Name of the host in the name of one start of its daemon.
fn host_of(name: &str) -> &str {
    name.rsplit_once('.').map_or(name, |(host, _)| host)
}
