//! Which failures are retried, and which failure the caller gets.

use gooseberrytack::{
    error::{Fail, Kind, Ran},
    retry::{ATTEMPTS, Budget, Next, RESERVE, decide, final_fail},
};

#[test]
fn decide_unrepeatable_only_if_nothing_left() {
    for kind in Kind::ALL {
        if decide(kind, false, 1) == Next::Retry {
            assert_eq!(kind.row().ran, Ran::No, "{kind:?}");
        }
    }
    assert_eq!(decide(Kind::ServerLost, true, 1), Next::Retry);
    assert_eq!(decide(Kind::ServerLost, false, 1), Next::GiveUp);
}

#[test]
fn decide_attempts_used_up_gives_up() {
    assert_eq!(decide(Kind::Unreachable, true, ATTEMPTS), Next::GiveUp);
}

#[test]
fn final_fail_after_sent_never_says_not_run() {
    let earlier = Fail::new(Kind::ServerLost, "lost");
    for kind in Kind::ALL {
        let fail = final_fail(Fail::new(kind, "then"), Some(&earlier), true);
        assert_ne!(fail.kind.row().ran, Ran::No, "{kind:?}");
    }
}

#[test]
fn final_fail_unrepeatable_lost_is_unknown() {
    let fail = final_fail(Fail::new(Kind::ServerLost, "lost"), None, false);
    assert_eq!(fail.kind, Kind::OutcomeUnknown);
    assert_eq!(fail.retry_delay(), None);
}

#[test]
fn spend_all_failing_stays_within_percent() {
    let mut budget = Budget::new(10);
    let retries = (0..10_000)
        .filter(|_| {
            budget.earn();
            budget.spend()
        })
        .count() as u64;
    assert!(retries <= 1_000 + RESERVE, "{retries}");
    assert!(!Budget::new(0).spend());
}
