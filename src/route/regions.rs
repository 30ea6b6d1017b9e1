//! The servers in the regions that work may reach.

use super::{
    dispatch::{Run, Sink},
    state::Routes,
};
use crate::{
    config::Server,
    error::{Fail, Kind},
    kernel::Host,
    wire::{Class, Name, Work},
};
use std::{sync::Arc, time::Duration};

/// Retry-after time of work that no server may run: servers in its regions come with the configuration.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl Routes {
    /// The servers that this host uses for `work`, in the regions that it may reach and only with the software
    /// `version` if it is given.
    pub(super) fn servers_of(
        &self,
        host: &Host,
        work: &Work,
        version: Option<&Name>,
    ) -> Arc<[Server]> {
        let allowed = host.declared.regions_of(host, work);
        let (model, allowed) = (&work.model, allowed.as_deref());
        match version {
            Some(version) => self.servers_with(host, model, version, allowed),
            None => self.servers_for(host, model, allowed),
        }
    }

    /// Whether a server with the software `version` that `work` may reach takes it.
    pub(super) fn has_version(&self, host: &Host, work: &Work, version: &Name) -> bool {
        self.has_able(host, work, |s| {
            is_able(s, &work.model, Some(version)) && !self.departures.has(s)
        })
    }

    /// Whether a server that is not leaving can run `work` in the regions that it may reach.
    pub(super) fn has_server(&self, host: &Host, work: &Work) -> bool {
        self.has_able(host, work, |s| is_able(s, &work.model, None))
    }

    fn has_able(&self, host: &Host, work: &Work, is_able: impl Fn(&Server) -> bool) -> bool {
        let allowed = host.declared.regions_of(host, work);
        let zones = &host.settings.zones;
        host.config.view(|state| {
            let mut within = zones.select(&state.servers, allowed.as_deref());
            within.any(is_able)
        })
    }

    /// Whether `work` may reach `server`.
    pub(super) fn may_reach(&self, host: &Host, work: &Work, server: &Server) -> bool {
        let allowed = host.declared.regions_of(host, work);
        allowed.is_none_or(|allowed| host.settings.zones.is_within(&server.domain, &allowed))
    }
}

/// Whether `server` can run `model`, with the software `version` if it is given, and is not leaving.
pub(super) fn is_able(server: &Server, model: &Name, version: Option<&Name>) -> bool {
    !server.leaving
        && version.is_none_or(|v| server.software == *v)
        && server.models.contains(model)
}

impl<S: Sink> Run<'_, S> {
    /// The error for work without a server: `fail`, unless that is because of the regions that it may reach. Such
    /// work is counted; online requests are logged too, while a batch item is tried again several times a second.
    pub(super) fn out_of_regions(&self, fail: Fail) -> Fail {
        let (host, work) = (self.host, self.work);
        let Some(regions) = host.declared.regions_of(host, work) else {
            return fail;
        };
        if host.routes.has_server(host, work) {
            return fail;
        }
        let regions = regions.join(",");
        host.meters.out_of_regions();
        if work.class == Class::Online {
            let (id, workspace, model) = (&*work.id, &*work.workspace, &*work.model);
            tracing::info!(id, workspace, model, regions, "no_server_in_regions");
        }
        let text = format!(
            "no server with model \"{}\" is in a region that allowed_regions of the route and of the workspace allow: \
             \"{regions}\"",
            work.model
        );
        Fail::new(Kind::Overloaded, text).retry_after(RETRY_AFTER)
    }
}
