//! Regions that requests may reach.
//!
//! Operators list regions for routes and workspaces, and the settings of each host map failure domains to regions.
//! Everything here is a function of its arguments; `declared` holds the lists in force.

use crate::{config::Server, wire::Name};
use serde::{Deserialize, Serialize};
use std::{cmp::Ordering, ops::Range, sync::Arc};

/// Regions of failure domains, sorted by failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones(Vec<(Name, Name)>);

impl Zones {
    /// The regions of `zones`, pairs of a failure domain and its region. The first of several pairs with the
    /// same failure domain counts.
    pub fn new(mut zones: Vec<(Name, Name)>) -> Self {
        zones.sort_by(|a, b| a.0.cmp(&b.0));
        zones.dedup_by(|later, first| later.0 == first.0);
        Self(zones)
    }

    /// The region of the failure domain `domain`; `None` if it is in no region.
    pub fn region(&self, domain: &str) -> Option<&Name> {
        let at = self.0.binary_search_by(|(d, _)| (**d).cmp(domain)).ok()?;
        Some(&self.0[at].1)
    }

    /// Whether `domain` is in one of the regions `allowed`, sorted by name.
    pub fn is_within(&self, domain: &str, allowed: &[Name]) -> bool {
        let region = self.region(domain);
        region.is_some_and(|r| allowed.binary_search(r).is_ok())
    }

    /// Whether a host in `domain` may get the body of a request that reached the fleet at a host in `client`:
    /// it is in one of the regions `allowed` or in the client's.
    pub fn may_pass(&self, domain: &str, client: &str, allowed: &[Name]) -> bool {
        let region = self.region(domain);
        self.is_within(domain, allowed) || (region.is_some() && region == self.region(client))
    }

    /// Whether a host in `domain` may run the items of a batch job that are limited to the regions `allowed`: it is in
    /// one of them, or none of the failure domains `others` of further hosts that could run them is.
    pub fn may_run<'a>(
        &self,
        domain: &str,
        others: impl IntoIterator<Item = &'a Name>,
        allowed: &[Name],
    ) -> bool {
        let mut others = others.into_iter();
        self.is_within(domain, allowed) || !others.any(|d| self.is_within(d, allowed))
    }

    /// The servers of `servers` that a request may reach that is limited to the regions `allowed`; all if it has no limit.
    pub fn select<'a>(
        &'a self,
        servers: impl IntoIterator<Item = &'a Server>,
        allowed: Option<&'a [Name]>,
    ) -> impl Iterator<Item = &'a Server> {
        let servers = servers.into_iter();
        servers.filter(move |s| allowed.is_none_or(|a| self.is_within(&s.domain, a)))
    }
}

/// The regions that a route lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRegions {
    /// Host name of the route.
    pub host: Name,
    /// Path prefix of the route.
    pub prefix: Name,
    /// The regions, sorted.
    pub regions: Arc<[Name]>,
}

/// The regions that a workspace lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRegions {
    /// Name of the workspace.
    pub workspace: Name,
    /// The regions, sorted.
    pub regions: Arc<[Name]>,
}

/// The lists of regions of one configuration; routes and workspaces without a list are not in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLimits {
    /// Lists of routes, sorted by host name and prefix.
    pub routes: Vec<RouteRegions>,
    /// Lists of workspaces, sorted by workspace.
    pub workspaces: Vec<WorkspaceRegions>,
}

impl RegionLimits {
    /// Sorts the lists, which may be in any order.
    pub fn new(mut routes: Vec<RouteRegions>, mut workspaces: Vec<WorkspaceRegions>) -> Self {
        let of_routes = routes.iter_mut().map(|r| &mut r.regions);
        let of_workspaces = workspaces.iter_mut().map(|w| &mut w.regions);
        for regions in of_routes.chain(of_workspaces) {
            let mut sorted = regions.to_vec();
            sorted.sort();
            sorted.dedup();
            *regions = sorted.into();
        }
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        workspaces.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        Self { routes, workspaces }
    }

    /// Whether no route and no workspace has a list.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.workspaces.is_empty()
    }

    /// The regions that a request of `workspace` may reach on the route with this host name and prefix, if it
    /// has one: those in all lists that apply, sorted. `None` if no list applies, so that it may reach all servers.
    pub fn allowed(&self, route: Option<(&str, &str)>, workspace: &str) -> Option<Arc<[Name]>> {
        let of_route = route.map_or(0..0, |route| {
            equal(&self.routes, |r| (&*r.host, &*r.prefix).cmp(&route))
        });
        let of_workspace = equal(&self.workspaces, |w| (*w.workspace).cmp(workspace));
        if of_route.is_empty() && of_workspace.is_empty() {
            return None;
        }
        let of_route = self.routes[of_route].iter().map(|r| &r.regions);
        let of_workspace = self.workspaces[of_workspace].iter().map(|w| &w.regions);
        intersect(of_route.chain(of_workspace).map(|list| Some(list.clone())))
    }
}

/// The part of `sorted` for which `compare` is equal.
fn equal<T>(sorted: &[T], compare: impl Fn(&T) -> Ordering) -> Range<usize> {
    let start = sorted.partition_point(|t| compare(t).is_lt());
    let count = sorted[start..].partition_point(|t| compare(t).is_eq());
    start..start + count
}

/// The regions that are in all of `lists`, which are sorted; a list of `None` allows all regions. `None` if all lists
/// do. Makes a new list only for two lists of which neither holds the other.
pub fn intersect(lists: impl IntoIterator<Item = Option<Arc<[Name]>>>) -> Option<Arc<[Name]>> {
    let common = |a: Arc<[Name]>, b: Arc<[Name]>| {
        if Arc::ptr_eq(&a, &b) {
            return a;
        }
        let in_both = a.iter().filter(|r| b.binary_search(r).is_ok());
        match in_both.clone().count() {
            n if n == a.len() => a,
            n if n == b.len() => b,
            _ => in_both.cloned().collect(),
        }
    };
    lists.into_iter().flatten().reduce(common)
}
