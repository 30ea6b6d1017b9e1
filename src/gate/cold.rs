//! Decides for how long a server counts as cold, and how many requests it may receive meanwhile.
//!
//! A server that has just started accepts few requests per second and crashes above that. Its entry in
//! the configuration tells for how long, but a server may be back before its entry says so. A refused
//! connection or a truncated response therefore makes it suspected.

use super::limit::Role;
use crate::{clock::Time, wire::Name};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};

/// Tokens that the bucket of a cold server holds at its gate, and at a host that stands in for the gate.
/// In any second, a gate and two stand-ins grant at most 1 + 2 x 0.25 times the rate plus these 2 + 2 x 1
/// tokens. Callers allow 1.5 times the rate plus 5 requests; what is left covers uneven delivery.
const GATE_BURST: f64 = 2.0;
const SHARED_BURST: f64 = 1.0;
/// Time after which a suspicion ends if the server got no request meanwhile. It is longer than most
/// ejections; the entry of a server that is back after that says whether it is cold.
const UNUSED_MAX: Duration = Duration::from_secs(30);
/// Time for which a repeated suspicion changes nothing if the server was granted no request meanwhile: the
/// attempts under way at a server that ends fail together.
const REPEAT_MIN: Duration = Duration::from_millis(200);
/// Length of the windows in which requests are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(1);
/// Most grants of a window that are remembered.
pub(super) const RECENT_MAX: usize = 1024;

/// What the cold servers of a service accept, as configured by the operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Service.
    pub service: Name,
    /// Time from its start for which a server is cold.
    pub span: Duration,
    /// Requests per second that a cold server accepts; above zero.
    pub rate: f64,
}

impl ColdLimit {
    /// Whether the span is above zero and the rate is a number above zero.
    pub fn is_valid(&self) -> bool {
        !self.span.is_zero() && self.rate.is_finite() && self.rate > 0.0
    }
}

/// Limit on the requests that a gate grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GrantLimit {
    /// Requests per second.
    pub rate: f64,
    /// Tokens that the bucket holds, at least one.
    pub burst: f64,
}

impl GrantLimit {
    /// A limit on a cold server that accepts `rate` requests per second, granted as `role`.
    pub fn cold(rate: f64, role: Role) -> Self {
        Self {
            rate: role.granted_rate(rate),
            burst: match role {
                Role::Gate => GATE_BURST,
                Role::Standby | Role::Alone(_) => SHARED_BURST,
            },
        }
    }

    /// The limit that holds this one and `other`.
    pub fn with(self, other: Option<Self>) -> Self {
        other.map_or(self, |other| Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        })
    }
}

/// What an entry tells of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdEntry {
    /// Version of the entry, higher for a newer one; repeated reads have the same.
    pub version: u64,
    /// A time after which the entry was written.
    pub written_after: Time,
    /// Until when the server is cold.
    pub until: Time,
}

/// A suspicion that a server has started again.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Suspicion {
    /// When it was raised last.
    at: Time,
    /// The first request after that which the server may have received, and when it was granted.
    granted: Option<(Time, Name)>,
}

impl Suspicion {
    /// A server that is down may start at any time, and is cold from then on. It has started when it gets
    /// the first request that it does not refuse.
    fn until(&self, span: Duration) -> Time {
        match &self.granted {
            Some((at, _)) => at.saturating_add(span),
            None => self.at.saturating_add(UNUSED_MAX),
        }
    }
}

/// What is known of one server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ColdState {
    entry: Option<ColdEntry>,
    suspicion: Option<Suspicion>,
}

impl ColdState {
    /// Records an entry, if it is newer than the last. One that was written after the suspicion ends it.
    /// Returns whether the entry is newer.
    pub fn note_entry(&mut self, entry: ColdEntry) -> bool {
        if self.entry.is_some_and(|e| e.version >= entry.version) {
            return false;
        }
        self.entry = Some(entry);
        self.suspicion.take_if(|s| s.at < entry.written_after);
        true
    }

    /// Records that the server may have started again at `at`. Returns whether that changes the end of the
    /// cold period: it is later than the newest entry, and the last suspicion does not cover it.
    pub fn suspect(&mut self, at: Time) -> bool {
        // A host that has just started has zero for what is older than its clock.
        let is_answered = self.entry.is_some_and(|e| e.written_after > at);
        let covers = |s: &Suspicion| {
            s.at >= at || (s.granted.is_none() && at < s.at.saturating_add(REPEAT_MIN))
        };
        let is_known = self.suspicion.as_ref().is_some_and(covers);
        if is_answered || is_known {
            return false;
        }
        self.suspicion = Some(Suspicion { at, granted: None });
        true
    }

    /// Records that the server was granted the request of the attempt `id` at `at`.
    pub fn note_granted(&mut self, id: &Name, at: Time) {
        if let Some(suspicion) = self.suspicion.as_mut().filter(|s| at >= s.at) {
            suspicion.granted.get_or_insert_with(|| (at, id.clone()));
        }
    }

    /// Records that the attempt `id` was not sent to the server. The cold period then starts with the next
    /// request, also if another one was granted meanwhile.
    pub fn note_unsent(&mut self, id: &Name) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.granted.take_if(|(_, granted)| granted == id);
        }
    }

    /// Whether the server counts as cold at `now`, if its service's servers are cold for `span`.
    pub fn is_cold(&self, span: Duration, now: Time) -> bool {
        self.entry.is_some_and(|e| now < e.until) || self.suspected(span, now).is_some()
    }

    /// Whether neither an entry nor a suspicion is known.
    pub fn is_unknown(&self) -> bool {
        self.entry.is_none() && self.suspicion.is_none()
    }

    /// When the suspicion that is in force at `now` was raised.
    pub fn suspected(&self, span: Duration, now: Time) -> Option<Time> {
        let suspicion = self.suspicion.as_ref().filter(|s| now < s.until(span));
        suspicion.map(|s| s.at)
    }

    /// The newest entry.
    pub fn entry(&self) -> Option<ColdEntry> {
        self.entry
    }
}

/// The grants of the last second.
#[derive(Debug, Clone, Default)]
pub struct RecentGrants(VecDeque<Time>);

impl RecentGrants {
    /// Records a grant.
    pub fn push(&mut self, now: Time) {
        self.prune(now);
        if self.0.len() < RECENT_MAX {
            self.0.push_back(now);
        }
    }

    /// Number of grants in the second before `now`.
    pub fn count(&mut self, now: Time) -> usize {
        self.prune(now);
        self.0.len()
    }

    fn prune(&mut self, now: Time) {
        while self.0.front().is_some_and(|at| *at + WINDOW <= now) {
            self.0.pop_front();
        }
    }
}

/// Tokens of a bucket at the moment at which its server turns cold, after `recent` grants in the last
/// second. What was granted before counts, so that no window across that moment exceeds the limit. After
/// a second none of these grants is in a window any more, so the debt is one second's gain at most.
pub fn initial_tokens(limit: GrantLimit, recent: usize) -> f64 {
    let gain = limit.rate.max(0.0);
    (limit.burst - recent as f64).min(0.0).max(-gain)
}
