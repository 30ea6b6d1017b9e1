//! Cost of the decisions on the request path.

use divan::{Bencher, black_box};
use gooseberrytack::{
    gate::{Queue, SETTLE},
    route::{Candidate, SUBSET, order, subset},
    wire::{Class, Name},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standin::{candidate, slot_request};
use std::time::Duration;

fn main() {
    divan::main();
}

/// Orders the servers of one host's subset for a request.
#[divan::bench]
fn order_subset(bencher: Bencher) {
    let all: Vec<Candidate> = (0..SUBSET).map(candidate).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    bencher.bench_local(|| order(Class::Online, Some(7), black_box(&all), 6, &mut rng));
}

/// Chooses a host's subset from a fleet of the design size, 6,900 servers.
#[divan::bench]
fn subset_fleet(bencher: Bencher) {
    let all: Vec<(Name, bool)> = (0..6_900)
        .map(|i| (format!("s{i}").into(), i % 12 == 0))
        .collect();
    bencher.bench_local(|| subset("h1", black_box(all.clone())));
}

/// Grants and releases a slot while `waiting` requests wait.
#[divan::bench(args = [0, 10, 1000])]
fn queue_grant(bencher: Bencher, waiting: usize) {
    let mut queue = Queue::new(64, Duration::ZERO);
    let granted = if waiting > 0 { 64 } else { 0 };
    for i in 0..granted + waiting {
        queue.request(SETTLE, &slot_request(&format!("first{i}")), 1, true);
    }
    let one = slot_request("one");
    bencher.bench_local(|| {
        queue.request(SETTLE, black_box(&one), 1, false);
        queue.release(SETTLE, "one", 1)
    });
}
