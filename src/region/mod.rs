//! Regions that requests may reach.
//!
//! Operators list regions for routes and workspaces, and the settings of each host map failure domains to regions.
//! Everything here is a function of its arguments; `declared` holds the lists in force.

use crate::{config::Server, wire::Name};
use serde::{Deserialize, Serialize};

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

    /// Whether `domain` is in one of the regions `allowed`.
    pub fn is_within(&self, domain: &str, allowed: &[Name]) -> bool {
        self.region(domain).is_some_and(|r| allowed.contains(r))
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
    /// The regions.
    pub regions: Vec<Name>,
}

/// The regions that a workspace lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceRegions {
    /// Name of the workspace.
    pub workspace: Name,
    /// The regions.
    pub regions: Vec<Name>,
}

/// The lists of regions of one configuration; routes and workspaces without a list are not in it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLimits {
    /// Lists of routes.
    pub routes: Vec<RouteRegions>,
    /// Lists of workspaces.
    pub workspaces: Vec<WorkspaceRegions>,
}

impl RegionLimits {
    /// Whether no route and no workspace has a list.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.workspaces.is_empty()
    }

    /// The regions that a request of `workspace` may reach on the route with this host name and prefix, if it
    /// has one: those in all lists that apply. `None` if no list applies, so that it may reach all servers.
    pub fn allowed(&self, route: Option<(&str, &str)>, workspace: &str) -> Option<Vec<Name>> {
        let is_of_route = |r: &&RouteRegions| route == Some((&*r.host, &*r.prefix));
        let of_route = self.routes.iter().filter(is_of_route);
        let of_workspace = self.workspaces.iter();
        let of_workspace = of_workspace.filter(|w| *w.workspace == *workspace);
        let lists = of_route
            .map(|r| &r.regions)
            .chain(of_workspace.map(|w| &w.regions));
        intersect(lists.map(|list| Some(list.clone())))
    }
}

/// The regions that are in all of `lists`; a list of `None` allows all regions. `None` if all lists do.
pub fn intersect(lists: impl IntoIterator<Item = Option<Vec<Name>>>) -> Option<Vec<Name>> {
    let common = |mut common: Vec<Name>, list: Vec<Name>| {
        common.retain(|r| list.contains(r));
        common
    };
    lists.into_iter().flatten().reduce(common)
}
