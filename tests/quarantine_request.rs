//! When whole requests are convicted, and what that says of the segments of their prompts.

use gooseberrytack::{
    clock::Time,
    fold::Fold,
    quarantine::{
        Admission, Board, Evidence, Loss, PROBE_AFTER_MAX, Quarantine, REQUEST_PROBES_MAX, Record,
        Witness,
    },
    wire::Name,
};
use std::time::Duration;

const REQUEST: &str = "request:00";

fn ms(n: u64) -> Time {
    Duration::from_millis(n)
}

fn names<const N: usize>(segments: [&str; N]) -> [Name; N] {
    segments.map(Name::from)
}

fn loss(server: usize, sent: u64, lost: u64) -> Loss {
    Loss {
        server: format!("i-{server}").into(),
        start: 1,
        sent: ms(sent),
        lost: ms(lost),
    }
}

fn fold(records: &[Record]) -> Quarantine {
    let mut state = Quarantine::default();
    for (at, record) in records.iter().enumerate() {
        state.apply(at as u64 + 1, record);
    }
    state
}

fn impose(segment: &str, servers: &[&str]) -> Record {
    Record::Impose {
        segment: segment.into(),
        host: "h0".into(),
        servers: servers.iter().map(|s| Name::from(*s)).collect(),
    }
}

/// Evidence of `losses` of each of `segments`.
fn evidence_of(segments: &[&str], losses: &[Loss]) -> Evidence {
    let mut evidence = Evidence::default();
    for loss in losses {
        for segment in segments {
            evidence.add(&Name::from(*segment), loss.clone(), loss.lost);
        }
    }
    evidence
}

fn convicted(evidence: &Evidence) -> Vec<Name> {
    let verdicts = evidence.verdicts(ms(10_000));
    verdicts.into_iter().map(|v| v.segment).collect()
}

#[test]
fn evidence_three_servers_in_any_order_convict_a_request() {
    let at_once = [loss(1, 0, 100), loss(2, 10, 101), loss(3, 20, 102)];
    assert_eq!(
        convicted(&evidence_of(&[REQUEST], &at_once)),
        names([REQUEST])
    );
    assert_eq!(convicted(&evidence_of(&[REQUEST], &at_once[..2])), []);
}

#[test]
fn evidence_segment_that_one_request_explains_is_not_convicted() {
    let losses: Vec<Loss> = (0..6)
        .map(|n| loss(n, 100 * n as u64, 100 * n as u64 + 50))
        .collect();
    let mut evidence = evidence_of(&["x", REQUEST], &losses);
    assert_eq!(convicted(&evidence), names([REQUEST]));
    // The conviction of the request leaves its losses as an explanation.
    evidence.convicted(REQUEST, ms(700));
    assert_eq!(convicted(&evidence), []);
    evidence.add(&"x".into(), loss(9, 800, 900), ms(900));
    assert_eq!(convicted(&evidence), names(["x"]));
}

#[test]
fn evidence_convicted_request_needs_new_losses() {
    let losses = [loss(1, 0, 100), loss(2, 110, 200), loss(3, 210, 300)];
    let mut evidence = evidence_of(&[REQUEST], &losses);
    evidence.convicted(REQUEST, ms(400));
    for n in 4..6 {
        let at = 100 * n as u64;
        evidence.add(&REQUEST.into(), loss(n, at, at + 50), ms(at + 50));
        assert_eq!(convicted(&evidence), []);
    }
    evidence.add(&REQUEST.into(), loss(6, 600, 650), ms(650));
    assert_eq!(convicted(&evidence), names([REQUEST]));
}

#[test]
fn fold_bounded_keeps_segments_before_requests() {
    let mut records = vec![impose("x", &["i-1"])];
    records.extend((0..300).map(|n| impose(&format!("request:{n:03}"), &["i-1"])));
    let state = fold(&records);
    assert_eq!(state.entries.len(), 256);
    assert!(state.entry("x").is_some() && state.entry("request:000").is_none());
}

#[test]
fn board_segment_that_several_requests_explain_is_probed_at_once() {
    let state = fold(&[
        impose("x", &["i-1", "i-2", "i-3"]),
        impose("request:00", &["i-1", "i-2"]),
        impose("request:01", &["i-3", "i-4"]),
    ]);
    let mut board = Board::default();
    board.observe(&state, ms(0));
    let other = names(["x", "request:02"]);
    let admission = board.admission(&state, &other, ms(1));
    assert!(matches!(admission, Admission::Probe(_)), "{admission:?}");
    let same = names(["x", "request:00"]);
    let admission = board.admission(&state, &same, ms(1));
    assert!(matches!(admission, Admission::Refused(_)), "{admission:?}");
}

#[test]
fn evidence_request_that_comes_every_few_minutes_is_convicted() {
    let losses: Vec<Loss> = (0..3)
        .map(|n| loss(n, 300_000 * n as u64, 300_000 * n as u64 + 50))
        .collect();
    let evidence = evidence_of(&[REQUEST], &losses);
    assert_eq!(evidence.verdicts(ms(700_000)).len(), 1);
}

#[test]
fn evidence_of_many_losses_still_convicts_again() {
    let losses: Vec<Loss> = (0..20)
        .map(|n| loss(n, 100 * n as u64, 100 * n as u64 + 50))
        .collect();
    let mut evidence = evidence_of(&[REQUEST], &losses);
    evidence.convicted(REQUEST, ms(2_000));
    for n in 20..23 {
        let at = 100 * n as u64 + 1;
        evidence.add(&REQUEST.into(), loss(n, at, at + 50), ms(at + 50));
    }
    assert_eq!(convicted(&evidence), names([REQUEST]));
}

#[test]
fn board_request_is_probed_three_times_at_most() {
    let request = names([REQUEST]);
    let mut records = vec![impose(REQUEST, &["i-1"])];
    let mut board = Board::default();
    let mut now = ms(0);
    let mut probes = 0;
    for _ in 0..10 {
        let state = fold(&records);
        board.observe(&state, now);
        now += PROBE_AFTER_MAX;
        if let Admission::Probe(entries) = board.admission(&state, &request, now) {
            records.push(Record::Probe {
                segment: entries[0].segment.clone(),
                since: entries[0].since,
                number: entries[0].probes,
                host: "h1".into(),
            });
            probes += 1;
        }
    }
    assert_eq!(probes, REQUEST_PROBES_MAX);
}

#[test]
fn board_request_that_others_explain_is_not_probed_at_once() {
    let state = fold(&[
        impose("request:00", &["i-1", "i-2", "i-3"]),
        impose("request:01", &["i-1", "i-2", "i-3"]),
    ]);
    let mut board = Board::default();
    board.observe(&state, ms(0));
    let admission = board.admission(&state, &names(["request:00"]), ms(1));
    assert!(matches!(admission, Admission::Refused(_)), "{admission:?}");
}

#[test]
fn witness_new_requests_do_not_displace_segments() {
    let mut witness = Witness::default();
    let segment = names(["x"]);
    witness.answered(&segment, ms(0));
    for n in 0..2_000 {
        witness.answered(&[format!("request:{n}").into()], ms(1));
    }
    assert_eq!(witness.lost(&segment, ms(2_000)), []);
}
