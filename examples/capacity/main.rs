//! Slopes of state, time and messages for docs/CAPACITY.md, on the pure cores:
//! `cargo run --release --example capacity`.

mod config;
mod homes;
mod jobs;
mod placement;
mod tokens;

use gooseberrytack::{config::Workspace, wire::Peer};
use std::{fs, time::Instant};

const DOMAINS: usize = 12;
const HOSTS: usize = 1_600;
const SERVERS: usize = 6_900;
const WORKSPACES: usize = 13_000;
/// Bytes of a page of memory.
const PAGE: usize = 4096;

fn main() {
    config::state();
    homes::state();
    tokens::lending();
    jobs::state();
    placement::placement();
    placement::churn();
}

/// Resident memory in kilobytes.
fn memory() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE / 1024
}

/// Mean time of `run` in nanoseconds.
fn nanos(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let began = Instant::now();
    (0..count).for_each(&mut run);
    began.elapsed().as_nanos() as f64 / count as f64
}

fn size<T: serde::Serialize>(value: &T) -> usize {
    rmp_serde::to_vec(value).map_or(0, |b| b.len())
}

fn workspace(i: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{i:05}").into(),
        weight: 1,
        rate: 600,
        burst: 100,
    }
}

fn peer(i: usize) -> Peer {
    Peer {
        name: format!("host-{i:05}.00000000").into(),
        addr: ([10, 1, (i / 250 % 250) as u8, (i % 250) as u8], 8000).into(),
        domain: format!("domain-{}", i % DOMAINS).into(),
    }
}
