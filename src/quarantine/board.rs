//! What one host makes of the quarantine: since when it knows each entry, and which requests it admits.

use super::{Admission, Entry, Quarantine, admit, is_request};
use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Time from the conviction of a segment to its first probe; it doubles with each further probe.
pub const PROBE_AFTER: Duration = Duration::from_secs(15);
/// Longest time between two probes of a segment.
pub const PROBE_AFTER_MAX: Duration = Duration::from_secs(3600);
/// Most probes with a whole request; a segment, which many requests may share, is probed on and on.
pub const REQUEST_PROBES_MAX: u32 = 3;
/// Time for which a segment is refused ahead of the log.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Time after which a hold that is renewed is passed on again, so that it lapses on no host.
const PASS_ON_AGAIN: Duration = Duration::from_secs(5);
/// Most segments refused ahead of the log.
const HOLDS_MAX: usize = 256;

/// The quarantine as one host knows it.
#[derive(Debug, Clone, Default)]
pub struct Board {
    /// Sorted by segment.
    seen: Vec<Seen>,
    /// Sorted by segment.
    holds: Vec<Hold>,
}

/// An entry and when the host first saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The entry.
    pub entry: Entry,
    /// When it first had this state.
    pub at: Time,
    /// When the segment was first in this quarantine.
    pub since: Time,
}

/// What became known of the quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Entries that are new, or that were probed.
    pub noted: Vec<Seen>,
    /// Entries that are gone.
    pub released: Vec<Seen>,
}

/// A segment that is refused ahead of the log.
#[derive(Debug, Clone)]
struct Hold {
    segment: Name,
    since: Time,
    /// When it was last passed on to other hosts.
    passed: Time,
}

impl Board {
    /// Compares the folded quarantine with what was known.
    pub fn observe(&mut self, state: &Quarantine, now: Time) -> Changes {
        let mut changes = Changes::default();
        if state.entries.is_empty() && self.seen.is_empty() {
            return changes;
        }
        let before = std::mem::take(&mut self.seen);
        for entry in &state.entries {
            let old = before.iter().find(|s| s.is_same(entry));
            let seen = match old {
                Some(old) if old.entry.last == entry.last => old.clone(),
                old => {
                    let seen = Seen {
                        entry: entry.clone(),
                        at: now,
                        since: old.map_or(now, |o| o.since),
                    };
                    changes.noted.push(seen.clone());
                    seen
                }
            };
            self.seen.push(seen);
        }
        let is_gone = |s: &Seen| !state.entries.iter().any(|e| s.is_same(e));
        changes.released = before.into_iter().filter(is_gone).collect();
        changes
    }

    /// The entries as the host knows them, sorted by segment.
    pub fn seen(&self) -> &[Seen] {
        &self.seen
    }

    /// Decides on a request with `segments`; `state` is the folded quarantine.
    pub fn admission(&self, state: &Quarantine, segments: &[Name], now: Time) -> Admission {
        if let Some(segment) = segments.iter().find(|s| self.is_held(s, now)) {
            return Admission::Refused(admit::hold_refusal(segment));
        }
        let entries: Vec<&Entry> = segments.iter().filter_map(|s| state.entry(s)).collect();
        if entries.is_empty() {
            return Admission::Free;
        }
        let is_due = |e: &&Entry| self.is_probe_due(state, e, segments, now);
        if !entries.iter().all(is_due) {
            return Admission::Refused(admit::refusal(&entries));
        }
        Admission::Probe(entries.into_iter().cloned().collect())
    }

    /// Whether a request with `segments` may probe `entry`.
    fn is_probe_due(
        &self,
        state: &Quarantine,
        entry: &Entry,
        segments: &[Name],
        now: Time,
    ) -> bool {
        let is_request = is_request(&entry.segment);
        if is_request && entry.probes >= REQUEST_PROBES_MAX {
            return false;
        }
        if !is_request && entry.probes == 0 && is_explained(state, entry, segments) {
            return true;
        }
        let found = self
            .seen
            .binary_search_by(|s| s.entry.segment.cmp(&entry.segment));
        let known = found.ok().map(|at| &self.seen[at]);
        known.is_some_and(|s| {
            s.entry.last == entry.last && now >= s.at + probe_interval(entry.probes)
        })
    }

    /// Refuses `segments` for some time; returns those to pass on to other hosts.
    pub fn hold(&mut self, segments: &[Name], now: Time) -> Vec<Name> {
        let mut due = Vec::new();
        for segment in segments {
            let at = match self.find_hold(segment) {
                Ok(at) => at,
                Err(_) if self.holds.len() >= HOLDS_MAX => continue,
                Err(at) => {
                    due.push(segment.clone());
                    let hold = Hold {
                        segment: segment.clone(),
                        since: now,
                        passed: now,
                    };
                    self.holds.insert(at, hold);
                    continue;
                }
            };
            let hold = &mut self.holds[at];
            hold.since = now;
            if now.saturating_sub(hold.passed) >= PASS_ON_AGAIN {
                hold.passed = now;
                due.push(segment.clone());
            }
        }
        due
    }

    /// Drops the holds that are over, and those of segments that were answered since.
    pub fn drop_holds(&mut self, now: Time, is_answered: impl Fn(&str, Time) -> bool) {
        self.holds.retain(|h| {
            now.saturating_sub(h.since) < HOLD_TIME && !is_answered(&h.segment, h.since)
        });
    }

    fn is_held(&self, segment: &str, now: Time) -> bool {
        let found = self.find_hold(segment);
        found.is_ok_and(|at| now.saturating_sub(self.holds[at].since) < HOLD_TIME)
    }

    fn find_hold(&self, segment: &str) -> Result<usize, usize> {
        self.holds.binary_search_by(|h| (*h.segment).cmp(segment))
    }
}

impl Seen {
    /// Whether `entry` is a later state of the same quarantine.
    fn is_same(&self, entry: &Entry) -> bool {
        self.entry.segment == entry.segment && self.entry.since == entry.since
    }
}

/// Whether the segments in quarantine that the request lacks explain the conviction of `entry`: the same
/// servers ended under requests with them, so that `entry` need not be at fault.
fn is_explained(state: &Quarantine, entry: &Entry, segments: &[Name]) -> bool {
    let lacking = state.entries.iter();
    let lacking: Vec<&Entry> = lacking.filter(|e| !segments.contains(&e.segment)).collect();
    let explains = |server: &Name| lacking.iter().any(|e| e.servers.contains(server));
    !entry.servers.is_empty() && entry.servers.iter().all(explains)
}

/// Time from a quarantine, or from its last probe, to the next one.
fn probe_interval(probes: u32) -> Duration {
    PROBE_AFTER
        .saturating_mul(2u32.saturating_pow(probes))
        .min(PROBE_AFTER_MAX)
}
