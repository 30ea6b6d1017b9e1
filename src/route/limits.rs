//! Limits that servers state in their answers on the requests that they take from all hosts together.

use crate::{
    clock::Time, config::Server, gate::StatedLimit, kernel::Host, pass::LimitStatement,
    timeline::Happening, wire::Name,
};
use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

/// Longest part of an invalid value in the log, in characters.
const QUOTED_MAX: usize = 40;
/// Age of the last notice to the gate after which a repeated statement is told again.
const REFRESH_AGE: Duration = Duration::from_secs(3);
/// Time for which the end of a limit is told again, so that an older statement does not stay in force.
const END_SPAN: Duration = Duration::from_secs(15);

/// The latest statement of each server that ever stated a limit, as this host knows it.
#[derive(Debug, Default)]
pub struct ServerLimits {
    /// Sorted by server name.
    known: Mutex<Vec<Known>>,
}

#[derive(Debug, Clone)]
struct Known {
    server: Name,
    /// Start number of the server; a restart has a higher one.
    start: u64,
    /// Requests per second; `None` if it takes any number again.
    rate: Option<f64>,
    /// When the server last said so.
    at: Time,
    /// When it first did.
    since: Time,
    /// Hosts that were told, sorted, and when the last one was.
    told: Vec<Name>,
    told_at: Time,
}

/// What a statement changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Noted {
    /// Nothing: it is older than what is known, or says that there still is no limit.
    Nothing,
    /// Only its time.
    Repeated,
    /// The rate, which was this one before.
    Changed(Option<f64>),
}

impl ServerLimits {
    /// Records that the start `start` of `server` stated `rate` at `at`.
    pub fn note(&self, server: &Name, start: u64, rate: Option<f64>, at: Time) -> Noted {
        let mut known = self.lock();
        let next = Known {
            server: server.clone(),
            start,
            rate,
            at,
            since: at,
            told: Vec::new(),
            told_at: at,
        };
        match known.binary_search_by(|k| k.server.cmp(server)) {
            Ok(i) => {
                let last = &mut known[i];
                if (start, at) < (last.start, last.at) {
                    return Noted::Nothing;
                }
                if (start, rate) == (last.start, last.rate) {
                    last.at = at;
                    return Noted::Repeated;
                }
                let before = last.rate;
                *last = next;
                Noted::Changed(before)
            }
            Err(_) if rate.is_none() => Noted::Nothing,
            Err(i) => {
                known.insert(i, next);
                Noted::Changed(None)
            }
        }
    }

    /// Requests per second that the start of `server` in the configuration takes, and when it last said
    /// so; `None` if it takes any number.
    pub fn rate(&self, server: &Server) -> Option<(f64, Time)> {
        let known = self.lock();
        let at = find(&known, &server.name)?;
        let known = &known[at];
        let rate = known.rate.filter(|_| known.start >= server.start)?;
        Some((rate, known.at))
    }

    /// What is to be told to the gate of `server` on the host `gate`, unless it has been told.
    pub fn untold(&self, server: &Name, gate: &Name, now: Time) -> Option<StatedLimit> {
        let known = self.lock();
        let known = &known[find(&known, server)?];
        let is_told = known.told.binary_search(gate).is_ok();
        (!is_told).then(|| known.stated(now))
    }

    /// What is known of `server`, to be told again.
    pub fn stated(&self, server: &Name, now: Time) -> Option<StatedLimit> {
        let known = self.lock();
        Some(known[find(&known, server)?].stated(now))
    }

    /// Records that the host `gate` was told `limit`.
    pub fn mark_told(&self, limit: &StatedLimit, gate: &Name, now: Time) {
        let mut known = self.lock();
        let Some(at) = find(&known, &limit.server) else {
            return;
        };
        let known = &mut known[at];
        if (known.start, known.rate) != (limit.start, limit.rate) {
            return;
        }
        known.told_at = now;
        if let Err(at) = known.told.binary_search(gate) {
            known.told.insert(at, gate.clone());
        }
    }

    /// Whether a statement of `server` that was repeated at `now` is to be told again.
    fn is_refresh_due(&self, server: &Name, now: Time) -> bool {
        let known = self.lock();
        find(&known, server).is_some_and(|at| {
            let known = &known[at];
            let is_recent = known.rate.is_some() || now.saturating_sub(known.since) < END_SPAN;
            is_recent && now.saturating_sub(known.told_at) >= REFRESH_AGE
        })
    }

    /// Forgets what `server` stated.
    pub fn forget(&self, server: &str) {
        self.lock().retain(|k| *k.server != *server);
    }

    /// Removes servers that restarted or are no longer among `servers` (sorted by name).
    pub fn prune(&self, servers: &[Server]) {
        self.lock().retain(|k| {
            let found = servers.binary_search_by(|s| s.name.cmp(&k.server));
            found.is_ok_and(|at| servers[at].start <= k.start)
        });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Known>> {
        self.known.lock().expect("server limits")
    }
}

impl Known {
    fn stated(&self, now: Time) -> StatedLimit {
        StatedLimit {
            server: self.server.clone(),
            start: self.start,
            rate: self.rate,
            age: now.saturating_sub(self.at),
        }
    }
}

fn find(known: &[Known], server: &str) -> Option<usize> {
    known.binary_search_by(|k| (*k.server).cmp(server)).ok()
}

impl Host {
    /// Records what the answer to attempt `id` said about the requests that `server` takes, and has its gate
    /// told if that is new.
    pub fn note_limit(&self, server: &Name, start: u64, statement: &LimitStatement, id: &str) {
        let (limits, now) = (&self.routes.limits, self.now());
        let rate = match statement {
            LimitStatement::Absent => return,
            LimitStatement::Unlimited => None,
            LimitStatement::PerSecond(rate) => Some(*rate),
            LimitStatement::Invalid(value) => {
                let value: String = value.chars().take(QUOTED_MAX).collect();
                tracing::warn!(id, server = &**server, value, "server_limit_invalid");
                // The server still states a limit; the last valid one stays in force.
                limits.stated(server, now).and_then(|last| last.rate)
            }
        };
        match limits.note(server, start, rate, now) {
            Noted::Changed(before) => {
                let note = format!("server={server} {}", change(rate, before));
                self.timeline.note(Happening::LimitStated, id, None, &note);
            }
            Noted::Repeated if limits.is_refresh_due(server, now) => {}
            Noted::Repeated | Noted::Nothing => return,
        }
        self.gates.held.queue_limit(server);
    }

    /// Records what another host was told by a server.
    pub fn note_told_limit(&self, limit: &StatedLimit) {
        let at = self.now().saturating_sub(limit.age);
        let (limits, server) = (&self.routes.limits, &limit.server);
        if let Noted::Changed(before) = limits.note(server, limit.start, limit.rate, at) {
            let note = format!("{} told=true", change(limit.rate, before));
            self.timeline
                .note(Happening::LimitStated, server, None, &note);
        }
    }
}

fn change(rate: Option<f64>, before: Option<f64>) -> String {
    let text = |rate: Option<f64>| rate.map_or("none".into(), |r| r.to_string());
    format!("rate={} before={}", text(rate), text(before))
}
