//! Admission queue of one backend server.

#[path = "gate_model/ask.rs"]
mod ask;

use gooseberrytack::{
    clock::Time,
    gate::{Effects, Queue, SETTLE, SLOT_LEASE, SlotRequest, Verdict, WAIT_LEASE},
    share::UNIT,
    wire::{Class, Name},
};
use proptest::{prelude::*, test_runner::RngSeed};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn ask(id: &str, workspace: &str, class: Class) -> SlotRequest {
    SlotRequest {
        workspace: workspace.into(),
        ..ask::ask(id, class)
    }
}

/// A queue of `slots` slots whose settling time has passed, and the present time.
fn settled(slots: u32) -> (Queue, Time) {
    (Queue::new(slots, Time::ZERO), SETTLE)
}

fn put(
    queue: &mut Queue,
    now: Time,
    id: &str,
    workspace: &str,
    class: Class,
) -> (Verdict, Effects) {
    queue.request(now, &ask(id, workspace, class), 1, true)
}

#[test]
fn request_online_over_batch_preempts_latest_and_is_granted() {
    let (mut queue, now) = settled(2);
    put(&mut queue, now, "b1", "w", Class::Batch);
    put(&mut queue, now, "b2", "w", Class::Batch);
    for (id, victim) in [("o1", "b2"), ("o2", "b1")] {
        let (verdict, effects) = queue.request(now, &ask(id, "w", Class::Online), 1, false);
        assert_eq!(
            (verdict, effects.preempted),
            (Verdict::Granted, vec![victim.into()])
        );
    }
    let (verdict, effects) = queue.request(now, &ask("o3", "w", Class::Online), 1, false);
    assert_eq!((verdict, effects), (Verdict::Busy, Effects::default()));
    assert_eq!((queue.counts().online, queue.counts().batch), (2, 2));
}

#[test]
fn release_online_before_preempted_ended_keeps_batch_waiting() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "b1", "w", Class::Batch);
    put(&mut queue, now, "b2", "w", Class::Batch);
    put(&mut queue, now, "o", "w", Class::Online);
    assert_eq!(queue.release(now, "o", 1), Effects::default());
    assert_eq!(queue.confirm(now, "b1").granted, ["b2".into()]);
}

#[test]
fn confirm_preempted_frees_once() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "b", "w", Class::Batch);
    assert_eq!(queue.confirm(now, "b"), Effects::default());
    assert_eq!(queue.counts().batch, 1);
    put(&mut queue, now, "o", "w", Class::Online);
    queue.confirm(now, "b");
    queue.release(now, "b", 3);
    assert_eq!((queue.counts().online, queue.counts().batch), (1, 0));
}

#[test]
fn is_ending_from_preempted_to_ended_or_released() {
    let (mut queue, now) = settled(2);
    put(&mut queue, now, "b1", "w", Class::Batch);
    put(&mut queue, now, "b2", "w", Class::Batch);
    assert!(!queue.is_ending("b2"));
    put(&mut queue, now, "o1", "w", Class::Online);
    put(&mut queue, now, "o2", "w", Class::Online);
    assert!(queue.is_ending("b1") && queue.is_ending("b2"));
    queue.confirm(now, "b2");
    queue.release(now, "b1", 3);
    assert!(!queue.is_ending("b1") && !queue.is_ending("b2"));
}

#[test]
fn request_batch_behind_waiting_online_waits() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "o1", "w", Class::Online);
    put(&mut queue, now, "b", "w", Class::Batch);
    put(&mut queue, now, "o2", "w", Class::Online);
    assert_eq!(queue.release(now, "o1", 1).granted, ["o2".into()]);
    assert_eq!(queue.release(now, "o2", 1).granted, ["b".into()]);
}

#[test]
fn request_again_keeps_slot_and_place() {
    let (mut queue, now) = settled(1);
    assert_eq!(
        put(&mut queue, now, "o", "w", Class::Online).0,
        Verdict::Granted
    );
    assert_eq!(
        put(&mut queue, now, "o", "w", Class::Online).0,
        Verdict::Granted
    );
    assert_eq!(queue.counts().online, 1);
    put(&mut queue, now, "p", "w", Class::Online);
    put(&mut queue, now, "p", "w", Class::Online);
    assert_eq!(queue.counts().waiting, 1);
}

#[test]
fn request_without_wait_keeps_no_place() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "o", "w", Class::Online);
    let (verdict, _) = queue.request(now, &ask("p", "w", Class::Online), 1, false);
    assert_eq!((verdict, queue.counts().waiting), (Verdict::Busy, 0));
}

#[test]
fn expire_unrenewed_frees_slot_and_place() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "gone", "w", Class::Online);
    put(&mut queue, now, "silent", "w", Class::Online);
    let later = now + SLOT_LEASE.max(WAIT_LEASE) + MS;
    assert_eq!(
        put(&mut queue, later, "o", "w", Class::Online).0,
        Verdict::Granted
    );
    assert_eq!(queue.counts().waiting, 0);
}

#[test]
fn extend_wait_lasts_until_request_is_answered() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "o", "w", Class::Online);
    put(&mut queue, now, "asked", "w", Class::Online);
    put(&mut queue, now, "silent", "w", Class::Online);
    let answer = now + 2 * WAIT_LEASE;
    queue.extend_wait("asked", answer);
    queue.expire(answer);
    assert_eq!(queue.counts().waiting, 1);
    queue.expire(answer + WAIT_LEASE);
    assert_eq!(queue.counts().waiting, 0);
}

#[test]
fn renew_unknown_slot_takes_it_over() {
    let mut queue = Queue::new(1, Time::ZERO);
    queue.renew(MS, &ask("old", "w", Class::Batch), 1);
    assert_eq!(
        put(&mut queue, MS, "b", "w", Class::Batch).0,
        Verdict::Waiting
    );
    let (verdict, effects) = put(&mut queue, MS, "o", "w", Class::Online);
    assert_eq!(
        (verdict, effects.preempted),
        (Verdict::Granted, vec!["old".into()])
    );
}

#[test]
fn request_batch_before_settled_waits() {
    let mut queue = Queue::new(4, Time::ZERO);
    assert_eq!(
        put(&mut queue, MS, "b", "w", Class::Batch).0,
        Verdict::Waiting
    );
    assert_eq!(
        put(&mut queue, MS, "o", "w", Class::Online).0,
        Verdict::Granted
    );
    assert_eq!(queue.serve(SETTLE).granted, ["b".into()]);
}

#[test]
fn release_many_waiting_serves_by_weight() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "first", "x", Class::Online);
    for i in 0..30 {
        queue.request(now, &ask(&format!("a{i:02}"), "a", Class::Online), 1, true);
    }
    for i in 0..30 {
        queue.request(now, &ask(&format!("b{i:02}"), "b", Class::Online), 2, true);
    }
    let mut served = Vec::new();
    let mut running = "first".to_string();
    for _ in 0..30 {
        let effects = queue.release(now, &running, 10);
        running = effects.granted[0].to_string();
        served.push(running.clone());
    }
    let b = served.iter().filter(|id| id.starts_with('b')).count();
    assert!(
        (19..=21).contains(&b),
        "b got {b} of 30 at twice the weight"
    );
}

#[test]
fn serve_batch_goes_by_what_the_fleet_served() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "o", "w", Class::Online);
    put(&mut queue, now, "a", "ahead", Class::Batch);
    put(&mut queue, now, "b", "behind", Class::Batch);
    queue.note_served(&"ahead".into(), 900 * UNIT);
    queue.note_served(&"behind".into(), 800 * UNIT);
    assert_eq!(queue.virtual_time(), 800 * UNIT);
    assert_eq!(queue.release(now, "o", 1).granted, ["b".into()]);
    queue.note_served(&"behind".into(), 1_000 * UNIT);
    put(&mut queue, now, "c", "behind", Class::Batch);
    assert_eq!(queue.release(now, "b", 10).granted, ["a".into()]);
}

#[test]
fn release_batch_serves_by_weight() {
    let (mut queue, now) = settled(1);
    put(&mut queue, now, "first", "x", Class::Online);
    for i in 0..30 {
        queue.request(now, &ask(&format!("a{i:02}"), "a", Class::Batch), 1, true);
        queue.request(now, &ask(&format!("b{i:02}"), "b", Class::Batch), 2, true);
    }
    let mut running = "first".to_string();
    let served = (0..30).map(|_| {
        running = queue.release(now, &running, 10).granted[0].to_string();
        running.clone()
    });
    let b = served.filter(|id| id.starts_with('b')).count();
    assert!(
        (19..=21).contains(&b),
        "b got {b} of 30 at twice the weight"
    );
}

#[derive(Debug, Clone)]
enum Step {
    Ask(u8, bool, bool),
    Release(u8),
    Confirm(u8),
    Renew(u8, bool),
    Pass(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..30u8, any::<bool>(), any::<bool>()).prop_map(|(i, o, w)| Step::Ask(i, o, w)),
        2 => (0..30u8).prop_map(Step::Release),
        1 => (0..30u8).prop_map(Step::Confirm),
        1 => (0..30u8, any::<bool>()).prop_map(|(i, o)| Step::Renew(i, o)),
        1 => (0..1500u16).prop_map(Step::Pass),
    ]
}

fn class(online: bool) -> Class {
    if online { Class::Online } else { Class::Batch }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    /// Grants never exceed the slots except for batch attempts being preempted, no online request
    /// waits while a batch attempt holds a slot and is not preempted, and nothing waits while a
    /// slot is free.
    #[test]
    fn queue_any_steps_keeps_bounds(steps in prop::collection::vec(step(), 1..200)) {
        let (mut queue, mut now) = settled(4);
        let (mut foreign, mut preempted) = (false, Vec::new());
        for step in steps {
            let effects = match step {
                Step::Ask(i, o, wait) => {
                    let ask = ask(&format!("{i}-{o}"), &format!("w{}", i % 3), class(o));
                    queue.request(now, &ask, 1, wait).1
                }
                Step::Release(i) => {
                    let mut effects = queue.release(now, &format!("{i}-true"), 5);
                    let other = queue.release(now, &format!("{i}-false"), 5);
                    effects.preempted.extend(other.preempted);
                    effects
                }
                Step::Confirm(i) => queue.confirm(now, &format!("{i}-false")),
                Step::Renew(i, o) => {
                    foreign = true;
                    queue.renew(now, &ask(&format!("{i}-{o}"), "w0", class(o)), 1);
                    queue.serve(now)
                }
                Step::Pass(ms) => {
                    now += Duration::from_millis(ms.into());
                    queue.expire(now);
                    queue.serve(now)
                }
            };
            preempted.extend(effects.preempted);
            let c = queue.counts();
            prop_assert!(foreign || c.online <= 4);
            prop_assert!(c.waiting == 0 || c.online >= 4);
            prop_assert!(c.backlog == 0 || c.online + c.batch >= 4);
            prop_assert_eq!(queue.serve(now), Effects::default());
            let mut ended = queue.clone();
            preempted.iter().for_each(|id: &Name| drop(ended.confirm(now, id)));
            let c = ended.counts();
            prop_assert!(foreign || c.online + c.batch <= 4);
        }
    }
}

#[test]
fn batch_burst_of_jobs_ends_one_after_the_other() {
    // A server with four slots, a burst of ten jobs of four items, and intermittent online
    // requests. An item needs ten rounds with a slot. Guards against preemption that makes all jobs
    // end late.
    let mut queue = Queue::new(4, Duration::ZERO);
    let item = |job: u64, i: u64| SlotRequest {
        since: job + 1,
        ..ask(&format!("j{job}.{i}"), "a", Class::Batch)
    };
    let mut left: Vec<(u64, u64, u32)> = (0..10)
        .flat_map(|job| (0..4).map(move |i| (job, i, 10)))
        .collect();
    let mut now = SETTLE;
    let mut ends = vec![0; 10];
    for round in 0..400 {
        now += Duration::from_millis(100);
        let online = ask(&format!("o{round}"), "b", Class::Online);
        if round % 3 == 0 {
            queue.request(now, &online, 1, true);
        }
        for (job, i, _) in &left {
            queue.request(now, &item(*job, *i), 1, true);
        }
        for (job, i, need) in &mut left {
            let id = item(*job, *i).id;
            if queue.is_ending(&id) {
                queue.release(now, &id, 1);
            } else if queue.holder(&id).is_some() {
                *need -= 1;
                if *need == 0 {
                    queue.release(now, &id, 1);
                    ends[*job as usize] = round;
                }
            }
        }
        left.retain(|(_, _, need)| *need > 0);
        queue.release(now, &format!("o{round}"), 1);
    }
    assert!(left.is_empty(), "{} items did not end", left.len());
    assert!(ends.is_sorted(), "jobs ended out of order: {ends:?}");
    // The first half of the jobs ends in about half of the time.
    assert!(ends[4] * 10 <= ends[9] * 6, "{ends:?}");
}
