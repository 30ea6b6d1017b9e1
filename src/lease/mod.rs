//! Leases: the holder's view and a claimant's view, each by its own monotonic clock.
//!
//! Epochs decide who owns what; leases only keep two hosts from doing the same work.

use crate::{clock::Time, fold::Pos, wire::Name};
use std::time::Duration;

/// Intervals between appends that a lease span lasts at least.
const BEATS: u32 = 4;

/// Least time between two appends of one of `hosts` writers, so that all of them together make
/// `appends` a second at most; `least` is the setting.
pub fn append_interval(hosts: usize, appends: u64, least: Duration) -> Duration {
    let share = Duration::from_micros(hosts.max(1) as u64 * 1_000_000 / appends.max(1));
    share.max(least)
}

/// Lease span: the setting, or longer where the append budget allows no more frequent beats.
pub fn lease_span(interval: Duration, least: Duration) -> Duration {
    least.max(interval * BEATS)
}

/// A holder's lease on all that it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    renewed: Option<Time>,
}

impl Lease {
    /// Takes account of a record that was submitted at `sent`, is in the log and was applied here.
    pub fn renew(&mut self, sent: Time) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Whether the holder may act at `now`. A quarter of `span` is left for drift of the clocks.
    pub fn is_held(&self, now: Time, span: Duration) -> bool {
        self.age(now).is_some_and(|age| age < span * 3 / 4)
    }

    /// Whether it is time to renew: a third of `span` has passed.
    pub fn is_due(&self, now: Time, span: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= span / 3)
    }

    fn age(&self, now: Time) -> Option<Duration> {
        self.renewed.map(|t| now.saturating_sub(t))
    }
}

/// What a claimant knows of the other hosts' signs of life.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watch {
    /// Sorted by host name.
    hosts: Vec<Seen>,
    /// Last time at which the reading of the log was not fresh.
    stale: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    host: Name,
    last: Pos,
    since: Time,
}

impl Watch {
    /// Notes that the reading of the log lags at `now`: silence up to here proves nothing.
    pub fn note_lag(&mut self, now: Time) {
        self.stale = self.stale.max(now);
    }

    /// Notes that the last record of `host` that was applied by `now` is at `last`.
    pub fn observe(&mut self, host: &Name, last: Pos, now: Time) {
        match self.hosts.binary_search_by(|s| s.host.cmp(host)) {
            Ok(i) if self.hosts[i].last < last => {
                self.hosts[i].last = last;
                self.hosts[i].since = now;
            }
            Ok(_) => {}
            Err(i) => {
                let seen = Seen {
                    host: host.clone(),
                    last,
                    since: now,
                };
                self.hosts.insert(i, seen);
            }
        }
    }

    /// Forgets the hosts that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.hosts.retain(|s| keep(&s.host));
    }

    /// Whether `host` gave no sign of life for `span` while this host read the log.
    pub fn is_lapsed(&self, host: &Name, now: Time, span: Duration) -> bool {
        let found = self.hosts.binary_search_by(|s| s.host.cmp(host));
        found.is_ok_and(|i| {
            let since = self.hosts[i].since.max(self.stale);
            now.saturating_sub(since) >= span
        })
    }
}
