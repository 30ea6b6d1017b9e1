//! Leases as seen by the holder and by a claimant, each by its own monotonic clock.
//!
//! Epochs decide ownership; leases only keep two hosts from doing the same work.

use crate::{clock::Time, fold::Pos, wire::Name};
use std::time::Duration;

/// Least length of a lease span in append intervals.
const SPAN_APPENDS: u32 = 4;

/// Time between two appends of one of `hosts` writers, so that all of them together make at most
/// `appends` a second, but not shorter than the setting `least`.
pub fn append_interval(hosts: usize, appends: u64, least: Duration) -> Duration {
    let share = Duration::from_micros(hosts.max(1) as u64 * 1_000_000 / appends.max(1));
    share.max(least)
}

/// Lease span: the setting `least`, or longer where the append interval is too long for it.
pub fn lease_span(interval: Duration, least: Duration) -> Duration {
    least.max(interval * SPAN_APPENDS)
}

/// A holder's lease, one for everything that it holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Lease {
    renewed: Option<Time>,
}

impl Lease {
    /// Renews the lease by a record, submitted at `sent`, that was applied here from the log.
    pub fn renew(&mut self, sent: Time) {
        self.renewed = self.renewed.max(Some(sent));
    }

    /// Whether the holder may act at `now`. A quarter of `span` is left for clock drift.
    pub fn is_held(&self, now: Time, span: Duration) -> bool {
        self.age(now).is_some_and(|age| age < span * 3 / 4)
    }

    /// Whether to renew the lease: a third of `span` has passed since the last renewal.
    pub fn is_due(&self, now: Time, span: Duration) -> bool {
        self.age(now).is_none_or(|age| age >= span / 3)
    }

    fn age(&self, now: Time) -> Option<Duration> {
        self.renewed.map(|t| now.saturating_sub(t))
    }
}

/// A claimant's record of when the other hosts last wrote to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Watch {
    /// Sorted by host name.
    hosts: Vec<LastRecord>,
    /// Last time at which this host lagged in reading the log.
    last_stale: Time,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct LastRecord {
    host: Name,
    last: Pos,
    since: Time,
}

impl Watch {
    /// Records that this host lags in reading the log at `now`: silence until then proves nothing.
    pub fn note_lag(&mut self, now: Time) {
        self.last_stale = self.last_stale.max(now);
    }

    /// Records that the last record of `host` applied by `now` is at position `last`.
    pub fn observe(&mut self, host: &Name, last: Pos, now: Time) {
        match self.hosts.binary_search_by(|s| s.host.cmp(host)) {
            Ok(i) if self.hosts[i].last < last => {
                self.hosts[i].last = last;
                self.hosts[i].since = now;
            }
            Ok(_) => {}
            Err(i) => {
                let record = LastRecord {
                    host: host.clone(),
                    last,
                    since: now,
                };
                self.hosts.insert(i, record);
            }
        }
    }

    /// Drops the hosts for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.hosts.retain(|s| keep(&s.host));
    }

    /// Whether `host` wrote nothing for `span` while this host kept up with the log.
    pub fn is_lapsed(&self, host: &Name, now: Time, span: Duration) -> bool {
        let found = self.hosts.binary_search_by(|s| s.host.cmp(host));
        found.is_ok_and(|i| {
            let since = self.hosts[i].since.max(self.last_stale);
            now.saturating_sub(since) >= span
        })
    }
}
