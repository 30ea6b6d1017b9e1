//! Times of the events of one attempt.

use crate::{clock::Time, gate::Observed, pass::LoadReport};
use std::time::Duration;

/// Events over which the mean time between events is taken, about: the last third of a second to a
/// second, so that a long attempt does not tell of the distant past.
const RECENT: u32 = 8;

/// Times of the events so far.
#[derive(Debug, Clone, Default)]
pub(super) struct Pace {
    first: Option<Time>,
    last: Time,
    gaps: u32,
    mean: Duration,
    /// The newest load report of the server and when it came.
    pub(super) load: Option<(LoadReport, Time)>,
}

impl Pace {
    /// Records an event at `now`.
    pub(super) fn note(&mut self, now: Time) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            let gap = now.saturating_sub(self.last);
            self.gaps = self.gaps.saturating_add(1);
            let weight = self.gaps.min(RECENT);
            self.mean = (self.mean * (weight - 1) + gap) / weight;
        }
        self.last = now;
    }

    /// What was observed of the attempt, which began at `began`; `None` without events.
    pub(super) fn observed(&self, began: Time) -> Option<Observed> {
        let first = self.first?;
        Some(Observed {
            first: Some(first.saturating_sub(began)),
            gap: (self.gaps > 0).then_some(self.mean),
            span: self.mean * self.gaps.min(RECENT),
            at: self.last,
            load: self.load,
        })
    }
}
