//! The declared lists of regions that requests may reach.
//!
//! They have a message of their own, as hosts of an earlier build refuse a longer `Catalog`.

use super::{CALL_TIMEOUT, Declared, Versioned};
use crate::{
    config::{PassRoute, State, pass_route},
    error::Kind,
    http::Exchange,
    job::ItemSpec,
    kernel::{Call, Host, serve_call},
    pass::Request,
    region::{RegionLimits, intersect},
    wire::{Name, Peer, Work},
};
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

/// The newest lists that a host knows, with the version of the catalog that they belong to.
#[derive(Debug, Default)]
pub(super) struct KnownRegions {
    limits: RwLock<Versioned<RegionLimits>>,
    /// Whether there are any; spares requests the lock if not.
    has_limits: AtomicBool,
}

impl KnownRegions {
    fn get(&self) -> Versioned<RegionLimits> {
        self.limits.read().expect("regions").clone()
    }
}

impl Declared {
    /// Updates the lists of regions. Call it before the catalog of the same version is updated, so that no route is
    /// used without its list.
    pub fn update_regions(&self, update: Versioned<RegionLimits>) {
        let mut limits = self.regions.limits.write().expect("regions");
        if limits.update(Some(update)) {
            let has_limits = !limits.value.is_empty();
            self.regions.has_limits.store(has_limits, Ordering::Release);
        }
    }

    /// Whether a route or a workspace has a list of regions.
    pub fn has_region_limits(&self) -> bool {
        self.regions.has_limits.load(Ordering::Acquire)
    }

    /// The regions that `work` may reach; `None` for all servers.
    pub fn regions_of(&self, host: &Host, work: &Work) -> Option<Arc<[Name]>> {
        self.allowed(host, |limits, state| {
            allowed_for(limits, state, work.request.as_deref(), &work.workspace)
        })
    }

    /// The regions that every one of the items `specs` of `workspace` may reach; `None` for all servers.
    pub fn regions_of_items(
        &self,
        host: &Host,
        workspace: &str,
        specs: &[Arc<ItemSpec>],
    ) -> Option<Arc<[Name]>> {
        self.allowed(host, |limits, state| {
            let requests = specs.iter().map(|s| s.request.as_deref());
            intersect(requests.map(|r| allowed_for(limits, state, r, workspace)))
        })
    }

    /// The regions that requests of `workspace` on `route` may reach; `None` for all servers.
    pub fn regions_of_route(
        &self,
        host: &Host,
        workspace: &str,
        route: &PassRoute,
    ) -> Option<Arc<[Name]>> {
        self.allowed(host, |limits, _| {
            limits.allowed(Some((&route.host, &route.prefix)), workspace)
        })
    }

    fn allowed(
        &self,
        host: &Host,
        allowed: impl FnOnce(&RegionLimits, &State) -> Option<Arc<[Name]>>,
    ) -> Option<Arc<[Name]>> {
        if !self.has_region_limits() {
            return None;
        }
        let limits = self.regions.get().value;
        host.config.view(|state| allowed(&limits, state))
    }
}

fn allowed_for(
    limits: &RegionLimits,
    state: &State,
    request: Option<&Request>,
    workspace: &str,
) -> Option<Arc<[Name]>> {
    let request = request.filter(|_| !limits.routes.is_empty());
    let route = request.and_then(|r| {
        let path = r.target.split('?').next().unwrap_or("");
        pass_route(state, &r.host, path)
    });
    let route = route.map(|r| (&*r.host, &*r.prefix));
    limits.allowed(route, workspace)
}

/// Asks a peer for the lists if they are newer than the given version.
#[derive(Debug, Serialize, Deserialize)]
struct RegionsCall {
    at: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct RegionsReply {
    regions: Option<Versioned<RegionLimits>>,
}

impl Call for RegionsCall {
    type Reply = RegionsReply;
    const PATH: &'static str = "/peer/declared/regions";
}

pub(super) fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: RegionsCall| {
        let regions = Some(host.declared.regions.get());
        Ok(RegionsReply {
            regions: regions.filter(|r| r.at > call.at),
        })
    })
}

/// Takes the newer lists of `peer` if those known here are older than the catalog of version `catalog`. Returns
/// whether that catalog may be used: not if its lists could not be read. A peer of an earlier build has none.
pub(super) fn catch_up(host: &Host, peer: &Peer, catalog: u64) -> bool {
    let call = RegionsCall {
        at: host.declared.regions.get().at,
    };
    if call.at >= catalog {
        return true;
    }
    match host.call(peer.addr, &call, CALL_TIMEOUT) {
        Ok(reply) => {
            if let Some(regions) = reply.regions {
                host.declared.update_regions(regions);
            }
            true
        }
        Err(fail) if fail.kind == Kind::NotFound => true,
        Err(fail) => {
            tracing::debug!(peer = &*peer.name, error = %fail, "peer_regions_not_read");
            false
        }
    }
}
