//! Lenders that did not answer a report of used tokens lately.

use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Time for which a lender that did not answer a report gets none.
const KEEP: Duration = Duration::from_secs(1);

/// Lenders to which no report is sent for now, since each would delay the reports to all others.
#[derive(Debug, Default)]
pub struct SilentLenders(Vec<(Name, Time)>);

impl SilentLenders {
    /// Notes that `lender` did not answer a report.
    pub fn note(&mut self, lender: Name, now: Time) {
        self.0.retain(|(name, _)| *name != lender);
        self.0.push((lender, now));
    }

    /// Whether `lender` did not answer a report within the last second.
    pub fn contains(&mut self, lender: &Name, now: Time) -> bool {
        self.0.retain(|(_, at)| now < *at + KEEP);
        self.0.iter().any(|(name, _)| name == lender)
    }
}
