//! The declared lists of regions that requests may reach.
//!
//! They have a message of their own, as hosts of an earlier build refuse a longer `Catalog`.

use super::{CALL_TIMEOUT, Catalog, Declared, DeclaredReply, Versioned};
use crate::{
    clock::Time,
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

/// Most versions of the lists that a host holds. Further ones than two come only if the catalog does not follow.
const HELD_MAX: usize = 8;

/// The lists for the catalog in force, and those for later catalogs.
#[derive(Debug, Default)]
pub struct RegionVersions {
    /// Sorted by version.
    held: Vec<Versioned<RegionLimits>>,
}

impl RegionVersions {
    /// Adds lists, and drops those that are older than what the catalog of version `in_force` needs.
    pub fn update(&mut self, update: Versioned<RegionLimits>, in_force: u64) {
        if let Err(i) = self.held.binary_search_by_key(&update.at, |l| l.at) {
            self.held.insert(i, update);
        }
        let needed = self.held.partition_point(|l| l.at <= in_force);
        self.held.drain(..needed.saturating_sub(1));
        if self.held.len() > HELD_MAX {
            self.held.remove(1);
        }
    }

    /// The lists for the catalog of version `catalog`: the newest that are no newer than it. If all are newer, no
    /// earlier ones were ever known, and the oldest apply.
    pub fn of(&self, catalog: u64) -> Option<&Versioned<RegionLimits>> {
        let count = self.held.partition_point(|l| l.at <= catalog);
        self.held.get(count.saturating_sub(1))
    }
}

/// The lists that a host knows.
#[derive(Debug, Default)]
pub(super) struct KnownRegions {
    versions: RwLock<RegionVersions>,
    /// Whether there are any; spares requests the lock if not.
    has_limits: AtomicBool,
}

impl KnownRegions {
    fn of(&self, catalog: u64) -> Versioned<RegionLimits> {
        let versions = self.versions.read().expect("regions");
        versions.of(catalog).cloned().unwrap_or_default()
    }

    /// Whether the lists of the same version as the catalog of version `catalog` are known.
    fn has(&self, catalog: u64) -> bool {
        self.of(catalog).at == catalog
    }
}

impl Declared {
    /// Updates the lists of regions. They take effect together with the catalog of the same version. Call it before
    /// that catalog is updated, so that no route is used without its list.
    pub fn update_regions(&self, host: &Host, update: Versioned<RegionLimits>) {
        let in_force = host.config.view(|state| state.revision);
        let mut versions = self.regions.versions.write().expect("regions");
        versions.update(update, in_force);
        let has_limits = versions.held.iter().any(|l| !l.value.is_empty());
        self.regions.has_limits.store(has_limits, Ordering::Release);
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
        host.config.view(|state| {
            let limits = self.regions.of(state.revision).value;
            allowed(&limits, state)
        })
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

/// Asks a peer for all lists that are newer than the given version.
#[derive(Debug, Serialize, Deserialize)]
struct RegionsCall {
    at: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct RegionsReply {
    regions: Vec<Versioned<RegionLimits>>,
}

impl Call for RegionsCall {
    type Reply = RegionsReply;
    const PATH: &'static str = "/peer/declared/regions";
}

pub(super) fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: RegionsCall| {
        let versions = host.declared.regions.versions.read().expect("regions");
        let newer = versions.held.iter().filter(|l| l.at > call.at);
        Ok(RegionsReply {
            regions: newer.cloned().collect(),
        })
    })
}

/// What a host knows of the lists for a catalog after it asked a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Lists {
    /// It has them.
    Known,
    /// The peer has none as new as the catalog, like one of an earlier build.
    Missing,
    /// The peer did not answer.
    NotRead,
}

/// Takes newer lists of `peer` unless those for the catalog of version `catalog` are known.
pub(super) fn catch_up(host: &Host, peer: &Peer, catalog: u64) -> Lists {
    let known = &host.declared.regions;
    if known.has(catalog) {
        return Lists::Known;
    }
    // If only later lists are known, the peer may have those of this catalog or earlier ones.
    let at = Some(known.of(catalog).at).filter(|at| *at < catalog);
    let call = RegionsCall {
        at: at.unwrap_or_default(),
    };
    match host.call(peer.addr, &call, CALL_TIMEOUT) {
        Ok(reply) => {
            for regions in reply.regions {
                host.declared.update_regions(host, regions);
            }
            match known.has(catalog) {
                true => Lists::Known,
                false => Lists::Missing,
            }
        }
        Err(fail) if fail.kind == Kind::NotFound => Lists::Missing,
        Err(fail) => {
            tracing::debug!(peer = &*peer.name, error = %fail, "peer_regions_not_read");
            Lists::NotRead
        }
    }
}

/// Catalogs that one round of asking peers brought.
#[derive(Debug, Default)]
pub(super) struct Round {
    /// Whether one came with its lists.
    is_listed: bool,
    /// The newest one that came without, its peer and when it was up to date.
    unlisted: Option<(Versioned<Catalog>, Name, Time)>,
}

impl Round {
    /// Keeps the catalog of `reply` back, which `peer` sent at `began` or later, unless its lists are known.
    pub(super) fn check(
        &mut self,
        host: &Host,
        peer: &Peer,
        reply: &mut DeclaredReply,
        began: Time,
    ) {
        let in_force = host.config.view(|state| state.revision);
        let newest = reply.catalog.as_ref().map_or(in_force, |c| c.at);
        let lists = catch_up(host, peer, newest);
        match lists {
            Lists::Known => self.is_listed |= reply.catalog.is_some(),
            // The catalog in force may be of a peer without lists.
            Lists::Missing if reply.catalog.is_none() => {}
            Lists::Missing | Lists::NotRead => {
                let (catalog, age) = (reply.catalog.take(), reply.catalog_age.take());
                let is_newer = |c: &Versioned<Catalog>| {
                    let kept = self.unlisted.as_ref();
                    lists == Lists::Missing && kept.is_none_or(|(kept, ..)| c.is_newer_than(kept))
                };
                if let (Some(catalog), Some(age)) = (catalog.filter(is_newer), age) {
                    let fresh = began.saturating_sub(age);
                    self.unlisted = Some((catalog, peer.name.clone(), fresh));
                }
            }
        }
    }

    /// Uses the catalog that came without its lists if none came with them.
    pub(super) fn end(self, host: &Host) {
        if let Some((catalog, peer, fresh)) = self.unlisted.filter(|_| !self.is_listed) {
            tracing::info!(
                peer = &*peer,
                catalog = catalog.at,
                "catalog_without_regions"
            );
            host.declared.update_catalog(host, Some(catalog), fresh);
        }
    }
}
