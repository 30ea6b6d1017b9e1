//! Decides whether a request may be sent with the segments that it has.

use super::{Entry, Quarantine, Record, Segments, probe_interval};
use crate::{
    clock::Time,
    error::{Fail, Kind},
    kernel::Host,
    wire::Name,
};
use std::time::Duration;

/// Longest wait for the right to probe a segment.
const CLAIM_LIMIT: Duration = Duration::from_millis(500);

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// None of its segments is in quarantine.
    Free,
    /// It may be sent as the probe of these quarantines, if this host wins the right to it.
    Probe(Vec<Entry>),
    /// It must not be sent.
    Refused(Fail),
}

/// The right to send one request with segments in quarantine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    /// The segments that it probes.
    pub segments: Vec<Name>,
}

impl Segments {
    /// Decides on a request with `segments`; `state` is the folded quarantine.
    pub(super) fn admission(&self, state: &Quarantine, segments: &[Name], now: Time) -> Admission {
        let holds = self.holds();
        let held = segments.iter().find(|s| {
            let found = holds.binary_search_by(|h| h.segment.cmp(s));
            found.is_ok_and(|at| holds[at].until > now)
        });
        if let Some(segment) = held {
            return Admission::Refused(hold_refusal(segment));
        }
        drop(holds);
        let entries: Vec<&Entry> = segments.iter().filter_map(|s| state.entry(s)).collect();
        if entries.is_empty() {
            return Admission::Free;
        }
        let is_due = |e: &&Entry| self.is_probe_due(state, e, segments, now);
        if !entries.iter().all(is_due) {
            return Admission::Refused(refusal(&entries));
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
        if entry.probes == 0 && lacks_companion(state, entry, segments) {
            return true;
        }
        let seen = self.seen();
        let found = seen.binary_search_by(|s| s.entry.segment.cmp(&entry.segment));
        let known = found.ok().map(|at| &seen[at]);
        known.is_some_and(|s| {
            s.entry.last == entry.last && now >= s.at + probe_interval(entry.probes)
        })
    }
}

/// Whether the request lacks a segment that explains the conviction of `entry`: one under which all the
/// same servers ended, so that at most one of the two need be at fault.
fn lacks_companion(state: &Quarantine, entry: &Entry, segments: &[Name]) -> bool {
    let explains = |other: &&Entry| {
        let is_shared = |server: &Name| other.servers.contains(server);
        other.segment != entry.segment && entry.servers.iter().all(is_shared)
    };
    let mut companions = state.entries.iter().filter(explains);
    companions.any(|c| !segments.contains(&c.segment))
}

/// Refusal of a request with segments in quarantine.
fn refusal(entries: &[&Entry]) -> Fail {
    let quote = |e: &&Entry| format!("\"{}\"", e.segment);
    let names: Vec<String> = entries.iter().map(quote).collect();
    let servers = entries.iter().map(|e| e.servers.len()).max().unwrap_or(0);
    let text = format!(
        "segments of the prompt are in quarantine because {servers} backend servers ended under requests \
         with them: {}; send the request without them",
        names.join(", ")
    );
    Fail::new(Kind::Quarantined, text)
}

/// Refusal of a request with a segment that is refused ahead of the log.
fn hold_refusal(segment: &str) -> Fail {
    let text = format!(
        "a segment of the prompt is in quarantine because backend servers ended under requests with it: \
         \"{segment}\"; send the request without it"
    );
    Fail::new(Kind::Quarantined, text)
}

impl Host {
    /// Whether a request with `segments` may be sent now.
    pub fn admit_segments(&self, segments: &[Name]) -> Admission {
        if segments.is_empty() {
            return Admission::Free;
        }
        let now = self.now();
        self.quarantine
            .view(|state| self.segments.admission(state, segments, now))
    }

    /// Claims the probe of `entries` for this host. Of all hosts, one wins.
    ///
    /// # Errors
    /// `Quarantined` if another host has the probe or the log does not tell.
    pub fn claim_probe(&self, entries: &[Entry]) -> Result<Permit, Fail> {
        for entry in entries {
            let record = Record::Probe {
                segment: entry.segment.clone(),
                since: entry.since,
                number: entry.probes,
                host: self.me.name.clone(),
            };
            let claimed = self.quarantine.settle(&record, CLAIM_LIMIT, |state| {
                let Some(now) = state.entry(&entry.segment) else {
                    return Some(true);
                };
                let is_mine = now.since == entry.since
                    && now.probes == entry.probes + 1
                    && now.host == self.me.name;
                (now != entry).then_some(is_mine)
            });
            if !matches!(claimed, Ok(true)) {
                let segment = &*entry.segment;
                tracing::info!(
                    segment,
                    number = entry.probes,
                    ?claimed,
                    "probe_not_claimed"
                );
                return Err(refusal(&[entry]));
            }
        }
        Ok(Permit {
            segments: entries.iter().map(|e| e.segment.clone()).collect(),
        })
    }
}
