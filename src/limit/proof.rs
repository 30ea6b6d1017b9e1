//! Proof that a host still holds its slots.

use super::PROOF_MAX;
use crate::clock::Time;
use std::time::Duration;

/// The last proof that nobody else holds this host's slots.
///
/// A read of the log at its head is proof. While the log cannot be read, so is an announcement
/// accepted by the platform's list, because slots are claimed only from hosts that the list does
/// not show; but only in an unbroken sequence since the last read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Age at which a proof expires.
    validity: Duration,
    latest: Option<Time>,
    log_read: Option<Time>,
    /// Whether the list has not shown this host since `log_read`.
    is_unlisted: bool,
}

impl Default for Proof {
    fn default() -> Self {
        Self::valid_for(PROOF_MAX)
    }
}

impl Proof {
    /// No proof yet; each one is valid for `validity`.
    pub fn valid_for(validity: Duration) -> Self {
        Self {
            validity,
            latest: None,
            log_read: None,
            is_unlisted: false,
        }
    }

    /// Records a read of the log at its head that began at `began`, here or at a peer.
    pub fn note_log_read(&mut self, began: Time) {
        if self.log_read.is_none_or(|l| l < began) {
            self.log_read = Some(began);
            self.is_unlisted = false;
        }
        self.latest = self.latest.max(Some(began));
    }

    /// Records that the list accepted an announcement sent at `began`.
    pub fn note_announced(&mut self, began: Time) {
        let unbroken = self
            .latest
            .is_some_and(|g| began.saturating_sub(g) < self.validity);
        if unbroken && !self.is_unlisted {
            self.latest = self.latest.max(Some(began));
        }
    }

    /// Records that a read of the list that began at `began` did not show this host. Ignored if it
    /// began before the last read of the log.
    pub fn note_unlisted(&mut self, began: Time) {
        self.is_unlisted |= self.log_read.is_none_or(|l| began > l);
    }

    /// Whether the latest proof is still valid at `now`, so that this host may lend.
    pub fn is_valid(&self, now: Time) -> bool {
        self.latest
            .is_some_and(|g| now.saturating_sub(g) < self.validity)
    }
}
