//! Tokens that a slot lends at once after its holder restarts.
//!
//! After all hosts lose power, their callers return at once to hosts without tokens, and the whole
//! burst may have been spent before. Where the rate is judged in windows with a tolerance, half of
//! the tolerance is lent after the restart; the other half covers requests that reach servers after
//! they were counted, and a second restart within the window.

use super::{Share, split::SLOTS_MAX};
use std::time::Duration;

/// Units of `Share::rate` in one request a second.
const RATE_PARTS: f64 = 60.0 * 1_000_000.0;

/// How far the requests of a window may exceed what rate and burst allow; by default not at all.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Length of a window.
    pub window: Duration,
    /// Permitted excess, as a fraction of what rate and burst allow in a window.
    pub excess: f64,
    /// Further excess permitted to a workspace in a window, in requests.
    pub slack: u32,
}

impl Tolerance {
    /// Tokens with which a slot of `share` starts when its holder has restarted.
    pub fn initial_tokens(&self, share: Share) -> u32 {
        let rate = share.rate as f64 / RATE_PARTS;
        let allowed = rate * self.window.as_secs_f64() + f64::from(share.burst);
        let spare = self.excess * allowed + f64::from(self.slack) / f64::from(SLOTS_MAX);
        ((spare / 2.0) as u32).min(share.burst)
    }
}
