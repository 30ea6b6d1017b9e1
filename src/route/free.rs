//! Online requests go to servers with a free slot first, because they would preempt batch work at a full one.

use super::{
    choose::Candidate,
    state::{Routes, is_full},
};
use crate::clock::Time;

impl Routes {
    /// Marks the servers among `all` whose slots were all held, by their recent counts. A server without recent
    /// counts may have a free slot.
    pub fn mark_full(&self, all: &mut [Candidate], now: Time) {
        let stats = self.lock();
        for candidate in all {
            candidate.is_full = is_full(&stats, &candidate.name, now);
        }
    }
}
