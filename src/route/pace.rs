//! Times of the events of one attempt.

use crate::{clock::Time, gate::Observed, pass::LoadReport};

/// Times between events of which the mean is taken: the last third of a second to a second or two, so that a
/// long attempt does not tell of the distant past.
const RECENT: usize = 8;

/// Times of the events so far.
#[derive(Debug, Clone, Default)]
pub(super) struct Pace {
    first: Option<Time>,
    /// The last events, in a ring; the oldest is overwritten.
    recent: [Time; RECENT + 1],
    count: usize,
    /// The newest load report of the server and when it came.
    pub(super) load: Option<(LoadReport, Time)>,
}

impl Pace {
    /// Records an event at `now`.
    pub(super) fn note(&mut self, now: Time) {
        self.first.get_or_insert(now);
        self.recent[self.count % self.recent.len()] = now;
        self.count += 1;
    }

    /// What was observed of the attempt, which began at `began`; `None` without events.
    pub(super) fn observed(&self, began: Time) -> Option<Observed> {
        let (first, newest) = (self.first?, self.count - 1);
        let gaps = newest.min(RECENT);
        let time = |event: usize| self.recent[event % self.recent.len()];
        // The gate compares the mean with the concurrency in just this span; a mean that also contains earlier
        // times takes a change of the concurrency for one of the server's speed.
        let span = time(newest).saturating_sub(time(newest - gaps));
        Some(Observed {
            first: Some(first.saturating_sub(began)),
            gap: (gaps > 0).then(|| span / gaps as u32),
            span,
            at: time(newest),
            load: self.load,
        })
    }
}
