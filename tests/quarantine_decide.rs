//! Which reports convict a prompt segment, and what the log makes of a quarantine.

use gooseberrytack::{
    clock::Time,
    error::Kind,
    fold::Fold,
    quarantine::{
        Admission, Board, Changes, Evidence, Loss, PROBE_AFTER_MAX, Quarantine, Record, Verdict,
        Witness,
    },
    wire::Name,
};
use proptest::prelude::*;
use std::{slice, time::Duration};

fn ms(n: u64) -> Time {
    Duration::from_millis(n)
}

fn loss(server: usize, sent: u64, lost: u64) -> Loss {
    Loss {
        server: format!("i-{server}").into(),
        start: 1,
        sent: ms(sent),
        lost: ms(lost),
    }
}

/// Verdicts some time after the reports of `losses` of one segment.
fn judge(losses: &[Loss]) -> Vec<Verdict> {
    let mut evidence = Evidence::default();
    for loss in losses {
        evidence.add(&"x".into(), loss.clone(), loss.lost);
    }
    evidence.verdicts(ms(10_000))
}

#[test]
fn evidence_three_servers_in_turn_convict() {
    let two = [loss(1, 0, 100), loss(2, 110, 200)];
    assert_eq!(judge(&two), []);
    let three = [&two[..], &[loss(3, 210, 300)]].concat();
    let servers: Vec<Name> = ["i-1", "i-2", "i-3"].map(Name::from).into();
    let segment = "x".into();
    assert_eq!(judge(&three), [Verdict { segment, servers }]);
}

#[test]
fn evidence_order_of_reports_does_not_matter() {
    let late = [loss(3, 210, 300), loss(1, 0, 100), loss(2, 110, 200)];
    assert_eq!(judge(&late).len(), 1);
}

#[test]
fn evidence_servers_lost_at_once_count_once() {
    // All requests were sent before the first server ended.
    let at_once: Vec<Loss> = (0..4)
        .map(|n| loss(n, 10 * n as u64, 100 + n as u64))
        .collect();
    assert_eq!(judge(&at_once), []);
    let five: Vec<Loss> = (0..5)
        .map(|n| loss(n, 10 * n as u64, 100 + n as u64))
        .collect();
    assert_eq!(judge(&five).len(), 1);
}

#[test]
fn evidence_same_server_counts_once() {
    let same: Vec<Loss> = (0..9).map(|n| loss(1, 100 * n, 100 * n + 50)).collect();
    assert_eq!(judge(&same), []);
}

#[test]
fn evidence_answer_clears() {
    let mut evidence = Evidence::default();
    let segment: Name = "x".into();
    for n in 0..3 {
        evidence.add(
            &segment,
            loss(n, 100 * n as u64, 100 * n as u64 + 50),
            ms(300),
        );
    }
    assert_eq!(evidence.verdicts(ms(300)), [], "no time to object");
    assert!(evidence.clear("x"));
    assert_eq!(evidence.verdicts(ms(10_000)), []);
    assert!(evidence.is_empty());
}

#[test]
fn evidence_old_reports_expire() {
    let mut evidence = Evidence::default();
    let segment: Name = "x".into();
    for n in 0..3 {
        let at = 61_000 * n as u64;
        evidence.add(&segment, loss(n, at, at + 50), ms(at + 50));
    }
    assert_eq!(evidence.verdicts(ms(200_000)), []);
}

#[test]
fn evidence_bounded_keeps_the_most_suspect() {
    let mut evidence = Evidence::default();
    let deadly: Name = "deadly".into();
    for n in 0..2 {
        evidence.add(
            &deadly,
            loss(n, 100 * n as u64, 100 * n as u64 + 50),
            ms(200),
        );
    }
    // Each request names new segments.
    for n in 0..5_000 {
        let segment = format!("new-{n}").into();
        evidence.add(&segment, loss(7, 0, 200), ms(200));
    }
    assert!(evidence.len() <= 1024);
    evidence.add(&deadly, loss(2, 210, 300), ms(300));
    let verdicts = evidence.verdicts(ms(10_000));
    assert_eq!(verdicts.len(), 1);
    assert_eq!(verdicts[0].segment, deadly);
}

#[test]
fn witness_answered_segment_is_not_reported() {
    let mut witness = Witness::default();
    let (base, rare): (Name, Name) = ("base".into(), "rare".into());
    assert_eq!(witness.answered(slice::from_ref(&base), ms(0)), []);
    let both = [base.clone(), rare.clone()];
    assert_eq!(witness.lost(&both, ms(1_000)), slice::from_ref(&rare));
    // The answer is too old to clear the segment.
    assert_eq!(witness.lost(&both, ms(9_000)), both);
    assert_eq!(
        witness.answered(slice::from_ref(&rare), ms(9_100)),
        slice::from_ref(&rare)
    );
    assert_eq!(witness.answered(&[rare], ms(9_200)), [], "told once");
    assert!(witness.is_proven_since("rare", ms(9_150)));
    assert!(!witness.is_proven_since("base", ms(0)));
}

#[test]
fn witness_bounded_with_new_segments_in_each_request() {
    let mut witness = Witness::default();
    for n in 0..20_000u64 {
        let segment: Name = format!("new-{n}").into();
        witness.lost(slice::from_ref(&segment), ms(n));
        witness.answered(&[segment], ms(n));
    }
    assert!(witness.len() <= 2048);
    let last: Name = "new-19999".into();
    assert_eq!(witness.lost(&[last], ms(20_000)), []);
}

fn impose(segment: &str) -> Record {
    Record::Impose {
        segment: segment.into(),
        host: "h0".into(),
        servers: vec!["i-1".into()],
    }
}

fn probe(segment: &str, since: u64, number: u32, host: &str) -> Record {
    Record::Probe {
        segment: segment.into(),
        since,
        number,
        host: host.into(),
    }
}

fn lift(segment: &str, since: u64) -> Record {
    Record::Lift {
        segment: segment.into(),
        since,
        host: "h0".into(),
    }
}

fn fold(records: &[Record]) -> Quarantine {
    let mut state = Quarantine::default();
    for (at, record) in records.iter().enumerate() {
        state.apply(at as u64 + 1, record);
    }
    state
}

#[test]
fn fold_second_conviction_changes_nothing() {
    let once = fold(&[impose("x")]);
    assert_eq!(fold(&[impose("x"), impose("x")]), once);
    assert_eq!(once.entry("x").map(|e| (e.since, e.probes)), Some((1, 0)));
}

#[test]
fn fold_first_probe_of_a_number_wins() {
    let state = fold(&[
        impose("x"),
        probe("x", 1, 0, "h1"),
        probe("x", 1, 0, "h2"),
        probe("x", 9, 1, "h3"),
    ]);
    let entry = state.entry("x").expect("entry");
    assert_eq!((entry.probes, &*entry.host, entry.last), (1, "h1", 2));
}

#[test]
fn fold_late_lift_spares_later_conviction() {
    let state = fold(&[impose("x"), lift("x", 1), impose("x"), lift("x", 1)]);
    assert_eq!(state.entry("x").map(|e| e.since), Some(3));
}

#[test]
fn fold_bounded_replaces_oldest() {
    let mut records: Vec<Record> = (0..300).map(|n| impose(&format!("s{n:03}"))).collect();
    records.insert(1, probe("s000", 1, 0, "h1"));
    let state = fold(&records);
    assert_eq!(state.entries.len(), 256);
    assert!(state.entry("s000").is_none() && state.entry("s299").is_some());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn fold_any_order_sorted_and_one_probe_a_number(
        picks in prop::collection::vec((0u8..3, 0u8..4, 0u64..12, 0u32..3, 0u8..3), 0..60),
    ) {
        let mut state = Quarantine::default();
        let mut won: Vec<(Name, u64, u32)> = Vec::new();
        for (at, (kind, segment, since, number, host)) in picks.into_iter().enumerate() {
            let segment = format!("s{segment}");
            let record = match kind {
                0 => impose(&segment),
                1 => probe(&segment, since, number, &format!("h{host}")),
                _ => lift(&segment, since),
            };
            let before = state.entry(&segment).cloned();
            state.apply(at as u64 + 1, &record);
            prop_assert!(state.entries.windows(2).all(|w| w[0].segment < w[1].segment));
            if let (1, Some(before), Some(after)) = (kind, before, state.entry(&segment))
                && after.probes > before.probes
            {
                let probe = (after.segment.clone(), after.since, after.probes);
                prop_assert!(!won.contains(&probe));
                won.push(probe);
            }
        }
    }
}

fn names<const N: usize>(segments: [&str; N]) -> [Name; N] {
    segments.map(Name::from)
}

/// Whether the board admits a request with `segments` as a probe, refuses it or knows nothing against it.
fn admitted(board: &Board, state: &Quarantine, segments: &[Name], now: Time) -> &'static str {
    match board.admission(state, segments, now) {
        Admission::Free => "free",
        Admission::Probe(_) => "probe",
        Admission::Refused(fail) => {
            assert_eq!(fail.kind, Kind::Quarantined);
            "refused"
        }
    }
}

#[test]
fn board_probes_at_doubled_intervals() {
    let mut board = Board::default();
    let request = names(["base", "x"]);
    let mut records = vec![impose("x")];
    let mut now = ms(1_000);
    for (number, interval) in [15, 30, 60, 120].into_iter().enumerate() {
        let state = fold(&records);
        assert_eq!(
            admitted(&board, &state, &request, now),
            "refused",
            "not seen yet"
        );
        board.observe(&state, now);
        now += Duration::from_secs(interval) - ms(1);
        assert_eq!(admitted(&board, &state, &request, now), "refused");
        now += ms(1);
        assert_eq!(admitted(&board, &state, &request, now), "probe");
        records.push(probe("x", 1, number as u32, "h1"));
    }
    let after = fold(&records);
    board.observe(&after, now);
    assert_eq!(admitted(&board, &after, &names(["base"]), now), "free");
}

#[test]
fn board_longest_interval_bounded() {
    let mut records = vec![impose("x")];
    records.extend((0..40).map(|n| probe("x", 1, n, "h1")));
    let state = fold(&records);
    let mut board = Board::default();
    board.observe(&state, ms(0));
    let request = names(["x"]);
    assert_eq!(
        admitted(&board, &state, &request, PROBE_AFTER_MAX - ms(1)),
        "refused"
    );
    assert_eq!(admitted(&board, &state, &request, PROBE_AFTER_MAX), "probe");
}

#[test]
fn board_notes_begin_probe_and_end_once() {
    let mut board = Board::default();
    let records = [impose("x"), probe("x", 1, 0, "h1"), lift("x", 1)];
    for upto in 1..=3 {
        let state = fold(&records[..upto]);
        let now = ms(1_000 * upto as u64);
        let changes = board.observe(&state, now);
        let counts = (changes.noted.len(), changes.released.len());
        assert_eq!(counts, if upto < 3 { (1, 0) } else { (0, 1) });
        // The time of the conviction stays through probes and is told at the end.
        let seen = changes.noted.iter().chain(&changes.released);
        assert!(seen.into_iter().all(|s| s.since == ms(1_000)));
        assert_eq!(board.observe(&state, now), Changes::default());
    }
}

fn impose_for(segment: &str, servers: &[&str]) -> Record {
    Record::Impose {
        segment: segment.into(),
        host: "h0".into(),
        servers: servers.iter().map(|s| Name::from(*s)).collect(),
    }
}

#[test]
fn board_segment_that_another_explains_is_probed_at_once() {
    let near = impose_for("near", &["i-1", "i-2", "i-3"]);
    let deadly = impose_for("deadly", &["i-1", "i-2", "i-3", "i-4"]);
    let state = fold(&[near.clone(), deadly.clone()]);
    let mut board = Board::default();
    board.observe(&state, ms(0));
    assert_eq!(
        admitted(&board, &state, &names(["base", "near"]), ms(1)),
        "probe"
    );
    // What one alone explains is not risked, and neither are both together.
    assert_eq!(
        admitted(&board, &state, &names(["base", "deadly"]), ms(1)),
        "refused"
    );
    assert_eq!(
        admitted(&board, &state, &names(["deadly", "near"]), ms(1)),
        "refused"
    );
    let probed = fold(&[near, deadly, probe("near", 1, 0, "h1")]);
    board.observe(&probed, ms(2));
    assert_eq!(
        admitted(&board, &probed, &names(["base", "near"]), ms(3)),
        "refused"
    );
}

#[test]
fn board_hold_ends_with_time_or_answer() {
    let mut board = Board::default();
    let state = Quarantine::default();
    let request = names(["base", "x"]);
    let x = names(["x"]);
    assert_eq!(board.hold(&x, ms(0)), x);
    assert_eq!(board.hold(&x, ms(1_000)), [], "passed on once");
    assert_eq!(board.hold(&x, ms(5_000)), x, "passed on again");
    assert_eq!(board.hold(&x, ms(6_000)), []);
    assert_eq!(admitted(&board, &state, &request, ms(15_999)), "refused");
    assert_eq!(admitted(&board, &state, &request, ms(16_000)), "free");
    board.hold(&x, ms(20_000));
    board.drop_holds(ms(20_100), |_, _| true);
    assert_eq!(admitted(&board, &state, &request, ms(20_100)), "free");
}

#[test]
fn board_holds_bounded() {
    let mut board = Board::default();
    let many: Vec<Name> = (0..1_000).map(|n| format!("s{n}").into()).collect();
    assert_eq!(board.hold(&many, ms(0)).len(), 256);
}
