//! Software versions of each service that are or were lately in use, as one host sees them.

use crate::{clock::Time, config::Server, wire::Name};
use std::time::Duration;

/// Longest time after the start of a stream in which its caller may resume it.
pub const RESUME_MAX: Duration = Duration::from_secs(15);

/// Time after the arrival of a second version in which streams without a record are taken for older than
/// it. Most streams are over by then, and one whose record the log lost must not be joined.
pub const BASE_MAX: Duration = Duration::from_secs(5);

/// The versions of all services.
#[derive(Debug, Clone, Default)]
pub struct Versions {
    /// Sorted by name.
    services: Vec<Service>,
}

#[derive(Debug, Clone)]
struct Service {
    name: Name,
    /// When this host first saw a server of it.
    since: Time,
    /// Sorted by version.
    seen: Vec<Seen>,
    /// The only version until others came.
    base: Option<Name>,
    /// When a second version was first seen beside `base`.
    mixed: Option<Time>,
    /// Whether the log tells of the present mix.
    is_marked: bool,
    /// Whether the log showed that there was no other version before.
    is_confirmed: bool,
}

#[derive(Debug, Clone)]
struct Seen {
    version: Name,
    /// Whether a server in the configuration has it.
    is_present: bool,
    /// When one last had it.
    last: Time,
}

/// The versions of one service that servers have, or had within [`RESUME_MAX`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// The versions, sorted.
    pub versions: Vec<Name>,
    /// Whether the host knows of all versions of that time.
    pub is_covered: bool,
    /// Version of the streams that began before there were several and that may still be resumed.
    pub base: Option<Name>,
}

impl Usage {
    /// The version, if there is only one.
    pub fn sole(&self) -> Option<&Name> {
        match &*self.versions {
            [version] => Some(version),
            _ => None,
        }
    }
}

impl Versions {
    /// Records the servers of the configuration that is in force from `now` on, leaving ones included.
    /// Returns whether a service has one more version.
    pub fn observe(&mut self, servers: &[Server], now: Time) -> bool {
        // Those of the configuration before were in force until now.
        let seen = self.services.iter_mut().flat_map(|s| &mut s.seen);
        for seen in seen.filter(|s| s.is_present) {
            seen.last = now;
            seen.is_present = false;
        }
        let mut is_new = false;
        for server in servers {
            for name in &server.models {
                is_new |= self.service(name, now).see(&server.software, now);
            }
        }
        self.services.iter_mut().for_each(|s| s.settle(now));
        self.services.retain(|s| !s.seen.is_empty());
        is_new
    }

    /// The versions of the service `name` as of `now`.
    pub fn usage(&self, name: &str, now: Time) -> Usage {
        let Ok(at) = self.services.binary_search_by(|s| (*s.name).cmp(name)) else {
            return Usage::default();
        };
        let service = &self.services[at];
        let is_within = |t: Time, span| now.saturating_sub(t) < span;
        let is_base_valid = service.mixed.is_none_or(|t| is_within(t, BASE_MAX));
        Usage {
            versions: service.seen.iter().map(|s| s.version.clone()).collect(),
            is_covered: service.is_confirmed || !is_within(service.since, RESUME_MAX),
            base: service.base.clone().filter(|_| is_base_valid),
        }
    }

    /// Services with several versions of which the log does not tell yet.
    pub fn unmarked(&self) -> Vec<Name> {
        let unmarked = self
            .services
            .iter()
            .filter(|s| s.seen.len() > 1 && !s.is_marked);
        unmarked.map(|s| s.name.clone()).collect()
    }

    /// Records that the log tells of the several versions of the service `name`.
    pub fn mark(&mut self, name: &str) {
        if let Ok(at) = self.services.binary_search_by(|s| (*s.name).cmp(name)) {
            self.services[at].is_marked = true;
        }
    }

    /// Has services with one version count as seen for long if `test` tells that there was no other.
    pub fn confirm(&mut self, test: impl Fn(&str) -> bool) {
        let sole = self
            .services
            .iter_mut()
            .filter(|s| s.seen.len() == 1 && !s.is_confirmed);
        sole.filter(|s| test(&s.name))
            .for_each(|s| s.is_confirmed = true);
    }

    fn service(&mut self, name: &Name, now: Time) -> &mut Service {
        let at = match self.services.binary_search_by(|s| s.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                let service = Service {
                    name: name.clone(),
                    since: now,
                    seen: Vec::new(),
                    base: None,
                    mixed: None,
                    is_marked: false,
                    is_confirmed: false,
                };
                self.services.insert(at, service);
                at
            }
        };
        &mut self.services[at]
    }
}

impl Service {
    /// Records that a server has `version`; returns whether it is a new one.
    fn see(&mut self, version: &Name, now: Time) -> bool {
        match self.seen.binary_search_by(|s| s.version.cmp(version)) {
            Ok(at) => {
                self.seen[at].is_present = true;
                self.seen[at].last = now;
                false
            }
            Err(at) => {
                tracing::info!(service = &*self.name, version = &**version, "version_seen");
                let seen = Seen {
                    version: version.clone(),
                    is_present: true,
                    last: now,
                };
                self.seen.insert(at, seen);
                true
            }
        }
    }

    /// Drops versions that no stream to be resumed can have, and decides whether there are several.
    fn settle(&mut self, now: Time) {
        self.seen.retain(|s| {
            let is_kept = now.saturating_sub(s.last) < RESUME_MAX;
            if !is_kept {
                tracing::info!(service = &*self.name, version = &*s.version, "version_gone");
            }
            is_kept
        });
        if let [only] = &*self.seen {
            self.base = Some(only.version.clone());
            self.mixed = None;
            self.is_marked = false;
        } else {
            self.mixed.get_or_insert(now);
        }
    }
}
