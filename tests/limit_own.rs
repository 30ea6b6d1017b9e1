//! The hosts' own parts of a rate never exceed it together, and are available when no lender can be
//! reached.

use gooseberrytack::{
    config::Workspace,
    limit::{LOAN_MAX, OwnPart, divide, loan_span, retry_delay, share},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longest wait of a request for a token.
const WAIT: Duration = Duration::from_millis(250);

fn workspace(rate: u32, burst: u32) -> Workspace {
    Workspace {
        name: "w".into(),
        weight: 1,
        rate,
        burst,
    }
}

#[test]
fn divide_parts_no_more_than_whole() {
    for rate in [1, 60, 2_820, 100_001] {
        for burst in [1, 19, 20, 47, 500] {
            for hosts in [1, 2, 10, 60] {
                let whole = workspace(rate, burst);
                let parts = divide(&whole, hosts, 60);
                let own = parts.own * hosts as u64;
                assert!(own + u64::from(parts.lent.rate) * 1000 <= u64::from(rate) * 1000);
                let own_burst = if parts.own > 0 { hosts as u32 } else { 0 };
                assert!(own_burst + parts.lent.burst <= burst);
            }
        }
    }
}

#[test]
fn divide_small_burst_all_lent() {
    let whole = workspace(600, 19);
    let parts = divide(&whole, 10, 60);
    assert_eq!((parts.own, parts.lent), (0, whole));
}

#[test]
fn own_without_lenders_serves_its_part() {
    // 47 requests a second over 10 hosts, none of which can reach a lender.
    let parts = divide(&workspace(2_820, 47), 10, 60);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut own = vec![OwnPart::default(); 10];
    // Deadlines of the requests that wait at each host.
    let mut waiting: Vec<Vec<Duration>> = vec![Vec::new(); 10];
    let (mut served, mut asked) = (0, 0);
    let mut now = Duration::ZERO;
    while now < 10 * SECOND {
        now += Duration::from_millis(rng.random_range(5..25));
        asked += 1;
        waiting[rng.random_range(0..10)].push(now + WAIT);
        for (own, waiting) in own.iter_mut().zip(&mut waiting) {
            waiting.retain(|until| *until >= now);
            if !waiting.is_empty() && own.take(parts.own, now) {
                waiting.remove(0);
                served += 1;
            }
        }
    }
    let most = 10 * 47 * 6 / 10 + 10;
    assert!(served <= most, "{served} of {asked} served, {most} allowed");
    // Randomly spread callers get nearly all of the part.
    assert!(
        served >= most * 8 / 10,
        "{served} of {asked} served, {most} allowed"
    );
}

#[test]
fn own_new_start_begins_empty() {
    let parts = divide(&workspace(2_820, 47), 10, 60);
    for start in 0..100 {
        let mut own = OwnPart::default();
        assert!(!own.take(parts.own, start * SECOND));
    }
}

#[test]
fn own_put_back_taken_again() {
    let mut own = OwnPart::default();
    assert!(!own.take(60_000, SECOND));
    assert!(own.take(60_000, 2 * SECOND));
    own.put_back();
    own.put_back();
    assert!(own.take(60_000, 2 * SECOND));
    assert!(!own.take(60_000, 2 * SECOND), "two tokens came of one");
}

/// After a restart of all hosts, no slot lends yet: a caller that returns after its retry delay
/// finds the loans of the previous holders expired, at any rate.
#[test]
fn retry_delay_is_after_the_loans_of_earlier_holders() {
    let longest = [1, 20, 60, 2_820, 100_001]
        .map(|rate| loan_span(share(&workspace(rate, 20), 0)))
        .into_iter()
        .max()
        .expect("rates");
    assert!(longest >= LOAN_MAX);
    for ms in (0..5_000).step_by(50) {
        let up = Duration::from_millis(ms);
        assert!(
            up + retry_delay(up) >= longest,
            "retry delay {:?} at {up:?}",
            retry_delay(up)
        );
        assert!(
            retry_delay(up) >= Duration::from_millis(400),
            "callers return too often"
        );
    }
    assert_eq!(
        retry_delay(Duration::from_secs(60)),
        Duration::from_millis(400)
    );
}
