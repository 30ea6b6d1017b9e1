//! Order of uneven servers by expected times, off and on compared in one deterministic model.

mod route_model;

use gooseberrytack::{
    clock::Time,
    gate::{Counts, Speed, ToldSpeed},
    route::{Availability, Candidate, Expected, Load, Speeds, assume, expected, order},
    wire::Class,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use route_model::{Model, SLOTS};
use std::time::Duration;

/// Online requests must not reach slow servers as often as fast ones, and batch work must not pay for it.
#[test]
fn order_uneven_servers_is_faster_with_speeds() {
    for seed in 1..=2 {
        let off = Model::new(false, seed).run(60);
        let on = Model::new(true, seed).run(60);
        println!("seed {seed}\n  off {off:?}\n  on  {on:?}");
        assert!(on.last.0 < off.last.0 && on.last.1 <= off.last.1);
        assert!(on.first.0 <= off.first.0 && on.first.1 <= off.first.1);
        assert!(on.batch > 0.97 * off.batch);
        // In proportion to their speeds, the fast quarter would get 1.68 times the mean.
        assert!(on.busiest < 2.0);
    }
}

const SPEED: Speed = Speed {
    first: 60_000,
    step: 30_000,
    knee: 36_000,
    full: 90_000,
    limit: 4,
    usual: 100,
    hint: None,
};

fn load(online: u32, batch: u32) -> Load {
    let counts = Counts {
        online,
        batch,
        slots: SLOTS,
        ..Counts::default()
    };
    Load {
        counts,
        is_known: true,
    }
}

fn promise(speed: &Speed, online: u32, batch: u32) -> Expected {
    expected(speed, Duration::ZERO, &load(online, batch), true, 18.0)
}

fn candidate(name: &str, load: f32, expected: Expected) -> Candidate {
    Candidate {
        name: name.into(),
        is_near: true,
        load,
        spare: 8,
        is_limited: false,
        is_full: false,
        expected: Some(expected),
        availability: Availability::Available,
    }
}

/// How many of 200 requests ask each server first.
fn shares(class: Class, all: &[Candidate]) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut counts = vec![0; all.len()];
    for _ in 0..200 {
        let first = order(class, None, all, 2, &mut rng)[0].clone();
        counts[all.iter().position(|c| c.name == first).expect("a server")] += 1;
    }
    counts
}

/// Online requests must leave a server at its learned limit alone while others have room, and must use all
/// slots when none has.
#[test]
fn order_online_at_limit_is_last_but_used() {
    let fast = Speed {
        first: 6_000,
        step: 3_000,
        knee: 3_600,
        full: 9_000,
        ..SPEED
    };
    let full = candidate("full", 0.5, promise(&fast, 4, 0));
    let roomy = candidate("roomy", 0.4, promise(&SPEED, 3, 0));
    assert_eq!(shares(Class::Online, &[full.clone(), roomy]), [0, 200]);
    let other = candidate("other", 0.6, promise(&SPEED, 5, 0));
    let used = shares(Class::Online, &[full, other]);
    assert!(used[0] > used[1] && used[1] > 0, "{used:?}");
}

/// Batch work must prefer the best rate of tokens among servers below their limit.
#[test]
fn order_batch_prefers_best_rate_below_limit() {
    let fast = Speed {
        step: 3_000,
        knee: 3_000,
        ..SPEED
    };
    let all = [
        candidate("slow", 0.0, promise(&SPEED, 0, 0)),
        candidate("fast", 0.0, promise(&fast, 0, 2)),
        candidate("full", 0.0, promise(&fast, 0, 4)),
    ];
    let used = shares(Class::Batch, &all);
    assert!(used[1] > used[0] && used[0] > used[2], "{used:?}");
}

/// Absurd speeds, hints and counts must give finite times, and a hint must fade.
#[test]
fn expected_odd_input_is_finite_and_hint_fades() {
    let hinted = |percent, before| Speed {
        hint: Some((percent, before)),
        ..SPEED
    };
    let usual = promise(&SPEED, 1, 0);
    assert!((promise(&hinted(200, 0), 1, 0).step / usual.step - 2.0).abs() < 0.01);
    assert!((promise(&hinted(u32::MAX, 150), 1, 0).step / usual.step - 1.5).abs() < 0.01);
    assert_eq!(promise(&hinted(200, 300), 1, 0), usual);
    let old = expected(&hinted(200, 0), Duration::MAX, &load(1, 0), true, 18.0);
    assert_eq!(old, usual);
    let far = expected(&SPEED, Duration::ZERO, &load(1, 0), false, 18.0);
    assert!(far.first > usual.first);
    let odd = [0, 1, u32::MAX].map(|n| Speed {
        first: n,
        step: n,
        knee: n,
        full: n,
        limit: n,
        usual: n,
        hint: Some((n, n)),
    });
    for (speed, count) in odd.iter().flat_map(|s| [(s, 0), (s, u32::MAX)]) {
        let counts = Counts {
            online: count,
            batch: count,
            waiting: count,
            backlog: count,
            slots: count,
        };
        let load = Load {
            counts,
            is_known: true,
        };
        let odd = expected(speed, Duration::ZERO, &load, true, 18.0);
        assert!(
            odd.online_cost().is_finite() && odd.step.is_finite(),
            "{odd:?}"
        );
    }
}

/// A server of which nothing is known must count as an average one, not as an empty fast one.
#[test]
fn assume_unknown_server_is_average() {
    let empty = Load {
        is_known: false,
        ..load(0, 0)
    };
    assert_eq!(assume(&mut [(empty, None)]), None);
    let told = Some((SPEED, Duration::ZERO));
    let mut all = [(load(4, 2), told), (load(4, 2), told), (empty, None)];
    assert_eq!(assume(&mut all), Some(()));
    let (load, speed) = &all[2];
    assert_eq!((load.counts.online, load.counts.batch), (4, 2));
    assert_eq!(speed.map(|(s, _)| s.step), Some(SPEED.step));
}

/// A fresh report must count by what is usual, fade, and have no effect where no speed is known.
#[test]
fn assess_own_report_is_relative_and_fades() {
    let (speeds, now, name) = (Speeds::default(), Time::from_secs(99), "s".into());
    let at = |ms| now + Duration::from_millis(ms);
    let named = [(&name, true, load(1, 0))];
    speeds.note_report(now, &name, 500);
    assert_eq!(speeds.assess(now, &named), None);
    let speed = Speed {
        usual: 250,
        ..SPEED
    };
    speeds.learn(
        now,
        &[ToldSpeed {
            server: name.clone(),
            speed,
            age: Duration::from_secs(20),
        }],
    );
    let step = |at| speeds.assess(at, &named).expect("a speed")[0].step;
    let usual = step(at(300));
    assert!((step(now) / usual - 2.0).abs() < 0.01);
    assert!((step(at(150)) / usual - 1.5).abs() < 0.01);
    speeds.note_report(now, &name, 250);
    assert_eq!(step(now), usual);
    speeds.note_report(now, &name, u32::MAX);
    assert!((step(now) / usual - 2.0).abs() < 0.01);
    assert_eq!(speeds.assess(now + Duration::from_secs(10), &named), None);
}
