//! The servers that a host uses for each model.

use super::{choose::subset, regions::is_able, state::Routes};
use crate::{
    config::Server,
    fold::Pos,
    kernel::Host,
    wire::{Name, Peer},
};
use std::sync::Arc;

/// Number of cached choices from which those of earlier lists of servers are dropped, also because lists of regions
/// that are no longer in force have some.
const CHOICES_MAX: usize = 1024;

/// The servers that this host uses for a model and the regions of a request, cached until any server changes:
/// choosing them from the whole fleet is too expensive to do for each request.
#[derive(Debug, Clone)]
pub(super) struct ModelServers {
    model: Name,
    /// Regions of the servers; `None` for all servers.
    allowed: Option<Arc<[Name]>>,
    at: Pos,
    /// Version of the list of evacuated failure domains.
    evacuations: u64,
    servers: Arc<[Server]>,
    /// Whether a thread is choosing the servers again.
    is_refreshing: bool,
}

impl Routes {
    /// The servers for `model`, only in the regions `allowed` if they are given. While one request chooses them again, others use the previous choice;
    /// gates refuse work for leaving servers.
    pub(super) fn servers_for(
        &self,
        host: &Host,
        model: &Name,
        allowed: Option<&[Name]>,
    ) -> Arc<[Server]> {
        let at = host.config.view(|s| s.servers_at);
        let evacuations = self.departures.evacuations();
        let is_current = |c: &ModelServers| c.at == at && c.evacuations == evacuations;
        let find = |known: &[ModelServers]| {
            let key = (model, allowed);
            known.binary_search_by(|r| (&r.model, r.allowed.as_deref()).cmp(&key))
        };
        let mut known = self.by_model.lock().expect("chosen servers");
        if let Ok(i) = find(&known) {
            let chosen = &mut known[i];
            if is_current(chosen) || chosen.is_refreshing {
                return chosen.servers.clone();
            }
            chosen.is_refreshing = true;
        }
        drop(known);
        host.config.view(|s| {
            self.departures.prune(&s.servers, host.now());
            self.limits.prune(&s.servers);
            self.throttled.prune(&s.servers);
        });
        let chosen = choose_servers(host, model, allowed);
        let servers = chosen.servers.clone();
        let mut known = self.by_model.lock().expect("chosen servers");
        if known.len() >= CHOICES_MAX {
            known.retain(|c| c.allowed.is_none() || is_current(c));
        }
        match find(&known) {
            Ok(i) => known[i] = chosen,
            Err(i) => known.insert(i, chosen),
        }
        servers
    }

    /// The servers for `model` with the software `version`, only in the regions `allowed` if they are given: those
    /// among the ones that this host uses, or all if there is none among them.
    pub(super) fn servers_with(
        &self,
        host: &Host,
        model: &Name,
        version: &Name,
        allowed: Option<&[Name]>,
    ) -> Arc<[Server]> {
        let used = self.servers_for(host, model, allowed);
        let same = used.iter().filter(|s| s.software == *version).cloned();
        let same: Arc<[Server]> = same.collect();
        if !same.is_empty() {
            return same;
        }
        let zones = &host.settings.zones;
        let is_able = |s: &&Server| is_able(s, model, Some(version));
        host.config.view(|state| {
            let within = zones.select(&state.servers, allowed);
            within.filter(is_able).cloned().collect()
        })
    }
}

fn choose_servers(host: &Host, model: &Name, allowed: Option<&[Name]>) -> ModelServers {
    let departures = &host.routes.departures;
    let evacuations = departures.evacuations();
    host.config.view(|state| {
        let able = host.settings.zones.select(&state.servers, allowed);
        let able = able.filter(|s| is_able(s, model, None));
        let names = used_servers(&host.me, able, |s| departures.is_evacuated(s));
        ModelServers {
            model: model.clone(),
            allowed: allowed.map(Arc::from),
            at: state.servers_at,
            evacuations,
            is_refreshing: false,
            servers: names
                .iter()
                .filter_map(|n| state.server(n).cloned())
                .collect(),
        }
    })
}

/// Names of the servers that the host `me` uses of `able`, sorted. Evacuated ones are among them only if there are no
/// others.
pub fn used_servers<'a>(
    me: &Peer,
    able: impl Iterator<Item = &'a Server>,
    is_evacuated: impl Fn(&Server) -> bool,
) -> Vec<Name> {
    let mut able: Vec<&Server> = able.collect();
    if able.iter().any(|s| !is_evacuated(s)) {
        able.retain(|s| !is_evacuated(s));
    }
    let near = able.iter();
    let near = near.map(|s| (s.name.clone(), s.domain == me.domain));
    let mut names = subset(&me.name, near.collect());
    names.sort();
    names
}
