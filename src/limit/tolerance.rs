//! What a slot lends at once after its holder started anew.
//!
//! Load it answers: all hosts lose power, and the callers of a whole wave come back to hosts whose
//! tokens are gone. What the earlier starts spent is not known, so that all of the burst may have gone.
//! Where the promise to callers is judged by windows with a tolerance, half of it is given to the new
//! start; the other half is for requests that reach servers later than they were counted, and for a
//! second start within the window.

use super::{Share, split::SLOTS_MAX};
use std::time::Duration;

/// Seconds of a minute times the parts of a rate.
const RATE_PARTS: f64 = 60.0 * 1_000_000.0;

/// How far the requests of a window may exceed the rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// Length of a window.
    pub window: Duration,
    /// Part of what rate and burst allow in a window by which it may be exceeded.
    pub excess: f64,
    /// Requests of a workspace by which it may be exceeded as well.
    pub slack: u32,
}

impl Tolerance {
    /// Tokens with which a new start of the holder of a slot with `share` begins.
    pub fn initial_tokens(&self, share: Share) -> u32 {
        let rate = share.rate as f64 / RATE_PARTS;
        let allowed = rate * self.window.as_secs_f64() + f64::from(share.burst);
        let spare = self.excess * allowed + f64::from(self.slack) / f64::from(SLOTS_MAX);
        ((spare / 2.0) as u32).min(share.burst)
    }
}
