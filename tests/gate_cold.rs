//! What cold servers receive: their buckets at gates.

#[path = "gate_model/ask.rs"]
mod ask;

use ask::ask;
use gooseberrytack::{
    clock::Time,
    gate::{GrantLimit, Queue, Role, SETTLE, Verdict},
    wire::Class,
};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Limit of the largest deployment, and what callers allow in any second.
const RATE: f64 = 6.1;
const ALLOWED: usize = (RATE * 1.5 + 5.0) as usize;
/// Time at which the servers of these tests turn cold.
const TURN: Time = Duration::from_secs(10);

/// Asks for `count` slots at `now` and releases those granted, like requests that end at once. Returns the
/// times of the grants.
fn demand(queue: &mut Queue, now: Time, count: usize, class: Class) -> Vec<Time> {
    let mut granted = Vec::new();
    for n in 0..count {
        let id = format!("{class:?}-{}-{n}", now.as_millis());
        let (verdict, _) = queue.request(now, &ask(&id, class), 1, false);
        if verdict == Verdict::Granted {
            granted.push(now);
            queue.release(now, &id, 1);
        }
    }
    granted
}

fn cold(role: Role) -> Option<GrantLimit> {
    Some(GrantLimit::cold(RATE, role))
}

/// Most of the times from `since` on, and of those in the second before it, within one second.
fn busiest(times: &[Time], since: Time) -> usize {
    let count = |from: &Time| {
        let is_in = |at: &&Time| *from <= **at && **at < *from + SECOND;
        let window: Vec<&Time> = times.iter().filter(is_in).collect();
        let is_counted = window.iter().any(|at| **at >= since);
        is_counted.then_some(window.len())
    };
    times.iter().filter_map(count).max().unwrap_or(0)
}

#[test]
fn domain_back_cold_under_full_demand_stays_within_limit() {
    // Guards against a burst of online and batch work at each of the servers of a failure domain.
    for server in 0..30 {
        let mut queue = Queue::new(8, Time::ZERO);
        let mut times = Vec::new();
        for step in 0..700 {
            let now = TURN + step * 10 * MS + server * MS;
            queue.set_rate_limits(None, cold(Role::Gate), now);
            times.extend(demand(&mut queue, now, 3, Class::Online));
            times.extend(demand(&mut queue, now, 1, Class::Batch));
        }
        let most = busiest(&times, TURN);
        assert!((RATE as usize..=ALLOWED).contains(&most), "{most}");
    }
}

#[test]
fn turn_counts_what_was_granted_before() {
    // Guards against a window across the moment at which the server turns cold.
    for before in [0, 1, 5, 9] {
        let mut queue = Queue::new(8, Time::ZERO);
        let mut times = demand(&mut queue, TURN - 5 * MS, before, Class::Online);
        assert_eq!(times.len(), before);
        for step in 0..400 {
            let now = TURN + step * 10 * MS;
            queue.set_rate_limits(None, cold(Role::Gate), now);
            times.extend(demand(&mut queue, now, 3, Class::Online));
        }
        let most = busiest(&times, TURN);
        assert!(most <= ALLOWED, "{most} with {before} before");
    }
}

#[test]
fn turn_after_full_rate_grants_nothing_for_a_second() {
    // Guards against adding to a second that is over the limit, and against a debt that lasts longer.
    let mut queue = Queue::new(8, Time::ZERO);
    assert_eq!(demand(&mut queue, TURN, 40, Class::Online).len(), 40);
    queue.set_rate_limits(None, cold(Role::Gate), TURN);
    let later = TURN + SECOND - MS;
    assert!(demand(&mut queue, later, 1, Class::Online).is_empty());
    let later = TURN + SECOND + SECOND.div_f64(RATE) + MS;
    assert_eq!(demand(&mut queue, later, 1, Class::Online).len(), 1);
}

#[test]
fn gate_that_moves_meanwhile_adds_less_than_the_slack() {
    // Guards against the sum of an earlier gate that still grants, the new one and one that stands in.
    let mut queues = [Role::Gate, Role::Standby, Role::Standby].map(|role| {
        let mut queue = Queue::new(8, Time::ZERO);
        queue.set_rate_limits(None, cold(role), Time::ZERO);
        (role, queue)
    });
    let mut times = Vec::new();
    for step in 0..600 {
        let now = TURN + step * 10 * MS;
        for (n, (role, queue)) in queues.iter_mut().enumerate() {
            if step >= 300 {
                // The new gate is known to all by now, and the earlier one is asked no more.
                match n {
                    0 => continue,
                    1 => *role = Role::Gate,
                    _ => {}
                }
            }
            queue.set_rate_limits(None, cold(*role), now);
            times.extend(demand(queue, now, 3, Class::Online));
        }
    }
    times.sort();
    let most = busiest(&times, TURN);
    assert!(most <= ALLOWED, "{most}");
}

#[test]
fn stated_and_cold_limit_hold_together() {
    let granted = |stated: Option<f64>, is_cold: bool| {
        let mut queue = Queue::new(8, Time::ZERO);
        let limit = cold(Role::Gate).filter(|_| is_cold);
        queue.set_rate_limits(stated, limit, Time::ZERO);
        (1..=40)
            .map(|n| demand(&mut queue, SETTLE + n * 100 * MS, 4, Class::Online).len())
            .sum::<usize>()
    };
    assert!(granted(Some(2.0), true) <= granted(Some(2.0), false));
    assert!(granted(Some(100.0), true) <= granted(None, true));
    assert_eq!(granted(None, false), 160);
}

#[test]
fn batch_takes_the_same_tokens() {
    let mut queue = Queue::new(8, Time::ZERO);
    queue.set_rate_limits(None, cold(Role::Gate), Time::ZERO);
    assert_eq!(demand(&mut queue, TURN, 4, Class::Batch).len(), 1);
    assert_eq!(demand(&mut queue, TURN, 4, Class::Online).len(), 1);
}

#[test]
fn limit_that_becomes_known_counts_unknown_grants() {
    // Guards against a burst if a server is cold when its limit is first known, as no grants were kept before.
    let mut queue = Queue::new(8, Time::ZERO);
    queue.track_grants(false, Time::ZERO);
    let mut times = demand(&mut queue, TURN - MS, 9, Class::Online);
    for step in 0..400 {
        let now = TURN + step * 10 * MS;
        queue.track_grants(true, now);
        queue.set_rate_limits(None, cold(Role::Gate), now);
        times.extend(demand(&mut queue, now, 3, Class::Online));
    }
    let most = busiest(&times, TURN);
    assert!(most <= ALLOWED, "{most}");
}

#[test]
fn gate_without_fresh_host_list_grants_a_part() {
    // Guards against two hosts that both grant the full rate after one of them lost the host list.
    let role = |age: Option<Duration>| Role::Gate.for_cold(age, 3);
    assert_eq!(role(Some(Duration::ZERO)), Role::Gate);
    assert_eq!(role(Some(600 * SECOND)), Role::Standby);
    assert_eq!(role(None), Role::Standby);
    assert_eq!(Role::Alone(3).for_cold(None, 3), Role::Alone(3));
}
