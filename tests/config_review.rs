//! A review of a configuration reports faults, entries without effect and contradictory limits, and nothing
//! for a configuration without them.

use gooseberrytack::{
    config::{
        Change, Finding, PassKind, PassRoute, Record, Server, State, Target, Workspace, plan,
        read_file, review, review_state,
    },
    fold::Fold,
};
use std::{sync::Arc, time::Duration};

const GOOD: &str = "[workspace w]\n[model m]\nversion = 1\n[server s]\naddr = 127.0.0.1:9\ndomain = d\nmodels = m\n\
    [route /svc]\naddrs = 127.0.0.1:8\n[route /svc/own]\naddrs = 127.0.0.1:7\n[route /svcs]\naddrs = 127.0.0.1:8\n";

fn found(more: &str) -> Vec<String> {
    let wanted = read_file(&(GOOD.to_string() + more)).expect("declarations");
    review(None, &wanted)
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn review_good_finds_nothing() {
    assert!(found("").is_empty(), "{:?}", found(""));
}

#[test]
fn review_names_faults() {
    let lines = found("[server t]\naddr = 127.0.0.1:6\ndomain = d\nmodels = gone\n");
    assert!(
        lines.len() == 1 && lines[0].starts_with("invalid: "),
        "{lines:?}"
    );
    assert!(lines[0].contains("gone"), "{lines:?}");
}

#[test]
fn review_names_entries_without_effect() {
    let lines = found("[model idle]\nversion = 1\n[route /svc/same]\naddrs = 127.0.0.1:8\n");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].starts_with("unused: route /svc/same: /svc "),
        "{lines:?}"
    );
    assert!(lines[1].contains("idle"), "{lines:?}");
}

#[test]
fn review_route_below_another_one_has_effect() {
    // Without it the requests below /svc/own/a would go to the address of /svc/own.
    assert!(found("[route /svc/own/a]\naddrs = 127.0.0.1:8\n").is_empty());
}

#[test]
fn review_differs_from_version_in_force() {
    let wanted = read_file(GOOD).expect("declarations");
    let found = review(Some(&State::default()), &wanted);
    assert_eq!(found.len(), wanted.len());
    assert!(
        found.iter().all(|f| matches!(f, Finding::Differs(_))),
        "{found:?}"
    );
}

#[test]
fn review_same_as_in_force_finds_nothing() {
    let wanted = read_file(GOOD).expect("declarations");
    let mut change = Change::new("c", "ada", "");
    change.edits = plan(&State::default(), &wanted, false);
    let mut state = State::default();
    state.apply(7, &Record::Change(change));
    // What the operators' port lists.
    let listed = State {
        revision: state.revision,
        objects: state.objects,
        ..State::default()
    };
    assert_eq!(review(Some(&listed), &wanted), []);
    // A part of the declarations relies on the rest in force.
    let part = read_file("[model m]\nversion = 2\n").expect("declarations");
    let found = review(Some(&listed), &part);
    assert!(matches!(&found[..], [Finding::Differs(_)]), "{found:?}");
}

fn pass(prefix: &str, service: &str) -> PassRoute {
    PassRoute {
        host: "h".into(),
        prefix: prefix.into(),
        kind: PassKind::Stream,
        targets: vec![Target {
            service: service.into(),
            weight: 1,
        }],
        timeout: Duration::from_secs(5),
        aim: Duration::from_millis(300),
        attempts: 1,
        open: false,
        resumable: false,
        retention: Duration::ZERO,
        queued: 0,
    }
}

#[test]
fn review_declared_from_outside() {
    let server = Server {
        name: "i".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        domain: "z".into(),
        models: vec!["s".into()],
        slots: 1,
        fenced: false,
        leaving: false,
        start: 0,
        software: "".into(),
    };
    let workspace = Workspace {
        name: "w".into(),
        weight: 1,
        rate: 60,
        burst: 1,
    };
    let mut state = State {
        servers: vec![server],
        workspaces: vec![workspace],
        passes: vec![
            Arc::new(pass("/", "s")),
            Arc::new(PassRoute {
                attempts: 2,
                ..pass("/a/", "s")
            }),
        ],
        ..State::default()
    };
    assert!(review_state(&state).is_empty());
    let short = PassRoute {
        timeout: Duration::from_millis(200),
        ..pass("/c/", "s")
    };
    state
        .passes
        .extend([pass("/b/", "s"), pass("/d/", "gone"), short].map(Arc::new));
    state.workspaces[0].burst = 0;
    let found: Vec<String> = review_state(&state)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(found.len(), 4, "{found:?}");
    assert!(found[0].starts_with("unused: route h/b/"), "{found:?}");
    assert!(found[1].starts_with("unused: route h/d/"), "{found:?}");
    assert!(found[2].starts_with("limits: route h/c/"), "{found:?}");
    assert!(found[3].starts_with("limits: workspace w"), "{found:?}");
}
