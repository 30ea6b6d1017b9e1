//! What one host knows about the backend servers.

use super::{
    choose::{Candidate, asked, order, subset},
    health::{Availability, Health, Outcome},
    leaving::Departures,
};
use crate::{
    clock::Time,
    config::Server,
    engine::prefix_hash,
    error::{Fail, Kind, Res},
    fold::Pos,
    gate::Counts,
    kernel::Host,
    retry::Budget,
    timeline::Happening,
    wire::{Class, Name, Work},
};
use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicUsize},
    time::Duration,
};

/// Age at which counts from a gate are not used any more.
const COUNTS_AGE: Duration = Duration::from_secs(1);

/// Routing state of one host.
#[derive(Debug)]
pub struct Routes {
    /// Sorted by server.
    seen: Mutex<Vec<Seen>>,
    /// Sorted by model.
    reach: Mutex<Vec<Reach>>,
    budget: Mutex<Budget>,
    /// Servers that said that they leave.
    pub departures: Departures,
    /// Requests of this host that wait for a slot.
    pub waiting: AtomicUsize,
}

/// What the host knows about one server.
#[derive(Debug, Clone)]
struct Seen {
    server: Name,
    /// Online requests of this host at the server.
    online: u32,
    counts: Counts,
    at: Option<Time>,
    health: Health,
}

/// The servers that this host uses for a model, as of the last change of any server. Choosing them
/// out of the whole fleet costs too much for each request.
#[derive(Debug, Clone)]
struct Reach {
    model: Name,
    at: Pos,
    servers: Arc<[Server]>,
    /// Whether a thread is working out the next choice.
    busy: bool,
}

impl Routes {
    /// Nothing known; retries are `percent` of the requests.
    pub fn new(percent: u64) -> Self {
        Self {
            seen: Mutex::default(),
            reach: Mutex::default(),
            budget: Mutex::new(Budget::new(percent)),
            departures: Departures::default(),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Counts a request for the retry budget.
    pub fn count_request(&self) {
        self.budget.lock().expect("retry budget").earn();
    }

    /// Takes one retry; `false` if the budget is used up.
    pub fn take_retry(&self) -> bool {
        self.budget.lock().expect("retry budget").spend()
    }

    /// Takes note of the counts that a gate sent.
    pub fn learn(&self, now: Time, servers: &[Name], counts: &[Counts]) {
        let mut seen = self.lock();
        for (server, counts) in servers.iter().zip(counts).filter(|(_, c)| c.slots > 0) {
            let known = entry(&mut seen, server);
            known.counts = *counts;
            known.at = Some(now);
        }
    }

    /// The counts of `server`, if its gate told lately that more waits than slots are free.
    pub fn full(&self, now: Time, server: &Name) -> Option<Counts> {
        let seen = self.lock();
        let at = seen.binary_search_by(|s| s.server.cmp(server)).ok()?;
        let Seen { counts: c, at, .. } = &seen[at];
        let is_fresh = at.is_some_and(|at| at + COUNTS_AGE > now);
        let is_full = c.online + c.batch + c.waiting + c.backlog >= c.slots;
        (is_fresh && is_full).then_some(*c)
    }

    /// Notes that an attempt goes to `server`.
    pub fn begin(&self, now: Time, server: &Name, class: Class) {
        let mut seen = self.lock();
        let known = entry(&mut seen, server);
        known.health.probe(now);
        if class == Class::Online {
            known.online += 1;
        }
    }

    /// Notes how an attempt at `server` ended.
    pub fn end(&self, host: &Host, server: &Name, class: Class, outcome: Outcome) {
        let now = host.now();
        let spread = rand::random();
        let mut seen = self.lock();
        let median = median_first(&seen);
        let open = seen
            .iter()
            .filter(|s| s.health.availability(now) == Availability::Available)
            .count();
        let half = seen.len() / 2;
        let known = entry(&mut seen, server);
        if class == Class::Online {
            known.online = known.online.saturating_sub(1);
        }
        let mut changed = known.health.note(now, outcome, spread);
        let slow = median.is_some_and(|m| known.health.is_slow(m));
        if slow && open > half.max(1) {
            known.health.set_slow(now, spread);
            changed = true;
        }
        let availability = known.health.availability(now);
        drop(seen);
        if changed {
            let what = match availability {
                Availability::Available => Happening::TakenBack,
                _ => Happening::SetAside,
            };
            host.timeline.note(what, server, None, "");
        }
    }

    /// Servers to ask for a slot for `work`, the best first; those in `tried` last.
    ///
    /// # Errors
    /// `Overloaded` if no server that has the model takes work.
    pub fn order(&self, host: &Host, work: &Work, tried: &[Name]) -> Res<Vec<Name>> {
        let servers = self.reach(host, &work.model);
        if servers.is_empty() {
            let text = format!("no server has model \"{}\" loaded", work.model);
            return Err(Fail::new(Kind::Overloaded, text));
        }
        let is_fresh = |s: &Server| !tried.contains(&s.name) && !self.departures.has(s);
        let fresh = servers.iter().any(is_fresh);
        let now = host.now();
        let seen = self.lock();
        let mut all: Vec<Candidate> = servers
            .iter()
            .filter(|s| !fresh || !tried.contains(&s.name))
            .filter(|s| !self.departures.has(s))
            .map(|s| candidate(&seen, s, s.domain == host.me.domain, now))
            .collect();
        drop(seen);
        // Work that may not be repeated is no probe.
        if !work.repeatable {
            all.retain(|c| c.availability != Availability::Probe);
        }
        let prefix = (!work.prompt.is_empty()).then(|| prefix_hash(&work.prompt));
        let chosen = order(
            work.class,
            prefix,
            &all,
            asked(work.class),
            &mut rand::rng(),
        );
        if chosen.is_empty() {
            let text = "every server that has the model is set aside";
            return Err(Fail::new(Kind::Overloaded, text));
        }
        Ok(chosen)
    }

    /// The servers for `model`. While one request works them out anew, others go on with the last
    /// choice; gates refuse work for servers that leave.
    fn reach(&self, host: &Host, model: &Name) -> Arc<[Server]> {
        let at = host.config.view(|s| s.servers_at);
        let mut known = self.reach.lock().expect("reach");
        if let Ok(i) = known.binary_search_by(|r| r.model.cmp(model)) {
            let reach = &mut known[i];
            if reach.at == at || reach.busy {
                return reach.servers.clone();
            }
            reach.busy = true;
        }
        drop(known);
        host.config
            .view(|s| self.departures.confirm(&s.servers, host.now()));
        let reach = choose_reach(host, model);
        let servers = reach.servers.clone();
        let mut known = self.reach.lock().expect("reach");
        match known.binary_search_by(|r| r.model.cmp(model)) {
            Ok(i) => known[i] = reach,
            Err(i) => known.insert(i, reach),
        }
        servers
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().expect("routing state")
    }
}

/// The servers that `host` uses for `model`, sorted by name.
fn choose_reach(host: &Host, model: &Name) -> Reach {
    host.config.view(|state| {
        let able = state.servers.iter();
        let able = able.filter(|s| !s.leaving && s.models.contains(model));
        let near = able.map(|s| (s.name.clone(), s.domain == host.me.domain));
        let mut names = subset(&host.me.name, near.collect());
        names.sort();
        Reach {
            model: model.clone(),
            at: state.servers_at,
            busy: false,
            servers: names
                .iter()
                .filter_map(|n| state.server(n).cloned())
                .collect(),
        }
    })
}

fn entry<'a>(seen: &'a mut Vec<Seen>, server: &Name) -> &'a mut Seen {
    let found = seen.binary_search_by(|s| s.server.cmp(server));
    let at = found.unwrap_or_else(|at| {
        let known = Seen {
            server: server.clone(),
            online: 0,
            counts: Counts::default(),
            at: None,
            health: Health::default(),
        };
        seen.insert(at, known);
        at
    });
    &mut seen[at]
}

fn candidate(seen: &[Seen], server: &Server, is_near: bool, now: Time) -> Candidate {
    let slots = server.slots.max(1);
    let mut candidate = Candidate {
        name: server.name.clone(),
        is_near,
        load: 0.0,
        spare: slots as i32,
        availability: Availability::Available,
    };
    let Ok(at) = seen.binary_search_by(|s| s.server.cmp(&server.name)) else {
        return candidate;
    };
    let known = &seen[at];
    candidate.availability = known.health.availability(now);
    let fresh = known.at.is_some_and(|at| at + COUNTS_AGE > now);
    let c = known.counts;
    let online = if fresh {
        known.online.max(c.online + c.waiting)
    } else {
        known.online
    };
    candidate.load = online as f32 / slots as f32;
    if fresh {
        candidate.spare = slots as i32 - (c.online + c.batch + c.waiting + c.backlog) as i32;
    }
    candidate
}

fn median_first(seen: &[Seen]) -> Option<f64> {
    let mut firsts: Vec<f64> = seen.iter().filter_map(|s| s.health.first()).collect();
    firsts.sort_by(f64::total_cmp);
    (firsts.len() >= 3).then(|| firsts[firsts.len() / 2])
}
