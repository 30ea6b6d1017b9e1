//! Lenders that did not answer a report of used tokens lately.

use crate::{clock::Time, member::Backoff, wire::Name};
use std::time::Duration;

/// Time for which a lender that did not answer a report gets none.
const KEEP: Duration = Duration::from_secs(1);

/// Lenders to which no report is sent for now, since each would delay the reports to all others.
#[derive(Debug, Default)]
pub struct SilentLenders(Backoff);

impl SilentLenders {
    /// Notes that `lender` did not answer a report.
    pub fn note(&mut self, lender: Name, now: Time) {
        self.0.add(&lender, now, KEEP);
    }

    /// Whether `lender` did not answer a report within the last second.
    pub fn contains(&self, lender: &Name, now: Time) -> bool {
        self.0.contains(lender, now)
    }
}
