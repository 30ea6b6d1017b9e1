//! Pace at which a gate grants the requests of one server, by the limits in force.

use super::{
    cold::{GrantLimit, RECENT_MAX, RecentGrants, WINDOW, initial_tokens},
    throttle::{Throttle, burst_of},
};
use crate::clock::Time;
use std::time::Duration;

/// The token bucket of a server, if its requests are limited, and what it was granted lately.
#[derive(Debug, Clone, Default)]
pub(super) struct Pace {
    throttle: Option<Throttle>,
    recent: RecentGrants,
    /// Whether `recent` is left empty because no cold limit is known.
    is_untracked: bool,
    /// Time from which `recent` has all grants of the last second.
    complete_from: Time,
    /// Whether the limit is that of a cold server.
    is_cold: bool,
}

impl Pace {
    /// Limits the grants from `now` on to `stated` requests per second and by the limit of a cold server.
    pub(super) fn set(&mut self, stated: Option<f64>, cold: Option<GrantLimit>, now: Time) {
        let stated = stated.map(|rate| GrantLimit {
            rate,
            burst: burst_of(rate),
        });
        let turns_cold = cold.is_some() && !self.is_cold;
        self.is_cold = cold.is_some();
        let Some(limit) = cold.map(|c| c.with(stated)).or(stated) else {
            self.throttle = None;
            return;
        };
        let throttle = self
            .throttle
            .get_or_insert_with(|| Throttle::new(limit.rate, now));
        throttle.set_limit(limit.rate, limit.burst, now);
        if turns_cold {
            let recent = match now < self.complete_from {
                true => RECENT_MAX,
                false => self.recent.count(now),
            };
            throttle.drain_to(initial_tokens(limit, recent), now);
        }
    }

    /// Keeps the grants of the last second only if a cold limit may apply. The grants of the second before the
    /// first limit are not known, so as many as possible are assumed.
    pub(super) fn track(&mut self, is_tracked: bool, now: Time) {
        if is_tracked && self.is_untracked {
            self.complete_from = now + WINDOW;
        }
        if !is_tracked && !self.is_untracked {
            self.recent = RecentGrants::default();
        }
        self.is_untracked = !is_tracked;
    }

    /// Takes a token for an online request or for batch work, if there is one for it.
    pub(super) fn take(&mut self, now: Time, is_batch: bool) -> bool {
        let is_taken = self.throttle.as_mut().is_none_or(|t| t.take(now, is_batch));
        if is_taken && !self.is_untracked {
            self.recent.push(now);
        }
        is_taken
    }

    /// Returns the token of a request that was not sent.
    pub(super) fn refund(&mut self) {
        if let Some(throttle) = &mut self.throttle {
            throttle.refund();
        }
    }

    /// Time until there is a token; `None` if there is one.
    pub(super) fn delay(&self, now: Time, is_batch: bool) -> Option<Duration> {
        let delay = self.throttle.as_ref()?.delay(now, is_batch);
        Some(delay).filter(|d| !d.is_zero())
    }

    /// Whether the requests are limited.
    pub(super) fn is_limited(&self) -> bool {
        self.throttle.is_some()
    }
}
