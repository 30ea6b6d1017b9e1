//! Trials of a lower concurrency at a server that batch work keeps full.
//!
//! Without variation of the concurrency nothing shows whether a server slows down before it is full. A
//! trial grants no batch work above a lower concurrency until a few attempts were observed there.

use crate::clock::Time;
use std::time::Duration;

/// Time between two trials; it doubles from the first to the second while a lower concurrency promises
/// little. A trial costs an even server a fifth of its throughput for some seconds.
const EVERY: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(64));
/// Longest trial. Batch work runs for some ten seconds at a slow server, and only its end frees slots.
const LENGTH_MAX: Duration = Duration::from_secs(10);
/// Samples at a lower concurrency that suffice.
const ENOUGH: u32 = 4;

/// The trials at one server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Trials {
    /// Start of the trial under way.
    began: Option<Time>,
    /// When the next one begins.
    next: Time,
    every: Duration,
    /// Samples at a lower concurrency in the trial under way, else since the last one.
    samples: u32,
}

impl Trials {
    /// No trial yet.
    pub(super) fn new(now: Time) -> Self {
        Self {
            began: None,
            next: now + EVERY.0,
            every: EVERY.0,
            samples: 0,
        }
    }

    /// Whether a trial is under way at `now`. Its time also ends when no sample arrives.
    pub(super) fn is_on(&self, now: Time) -> bool {
        self.began.is_some_and(|began| now < began + LENGTH_MAX)
    }

    /// Begins and ends trials at a sample that covers the time since `start`, `is_lower` if at a lower
    /// concurrency. `is_promising` tells whether the next trial is worth while.
    pub(super) fn follow(&mut self, now: Time, start: Time, is_lower: bool, is_promising: bool) {
        // What was observed from before the trial tells of the usual concurrency, too.
        let is_counted = is_lower && self.began.is_none_or(|began| start >= began);
        self.samples += u32::from(is_counted);
        let is_enough = self.samples >= ENOUGH;
        let is_over = match self.began {
            Some(_) => is_enough || !self.is_on(now),
            // The load itself varies enough.
            None => is_enough && now >= self.next,
        };
        if is_over {
            self.every = match is_promising {
                true => EVERY.0,
                false => (self.every * 2).min(EVERY.1),
            };
            (self.began, self.samples, self.next) = (None, 0, now + self.every);
        } else if self.began.is_none() && now >= self.next {
            (self.began, self.samples) = (Some(now), 0);
        }
    }
}
