//! Software versions of each service that are or were lately in use, as one host sees them.

use crate::{clock::Time, config::Server, wire::Name};
use std::time::Duration;

/// Longest time after the start of a stream in which its caller may resume it.
pub const RESUME_MAX: Duration = Duration::from_secs(15);

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
    /// Whether the log tells that there are several versions.
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
    /// Whether servers have several of them now.
    pub is_mixed: bool,
    /// Whether the host knows of all versions of that time.
    pub is_covered: bool,
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
        match self.find(name) {
            Ok(at) => self.services[at].usage(now),
            Err(_) => Usage::default(),
        }
    }

    /// The services with one version of which the host knows that there was no other lately.
    pub fn soles(&self, now: Time) -> Vec<(Name, Name)> {
        let sole = |s: &Service| {
            let usage = s.usage(now);
            let version = usage.sole().filter(|_| usage.is_covered)?;
            Some((s.name.clone(), version.clone()))
        };
        self.services.iter().filter_map(sole).collect()
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
        if let Ok(at) = self.find(name) {
            self.services[at].is_marked = true;
        }
    }

    /// Has services with one version count as seen for long if `test` tells by name and version that there
    /// was no other.
    pub fn confirm(&mut self, test: impl Fn(&str, &str) -> bool) {
        for service in self.services.iter_mut().filter(|s| !s.is_confirmed) {
            if let [only] = &*service.seen {
                service.is_confirmed = test(&service.name, &only.version);
            }
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|s| (*s.name).cmp(name))
    }

    fn service(&mut self, name: &Name, now: Time) -> &mut Service {
        let at = match self.find(name) {
            Ok(at) => at,
            Err(at) => {
                let service = Service {
                    name: name.clone(),
                    since: now,
                    seen: Vec::new(),
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
    fn usage(&self, now: Time) -> Usage {
        Usage {
            versions: self.seen.iter().map(|s| s.version.clone()).collect(),
            is_mixed: self.seen.iter().filter(|s| s.is_present).count() > 1,
            is_covered: self.is_confirmed || now.saturating_sub(self.since) >= RESUME_MAX,
        }
    }

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

    /// Drops versions that no stream to be resumed can have.
    fn settle(&mut self, now: Time) {
        self.seen.retain(|s| {
            let is_kept = now.saturating_sub(s.last) < RESUME_MAX;
            if !is_kept {
                tracing::info!(service = &*self.name, version = &*s.version, "version_gone");
            }
            is_kept
        });
        self.is_marked &= self.seen.len() > 1;
    }
}
