//! The servers that a host uses for each model.

use super::{choose::subset, regions::is_able, state::Routes};
use crate::{config::Server, fold::Pos, kernel::Host, wire::Name};
use std::sync::Arc;

/// The servers that this host uses for a model, cached until any server changes: choosing them from
/// the whole fleet is too expensive to do for each request.
#[derive(Debug, Clone)]
pub(super) struct ModelServers {
    model: Name,
    at: Pos,
    /// Version of the list of evacuated failure domains.
    evacuations: u64,
    servers: Arc<[Server]>,
    /// Whether a thread is choosing the servers again.
    is_refreshing: bool,
}

impl Routes {
    /// The servers for `model`. While one request chooses them again, others use the previous choice;
    /// gates refuse work for leaving servers.
    pub(super) fn servers_for(&self, host: &Host, model: &Name) -> Arc<[Server]> {
        let at = host.config.view(|s| s.servers_at);
        let evacuations = self.departures.evacuations();
        let mut known = self.by_model.lock().expect("chosen servers");
        if let Ok(i) = known.binary_search_by(|r| r.model.cmp(model)) {
            let chosen = &mut known[i];
            let is_current = chosen.at == at && chosen.evacuations == evacuations;
            if is_current || chosen.is_refreshing {
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
        let chosen = choose_servers(host, model);
        let servers = chosen.servers.clone();
        let mut known = self.by_model.lock().expect("chosen servers");
        match known.binary_search_by(|r| r.model.cmp(model)) {
            Ok(i) => known[i] = chosen,
            Err(i) => known.insert(i, chosen),
        }
        servers
    }

    /// The servers for `model` with the software `version`: those among the ones that this host uses, or
    /// all if there is none among them.
    pub(super) fn servers_with(&self, host: &Host, model: &Name, version: &Name) -> Arc<[Server]> {
        let used = self.servers_for(host, model);
        let same = used.iter().filter(|s| s.software == *version).cloned();
        let same: Arc<[Server]> = same.collect();
        if !same.is_empty() {
            return same;
        }
        let is_able = |s: &&Server| is_able(s, model, Some(version));
        host.config
            .view(|state| state.servers.iter().filter(is_able).cloned().collect())
    }
}

/// The servers that `host` uses for `model`, sorted by name. Those of evacuated failure domains are among them
/// only if there are no others.
fn choose_servers(host: &Host, model: &Name) -> ModelServers {
    let departures = &host.routes.departures;
    let evacuations = departures.evacuations();
    host.config.view(|state| {
        let able = state.servers.iter();
        let able = able.filter(|s| !s.leaving && s.models.contains(model));
        let mut able: Vec<&Server> = able.collect();
        if able.iter().any(|s| !departures.is_evacuated(s)) {
            able.retain(|s| !departures.is_evacuated(s));
        }
        let near = able.iter();
        let near = near.map(|s| (s.name.clone(), s.domain == host.me.domain));
        let mut names = subset(&host.me.name, near.collect());
        names.sort();
        ModelServers {
            model: model.clone(),
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
