//! Token bucket that throttles the requests sent to a server to the rate that the server states.

use crate::clock::Time;
use std::time::Duration;

/// Time at the full rate that the bucket holds.
const BURST: Duration = Duration::from_secs(1);
/// Longest delay that [`Throttle::delay`] returns.
const DELAY_MAX: Duration = Duration::from_secs(60);

/// The bucket of one server; one token is one request sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Throttle {
    /// Tokens per second.
    rate: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    tokens: f64,
    /// Time up to which the rate has been added.
    at: Time,
}

impl Throttle {
    /// An empty bucket that gains `rate` tokens per second. It is empty because requests that were not
    /// counted may have been sent just before.
    pub fn new(rate: f64, now: Time) -> Self {
        Self {
            rate,
            burst: burst_of(rate),
            tokens: 0.0,
            at: now,
        }
    }

    /// Changes the rate from `now` on, and the burst to what it gains in a second.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.set_limit(rate, burst_of(rate), now);
    }

    /// Changes the rate and the burst from `now` on; tokens beyond the new burst are dropped.
    pub fn set_limit(&mut self, rate: f64, burst: f64, now: Time) {
        self.advance(now);
        (self.rate, self.burst) = (rate, burst);
        self.tokens = self.tokens.min(burst);
    }

    /// Leaves at most `tokens` in the bucket; a negative number is a debt.
    pub fn drain_to(&mut self, tokens: f64, now: Time) {
        self.advance(now);
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes a token for an online request or for batch work, if there is one for it.
    pub fn take(&mut self, now: Time, is_batch: bool) -> bool {
        self.advance(now);
        let has_token = self.tokens >= self.needed(is_batch);
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the token of a request that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Time until there is a token, zero if there is one.
    pub fn delay(&self, now: Time, is_batch: bool) -> Duration {
        let missing = self.needed(is_batch) - self.tokens_at(now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        // Rounded up, so that the token is there after the delay.
        let delay = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(DELAY_MAX);
        delay.min(DELAY_MAX) + Duration::from_micros(1)
    }

    /// Tokens that there must be. Batch work takes one of a full bucket only, which would be lost otherwise.
    fn needed(&self, is_batch: bool) -> f64 {
        match is_batch {
            true => self.burst,
            false => 1.0,
        }
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let gain = self.rate * now.saturating_sub(self.at).as_secs_f64();
        (self.tokens + gain).min(self.burst)
    }

    fn advance(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.at = self.at.max(now);
    }
}

/// Tokens that a bucket of `rate` tokens per second holds, unless stated otherwise.
pub(super) fn burst_of(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}
