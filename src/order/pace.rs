//! Limits the rate of weight store reads over the fleet, without messages between hosts.

use crate::clock::Time;
use std::time::Duration;

/// Time since a load was last wanted after which a host counts as idle.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Spaces the loads that one host starts, so that all hosts together stay under a rate.
#[derive(Debug, Clone, Default)]
pub struct LoadPacer {
    /// Earliest start of the next load.
    due: Time,
    /// When a load was last wanted.
    wanted: Option<Time>,
}

impl LoadPacer {
    /// Whether a load may start at `now`, where `hosts` live hosts share `rate` loads a minute.
    /// `spread`, from 0 to 1, separates hosts that start to want loads at the same time.
    pub fn may_load(&mut self, now: Time, hosts: usize, rate: u64, spread: f64) -> bool {
        let gap = Duration::from_secs(60) * hosts.max(1) as u32 / rate.max(1) as u32;
        let is_idle = self.wanted.is_none_or(|t| t + gap.max(IDLE_TIME) < now);
        self.wanted = Some(now);
        if is_idle {
            self.due = self.due.max(now + gap.mul_f64(spread.clamp(0.0, 1.0)));
        }
        if now < self.due {
            return false;
        }
        self.due = now + gap;
        true
    }
}
