//! Parts of the declared configuration that limit the use of servers: limits of cold servers, evacuated
//! failure domains, and which servers are cold.
//!
//! They have a message of their own, as hosts of an earlier build refuse a longer answer to `DeclaredCall`.

use super::{CALL_TIMEOUT, Declared, Versioned};
use crate::{
    clock::Time,
    config::Server,
    error::Kind,
    gate::{ColdEntry, ColdLimit},
    http::Exchange,
    kernel::{Call, Host, serve_call},
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::{Arc, MutexGuard},
    time::Duration,
};

/// Interval between two calls to peers while nothing is configured.
const UNUSED_INTERVAL: Duration = Duration::from_secs(1);

/// The newest of these parts that a host knows. Each has the version that its source gave it.
#[derive(Debug, Default)]
pub struct ServerRestrictions {
    cold: Versioned<Vec<ColdLimit>>,
    /// Sorted.
    evacuated: Versioned<Vec<Name>>,
    /// When a peer was last asked.
    asked: Option<Time>,
}

impl ServerRestrictions {
    /// Whether a peer is to be asked at `now`. A host that knows no limit and no evacuation asks rarely: it may
    /// have started without the source, or one may have begun since.
    fn is_due(&self, now: Time) -> bool {
        let is_used = !self.cold.value.is_empty() || !self.evacuated.value.is_empty();
        let is_recent = |at: Time| now.saturating_sub(at) < UNUSED_INTERVAL;
        is_used || !self.asked.is_some_and(is_recent)
    }
}

/// What a server's entry says of its start, as a host saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenEntry {
    /// Backend server.
    pub server: Name,
    /// Version of the entry.
    pub version: u64,
    /// Time for which the server stays cold.
    pub left: Duration,
    /// Greatest possible age of the entry.
    pub age: Duration,
}

impl Declared {
    /// Updates the limits of cold servers.
    pub fn update_cold(&self, host: &Host, update: Versioned<Vec<ColdLimit>>) {
        let mut restrictions = self.restrictions();
        if restrictions.cold.update(Some(update)) {
            host.gates.cold.set_limits(&restrictions.cold.value);
        }
    }

    /// Updates the evacuated failure domains. At the end of an evacuation the servers of the domain count
    /// as suspected of being cold.
    pub fn update_evacuated(&self, host: &Host, update: Versioned<Vec<Name>>) {
        let mut restrictions = self.restrictions();
        let before = restrictions.evacuated.value.clone();
        if !restrictions.evacuated.update(Some(update)) {
            return;
        }
        let (at, after) = (
            restrictions.evacuated.at,
            restrictions.evacuated.value.clone(),
        );
        let servers = |domain: &Name| -> Vec<Server> {
            host.config.view(|state| {
                let all = state.servers.iter();
                all.filter(|s| s.domain == *domain).cloned().collect()
            })
        };
        for domain in before.iter().filter(|d| !after.contains(d)) {
            let servers = servers(domain);
            host.suspect_evacuated(&servers);
            let count = servers.len();
            tracing::info!(domain = &**domain, at, servers = count, "evacuation_ended");
        }
        host.routes.departures.set_evacuated(after.clone());
        for domain in after.iter().filter(|d| !before.contains(d)) {
            let count = servers(domain).len();
            tracing::info!(domain = &**domain, at, servers = count, "evacuation_began");
        }
    }

    /// Records entries of servers that were read by `now`; repeated ones change nothing.
    pub fn update_entries(&self, host: &Host, entries: &[SeenEntry], now: Time) {
        for seen in entries {
            let entry = ColdEntry {
                version: seen.version,
                written_after: now.saturating_sub(seen.age),
                until: now.saturating_add(seen.left),
            };
            if !host.gates.cold.note_entry(&seen.server, entry) {
                continue;
            }
            let server = host.config.view(|s| s.server(&seen.server).cloned());
            if let Some(server) = server {
                host.gates.queues.follow_cold(host, &server);
            }
        }
    }

    fn restrictions(&self) -> MutexGuard<'_, ServerRestrictions> {
        self.restrictions.lock().expect("server restrictions")
    }
}

/// Asks a peer for the parts that are newer than the given versions, and for the entries of servers.
#[derive(Debug, Serialize, Deserialize)]
struct RestrictionsCall {
    cold: u64,
    evacuated: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct RestrictionsReply {
    cold: Option<Versioned<Vec<ColdLimit>>>,
    evacuated: Option<Versioned<Vec<Name>>>,
    entries: Vec<SeenEntry>,
}

impl Call for RestrictionsCall {
    type Reply = RestrictionsReply;
    const PATH: &'static str = "/peer/declared/restrictions";
}

pub(super) fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: RestrictionsCall| {
        let now = host.now();
        let seen = |(server, entry): (Name, ColdEntry)| SeenEntry {
            server,
            version: entry.version,
            left: entry.until.saturating_sub(now),
            age: now.saturating_sub(entry.written_after),
        };
        let entries = host.gates.cold.entries().into_iter().map(seen).collect();
        let restrictions = host.declared.restrictions();
        let (cold, evacuated) = (&restrictions.cold, &restrictions.evacuated);
        Ok(RestrictionsReply {
            cold: (cold.at > call.cold).then(|| cold.clone()),
            evacuated: (evacuated.at > call.evacuated).then(|| evacuated.clone()),
            entries,
        })
    })
}

/// Takes the newer parts of `peer`; `false` if it does not answer. One of an earlier build has none.
pub(super) fn catch_up(host: &Host, peer: &Peer) -> bool {
    let mut restrictions = host.declared.restrictions();
    if !restrictions.is_due(host.now()) {
        return true;
    }
    restrictions.asked = Some(host.now());
    let call = RestrictionsCall {
        cold: restrictions.cold.at,
        evacuated: restrictions.evacuated.at,
    };
    drop(restrictions);
    let began = host.now();
    match host.call(peer.addr, &call, CALL_TIMEOUT) {
        Ok(reply) => {
            match reply.cold {
                Some(cold) if cold.value.iter().all(ColdLimit::is_valid) => {
                    host.declared.update_cold(host, cold);
                }
                Some(cold) => {
                    let invalid = cold.value.iter().find(|l| !l.is_valid());
                    tracing::warn!(peer = &*peer.name, ?invalid, "cold_limits_refused");
                }
                None => {}
            }
            if let Some(evacuated) = reply.evacuated {
                host.declared.update_evacuated(host, evacuated);
            }
            // What is left of a cold period counts from the answer, and the age from the question.
            let waited = host.now().saturating_sub(began);
            let mut entries = reply.entries;
            entries
                .iter_mut()
                .for_each(|e| e.age = e.age.saturating_add(waited));
            host.declared.update_entries(host, &entries, host.now());
            true
        }
        Err(fail) => {
            tracing::debug!(peer = &*peer.name, error = %fail, "peer_restrictions_not_read");
            !matches!(fail.kind, Kind::Unreachable | Kind::ServerLost)
        }
    }
}
