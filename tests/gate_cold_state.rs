//! For how long servers count as cold: entries, suspicions and evacuations.

use gooseberrytack::{
    clock::Time,
    config::Server,
    gate::{ColdEntry, ColdLimit, ColdServers, ColdState, GrantLimit, Queue, Raised},
    route::{Departures, connect_suggests_restart},
    wire::Name,
};
use std::{io::ErrorKind, time::Duration};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Limit of the largest deployment.
const RATE: f64 = 6.1;
const SPAN: Duration = Duration::from_secs(3);
/// Time at which the servers of these tests turn cold.
const TURN: Time = Duration::from_secs(10);

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
