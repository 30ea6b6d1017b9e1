//! Decides from the reports of all hosts which segments crash backend servers.

use super::is_request;
use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Servers that must have ended one after the other: each under a request that was sent after the one
/// before had ended. One event that ends many servers counts once.
pub const SUCCESSIVE_MIN: usize = 3;
/// Servers that must have ended in any order.
pub const SERVERS_MIN: usize = 5;
/// Servers that must have ended, in any order, under one and the same request.
pub const REQUEST_SERVERS_MIN: usize = 3;
/// Time that a host has to report an answer to a request with the segment before it is convicted.
pub const OBJECTION_TIME: Duration = Duration::from_millis(200);
/// Time after the last report from which the reports on a segment no longer count.
pub const EXPIRY: Duration = Duration::from_secs(60);
/// The same for a whole request, which has its repeats only.
pub const REQUEST_EXPIRY: Duration = Duration::from_secs(600);
/// Most segments with reports.
const SUSPECTS_MAX: usize = 1024;
/// Most reports kept of a segment; of more, the last ones.
const LOSSES_MAX: usize = 16;

/// The end of a server under a request, on the clock of the host that keeps the reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Backend server.
    pub server: Name,
    /// Its start number.
    pub start: u64,
    /// When the request was sent to it.
    pub sent: Time,
    /// When it ended.
    pub lost: Time,
}

/// A segment that crashes servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    /// Id of the segment.
    pub segment: Name,
    /// The servers that ended, in the order of their ends.
    pub servers: Vec<Name>,
}

/// Reports on the segments that one host is in charge of.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Sorted by segment.
    suspects: Vec<Suspect>,
}

#[derive(Debug, Clone)]
struct Suspect {
    segment: Name,
    /// One for each server that ended, sorted by its end.
    losses: Vec<Loss>,
    /// When the last report came.
    reported: Time,
    /// When the reports first were enough.
    enough: Option<Time>,
    /// When the segment was convicted; losses up to then convict it no more.
    convicted: Option<Time>,
}

impl Evidence {
    /// Adds a report. Returns the number of servers lost with the segment, or `None` if the end of this
    /// server was known.
    pub fn add(&mut self, segment: &Name, loss: Loss, now: Time) -> Option<usize> {
        self.suspects
            .retain(|s| now.saturating_sub(s.reported) < s.expiry());
        let at = match self.find(segment) {
            Ok(at) => at,
            Err(_) => {
                self.make_room();
                let at = self.suspects.partition_point(|s| s.segment < *segment);
                let suspect = Suspect {
                    segment: segment.clone(),
                    losses: Vec::new(),
                    reported: now,
                    enough: None,
                    convicted: None,
                };
                self.suspects.insert(at, suspect);
                at
            }
        };
        self.suspects[at].add(loss, now)
    }

    /// Drops the reports on a segment with which a request was answered; returns whether there were any.
    pub fn clear(&mut self, segment: &str) -> bool {
        let found = self.find(segment);
        found.map(|at| self.suspects.remove(at)).is_ok()
    }

    /// Records at `now` that a segment was convicted. Its losses still explain those of other segments.
    pub fn convicted(&mut self, segment: &str, now: Time) {
        if let Ok(at) = self.find(segment) {
            self.suspects[at].convicted = Some(now);
            self.suspects[at].enough = None;
        }
    }

    /// The segments to convict at `now`: none that a single request explains.
    pub fn verdicts(&self, now: Time) -> Vec<Verdict> {
        let is_due = |s: &&Suspect| {
            s.enough
                .is_some_and(|t| now.saturating_sub(t) >= OBJECTION_TIME)
        };
        let due = self.suspects.iter().filter(is_due);
        due.filter(|s| !self.is_explained(s))
            .map(|s| Verdict {
                segment: s.segment.clone(),
                servers: s.counted().map(|l| l.server.clone()).collect(),
            })
            .collect()
    }

    /// Whether all losses with a segment are those of one request, which says nothing of the segment.
    fn is_explained(&self, suspect: &Suspect) -> bool {
        let explains = |request: &&Suspect| suspect.losses.iter().all(|l| request.has(l));
        let mut requests = self.suspects.iter().filter(|s| is_request(&s.segment));
        !is_request(&suspect.segment) && requests.any(|r| explains(&r))
    }

    /// Number of segments with reports.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn find(&self, segment: &str) -> Result<usize, usize> {
        self.suspects
            .binary_search_by(|s| (*s.segment).cmp(segment))
    }

    /// Drops the segment with the fewest servers, of these the one reported first.
    fn make_room(&mut self) {
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let all = self.suspects.iter().enumerate();
        if let Some((at, _)) = all.min_by_key(|(_, s)| (s.losses.len(), s.reported)) {
            self.suspects.remove(at);
        }
    }
}

impl Suspect {
    fn add(&mut self, loss: Loss, now: Time) -> Option<usize> {
        self.reported = now;
        if self.has(&loss) {
            return None;
        }
        if self.losses.len() >= LOSSES_MAX {
            self.losses.remove(0);
        }
        let at = self.losses.partition_point(|l| l.lost <= loss.lost);
        self.losses.insert(at, loss);
        let count = self.counted().count();
        // Few requests are at more than one server at a time, so one event hardly ends all of these.
        let servers_min = match is_request(&self.segment) {
            true => REQUEST_SERVERS_MIN,
            false => SERVERS_MIN,
        };
        let is_enough = count >= servers_min || self.successive() >= SUCCESSIVE_MIN;
        if is_enough && self.enough.is_none() {
            self.enough = Some(now);
        }
        Some(count)
    }

    fn expiry(&self) -> Duration {
        match is_request(&self.segment) {
            true => REQUEST_EXPIRY,
            false => EXPIRY,
        }
    }

    fn has(&self, loss: &Loss) -> bool {
        let is_same = |l: &Loss| l.server == loss.server && l.start == loss.start;
        self.losses.iter().any(is_same)
    }

    /// The losses since the last conviction.
    fn counted(&self) -> impl Iterator<Item = &Loss> {
        let convicted = self.convicted;
        let losses = self.losses.iter();
        losses.filter(move |l| convicted.is_none_or(|t| l.lost > t))
    }

    /// Length of the longest sequence of losses in which each request was sent after the end before it.
    fn successive(&self) -> usize {
        let mut last = None;
        let mut count = 0;
        for loss in self.counted() {
            if last.is_none_or(|end| loss.sent >= end) {
                last = Some(loss.lost);
                count += 1;
            }
        }
        count
    }
}
