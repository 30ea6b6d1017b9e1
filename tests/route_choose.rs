//! Order in which backend servers are asked, and their health: ejection, probes, slowness.

use gooseberrytack::{
    gate::Counts,
    route::{
        Availability, Candidate, EJECTION_FAILURES, EJECTION_MIN, Health, Outcome, Routes, SUBSET,
        fan_out, order, subset,
    },
    wire::{Class, Name},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const PREFIX: u64 = 7;

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn servers(count: usize) -> Vec<Candidate> {
    let server = |i| Candidate {
        name: format!("s{i}").into(),
        is_near: true,
        load: 0.0,
        spare: 8,
        is_limited: false,
        expected: None,
        is_full: false,
        availability: Availability::Available,
    };
    (0..count).map(server).collect()
}

fn first(class: Class, all: &[Candidate], rng: &mut ChaCha8Rng) -> Name {
    order(class, Some(PREFIX), all, 3, rng)[0].clone()
}

#[test]
fn order_same_prefix_same_server() {
    let (all, mut rng) = (servers(12), rng());
    let home = first(Class::Online, &all, &mut rng);
    for _ in 0..50 {
        assert_eq!(first(Class::Online, &all, &mut rng), home);
    }
}

#[test]
fn order_no_prefix_spreads() {
    let (all, mut rng) = (servers(12), rng());
    let mut counts = [0; 12];
    for _ in 0..1200 {
        let chosen = order(Class::Online, None, &all, 1, &mut rng)[0].clone();
        let at = all.iter().position(|c| c.name == chosen);
        counts[at.expect("server")] += 1;
    }
    assert!(counts.iter().all(|c| (50..200).contains(c)), "{counts:?}");
}

/// With half of the servers full, an item of a batch backlog must find a free slot although it asks few
/// servers.
#[test]
fn order_batch_finds_room_with_few_asks() {
    let mut rng = rng();
    let mut all = servers(64);
    all.iter_mut().step_by(2).for_each(|c| c.spare = 0);
    let most = fan_out(Class::Batch);
    assert!(most < fan_out(Class::Online));
    let finds = |rng: &mut ChaCha8Rng| {
        let chosen = order(Class::Batch, None, &all, most, rng);
        let is_free = |name: &Name| all.iter().any(|c| c.name == *name && c.spare > 0);
        chosen.iter().any(is_free)
    };
    let found = (0..1000).filter(|_| finds(&mut rng)).count();
    assert!(found >= 900, "{found} of 1000 items found a free slot");
}

#[test]
fn order_home_loaded_goes_elsewhere() {
    let (mut all, mut rng) = (servers(12), rng());
    let home = first(Class::Online, &all, &mut rng);
    let loaded = all.iter_mut().find(|c| c.name == home);
    loaded.expect("home").load = 0.9;
    assert_ne!(first(Class::Online, &all, &mut rng), home);
}

#[test]
fn order_home_gone_moves_only_its_prefixes() {
    let (all, mut rng) = (servers(12), rng());
    let without = &all[1..];
    for prefix in 0..200 {
        let before = order(Class::Online, Some(prefix), &all, 1, &mut rng)[0].clone();
        let after = order(Class::Online, Some(prefix), without, 1, &mut rng)[0].clone();
        assert!(before == after || before == all[0].name);
    }
}

#[test]
fn order_aside_is_left_out_and_probe_is_one() {
    let (mut all, mut rng) = (servers(4), rng());
    all[0].availability = Availability::Ejected;
    all[1].availability = Availability::Probe;
    all[2].availability = Availability::Probe;
    let chosen = order(Class::Online, Some(PREFIX), &all, 4, &mut rng);
    assert_eq!(chosen[0], all[1].name);
    assert!(!chosen.contains(&all[0].name) && !chosen.contains(&all[2].name));
}

#[test]
fn order_batch_any_spare() {
    let (mut all, mut rng) = (servers(3), rng());
    for (candidate, spare) in all.iter_mut().zip([i32::MIN, 0, i32::MAX]) {
        candidate.spare = spare;
    }
    for _ in 0..50 {
        assert_eq!(order(Class::Batch, None, &all, 3, &mut rng).len(), 3);
    }
}

#[test]
fn order_batch_prefers_spare() {
    let (mut all, mut rng) = (servers(2), rng());
    all[0].spare = 0;
    let hits = (0..100).filter(|_| first(Class::Batch, &all, &mut rng) == all[1].name);
    assert!(hits.count() > 60);
}

#[test]
fn subset_many_servers_is_bounded_and_stable() {
    let all: Vec<(Name, bool)> = (0..6_900)
        .map(|i| (format!("s{i}").into(), i % 12 == 0))
        .collect();
    let one = subset("h1", all.clone());
    assert_eq!(one.len(), SUBSET);
    assert_eq!(one, subset("h1", all.clone()));
    assert_ne!(one, subset("h2", all));
}

#[test]
fn health_fails_in_a_row_sets_aside_then_one_probe() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for _ in 0..EJECTION_FAILURES {
        assert_eq!(health.availability(now), Availability::Available);
        health.record(now, Outcome::Failure, 0.0);
    }
    assert_eq!(health.availability(now), Availability::Ejected);
    let due = now + EJECTION_MIN;
    assert_eq!(health.availability(due), Availability::Probe);
    health.start_probe(due);
    assert_eq!(
        health.availability(due),
        Availability::Ejected,
        "a second probe"
    );
    health.record(due, Outcome::Success(0.1), 0.0);
    assert_eq!(health.availability(due), Availability::Available);
}

#[test]
fn health_probe_fails_backs_off_longer() {
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    health.record(now, Outcome::Unreachable, 0.0);
    let due = now + EJECTION_MIN;
    health.start_probe(due);
    health.record(due, Outcome::Unreachable, 0.0);
    assert_eq!(
        health.availability(due + EJECTION_MIN),
        Availability::Ejected
    );
    assert_eq!(
        health.availability(due + 2 * EJECTION_MIN),
        Availability::Probe
    );
}

#[test]
fn health_probe_without_outcome_may_be_repeated() {
    let mut health = Health::default();
    health.record(Duration::ZERO, Outcome::Unreachable, 0.0);
    health.start_probe(EJECTION_MIN);
    health.record(EJECTION_MIN, Outcome::Inconclusive, 0.0);
    assert_eq!(health.availability(EJECTION_MIN), Availability::Probe);
}

#[test]
fn is_slow_against_median_needs_samples() {
    let mut health = Health::default();
    health.record(Duration::ZERO, Outcome::Success(3.0), 0.0);
    assert!(!health.is_slow(0.1));
    for _ in 0..20 {
        health.record(Duration::ZERO, Outcome::Success(3.0), 0.0);
    }
    assert!(health.is_slow(0.1));
    assert!(!health.is_slow(2.0));
}

#[test]
fn order_online_prefers_servers_without_limit_while_they_have_room() {
    let (mut all, mut rng) = (servers(12), rng());
    for limited in &mut all[4..] {
        limited.is_limited = true;
    }
    for _ in 0..50 {
        let chosen = order(Class::Online, None, &all, 6, &mut rng);
        let is_limited = |name: &Name| all.iter().any(|c| c.name == *name && c.is_limited);
        assert_eq!(
            chosen.iter().map(is_limited).collect::<Vec<_>>()[..4],
            [false; 4]
        );
        assert_eq!(chosen.len(), 6);
    }
    for unlimited in &mut all[..4] {
        unlimited.load = 1.0;
    }
    let mut limited_first = 0;
    for _ in 0..50 {
        let first = order(Class::Online, None, &all, 1, &mut rng)[0].clone();
        limited_first += usize::from(all.iter().any(|c| c.name == first && c.is_limited));
    }
    assert!(limited_first > 25, "{limited_first}");
}

// Guards against preemptions at full servers while others have a free slot, against limited servers that come first
// because they have one, and against a probe that is put off.
#[test]
fn order_online_full_servers_last_in_their_tier() {
    let (mut all, mut rng) = (servers(8), rng());
    for at in [0, 1, 4, 5] {
        all[at].is_full = true;
    }
    let marks = |order: &[Name], all: &[Candidate]| -> Vec<(bool, bool)> {
        let of = |name: &Name| all.iter().find(|c| c.name == *name).expect("server");
        order
            .iter()
            .map(of)
            .map(|c| (c.is_limited, c.is_full))
            .collect()
    };
    for prefix in [None, Some(PREFIX)] {
        for _ in 0..50 {
            let chosen = order(Class::Online, prefix, &all, 8, &mut rng);
            assert!(marks(&chosen, &all).is_sorted());
        }
    }
    for limited in &mut all[4..] {
        limited.is_limited = true;
    }
    for _ in 0..50 {
        let chosen = order(Class::Online, None, &all, 8, &mut rng);
        let [free, full] = [false, true];
        let tier = |limited| [free, free, full, full].map(|is_full| (limited, is_full));
        assert_eq!(marks(&chosen, &all), [tier(false), tier(true)].concat());
    }
    all[0].availability = Availability::Probe;
    let chosen = order(Class::Online, None, &all, 8, &mut rng);
    assert_eq!(chosen[0], all[0].name);
}

// Guards against an order of batch work that depends on what is kept for online requests.
#[test]
fn order_batch_same_with_full_marks() {
    let all = servers(8);
    let mut marked = all.clone();
    for server in &mut marked[..4] {
        server.is_full = true;
    }
    let chosen = |all: &[Candidate]| order(Class::Batch, None, all, 8, &mut rng());
    assert_eq!(chosen(&all), chosen(&marked));
}

// Guards against online requests that are not sent to servers with free slots, with slots that batch work
// gives up, or with counts that are too old to tell.
#[test]
fn online_full_only_recent_counts_of_online_requests() {
    let routes = Routes::new(0);
    let (server, at) = (Name::from("s0"), Duration::from_secs(5));
    assert_eq!(routes.online_full(at, &server), None);
    let counts = |online, batch, waiting, backlog| Counts {
        online,
        batch,
        waiting,
        backlog,
        slots: 4,
    };
    let full_at = |counts: Counts, now| {
        routes.learn(at, std::slice::from_ref(&server), &[counts]);
        routes.online_full(now, &server)
    };
    for full in [counts(4, 0, 1, 0), counts(4, 0, 9, 9)] {
        assert_eq!(full_at(full, at), Some(full));
        assert_eq!(full_at(full, at + Duration::from_secs(1)), None, "{full:?}");
    }
    // Where nobody waits, the next slot that is released stays free until somebody asks.
    let next_free = counts(4, 0, 0, 0);
    let preemptible = [counts(0, 4, 0, 9), counts(3, 1, 0, 9), counts(2, 2, 2, 0)];
    for free in [[counts(3, 0, 0, 0), next_free].as_slice(), &preemptible].concat() {
        assert_eq!(full_at(free, at), None, "{free:?}");
    }
}
