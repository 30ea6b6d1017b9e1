//! Concurrency limit and speed of one backend server, learned at its gate.
//!
//! Addresses servers of one service that differ in speed, share their machines with other work and may
//! slow down long before all slots are in use. The time between events at each concurrency is a speed,
//! which changes within a second, times a shape, which hardly changes (`levels`). By Little's law the throughput at
//! a concurrency is the concurrency divided by that time; the limit moves to a concurrency with a
//! clearly better throughput. A change of speed alone does not move it.

use super::{levels::Levels, trial::Trials};
use crate::{clock::Time, pass::LoadReport};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};

/// Part by which the usual percentage of load reports follows.
const USUAL_WEIGHT: f64 = 0.35;
/// Part by which the mean percentage of reports of any age follows; it stands in for a fresh one.
const REPORTED_WEIGHT: f64 = 0.05;
/// Part by which the ratio of the first event to the others follows.
const FIRST_WEIGHT: f64 = 0.1;
/// Part of the deviation of a first event that counts if there is no time between events; it depends on the
/// prompt as well. Beside a time between events it is not used: a long attempt began at another concurrency.
const FIRST_SHARE: f64 = 0.25;
/// Samples before the limit may leave the server's slots, and before the speed is told.
const SAMPLES_MIN: u32 = 8;
/// Least gain of throughput for which the limit falls, and for which it rises. Noise makes lower levels
/// look up to a tenth better than they are.
const GAINS: (f64, f64) = (1.12, 1.03);
/// Part of the way to its target that the limit moves with a sample.
const LIMIT_WEIGHT: f64 = 0.2;
/// Distance from the limit in force at which it changes by one; above a half, so that it does not alternate.
const HYSTERESIS: f64 = 0.75;
/// Least time between two changes of the limit.
const CHANGE_MIN: Duration = Duration::from_millis(250);
/// Time without samples after which the limit returns to the slots.
const FORGET: Duration = Duration::from_secs(120);
/// Part of the present throughput from which a lower concurrency is tried often.
const PROMISING: f64 = 0.9;
/// Span of the history of the concurrency, and most entries of it.
const HISTORY: Duration = Duration::from_secs(10);
const HISTORY_MAX: usize = 512;
/// Age at which a load report says nothing any more. Noisy neighbours come and go within 600 ms.
pub const HINT_AGE: Duration = Duration::from_millis(300);
/// Largest factor by which a load report changes the expected time.
pub const HINT_MAX: f64 = 2.0;
/// Shortest time that is told apart.
const SHORTEST: Duration = Duration::from_micros(1);
/// Longest time that a sample counts with.
const LONGEST_S: f64 = 600.0;

/// What the holder of a slot observed of an attempt that ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// From sending the request to the first event.
    pub first: Option<Duration>,
    /// Recent mean time between events.
    pub gap: Option<Duration>,
    /// Time before the last event that the mean covers.
    pub span: Duration,
    /// Time since the last event.
    pub age: Duration,
    /// The newest load report of the server and the time since.
    pub load: Option<(LoadReport, Duration)>,
}

/// Speed of a server as its gate estimates it. All times are in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Speed {
    /// Time to the first event with one request running.
    pub first: u32,
    /// Time between events with one request running.
    pub step: u32,
    /// The same with as many requests as the learned limit.
    pub knee: u32,
    /// The same with all slots in use.
    pub full: u32,
    /// Learned concurrency limit.
    pub limit: u32,
    /// Mean percentage that load reports stated while the speed was learned.
    pub usual: u32,
    /// Percentage of the expected time that work takes now by a fresh load report, and the time since in
    /// milliseconds.
    pub hint: Option<(u32, u32)>,
}

/// The estimator of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct Learned {
    slots: u32,
    /// Start number of the server; zero if unknown.
    start: u64,
    levels: Levels,
    /// Logarithm of the time to the first event by the time between events.
    first: Option<f64>,
    samples: u32,
    sampled_at: Time,
    limit: f64,
    applied: u32,
    changed_at: Time,
    /// Requests running since each time, oldest first.
    running: VecDeque<(Time, u32)>,
    trials: Trials,
    /// Mean of the percentages that load reports stated when the samples were taken.
    usual: f64,
    report: Option<(LoadReport, Time)>,
    /// Mean of the percentages of all reports. One comes with the head of an answer, and is seldom fresh when
    /// the attempt has ended.
    reported: f64,
}

impl Learned {
    /// Knows nothing of a server with `slots` slots, which are its limit; zero counts as one.
    pub fn new(slots: u32, now: Time) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            start: 0,
            levels: Levels::new(slots),
            first: None,
            samples: 0,
            sampled_at: now,
            limit: f64::from(slots),
            applied: slots,
            changed_at: now,
            running: VecDeque::new(),
            trials: Trials::new(now),
            usual: 100.0,
            report: None,
            reported: 100.0,
        }
    }

    /// Begins again if the number of slots or the start number of the server changed: a restarted server may
    /// run on another machine. Start number zero is unknown and changes nothing.
    pub fn follow_server(&mut self, slots: u32, start: u64, now: Time) {
        let is_restart = start != 0 && self.start != 0 && start != self.start;
        if slots.max(1) != self.slots || is_restart {
            let running = std::mem::take(&mut self.running);
            *self = Self {
                running,
                start: self.start,
                ..Self::new(slots, now)
            };
        }
        if start != 0 {
            self.start = start;
        }
    }

    /// Returns the limit to the slots if no sample arrived for `FORGET`: samples come only from attempts
    /// that hosts observe, and a limit that nothing confirms must not hold slots back.
    pub fn expire(&mut self, now: Time) {
        if self.applied != self.slots && now.saturating_sub(self.sampled_at) >= FORGET {
            (self.limit, self.applied) = (f64::from(self.slots), self.slots);
            self.changed_at = now;
        }
    }

    /// Least limit of a server with `slots` slots.
    pub fn floor(slots: u32) -> u32 {
        (slots / 4).max(2).min(slots.max(1))
    }

    /// Concurrency limit, from [`Learned::floor`] to the slots.
    pub fn limit(&self) -> u32 {
        self.applied
    }

    /// Requests up to which batch work is granted at `now`: the limit, or less during a trial.
    pub fn batch_limit(&self, now: Time) -> u32 {
        let dip = if self.trials.is_on(now) {
            self.dip()
        } else {
            0
        };
        self.applied
            .saturating_sub(dip)
            .max(Self::floor(self.slots))
    }

    fn dip(&self) -> u32 {
        (self.slots / 4).max(1)
    }

    /// Records how many requests run from `now` on.
    pub fn note_running(&mut self, now: Time, count: u32) {
        if self.running.back().is_some_and(|(_, last)| *last == count) {
            return;
        }
        let is_old = |next: Option<&(Time, u32)>| next.is_some_and(|(at, _)| *at + HISTORY < now);
        while self.running.len() >= HISTORY_MAX || is_old(self.running.get(1)) {
            self.running.pop_front();
        }
        self.running.push_back((now, count));
    }

    /// Learns from a sample that arrived at `now`; `true` if the limit changed.
    pub fn learn(&mut self, now: Time, sample: &Sample) -> bool {
        if let Some((report, age)) = sample.load {
            self.note_report(report, now.saturating_sub(age));
            let percent = report.percent.map_or(100.0, bounded);
            self.reported += REPORTED_WEIGHT * (percent - self.reported);
        }
        let seconds = |time: Duration| {
            time.as_secs_f64()
                .clamp(SHORTEST.as_secs_f64(), LONGEST_S)
                .ln()
        };
        let (gap, first) = (sample.gap.map(seconds), sample.first.map(seconds));
        let end = now.saturating_sub(sample.age);
        let start = end.saturating_sub(sample.span);
        if self.samples == 0 {
            // Without a time between events there is nothing to compare with.
            let Some(gap) = gap else { return false };
            self.levels.fill(gap);
        }
        let parts = self.parts(start, end);
        let seconds: f64 = parts.iter().map(|(_, seconds)| seconds).sum();
        let mean = parts.iter().map(|(count, s)| count * s).sum::<f64>() / seconds;
        let at = self.level(mean);
        let span = self
            .levels
            .span(parts.iter().map(|(c, s)| (self.level(*c), *s)));
        let by_first = first.zip(self.first).map(|(f, ratio)| f - ratio);
        let deviation = match (gap, by_first) {
            (Some(gap), _) => gap - span.expected,
            (None, Some(first)) => FIRST_SHARE * (first - span.expected),
            (None, None) => return false,
        };
        if let (Some(first), Some(gap)) = (first, gap) {
            let ratio = first - gap;
            self.first = Some(self.first.map_or(ratio, |r| r + FIRST_WEIGHT * (ratio - r)));
        }
        let idle = now.saturating_sub(self.sampled_at).min(FORGET);
        self.sampled_at = self.sampled_at.max(now);
        self.samples = self.samples.saturating_add(1);
        self.levels.adjust(&span, at, deviation, idle);
        let percent = self.fresh_percent(now).unwrap_or(self.reported);
        self.usual += USUAL_WEIGHT * (percent - self.usual);
        let is_changed = self.move_limit(now);
        let lower = self.level(f64::from(self.applied.saturating_sub(self.dip())));
        let enough = PROMISING * self.levels.throughput(self.level(f64::from(self.applied)));
        let is_promising = (0..=lower).any(|at| self.levels.throughput(at) >= enough);
        self.trials.follow(now, start, at <= lower, is_promising);
        is_changed
    }

    /// Speed to tell to hosts; `None` while too little is known.
    pub fn speed(&self, now: Time) -> Option<Speed> {
        if self.samples < SAMPLES_MIN {
            return None;
        }
        let micros = |level: f64| (level.exp() * 1e6).clamp(1.0, f64::from(u32::MAX)) as u32;
        let levels = &self.levels;
        let (step, full) = (levels.log(0), levels.log(levels.count() - 1));
        Some(Speed {
            first: micros(step + self.first.unwrap_or_default()),
            step: micros(step),
            knee: micros(levels.log(self.level(f64::from(self.applied)))),
            full: micros(full),
            limit: self.applied,
            usual: self.usual as u32,
            hint: self.hint(now),
        })
    }

    /// Speed as of the last sample, and the time since.
    pub fn estimate(&self, now: Time) -> Option<(Speed, Duration)> {
        let speed = self.speed(self.sampled_at)?;
        Some((speed, now.saturating_sub(self.sampled_at)))
    }

    /// Percentage of the expected time by a fresh load report and its age in milliseconds. It is relative
    /// to the reports under which the speed was learned, so that nothing counts twice.
    fn hint(&self, now: Time) -> Option<(u32, u32)> {
        let percent = self.fresh_percent(now)?;
        let factor = (percent / self.usual).clamp(1.0 / HINT_MAX, HINT_MAX);
        let age = now.saturating_sub(self.report?.1);
        Some(((factor * 100.0) as u32, age.as_millis() as u32))
    }

    fn fresh_percent(&self, now: Time) -> Option<f64> {
        let (report, at) = self.report?;
        let percent = bounded(report.percent?);
        (now.saturating_sub(at) < HINT_AGE).then_some(percent)
    }

    /// Records what the server reported at `at`.
    pub fn note_report(&mut self, report: LoadReport, at: Time) {
        if self.report.is_none_or(|(_, last)| last <= at) {
            self.report = Some((report, at));
        }
    }

    /// Numbers of requests that ran from `start` to `end` as far as they are known, each with its seconds; never empty.
    fn parts(&self, start: Time, end: Time) -> Vec<(f64, f64)> {
        let mut parts = Vec::new();
        let mut until = end.max(start + SHORTEST);
        for (at, count) in self.running.iter().rev() {
            let time = until.saturating_sub((*at).max(start));
            if !time.is_zero() {
                parts.push((f64::from(*count), time.as_secs_f64()));
            }
            until = until.min(*at);
            if *at <= start {
                break;
            }
        }
        if parts.is_empty() {
            let oldest = self.running.front().map_or(1, |(_, count)| *count);
            parts.push((f64::from(oldest), SHORTEST.as_secs_f64()));
        }
        parts
    }

    /// Index of the level for `running` requests.
    fn level(&self, running: f64) -> usize {
        let count = self.levels.count();
        let at = running * count as f64 / f64::from(self.slots);
        (at.round() as usize).clamp(1, count) - 1
    }

    fn move_limit(&mut self, now: Time) -> bool {
        if self.samples < SAMPLES_MIN {
            return false;
        }
        let count = self.levels.count();
        let now_at = self.level(f64::from(self.applied));
        let by_throughput = |a: &usize, b: &usize| {
            let levels = &self.levels;
            levels.throughput(*a).total_cmp(&levels.throughput(*b))
        };
        let best = (0..count).max_by(by_throughput).unwrap_or(now_at);
        let margin = if best < now_at { GAINS.0 } else { GAINS.1 };
        let target = match self.levels.throughput(best) > margin * self.levels.throughput(now_at) {
            // Upwards one by one, as more is known of lower levels.
            true => (best.min(now_at + 1) + 1) as f64 * f64::from(self.slots) / count as f64,
            false => f64::from(self.applied),
        };
        self.limit += LIMIT_WEIGHT * (target - self.limit);
        let distance = self.limit - f64::from(self.applied);
        if distance.abs() < HYSTERESIS || now.saturating_sub(self.changed_at) < CHANGE_MIN {
            return false;
        }
        let next = (self.limit.round() as u32).clamp(Self::floor(self.slots), self.slots);
        let is_changed = next != self.applied;
        (self.applied, self.changed_at) = (next, now);
        is_changed
    }
}

fn bounded(percent: u32) -> f64 {
    f64::from(percent.clamp(1, 10_000))
}
