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
    validity: Duration,
    latest: Option<Time>,
    log_read: Option<Time>,
    is_unlisted: bool,
}

impl Default for Proof {
    fn default() -> Self {
        Self::valid_for(PROOF_MAX)
    }
}

impl Proof {
    /// No proof yet; one counts for `span`.
    pub fn valid_for(validity: Duration) -> Self {
        Self {
            validity,
            latest: None,
            log_read: None,
            is_unlisted: false,
        }
    }

    /// The log was read at its head by a read that began at `began`, here or at a peer.
    pub fn note_log_read(&mut self, began: Time) {
        if self.log_read.is_none_or(|l| l < began) {
            self.log_read = Some(began);
            self.is_unlisted = false;
        }
        self.latest = self.latest.max(Some(began));
    }

    /// The list accepted an announcement that was sent at `began`.
    pub fn note_announced(&mut self, began: Time) {
        let unbroken = self
            .latest
            .is_some_and(|g| began.saturating_sub(g) < self.validity);
        if unbroken && !self.is_unlisted {
            self.latest = self.latest.max(Some(began));
        }
    }

    /// A read of the list that began at `began` did not show this host. One before the last read of
    /// the log proves nothing any more.
    pub fn note_unlisted(&mut self, began: Time) {
        self.is_unlisted |= self.log_read.is_none_or(|l| began > l);
    }

    /// Whether the slots are certain to be held at `now`.
    pub fn is_valid(&self, now: Time) -> bool {
        self.latest
            .is_some_and(|g| now.saturating_sub(g) < self.validity)
    }
}
