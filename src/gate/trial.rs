//! Trials of a lower concurrency at a server that batch work keeps full.
//!
//! Without variation of the concurrency nothing shows whether a server slows down before it is full. A
//! trial grants no batch work above a lower concurrency until a few attempts ended there.

use crate::clock::Time;
use std::{collections::VecDeque, time::Duration};

/// Time between two trials; it doubles from the first to the second while a lower concurrency promises
/// little. A trial costs an even server a fifth of its throughput for some seconds.
const EVERY: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(64));
/// Longest trial. Batch work runs for some ten seconds at a slow server, and only its end frees slots.
const LENGTH_MAX: Duration = Duration::from_secs(10);
/// Samples at a lower concurrency that suffice.
const ENOUGH: u32 = 4;
/// Samples before a trial that are compared, and the least on either side.
const COMPARED: usize = 7;
const COMPARED_MIN: usize = 3;

/// Level of concurrency, and the logarithm of the seconds between events.
pub(super) type Point = (usize, f64);

/// The trials at one server.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Trials {
    /// End of the trial under way.
    until: Option<Time>,
    /// When the next one begins.
    next: Time,
    every: Duration,
    /// Samples at a lower concurrency since the last one.
    samples: u32,
    /// The last samples, before and in the trial.
    before: VecDeque<Point>,
    during: Vec<Point>,
}

impl Trials {
    /// No trial yet.
    pub(super) fn new(now: Time) -> Self {
        Self {
            until: None,
            next: now + EVERY.0,
            every: EVERY.0,
            samples: 0,
            before: VecDeque::new(),
            during: Vec::new(),
        }
    }

    /// Whether a trial is under way at `now`. Its time also ends when no sample arrives.
    pub(super) fn is_on(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Begins and ends trials of the level `lower` at a sample at the level `at`; returns the medians in
    /// and before one that ended. `is_promising` tells whether the next is worth while.
    pub(super) fn follow(
        &mut self,
        now: Time,
        at: usize,
        gap: Option<f64>,
        lower: usize,
        is_promising: bool,
    ) -> Option<(Point, Point)> {
        self.samples += u32::from(at <= lower);
        let point = gap.map(|gap| (at, gap));
        match self.until.is_some() {
            true => self.during.extend(point.filter(|_| at <= lower)),
            false => self.before.extend(point),
        }
        if self.before.len() > COMPARED {
            self.before.pop_front();
        }
        let is_enough = self.samples >= ENOUGH;
        let is_over = match self.until {
            Some(until) => is_enough || now >= until,
            // The load itself varies enough.
            None => is_enough && now >= self.next,
        };
        if !is_over {
            if self.until.is_none() && now >= self.next {
                self.until = Some(now + LENGTH_MAX);
            }
            return None;
        }
        self.every = match is_promising {
            true => EVERY.0,
            false => (self.every * 2).min(EVERY.1),
        };
        (self.until, self.samples, self.next) = (None, 0, now + self.every);
        let during = std::mem::take(&mut self.during);
        let before: Vec<Point> = self.before.drain(..).collect();
        let is_known = during.len() >= COMPARED_MIN && before.len() >= COMPARED_MIN;
        is_known.then(|| (median(during), median(before)))
    }
}

/// Medians of levels and logarithms, which leave out short slowdowns; there is at least one point.
fn median(mut points: Vec<Point>) -> Point {
    let middle = points.len() / 2;
    points.sort_by(|a, b| a.1.total_cmp(&b.1));
    let log = points[middle].1;
    points.sort_by_key(|p| p.0);
    (points[middle].0, log)
}
