//! Speeds of servers as one host knows them, and the length of its online answers.

use super::expected::{Expected, Load, assume, expected};
use crate::{
    clock::Time,
    gate::{Slot, Speed, ToldSpeed},
    kernel::Host,
    pass::{LoadReport, LoadStatement},
    wire::Name,
};
use rand::{Rng, seq::IndexedRandom};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// Age at which a speed is forgotten. A server whose gate is silent for longer is taken for an average one.
const SPEED_AGE: Duration = Duration::from_secs(30);
/// Age at which a load report has no effect any more.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Least time between two log lines about invalid load reports.
const LOG_EVERY: Duration = Duration::from_secs(10);
/// Longest part of an invalid value in the log, in characters.
const QUOTED_MAX: usize = 40;
/// Part by which the mean length of online answers follows.
const EVENTS_WEIGHT: f32 = 0.05;
/// Longest answer that counts, in events.
const EVENTS_MAX: u32 = 10_000;

/// Speeds of servers, sorted by name.
#[derive(Debug, Default)]
pub struct Speeds {
    known: Mutex<Vec<(Name, Speed, Time)>>,
    /// Mean number of events of online answers.
    events: Mutex<f32>,
    logged: Mutex<Option<Time>>,
    /// Percentages of the load reports that this host read itself, and when.
    reports: Mutex<Vec<(Name, u32, Time)>>,
}

impl Speeds {
    /// Records speeds told at `now`, unless newer ones are known.
    pub fn learn(&self, now: Time, told: &[ToldSpeed]) {
        if told.is_empty() {
            return;
        }
        let mut known = self.lock();
        for ToldSpeed { server, speed, age } in told.iter().filter(|t| t.age < SPEED_AGE) {
            let at = now.saturating_sub(*age);
            match known.binary_search_by(|k| k.0.cmp(server)) {
                Ok(i) if known[i].2 <= at => known[i] = (server.clone(), *speed, at),
                Ok(_) => {}
                Err(i) => known.insert(i, (server.clone(), *speed, at)),
            }
        }
        known.retain(|k| now.saturating_sub(k.2) < SPEED_AGE);
    }

    /// Up to `most` speeds at random, to tell to another host.
    pub fn some<R: Rng>(&self, now: Time, most: usize, rng: &mut R) -> Vec<ToldSpeed> {
        let known = self.lock();
        let chosen = known.choose_multiple(rng, most);
        let told = chosen.map(|(server, speed, at)| ToldSpeed {
            server: server.clone(),
            speed: *speed,
            age: now.saturating_sub(*at),
        });
        told.collect()
    }

    /// Speed of `server` and its age.
    pub fn get(&self, now: Time, server: &Name) -> Option<(Speed, Duration)> {
        let known = self.lock();
        let at = known.binary_search_by(|k| k.0.cmp(server)).ok()?;
        let age = now.saturating_sub(known[at].2);
        (age < SPEED_AGE).then_some((known[at].1, age))
    }

    /// Records that `server` reported `percent` of the usual time at `now`.
    pub fn note_report(&self, now: Time, server: &Name, percent: u32) {
        let mut reports = self.reports.lock().expect("reports");
        reports.retain(|(name, _, at)| name != server && now.saturating_sub(*at) < REPORT_AGE);
        reports.push((server.clone(), percent, now));
    }

    /// The speed of `server` and the age of its hint; a report that this host just read is the newer one.
    fn hinted(&self, now: Time, server: &Name, known: (Speed, Duration)) -> (Speed, Duration) {
        let reports = self.reports.lock().expect("reports");
        let own = reports.iter().find(|(name, _, _)| name == server);
        let Some((_, percent, at)) = own else {
            return known;
        };
        let age_ms = now.saturating_sub(*at).as_millis() as u32;
        let relative = percent.saturating_mul(100) / known.0.usual.max(1);
        let hint = Some((relative, age_ms));
        (Speed { hint, ..known.0 }, Duration::ZERO)
    }

    /// What each of `servers` promises to a request; `None` if no speed is known.
    pub fn assess(&self, now: Time, servers: &[(&Name, bool, Load)]) -> Option<Vec<Expected>> {
        let mut known: Vec<_> = servers
            .iter()
            .map(|(name, _, load)| {
                (
                    *load,
                    self.get(now, name).map(|s| self.hinted(now, name, s)),
                )
            })
            .collect();
        assume(&mut known)?;
        let events = self.events.lock().expect("events").max(1.0);
        let all = servers
            .iter()
            .zip(&known)
            .filter_map(|(server, (load, speed))| {
                let (speed, age) = speed.as_ref()?;
                Some(expected(speed, *age, load, server.1, events))
            });
        Some(all.collect())
    }

    /// Records the number of events of an online answer.
    pub fn note_events(&self, count: u32) {
        let mut events = self.events.lock().expect("events");
        let count = count.min(EVENTS_MAX) as f32;
        *events += if *events == 0.0 {
            count
        } else {
            EVENTS_WEIGHT * (count - *events)
        };
    }

    /// Whether an invalid report may be logged at `now`.
    fn may_log(&self, now: Time) -> bool {
        let mut logged = self.logged.lock().expect("log time");
        let is_due = logged.is_none_or(|at| now.saturating_sub(at) >= LOG_EVERY);
        if is_due {
            *logged = Some(now);
        }
        is_due
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(Name, Speed, Time)>> {
        self.known.lock().expect("speeds")
    }
}

impl Host {
    /// The load that the answer to the attempt of `slot` reports, and when; for hosts that learn speeds.
    /// An invalid report is logged once in a while.
    pub(super) fn load_report(
        &self,
        slot: &Slot,
        statement: LoadStatement,
    ) -> Option<(LoadReport, Time)> {
        match statement {
            LoadStatement::Absent => None,
            LoadStatement::Report(report) => {
                if let Some(percent) = report.percent {
                    let speeds = &self.routes.speeds;
                    speeds.note_report(self.now(), &slot.server, percent);
                }
                Some((report, self.now()))
            }
            LoadStatement::Invalid(value) => {
                if self.routes.speeds.may_log(self.now()) {
                    let value: String = value.chars().take(QUOTED_MAX).collect();
                    let (id, server) = (&*slot.id, &*slot.server);
                    tracing::warn!(id, server, value, "server_load_invalid");
                }
                None
            }
        }
    }
}
