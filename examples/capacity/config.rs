//! Size of the configuration's state, and cost of a change and a key look-up.

use crate::{DOMAINS, memory, nanos, size, workspace};
use gooseberrytack::{
    config::{self, Change, Key, Server},
    fold::{Fold, pos},
    wire::Name,
};
use std::hint::black_box;

/// Keys of each workspace.
const KEYS: usize = 2;

fn key(workspace: usize, n: usize) -> Key {
    Key {
        hash: format!("{:064x}", workspace * KEYS + n).into(),
        workspace: format!("workspace-{workspace:05}").into(),
        label: format!("key-{n}").into(),
        withdrawn: false,
    }
}

fn server(i: usize) -> Server {
    Server {
        name: format!("server-{i:04}").into(),
        addr: ([10, 0, (i / 250) as u8, (i % 250) as u8], 8000).into(),
        domain: format!("domain-{}", i % DOMAINS).into(),
        models: vec!["model".into()],
        slots: 8,
        fenced: true,
        leaving: false,
        start: 0,
        software: "".into(),
    }
}

pub fn state() {
    println!("\n| workspaces | servers | snapshot KB | resident KB | change us | key look-up ns |");
    println!("|---|---|---|---|---|---|");
    for (workspaces, servers) in [(100, 12), (1_000, 120), (13_000, 1_200), (13_000, 6_900)] {
        let before = memory();
        let state = config_of(workspaces, servers);
        let after = memory();
        let mut grown = state.clone();
        let changes: Vec<_> = (0..50).map(|n| one_change(workspaces + n)).collect();
        let change = nanos(changes.len(), |n| {
            grown.apply(pos(9_000_000 + n as u64, 0), &changes[n])
        });
        let hashes: Vec<Name> = (0..1000)
            .map(|n| key(n * workspaces / 1000, 0).hash)
            .collect();
        let look = nanos(100_000, |n| {
            black_box(state.key(&hashes[n % 1000]));
        });
        let state: &config::State = Box::leak(Box::new(state));
        println!(
            "| {workspaces} | {servers} | {} | {} | {:.0} | {look:.0} |",
            size(state) / 1024,
            after.saturating_sub(before),
            change / 1000.0,
        );
    }
}

fn one_change(i: usize) -> config::Record {
    let change = Change::new(format!("change-{i}"), "test", "capacity").workspace(&workspace(i));
    let change = (0..KEYS).fold(change, |c, n| c.key(&key(i, n)));
    config::Record::Change(change)
}

fn config_of(workspaces: usize, servers: usize) -> config::State {
    let mut state = config::State::default();
    let model = config::Model {
        name: "model".into(),
        version: "1".into(),
        adapters: Vec::new(),
        tokens: 1024,
    };
    let first = Change::new("seed", "test", "capacity").model(&model);
    let first = (0..servers).fold(first, |c, i| c.server(&server(i)));
    state.apply(pos(0, 0), &config::Record::Change(first));
    for (n, chunk) in (0..workspaces).collect::<Vec<_>>().chunks(200).enumerate() {
        let change = Change::new(format!("seed-{n}"), "test", "capacity");
        let change = chunk.iter().fold(change, |c, i| {
            let c = c.workspace(&workspace(*i));
            (0..KEYS).fold(c, |c, k| c.key(&key(*i, k)))
        });
        state.apply(pos(1 + n as u64, 0), &config::Record::Change(change));
    }
    assert_eq!(
        state.workspaces.len(),
        workspaces,
        "the changes are accepted"
    );
    state
}
