//! Routing state of one host: health, load and choice of backend servers.

use super::{
    choose::{Candidate, fan_out, order},
    health::{Availability, Health, Outcome},
    leaving::Departures,
    limits::ServerLimits,
    model_servers::ModelServers,
    refused::RefusalLog,
    speeds::Speeds,
    throttled::Throttled,
};
use crate::{
    clock::Time,
    config::Server,
    engine::prefix_hash,
    error::{Fail, Kind, Res},
    gate::Counts,
    kernel::Host,
    retry::Budget,
    timeline::Happening,
    wire::{Class, Name, Work},
};
use std::{
    sync::{Mutex, MutexGuard, atomic::AtomicUsize},
    time::Duration,
};

/// Age from which counts of a gate are no longer used.
const COUNTS_AGE: Duration = Duration::from_secs(1);

/// Health and load of servers as one host knows them, and its retry budget, for all its requests.
#[derive(Debug)]
pub struct Routes {
    /// Sorted by server name.
    stats: Mutex<Vec<ServerStats>>,
    /// Sorted by model.
    pub(super) by_model: Mutex<Vec<ModelServers>>,
    budget: Mutex<Budget>,
    /// Servers that announced that they are leaving.
    pub departures: Departures,
    /// Limits that servers stated on the requests that they take.
    pub limits: ServerLimits,
    /// Servers that lately took no request because of their limits.
    pub throttled: Throttled,
    /// Speeds of servers, if they are learned.
    pub speeds: Speeds,
    /// Refusals that were logged.
    pub refusals: RefusalLog,
    /// Number of requests and batch items on this host that wait in queues for a slot.
    pub waiting: AtomicUsize,
}

/// What the host knows about one server.
#[derive(Debug, Clone)]
pub(super) struct ServerStats {
    pub(super) server: Name,
    /// Online requests of this host at the server.
    pub(super) online: u32,
    counts: Counts,
    counts_at: Option<Time>,
    health: Health,
}

impl ServerStats {
    /// Its counts, if they are recent.
    pub(super) fn recent_counts(&self, now: Time) -> Option<Counts> {
        let is_recent = self.counts_at.is_some_and(|at| at + COUNTS_AGE > now);
        is_recent.then_some(self.counts)
    }
}

impl Routes {
    /// State without servers; retries are limited to `percent` of the requests (zero: no retries).
    pub fn new(percent: u64) -> Self {
        Self {
            stats: Mutex::default(),
            by_model: Mutex::default(),
            budget: Mutex::new(Budget::new(percent)),
            departures: Departures::default(),
            limits: ServerLimits::default(),
            throttled: Throttled::default(),
            speeds: Speeds::default(),
            refusals: RefusalLog::default(),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self) {
        self.budget.lock().expect("retry budget").earn();
    }

    /// Takes one retry from the budget; `false` if the budget is used up.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().expect("retry budget").spend()
    }

    /// Whether the budget has a retry left.
    pub fn has_retry(&self) -> bool {
        self.budget.lock().expect("retry budget").has_retry()
    }

    /// Records the counts received at `now`, in the order of `servers`; zero slots mean no counts.
    pub fn learn(&self, now: Time, servers: &[Name], counts: &[Counts]) {
        let mut stats = self.lock();
        for (server, counts) in servers.iter().zip(counts).filter(|(_, c)| c.slots > 0) {
            let known = entry(&mut stats, server);
            known.counts = *counts;
            known.counts_at = Some(now);
        }
    }

    /// Records that the gate of `server` granted no slot, with its `counts` after that; `true` if the limit
    /// that the server states is the reason. `is_queued` tells whether the counts include the request.
    pub fn note_denied(
        &self,
        host: &Host,
        server: &Name,
        class: Class,
        counts: Counts,
        is_queued: bool,
    ) -> bool {
        let now = host.now();
        self.learn(now, std::slice::from_ref(server), &[counts]);
        let server = host.config.view(|s| s.server(server).cloned());
        server.is_some_and(|server| {
            let stated = self.limits.rate(&server).map(|(rate, _)| rate);
            let cold = host.gates.cold.rate(&server, now);
            let rate = stated.into_iter().chain(cold).reduce(f64::min);
            self.throttled
                .note_rate(rate, &server, class, counts, is_queued, now)
        })
    }

    /// The counts of `server` if they are recent and leave no slot free, or if it is throttled.
    pub fn busy_counts(&self, now: Time, server: &Name) -> Option<Counts> {
        let stats = self.lock();
        let c = recent_counts(&stats, server, now)?;
        let is_full = c.online + c.batch + c.waiting + c.backlog >= c.slots;
        (is_full || self.throttled.has(server, now)).then_some(c)
    }

    /// The counts of `server` if they are recent, online requests hold all its slots, and others wait for one, so
    /// that no slot stays free. Under overload, asking such servers again took most of the processor time of small
    /// hosts.
    pub fn online_full(&self, now: Time, server: &Name) -> Option<Counts> {
        let stats = self.lock();
        let c = recent_counts(&stats, server, now)?;
        (c.online >= c.slots && c.waiting > 0).then_some(c)
    }

    /// Forgets the counts of a server whose gate takes no request.
    pub(super) fn forget_counts(&self, server: &Name) {
        let mut stats = self.lock();
        if let Ok(at) = stats.binary_search_by(|s| s.server.cmp(server)) {
            stats[at].counts_at = None;
        }
    }

    /// When a server that can run `work` takes it at the earliest, by the limits that they state; now, unless
    /// each of them was lately found to be at its limit.
    pub fn earliest_slot(
        &self,
        host: &Host,
        work: &Work,
        version: Option<&Name>,
        now: Time,
    ) -> Time {
        let servers = self.servers_of(host, work, version);
        let usable = servers.iter().filter(|s| !self.departures.has(s));
        self.throttled.earliest(usable.map(|s| &s.name), now)
    }

    /// Records the start of an attempt at `server`, which is the probe if one is due.
    pub fn begin(&self, now: Time, server: &Name, class: Class) {
        let mut stats = self.lock();
        let known = entry(&mut stats, server);
        known.health.start_probe(now);
        if class == Class::Online {
            known.online += 1;
        }
    }

    /// Records the end of an attempt at `server`; may eject the server as failing or slow.
    pub fn end(&self, host: &Host, server: &Name, class: Class, outcome: Outcome) {
        let now = host.now();
        let spread = rand::random();
        let mut stats = self.lock();
        let median = median_ttft(&stats);
        let available = stats
            .iter()
            .filter(|s| s.health.availability(now) == Availability::Available)
            .count();
        let half = stats.len() / 2;
        let known = entry(&mut stats, server);
        if class == Class::Online {
            known.online = known.online.saturating_sub(1);
        }
        let mut changed = known.health.record(now, outcome, spread);
        let is_slow = median.is_some_and(|m| known.health.is_slow(m));
        if is_slow && available > half.max(1) {
            known.health.eject_slow(now, spread);
            changed = true;
        }
        let availability = known.health.availability(now);
        drop(stats);
        if changed {
            let what = match availability {
                Availability::Available => Happening::TakenBack,
                _ => Happening::SetAside,
            };
            host.timeline.note(what, server, None, "");
        }
    }

    /// Servers to ask for a slot for `work`, best first; those in `tried` only if there are no others.
    /// Only servers with the software `version`, if it is given.
    ///
    /// # Errors
    /// `Overloaded` if no server with the model takes work.
    pub fn order(
        &self,
        host: &Host,
        work: &Work,
        version: Option<&Name>,
        tried: &[Name],
    ) -> Res<Vec<Name>> {
        let servers = self.servers_of(host, work, version);
        if servers.is_empty() {
            let text = format!("no server has model \"{}\" loaded", work.model);
            return Err(Fail::new(Kind::Overloaded, text));
        }
        let is_untried = |s: &Server| !tried.contains(&s.name) && !self.departures.has(s);
        let has_untried = servers.iter().any(is_untried);
        let now = host.now();
        let cold = host.gates.cold.are_cold(&servers, now);
        let stats = self.lock();
        let mut all: Vec<Candidate> = servers
            .iter()
            .enumerate()
            .filter(|(_, s)| !has_untried || !tried.contains(&s.name))
            .filter(|(_, s)| !self.departures.has(s))
            .map(|(n, s)| {
                let candidate = candidate(&stats, s, s.domain == host.me.domain, now);
                let is_throttled = self.throttled.has(&s.name, now);
                let is_cold = cold.get(n).copied().unwrap_or(false);
                let is_limited = is_throttled || is_cold || self.limits.rate(s).is_some();
                candidate.with_limit(is_limited, is_throttled)
            })
            .collect();
        if host.settings.learn {
            self.assess(&stats, &servers, &mut all, now);
        }
        drop(stats);
        // Work that may not be repeated must not be risked as a probe.
        if !work.repeatable {
            all.retain(|c| c.availability != Availability::Probe);
        }
        let prefix = (!work.prompt.is_empty()).then(|| prefix_hash(&work.prompt));
        if work.class == Class::Online && host.settings.reserve.percent > 0 {
            self.mark_full(&mut all, now);
        }
        let chosen = order(
            work.class,
            prefix,
            &all,
            fan_out(work.class),
            &mut rand::rng(),
        );
        if chosen.is_empty() {
            let text = "every backend server with the model is ejected or leaving; retry later";
            return Err(Fail::new(Kind::Overloaded, text));
        }
        Ok(chosen)
    }

    /// Takes all servers back after failures that were not their own.
    pub fn readmit_all(&self) {
        self.lock().iter_mut().for_each(|s| s.health.readmit());
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Vec<ServerStats>> {
        self.stats.lock().expect("routing state")
    }
}

fn entry<'a>(stats: &'a mut Vec<ServerStats>, server: &Name) -> &'a mut ServerStats {
    let found = stats.binary_search_by(|s| s.server.cmp(server));
    let at = found.unwrap_or_else(|at| {
        let known = ServerStats {
            server: server.clone(),
            online: 0,
            counts: Counts::default(),
            counts_at: None,
            health: Health::default(),
        };
        stats.insert(at, known);
        at
    });
    &mut stats[at]
}

/// Whether the recent counts of `server` leave no slot free.
pub(super) fn is_full(stats: &[ServerStats], server: &Name, now: Time) -> bool {
    recent_counts(stats, server, now).is_some_and(|c| c.online.saturating_add(c.batch) >= c.slots)
}

fn recent_counts(stats: &[ServerStats], server: &Name, now: Time) -> Option<Counts> {
    let at = stats.binary_search_by(|s| s.server.cmp(server)).ok()?;
    stats[at].recent_counts(now)
}

fn candidate(stats: &[ServerStats], server: &Server, is_near: bool, now: Time) -> Candidate {
    let slots = server.slots.max(1);
    let mut candidate = Candidate {
        name: server.name.clone(),
        is_near,
        load: 0.0,
        spare: spare(slots, Counts::default()),
        is_limited: false,
        expected: None,
        is_full: false,
        availability: Availability::Available,
    };
    let Ok(at) = stats.binary_search_by(|s| s.server.cmp(&server.name)) else {
        return candidate;
    };
    let known = &stats[at];
    candidate.availability = known.health.availability(now);
    let mut online = known.online;
    if let Some(c) = known.recent_counts(now) {
        online = online.max(c.online + c.waiting);
        candidate.spare = spare(slots, c);
    }
    candidate.load = online as f32 / slots as f32;
    candidate
}

/// Free slots of `slots` minus waiting work, for any number of slots that a server may claim.
fn spare(slots: u32, c: Counts) -> i32 {
    let slots = i32::try_from(slots).unwrap_or(i32::MAX);
    slots.saturating_sub_unsigned(c.online + c.batch + c.waiting + c.backlog)
}

fn median_ttft(stats: &[ServerStats]) -> Option<f64> {
    let mut samples: Vec<f64> = stats.iter().filter_map(|s| s.health.ttft()).collect();
    samples.sort_by(f64::total_cmp);
    (samples.len() >= 3).then(|| samples[samples.len() / 2])
}
