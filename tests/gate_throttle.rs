//! Limits that servers state on their requests, as their gates hold them.

#[path = "gate_model/ask.rs"]
mod ask;

use ask::ask;
use gooseberrytack::{
    clock::Time,
    gate::{Confirmation, PROBE_RATE, Queue, Role, SETTLE, SHARED_PART, Throttle, Verdict},
    wire::Class,
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// A queue of eight slots with a full bucket of `rate` tokens, and the present time.
fn throttled(rate: f64) -> (Queue, Time) {
    let mut queue = Queue::new(8, Time::ZERO);
    queue.set_rate(Some(rate), Time::ZERO);
    (queue, SETTLE + SECOND)
}

fn request(queue: &mut Queue, now: Time, id: &str, class: Class, may_wait: bool) -> Verdict {
    queue.request(now, &ask(id, class), 1, may_wait).0
}

#[test]
fn throttle_new_is_empty() {
    let mut bucket = Throttle::new(2.0, Time::ZERO);
    assert!(!bucket.take(Time::ZERO, false));
    assert!(!bucket.take(499 * MS, false));
    assert!(bucket.take(500 * MS, false));
}

#[test]
fn throttle_idle_saves_one_second() {
    let mut bucket = Throttle::new(3.0, Time::ZERO);
    let taken = (0..10).filter(|_| bucket.take(60 * SECOND, false));
    assert_eq!(taken.count(), 3);
}

#[test]
fn throttle_batch_takes_of_full_bucket_only() {
    let mut bucket = Throttle::new(2.0, Time::ZERO);
    assert!(!bucket.take(900 * MS, true));
    assert!(bucket.take(SECOND, true));
    assert!(!bucket.take(SECOND, true));
    assert!(bucket.take(SECOND, false));
}

#[test]
fn throttle_lower_rate_drops_tokens() {
    let mut bucket = Throttle::new(10.0, Time::ZERO);
    bucket.set_rate(2.0, SECOND);
    let taken = (0..10).filter(|_| bucket.take(SECOND, false));
    assert_eq!(taken.count(), 2);
}

#[test]
fn throttle_higher_rate_adds_nothing_at_once() {
    let mut bucket = Throttle::new(1.0, Time::ZERO);
    bucket.set_rate(100.0, 500 * MS);
    assert!(!bucket.take(500 * MS, false));
    assert!(bucket.take(505 * MS, false));
}

#[test]
fn throttle_delay_ends_with_a_token() {
    for rate in [0.05, 0.2, 3.7, 41.0] {
        let mut bucket = Throttle::new(rate, Time::ZERO);
        let delay = bucket.delay(Time::ZERO, false);
        assert!(bucket.take(delay, false), "{rate}");
    }
}

#[test]
fn throttle_extreme_rates_do_not_overflow() {
    for rate in [0.0, f64::MIN_POSITIVE, 1e300, f64::MAX] {
        let mut bucket = Throttle::new(rate, Time::ZERO);
        bucket.set_rate(Role::Gate.granted_rate(rate), SECOND);
        let _ = (bucket.delay(SECOND, true), bucket.delay(SECOND, false));
        assert!(bucket.take(60 * SECOND, false), "{rate}");
        bucket.refund();
    }
}

#[test]
fn role_limit_zero_leaves_probes() {
    assert_eq!(Role::Gate.granted_rate(0.0), PROBE_RATE);
    assert_eq!(Role::Gate.granted_rate(4.0), 4.0);
}

#[test]
fn role_shared_parts_stay_below_the_excess() {
    let rate = 4.0;
    let both = Role::Gate.granted_rate(rate) + Role::Standby.granted_rate(rate);
    assert_eq!(both, rate * (1.0 + SHARED_PART));
    let alone = 9.0 * Role::Alone(9).granted_rate(rate);
    assert!(alone <= rate * 1.000001);
}

#[test]
fn request_over_rate_waits_for_token() {
    let (mut queue, now) = throttled(2.0);
    for id in ["a", "b"] {
        assert_eq!(
            request(&mut queue, now, id, Class::Online, false),
            Verdict::Granted
        );
    }
    assert_eq!(
        request(&mut queue, now, "c", Class::Online, false),
        Verdict::Busy
    );
    assert_eq!(
        request(&mut queue, now, "d", Class::Online, true),
        Verdict::Waiting
    );
    let delay = queue.throttle_delay(now).expect("a delay");
    assert_eq!(
        request(&mut queue, now + delay, "d", Class::Online, true),
        Verdict::Granted
    );
}

#[test]
fn request_repeated_takes_one_token() {
    let (mut queue, now) = throttled(2.0);
    for _ in 0..5 {
        assert_eq!(
            request(&mut queue, now, "a", Class::Online, false),
            Verdict::Granted
        );
    }
    assert_eq!(
        request(&mut queue, now, "b", Class::Online, false),
        Verdict::Granted
    );
}

#[test]
fn request_throttled_preempts_nothing() {
    let mut queue = Queue::new(1, Time::ZERO);
    let now = SETTLE;
    request(&mut queue, now, "item", Class::Batch, true);
    queue.set_rate(Some(2.0), now);
    let (verdict, effects) = queue.request(now, &ask("a", Class::Online), 1, true);
    assert_eq!((verdict, effects.preempted.len()), (Verdict::Waiting, 0));
}

#[test]
fn release_unsent_returns_token() {
    let (mut queue, now) = throttled(1.0);
    assert_eq!(
        request(&mut queue, now, "a", Class::Online, false),
        Verdict::Granted
    );
    queue.release_unsent(now, "a");
    assert_eq!(
        request(&mut queue, now, "b", Class::Online, false),
        Verdict::Granted
    );
}

#[test]
fn release_sent_keeps_token() {
    let (mut queue, now) = throttled(1.0);
    assert_eq!(
        request(&mut queue, now, "a", Class::Online, false),
        Verdict::Granted
    );
    queue.release(now, "a", 0);
    assert_eq!(
        request(&mut queue, now, "b", Class::Online, false),
        Verdict::Busy
    );
}

#[test]
fn release_unsent_of_adopted_slot_returns_none() {
    let mut queue = Queue::new(8, Time::ZERO);
    queue.set_rate(Some(1.0), Time::ZERO);
    queue.renew(Time::ZERO, &ask("a", Class::Online), 1);
    queue.release_unsent(Time::ZERO, "a");
    assert_eq!(
        request(&mut queue, Time::ZERO, "b", Class::Online, false),
        Verdict::Busy
    );
}

#[test]
fn set_rate_none_lifts_limit() {
    let (mut queue, now) = throttled(1.0);
    request(&mut queue, now, "a", Class::Online, false);
    assert_eq!(
        request(&mut queue, now, "b", Class::Online, false),
        Verdict::Busy
    );
    queue.set_rate(None, now);
    assert_eq!(
        request(&mut queue, now, "b", Class::Online, false),
        Verdict::Granted
    );
}

#[test]
fn confirmation_ends_without_repetition_lapses() {
    let mut confirmation = Confirmation::default();
    assert!(confirmation.holds(SECOND, SECOND));
    // Nothing ended: nobody could have heard anything else.
    assert!(confirmation.holds(SECOND, 60 * SECOND));
    (0..4).for_each(|_| confirmation.note_ended());
    assert!(confirmation.holds(SECOND, 10 * SECOND));
    assert!(!confirmation.holds(SECOND, 11 * SECOND));
    assert!(confirmation.holds(11 * SECOND, 12 * SECOND));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// A gate that follows another one and stays with its part until all hosts know keeps any window of
    /// 4 s within one and a half times the limit and five requests.
    #[test]
    fn throttle_windows_keep_to_limit_over_handover(
        rate in 0.0f64..40.0,
        steps in prop::collection::vec((1u64..120, any::<bool>()), 1..400),
        moves in 10usize..200,
    ) {
        let mut old = Throttle::new(Role::Gate.granted_rate(rate), Time::ZERO);
        let mut new = Throttle::new(Role::Standby.granted_rate(rate), Time::ZERO);
        let (mut now, mut sent, mut moved) = (Time::ZERO, Vec::new(), Time::MAX);
        for (step, (pause, burst)) in steps.into_iter().enumerate() {
            now += u32::try_from(pause).expect("small") * MS;
            if step == moves {
                new = Throttle::new(Role::Standby.granted_rate(rate), now);
                moved = now;
            }
            let is_moved = now >= moved;
            let is_known = now.saturating_sub(moved) >= 2 * SECOND;
            if is_moved && is_known {
                new.set_rate(Role::Gate.granted_rate(rate), now);
            }
            for _ in 0..if burst { 50 } else { 1 } {
                // Until all know, some ask the old gate and others the new one.
                let is_old = !is_moved || now.saturating_sub(moved) < SECOND;
                if is_old && old.take(now, false) {
                    sent.push(now);
                }
                if is_moved && new.take(now, false) {
                    sent.push(now);
                }
            }
        }
        let window = 4 * SECOND;
        let most = sent.iter().map(|from| {
            sent.iter().filter(|at| (*from..*from + window).contains(*at)).count()
        });
        let allowed = 1.5 * rate * window.as_secs_f64() + 5.0;
        prop_assert!(most.max().unwrap_or(0) as f64 <= allowed);
    }
}

#[test]
fn release_unsent_of_slot_from_before_the_limit_returns_none() {
    let mut queue = Queue::new(8, Time::ZERO);
    request(&mut queue, SECOND, "a", Class::Online, false);
    queue.set_rate(Some(1.0), SECOND);
    queue.release_unsent(SECOND, "a");
    assert_eq!(
        request(&mut queue, SECOND, "b", Class::Online, false),
        Verdict::Busy
    );
}
