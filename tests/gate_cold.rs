//! What cold servers receive: their buckets at gates, and for how long they count as cold.

#[path = "gate_model/ask.rs"]
mod ask;

use ask::ask;
use gooseberrytack::{
    clock::Time,
    config::Server,
    gate::{
        ColdEntry, ColdLimit, ColdServers, ColdState, GrantLimit, Queue, Raised, Role, SETTLE,
        Verdict,
    },
    route::{Departures, connect_suggests_restart},
    wire::{Class, Name},
};
use std::{io::ErrorKind, time::Duration};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Limit of the largest deployment, and what callers allow in any second.
const RATE: f64 = 6.1;
const SPAN: Duration = Duration::from_secs(3);
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

fn entry(version: u64, written_after: Time, until: Time) -> ColdEntry {
    ColdEntry {
        version,
        written_after,
        until,
    }
}

#[test]
fn note_entry_repeated_does_not_restart_period() {
    let mut state = ColdState::default();
    assert!(state.note_entry(entry(7, TURN, TURN + SPAN)));
    assert!(!state.note_entry(entry(7, TURN + 2 * SECOND, TURN + 2 * SECOND + SPAN)));
    assert!(!state.note_entry(entry(6, TURN + 2 * SECOND, TURN + 2 * SECOND + SPAN)));
    assert!(state.is_cold(SPAN, TURN + SPAN - MS));
    assert!(!state.is_cold(SPAN, TURN + SPAN));
}

#[test]
fn suspicion_that_proves_false_ends() {
    // An entry from before the suspicion says nothing; one written after it does.
    let mut state = ColdState::default();
    state.note_entry(entry(1, Time::ZERO, Time::ZERO));
    assert!(state.suspect(TURN));
    state.note_entry(entry(2, TURN - MS, TURN));
    assert!(state.is_cold(SPAN, TURN + MS));
    state.note_entry(entry(3, TURN + MS, TURN));
    assert!(!state.is_cold(SPAN, TURN + MS));
    assert!(!state.suspect(TURN));
}

#[test]
fn suspect_before_start_of_host_holds() {
    // Guards against a new gate that drops what it is told because its clock began later.
    let mut state = ColdState::default();
    state.note_entry(entry(1, Time::ZERO, Time::ZERO));
    assert!(state.suspect(Time::ZERO));
    assert!(state.is_cold(SPAN, MS));
}

#[test]
fn suspicion_ends_a_cold_period_after_first_request() {
    // Guards against a server that starts long after a refused connection and before its entry says so.
    let mut state = ColdState::default();
    state.suspect(TURN);
    let back = TURN + 2 * SPAN;
    assert!(state.is_cold(SPAN, back));
    state.note_granted(&"a".into(), back);
    assert!(state.is_cold(SPAN, back + SPAN - MS));
    assert!(!state.is_cold(SPAN, back + SPAN));
    state.suspect(back + SECOND);
    assert!(state.is_cold(SPAN, back + SPAN));
}

#[test]
fn suspicion_without_requests_ends() {
    let mut state = ColdState::default();
    state.suspect(TURN);
    assert!(!state.is_cold(SPAN, TURN + 60 * SECOND));
}

fn server() -> Server {
    Server {
        name: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "z".into(),
        models: vec!["m".into()],
        slots: 4,
        fenced: false,
        leaving: false,
        start: 1,
        software: Name::default(),
    }
}

/// The state of a host that knows the limit of the service, and nothing of its servers.
fn cold_servers() -> ColdServers {
    let all = ColdServers::default();
    all.set_limits(&[ColdLimit {
        service: "m".into(),
        span: SPAN,
        rate: RATE,
    }]);
    all
}

#[test]
fn server_without_entry_is_cold_but_not_suspected() {
    // Guards against a host without entries that has every gate limit sound servers.
    let (all, server) = (cold_servers(), server());
    assert_eq!(all.rate(&server, TURN), Some(RATE));
    assert!(all.suspected(TURN).is_empty());
    all.note_entry(&server.name, entry(1, Time::ZERO, Time::ZERO));
    assert_eq!(all.rate(&server, TURN), None);
}

#[test]
fn connect_failure_of_the_host_is_no_sign_of_a_restart() {
    // Guards against limits on sound servers after a late request, a lack of descriptors or a pause of the host.
    let full = Duration::from_millis(500);
    let is_sign = connect_suggests_restart;
    assert!(is_sign(ErrorKind::ConnectionRefused, 2 * MS, MS));
    assert!(is_sign(ErrorKind::ConnectionReset, full, MS));
    assert!(is_sign(ErrorKind::TimedOut, full, full + MS));
    assert!(!is_sign(ErrorKind::TimedOut, 2 * MS, 2 * MS));
    assert!(!is_sign(ErrorKind::TimedOut, full, 4 * SECOND));
    assert!(!is_sign(ErrorKind::Other, full, MS));
    assert!(!is_sign(ErrorKind::AddrNotAvailable, full, MS));
}

#[test]
fn grant_that_was_not_sent_starts_no_cold_period() {
    // Guards against a server that is taken for warm although it received no request.
    let mut state = ColdState::default();
    state.suspect(TURN);
    state.note_granted(&"a".into(), TURN);
    state.note_unsent(&"a".into());
    assert!(state.is_cold(SPAN, TURN + SPAN));
    // A later one that was sent does, whatever is released besides.
    let sent = TURN + SPAN;
    state.note_granted(&"b".into(), sent);
    state.note_granted(&"c".into(), sent + MS);
    state.note_unsent(&"c".into());
    assert!(state.is_cold(SPAN, sent + SPAN - MS));
    assert!(!state.is_cold(SPAN, sent + SPAN));
}

#[test]
fn suspicion_told_before_configuration_is_kept() {
    // Guards against a gate that forgets a suspicion because it knows neither server nor limit yet.
    let (all, server) = (ColdServers::default(), server());
    assert_eq!(all.note_told(&server.name, TURN), Some(Raised::New));
    all.prune(&[], TURN + SECOND);
    let limit = ColdLimit {
        service: "m".into(),
        span: SPAN,
        rate: RATE,
    };
    all.set_limits(&[limit]);
    all.note_entry(&server.name, entry(1, Time::ZERO, Time::ZERO));
    assert_eq!(all.rate(&server, TURN + SECOND), Some(RATE));
    // Nothing stays of a server that is never configured.
    all.prune(&[], TURN + 60 * SECOND);
    assert!(all.entries().is_empty());
}

#[test]
fn suspicions_by_unknown_names_are_bounded() {
    // Guards against notices that use up the memory, and against a dropped one that counts as told.
    let all = ColdServers::default();
    let is_kept = |n: &i32| all.note_told(&n.to_string().into(), TURN).is_some();
    let kept = (0..20_000).filter(is_kept).count();
    assert!((10_000..20_000).contains(&kept), "{kept}");
}

#[test]
fn repeated_refusals_are_told_only_if_needed() {
    // Guards against a log line, a count and a call for each refused attempt.
    let (all, server) = (cold_servers(), server().name);
    let gate: Name = "gate".into();
    let tell = |now: Time| {
        let pending = all.pending_notices(std::slice::from_ref(&server), &gate, now);
        pending.iter().for_each(|p| all.mark_told(p, &gate));
        pending.len()
    };
    all.note_granted(&server, &"a".into(), TURN);
    assert_eq!(all.suspect(&server, TURN), Raised::New);
    assert_eq!(tell(TURN), 1);
    assert_eq!(all.suspect(&server, TURN + MS), Raised::Known);
    assert_eq!(tell(TURN + MS), 0);
    // The gate's period began with this grant.
    all.note_granted(&server, &"b".into(), TURN + 2 * MS);
    assert_eq!(all.suspect(&server, TURN + 3 * MS), Raised::Renewed);
    assert_eq!(tell(TURN + 3 * MS), 1);
    // A gate that is told passes on the change only.
    all.note_granted(&server, &"c".into(), TURN + 4 * MS);
    assert_eq!(all.note_told(&server, TURN + 5 * MS), Some(Raised::Renewed));
    assert_eq!(tell(TURN + 5 * MS), 0);
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
fn invalid_limit_neither_panics_nor_counts_as_valid() {
    // Guards against limits of a peer that were not checked by its configuration.
    for rate in [-1.0, 0.0, f64::NAN, f64::INFINITY] {
        let limit = ColdLimit {
            service: "m".into(),
            span: SPAN,
            rate,
        };
        assert!(!limit.is_valid(), "{rate}");
        let mut queue = Queue::new(8, Time::ZERO);
        let burst = 1.0;
        queue.set_rate_limits(None, Some(GrantLimit { rate, burst }), TURN);
    }
    assert!(cold_servers().are_cold(&[server()], TURN)[0]);
    assert!(
        ColdServers::default()
            .are_cold(&[server()], TURN)
            .is_empty()
    );
}

#[test]
fn evacuations_change_with_each_list() {
    // Guards against a choice of servers that keeps those of an evacuated domain.
    let (departures, server) = (Departures::default(), server());
    let before = departures.evacuations();
    departures.set_evacuated(vec!["z".into()].into());
    assert!(departures.is_evacuated(&server));
    assert_ne!(departures.evacuations(), before);
    departures.set_evacuated(Vec::new().into());
    assert!(!departures.is_evacuated(&server));
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
