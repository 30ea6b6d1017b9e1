//! Limits that servers state in their answers on the requests that they take from all hosts together.

use crate::{
    clock::Time, config::Server, kernel::Host, pass::LimitStatement, timeline::Happening,
    wire::Name,
};
use std::sync::{Mutex, MutexGuard};

/// Longest part of an invalid value in the log, in characters.
const QUOTED_MAX: usize = 40;

/// The latest statement of each server that ever stated a limit.
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
    /// When the server said so.
    at: Time,
}

impl ServerLimits {
    /// Records that the start `start` of `server` stated `rate` at `at`; returns the rate before if it is
    /// another one.
    pub fn note(
        &self,
        server: &Name,
        start: u64,
        rate: Option<f64>,
        at: Time,
    ) -> Option<Option<f64>> {
        let mut known = self.lock();
        let next = Known {
            server: server.clone(),
            start,
            rate,
            at,
        };
        match known.binary_search_by(|k| k.server.cmp(server)) {
            Ok(i) => {
                let before = &known[i];
                if (start, at) < (before.start, before.at) {
                    return None;
                }
                let before = before.rate;
                known[i] = next;
                (before != rate).then_some(before)
            }
            Err(_) if rate.is_none() => None,
            Err(i) => {
                known.insert(i, next);
                Some(None)
            }
        }
    }

    /// Requests per second that the start of `server` in the configuration takes; `None` for any number.
    pub fn rate(&self, server: &Server) -> Option<f64> {
        let known = self.lock();
        let at = known
            .binary_search_by(|k| k.server.cmp(&server.name))
            .ok()?;
        let is_current = known[at].start >= server.start;
        known[at].rate.filter(|_| is_current)
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

impl Host {
    /// Records what the answer to attempt `id` said about the requests that `server` takes.
    pub fn note_limit(&self, server: &Name, start: u64, statement: &LimitStatement, id: &str) {
        let rate = match statement {
            LimitStatement::Absent => return,
            LimitStatement::Unlimited => None,
            LimitStatement::PerSecond(rate) => Some(*rate),
            LimitStatement::Invalid(value) => {
                let value: String = value.chars().take(QUOTED_MAX).collect();
                tracing::warn!(id, server = &**server, value, "server_limit_invalid");
                return;
            }
        };
        let Some(before) = self.routes.limits.note(server, start, rate, self.now()) else {
            return;
        };
        let note = format!(
            "server={server} rate={} before={}",
            text(rate),
            text(before)
        );
        self.timeline.note(Happening::LimitStated, id, None, &note);
    }
}

fn text(rate: Option<f64>) -> String {
    rate.map_or("none".into(), |r| format!("{r}"))
}
