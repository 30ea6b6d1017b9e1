//! Which servers and hosts a request may reach that is limited to regions.

use gooseberrytack::{
    config::Server,
    declared::{RegionVersions, Versioned},
    region::{RegionLimits, RouteRegions, WorkspaceRegions, Zones},
    route::{SUBSET, used_servers},
    wire::{Name, Peer},
};

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

/// `z1` and `z2` are in the region `a`, `z3` is in `b`; `z4` is in none.
fn zones() -> Zones {
    let pairs = [("z3", "b"), ("z1", "a"), ("z2", "a")];
    Zones::new(pairs.map(|(z, r)| (z.into(), r.into())).to_vec())
}

/// The server `i-N` in the failure domain `zM`.
fn server(n: usize, m: usize) -> Server {
    Server {
        name: format!("i-{n}").into(),
        addr: "127.0.0.1:1".parse().expect("address"),
        domain: format!("z{m}").into(),
        models: names(&["s"]),
        slots: 1,
        fenced: false,
        leaving: false,
        start: 0,
        software: Name::default(),
    }
}

fn servers() -> Vec<Server> {
    (1..=4).map(|n| server(n, n)).collect()
}

fn selected(allowed: &[&str]) -> Vec<String> {
    let (zones, servers, allowed) = (zones(), servers(), names(allowed));
    let selected = zones.select(&servers, Some(&allowed));
    selected.map(|s| s.name.to_string()).collect()
}

fn limits() -> RegionLimits {
    let route = |prefix: &str, regions: &[&str]| RouteRegions {
        host: "h".into(),
        prefix: prefix.into(),
        regions: names(regions).into(),
    };
    let workspace = |workspace: &str, regions: &[&str]| WorkspaceRegions {
        workspace: workspace.into(),
        regions: names(regions).into(),
    };
    let routes = vec![
        route("/r/", &["c"]),
        route("/q/", &["b", "a"]),
        route("/t/", &["d", "b"]),
        route("/t/", &["c", "b"]),
    ];
    RegionLimits::new(
        routes,
        vec![workspace("w", &["c", "b"]), workspace("v", &["a"])],
    )
}

#[test]
fn select_only_servers_in_allowed_regions() {
    // Guards against use of a server whose failure domain has no region.
    assert_eq!(selected(&["a"]), ["i-1", "i-2"]);
    assert_eq!(selected(&["b", "unknown"]), ["i-3"]);
    assert!(selected(&["unknown"]).is_empty());
    assert!(selected(&[]).is_empty());
}

#[test]
fn used_servers_are_chosen_among_those_in_regions() {
    // Guards against the few servers of a region in the subset of a host that get all its limited requests.
    let (zones, count) = (zones(), 20 * SUBSET);
    // Of 20 servers, one is in the region `b`.
    let servers: Vec<Server> = (0..count)
        .map(|n| server(n, if n % 20 == 0 { 3 } else { 1 }))
        .collect();
    let me = Peer {
        name: "h".into(),
        addr: "127.0.0.1:1".parse().expect("address"),
        domain: "z1".into(),
    };
    let used = |allowed: Option<&[Name]>, evacuated: &str| {
        let able = zones.select(&servers, allowed);
        used_servers(&me, able, |s| *s.domain == *evacuated)
    };
    let (b, both) = (names(&["b"]), names(&["a", "b"]));
    assert_eq!(used(Some(&b), "").len(), SUBSET);
    assert_eq!(used(Some(&b), "z3"), used(Some(&b), ""));
    assert_eq!(used(None, "z1"), used(Some(&b), ""));
    assert_eq!(used(Some(&both), ""), used(None, ""));
}

#[test]
fn allowed_route_and_workspace_both_apply() {
    // Guards against one list replacing the other, and against an empty intersection taken for no limit.
    let limits = limits();
    let allowed = |prefix: &str, workspace: &str| limits.allowed(Some(("h", prefix)), workspace);
    let some = |regions: &[&str]| Some(names(regions).into());
    assert_eq!(allowed("/q/", "w"), some(&["b"]));
    assert_eq!(allowed("/q/", "other"), some(&["a", "b"]));
    assert_eq!(allowed("/other/", "w"), some(&["b", "c"]));
    assert_eq!(allowed("/r/", "v"), some(&[]));
    // Two routes with the same prefix.
    assert_eq!(allowed("/t/", "other"), some(&["b"]));
    assert_eq!(allowed("/other/", "other"), None);
    assert_eq!(limits.allowed(None, "v"), some(&["a"]));
    assert_eq!(limits.allowed(Some(("g", "/q/")), ""), None);
}

#[test]
fn of_catalog_is_its_own_lists() {
    // Guards against lists that are in force before their catalog, and against earlier ones that replace later ones.
    let mut versions = RegionVersions::default();
    let mut update = |at: u64, in_force: u64| {
        let update = Versioned::new(at, RegionLimits::default());
        versions.update(update, in_force);
        [4, 5, 6, 7, 9].map(|catalog| versions.of(catalog).map_or(0, |lists| lists.at))
    };
    assert_eq!(update(5, 0), [5; 5], "no earlier ones are known");
    assert_eq!(update(9, 5), [5, 5, 5, 5, 9]);
    assert_eq!(update(7, 5), [5, 5, 5, 7, 9]);
    assert_eq!(update(8, 7), [7, 7, 7, 7, 9]);
    assert_eq!(update(6, 9), [9; 5]);
    // Lists without a catalog do not add up, nor take the place of those in force.
    let last = (10..100).map(|at| update(at, 9)).last();
    assert_eq!(last, Some([9; 5]));
    assert_eq!(versions.of(99).map(|lists| lists.at), Some(99));
}

#[test]
fn may_run_elsewhere_only_without_host_in_allowed_regions() {
    // Guards against items that never run as no host in their regions could, and against others that take them.
    let zones = zones();
    let may_run =
        |(domain, others): (&str, &[&str])| zones.may_run(domain, &names(others), &names(&["b"]));
    let allowed = [
        ("z3", &["z3", "z1"][..]),
        ("z1", &["z2", "z4"]),
        ("z4", &[]),
    ];
    assert_eq!(allowed.map(may_run), [true; 3]);
    let refused = [("z1", &["z2", "z3"][..]), ("z4", &["z3"])];
    assert_eq!(refused.map(may_run), [false; 2]);
}

#[test]
fn may_pass_allowed_region_or_that_of_client() {
    // Guards against bodies passed to hosts elsewhere, also if neither host is in a region.
    let zones = zones();
    let may_pass = |(to, client): (&str, &str)| zones.may_pass(to, client, &names(&["b"]));
    let allowed = [("z3", "z1"), ("z2", "z1"), ("z3", "z4")];
    assert_eq!(allowed.map(may_pass), [true; 3]);
    let refused = [("z1", "z3"), ("z4", "z1"), ("z4", "z4")];
    assert_eq!(refused.map(may_pass), [false; 3]);
}
