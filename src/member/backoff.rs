//! Hosts that are not called for a limited time.

use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Hosts that are not called until a time, for example because a call failed.
#[derive(Debug, Clone, Default)]
pub struct Backoff(Vec<(Name, Time)>);

impl Backoff {
    /// Adds `name` for `span` from `now`, in place of an earlier entry. Removes expired entries.
    pub fn add(&mut self, name: &Name, now: Time, span: Duration) {
        self.0.retain(|(n, until)| *until > now && n != name);
        self.0.push((name.clone(), now + span));
    }

    /// Whether `name` is not to be called at `now`.
    pub fn contains(&self, name: &str, now: Time) -> bool {
        self.0.iter().any(|(n, until)| **n == *name && *until > now)
    }
}
