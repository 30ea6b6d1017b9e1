//! No sequence of faults lets a workspace exceed its rate and burst.

mod fleet;

use fleet::{Fault, Fleet, Policy, SECOND, ideal, over};
use gooseberrytack::{
    config::Workspace,
    limit::{Balance, Bucket, Lending, Proof, Share, Step},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

const HOSTS: usize = 6;
const END: u64 = 40 * SECOND;

fn workspace(i: usize, rate: u32, burst: u32) -> Workspace {
    Workspace {
        name: format!("workspace-{i}").into(),
        weight: 1,
        rate,
        burst,
    }
}

fn fault() -> impl Strategy<Value = (Fault, u64, u64)> {
    let host = 0..HOSTS;
    let kind = prop_oneof![
        host.clone().prop_map(Fault::Pause),
        host.clone().prop_map(Fault::Lose),
        host.clone().prop_map(Fault::Stop),
        host.clone().prop_map(Fault::CutLog),
        host.clone().prop_map(Fault::CutList),
        host.prop_map(Fault::CutPeers),
        Just(Fault::LogDown),
        Just(Fault::ListFrozen),
        (10u32..80).prop_map(Fault::Lossy),
        (10_000u64..2 * SECOND).prop_map(Fault::Slow),
    ];
    (kind, SECOND..30 * SECOND, SECOND / 10..20 * SECOND)
        .prop_map(|(f, from, span)| (f, from, from + span))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 30,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn escrow_never_over(
        seed in any::<u64>(),
        rate in 30u32..1800,
        burst in 1u32..200,
        load in 0.5f64..3.0,
        hold in prop_oneof![Just(0u64), 0..3 * SECOND],
        faults in prop::collection::vec(fault(), 0..8),
    ) {
        let mut fleet = Fleet::new(Policy::Escrow, HOSTS, vec![workspace(0, rate, burst)], seed);
        fleet.hold_max = hold;
        let count = (f64::from(rate) / 60.0 * load * 40.0) as u64;
        for n in 0..count {
            // Uneven: half of the requests come to one host.
            let host = if n % 2 == 0 { 0 } else { (n / 2) as usize % HOSTS };
            fleet.arrive(n * END / count, host, 0);
        }
        for (fault, from, to) in &faults {
            fleet.fault(fault.clone(), *from, *to);
        }
        fleet.run(END + 5 * SECOND);
        let mut sent = fleet.tallies[0].sent.clone();
        sent.sort_unstable();
        let over = over(&sent, rate, burst);
        prop_assert!(over <= 0.0, "{over} above the rate; {} sent", sent.len());
    }
}

#[test]
fn escrow_without_faults_refuses_little() {
    let mut fleet = Fleet::new(Policy::Escrow, HOSTS, vec![workspace(0, 1200, 100)], 5);
    for n in 0..1000 {
        fleet.arrive(5 * SECOND + n * 55_000, (n % 6) as usize, 0);
    }
    fleet.run(65 * SECOND);
    let tally = &fleet.tallies[0];
    assert_eq!(ideal(&tally.arrived, 1200, 100), 1000);
    assert!(tally.refused <= 5, "refused {}", tally.refused);
}

#[test]
fn escrow_lost_home_comes_back() {
    let mut fleet = Fleet::new(Policy::Escrow, HOSTS, vec![workspace(0, 1200, 100)], 6);
    for i in 0..HOSTS - 1 {
        fleet.fault(Fault::Lose(i), 10 * SECOND, 100 * SECOND);
    }
    for n in 0..200 {
        fleet.arrive(40 * SECOND + n * 60_000, HOSTS - 1, 0);
    }
    fleet.run(60 * SECOND);
    assert_eq!(fleet.tallies[0].sent.len(), 200);
}

/// An unlisted holder that loses the log around the claim of its slot lends on until its proof
/// expires; the new holder must wait until then.
#[test]
fn escrow_claim_waits_for_old_holder() {
    for (host, tenths) in (0..HOSTS).flat_map(|h| (90..150).step_by(3).map(move |t| (h, t))) {
        let mut fleet = Fleet::new(Policy::Escrow, HOSTS, vec![workspace(0, 1200, 8)], 7);
        for n in 0..2500 {
            fleet.arrive(n * 10_000, (n % 6) as usize, 0);
        }
        fleet.fault(Fault::CutList(host), 2 * SECOND, 30 * SECOND);
        fleet.fault(Fault::CutLog(host), tenths * SECOND / 10, 30 * SECOND);
        fleet.run(25 * SECOND);
        let over = over(&fleet.tallies[0].sent, 1200, 8);
        assert!(over <= 0.0, "{over} above the rate, cut at {tenths}");
    }
}

#[test]
fn proof_lasts_by_announcements_while_listed() {
    let secs = Duration::from_secs;
    let mut proof = Proof::default();
    proof.note_announced(secs(1));
    assert!(
        !proof.is_valid(secs(1)),
        "only a read of the log starts a sequence of proofs"
    );
    proof.note_log_read(secs(2));
    proof.note_unlisted(secs(1));
    (3..9).for_each(|s| proof.note_announced(secs(s)));
    assert!(proof.is_valid(secs(10)) && !proof.is_valid(secs(12)));
    proof.note_announced(secs(13));
    assert!(!proof.is_valid(secs(13)), "the sequence was broken");
    proof.note_log_read(secs(14));
    proof.note_unlisted(secs(15));
    proof.note_announced(secs(16));
    assert!(proof.is_valid(secs(16)) && !proof.is_valid(secs(17)));
}

#[test]
fn loan_counts_from_before_the_request() {
    let (millis, of) = (Duration::from_millis, workspace(0, 600, 10));
    let mut balance = Balance::default();
    let Step::Ask(ask) = balance.step(&of, 0, millis(1000), millis(1000)) else {
        panic!("nothing to spend yet");
    };
    balance.answer(&ask, Some(Lending::Lent(5, millis(500))), millis(1400));
    let Step::Spend(token) = balance.step(&of, 0, millis(1400), millis(1400)) else {
        panic!("five tokens were lent");
    };
    assert!(balance.confirm(token, millis(1499)));
    assert!(!balance.confirm(token, millis(1500)));
    let step = balance.step(&of, 0, millis(1500), millis(1500));
    assert!(matches!(step, Step::Ask(_)), "{step:?}");
}

#[test]
fn loan_keeps_its_room_while_valid() {
    let share = Share {
        rate: 600 * 1_000_000,
        burst: 20,
    };
    let now = Duration::from_secs(1);
    let mut bucket = Bucket::new(share, 20, now, now);
    let (count, valid) = bucket.lend(&"h1".into(), 1, (8, 8), now);
    assert_eq!(count, 8);
    let later = now + valid - Duration::from_millis(1);
    assert_eq!(
        bucket.left(later),
        12,
        "tokens on loan and in the bucket within the burst"
    );
    bucket.report(&"h1".into(), 1, 3, 0, later);
    let gained = bucket.left(later + Duration::from_secs(5));
    assert_eq!(gained, 20, "the room is free again after the loan");
}
