//! How the cost of decisions on the request path grows with the size of the fleet.
//!
//! Each decision is timed at a size and at ten times that size, in one run. Its cost may grow as
//! the line names, with a factor of two for noise; the last line counts those that grew more.

use gooseberrytack::{
    config::{self, Change, Key, Workspace},
    fold::{Fold, decode_frame, pos},
    gate::{Queue, SETTLE},
    member::Ring,
    route::{Candidate, order},
    wire::{Class, Name, Peer},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_bytes::ByteBuf;
use standin::{candidate, slot_request};
use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// How much larger the larger size is.
const SIZE_RATIO: usize = 10;
/// Factor that noise may add to a ratio.
const NOISE: f64 = 2.0;
/// Timings of each size, of which the shortest counts: other load disturbed it least.
const ROUNDS: usize = 25;

/// How a cost may grow with the size.
#[derive(Debug, Clone, Copy)]
enum Growth {
    /// As the depth of a binary search over 100 entries or more does: by half.
    Search,
    /// In proportion.
    Linear,
}

impl Growth {
    fn bound(self) -> f64 {
        match self {
            Self::Search => 1.5 * NOISE,
            Self::Linear => SIZE_RATIO as f64 * NOISE,
        }
    }
}

fn main() {
    let mut over = 0;
    let mut judge = |name: &str, growth: Growth, small: f64, large: f64| {
        let ratio = large / small;
        let is_over = ratio > growth.bound();
        over += usize::from(is_over);
        println!(
            "{name} small_ns={small:.0} large_ns={large:.0} ratio={ratio:.2} may_grow={growth:?}"
        );
    };
    judge(
        "key_lookup",
        Growth::Search,
        key_lookup(1_300),
        key_lookup(13_000),
    );
    judge(
        "config_change",
        Growth::Linear,
        config_change(1_300),
        config_change(13_000),
    );
    judge(
        "frame_decode",
        Growth::Linear,
        frame_decode(100),
        frame_decode(1_000),
    );
    judge(
        "placement",
        Growth::Linear,
        placement(160),
        placement(1_600),
    );
    judge(
        "server_order",
        Growth::Linear,
        server_order(64),
        server_order(640),
    );
    judge(
        "slot_grant",
        Growth::Linear,
        slot_grant(100),
        slot_grant(1_000),
    );
    println!("decision_costs over={over}");
}

/// Shortest mean time of a `run` in nanoseconds, over rounds of `count`.
fn nanos(count: usize, mut run: impl FnMut(usize)) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        (0..count).for_each(&mut run);
        began.elapsed()
    });
    let best: Duration = rounds.min().unwrap_or_default();
    best.as_nanos() as f64 / count as f64
}

fn key_lookup(count: usize) -> f64 {
    let hash = |i: usize| -> Name { format!("{i:064x}").into() };
    let key = |i: usize| Key {
        hash: hash(i),
        workspace: "w".into(),
        label: "l".into(),
        withdrawn: false,
    };
    let state = config::State {
        keys: (0..count).map(key).collect(),
        ..config::State::default()
    };
    let wanted: Vec<Name> = (0..100).map(|i| hash(i * count / 100)).collect();
    nanos(10_000, |n| {
        black_box(state.key(&wanted[n % wanted.len()]));
    })
}

fn config_change(count: usize) -> f64 {
    let workspace = |i: usize| Workspace {
        name: format!("w{i:05}").into(),
        weight: 1,
        rate: 600,
        burst: 60,
    };
    let mut state = config::State::default();
    let change = |id: String, from: usize, to: usize| {
        let change = Change::new(id, "test", "costs");
        let change = (from..to).fold(change, |c, i| {
            let key = Key {
                hash: format!("{i:064x}").into(),
                workspace: workspace(i).name,
                label: "l".into(),
                withdrawn: false,
            };
            c.workspace(&workspace(i)).key(&key)
        });
        config::Record::Change(change)
    };
    for from in (0..count).step_by(100) {
        let record = change(format!("seed-{from}"), from, from + 100);
        state.apply(pos(from as u64, 0), &record);
    }
    assert_eq!(state.workspaces.len(), count, "the changes are accepted");
    let mut next = count;
    nanos(20, |_| {
        let record = change(format!("one-{next}"), next, next + 1);
        state.apply(pos(next as u64, 0), &record);
        next += 1;
    })
}

fn frame_decode(count: usize) -> f64 {
    let record = config::Record::Change(Change::new("id", "test", "costs"));
    let bytes = rmp_serde::to_vec(&record).expect("encodes");
    let parts = vec![ByteBuf::from(bytes); count];
    let frame = rmp_serde::to_vec(&parts).expect("encodes");
    nanos(20, |_| {
        let records = decode_frame::<config::Record>(black_box(&frame));
        assert_eq!(records.len(), count);
    })
}

fn placement(count: usize) -> f64 {
    let peer = |i: usize| Peer {
        name: format!("h{i}").into(),
        addr: ([10, 0, (i / 250) as u8, (i % 250) as u8], 8081).into(),
        domain: format!("d{}", i % 12).into(),
    };
    let ring = Ring::new((0..count).map(peer).collect());
    nanos(200, |n| {
        black_box(ring.owner(if n % 2 == 0 { "gate/a" } else { "gate/b" }));
    })
}

fn server_order(count: usize) -> f64 {
    let all: Vec<Candidate> = (0..count).map(candidate).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    nanos(200, |n| {
        black_box(order(Class::Online, Some(n as u64), &all, 6, &mut rng));
    })
}

fn slot_grant(waiting: usize) -> f64 {
    let slots = 64;
    let mut queue = Queue::new(slots, Duration::ZERO);
    for i in 0..slots as usize + waiting {
        queue.request(SETTLE, &slot_request(&format!("first{i}")), 1, true);
    }
    let one = slot_request("one");
    nanos(100, |_| {
        queue.request(SETTLE, &one, 1, true);
        queue.withdraw("one");
    })
}
