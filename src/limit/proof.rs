//! What a host knows of still holding its slots.

use super::PROOF_MAX;
use crate::clock::Time;
use std::time::Duration;

/// The last proof that nobody else holds this host's slots.
///
/// A read of the log at its head proves it. While the log cannot be read, an announcement that the
/// platform's list accepted does as well, because others claim the slots only of hosts that the
/// list does not show; but only in an unbroken row since the last read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Age of the last proof after which it does not count.
    span: Duration,
    good: Option<Time>,
    log: Option<Time>,
    unlisted: bool,
}

impl Default for Proof {
    fn default() -> Self {
        Self::lasting(PROOF_MAX)
    }
}

impl Proof {
    /// No proof yet; one counts for `span`.
    pub fn lasting(span: Duration) -> Self {
        Self {
            span,
            good: None,
            log: None,
            unlisted: false,
        }
    }

    /// The log was read at its head by a read that began at `began`, here or at a peer.
    pub fn log(&mut self, began: Time) {
        if self.log.is_none_or(|l| l < began) {
            self.log = Some(began);
            self.unlisted = false;
        }
        self.good = self.good.max(Some(began));
    }

    /// The list accepted an announcement that was sent at `began`.
    pub fn announced(&mut self, began: Time) {
        let unbroken = self
            .good
            .is_some_and(|g| began.saturating_sub(g) < self.span);
        if unbroken && !self.unlisted {
            self.good = self.good.max(Some(began));
        }
    }

    /// A read of the list that began at `began` did not show this host. One before the last read of
    /// the log proves nothing any more.
    pub fn missing(&mut self, began: Time) {
        self.unlisted |= self.log.is_none_or(|l| began > l);
    }

    /// Whether the slots are certain to be held at `now`.
    pub fn holds(&self, now: Time) -> bool {
        self.good.is_some_and(|g| now.saturating_sub(g) < self.span)
    }
}
