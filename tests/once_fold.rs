//! Which calls the fold of at-most-once calls drops when there are too many.

use gooseberrytack::{
    fold::{Fold, pos},
    once::{ANSWERED_MAX, Calls, PENDING_MAX, Record, Saved},
    wire::Name,
};

fn intent(id: &Name, attempt: u64) -> Record {
    Record::Intent {
        id: id.clone(),
        host: "h1".into(),
        attempt,
        digest: "d".into(),
    }
}

fn outcome(id: &Name, attempt: u64) -> Record {
    Record::Outcome {
        id: id.clone(),
        attempt,
        saved: Saved {
            status: 200,
            kind: "text/plain".into(),
            body: None,
        },
    }
}

/// Folds `count` calls, each answered at once, from offset `from` on.
fn fold_answered(calls: &mut Calls, from: usize, count: usize) {
    for n in from..from + count {
        let id = format!("w/{n:08}").into();
        calls.apply(pos(n as u64, 0), &intent(&id, 1));
        calls.apply(pos(n as u64, 1), &outcome(&id, 1));
    }
}

#[test]
fn trim_keeps_call_without_answer() {
    let mut calls = Calls::default();
    let lost: Name = "w/lost".into();
    calls.apply(pos(0, 0), &intent(&lost, 7));
    fold_answered(&mut calls, 1, 2 * ANSWERED_MAX);
    let call = calls
        .call("w/lost")
        .expect("an unanswered call is kept, so that no repeat is sent");
    assert_eq!(call.attempt, 7);
    assert!(calls.calls.len() <= ANSWERED_MAX + 2);
    let last = format!("w/{:08}", 2 * ANSWERED_MAX);
    assert!(calls.call(&last).is_some());
}

#[test]
fn trim_bounds_calls_without_answer() {
    let mut calls = Calls::default();
    for n in 0..=PENDING_MAX {
        let id = format!("w/{n:08}").into();
        calls.apply(pos(n as u64, 0), &intent(&id, 1));
    }
    assert!(calls.calls.len() <= PENDING_MAX);
    assert!(calls.call("w/00000000").is_none());
    assert!(calls.call(&format!("w/{PENDING_MAX:08}")).is_some());
}
