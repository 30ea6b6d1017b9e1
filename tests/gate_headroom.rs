//! Slots that a gate keeps free of batch work, under online traffic of peaks and troughs.

mod gate_model;

use gate_model::{Backlog, LEARNED, Policy, SLOTS, play, play_rate, request};
use gooseberrytack::{
    clock::Time,
    gate::{Counts, Effects, Headroom, Queue, Reserve, SETTLE, Verdict},
    route::{Availability, Candidate, Routes},
    wire::{Class, Name},
};
use std::time::Duration;

// Guards against a reserve that is worse than the fixed ones that suit this load.
#[test]
fn reserve_one_gate_endless_backlog() {
    let [off, five, six, learned] = [
        Policy::Fixed(0),
        Policy::Fixed(5),
        Policy::Fixed(6),
        LEARNED,
    ]
    .map(|policy| play(1, policy, false, Backlog::Endless, 600));
    assert!(off.per_result() > 3.0, "{off:?}");
    assert!(learned.per_result() < 0.6 * off.per_result(), "{learned:?}");
    assert!(learned.per_result() < five.per_result(), "{learned:?}");
    // Results of a fixed reserve between the two that has as many attempts per result.
    let part = (learned.per_result() - six.per_result()) / (five.per_result() - six.per_result());
    let results = f64::from(six.results) + part * f64::from(five.results - six.results);
    assert!(
        f64::from(learned.results) >= 0.95 * results,
        "{learned:?} {results}"
    );
    assert!(learned.late == 0 && learned.waited <= off.waited);
}

// Guards against a reserve that does not follow the load: a fixed one is too large at few online requests.
#[test]
fn reserve_few_online_more_results_than_fixed() {
    let [fixed, learned] = [Policy::Fixed(4), LEARNED]
        .map(|policy| play_rate(12, policy, true, Backlog::Endless, 120, 1.0));
    assert!(learned.per_result() < 1.2, "{learned:?}");
    assert!(learned.results * 10 > fixed.results * 11, "{learned:?}");
}

// Guards against preemptions while other servers have a free slot.
#[test]
fn reserve_fleet_few_preempted_none_late() {
    for backlog in [Backlog::Jobs(10, 0.43), Backlog::Jobs(100, 0.43)] {
        let off = play(12, Policy::Fixed(0), false, backlog, 120);
        play(12, Policy::Fixed(4), true, backlog, 120);
        let learned = play(12, LEARNED, true, backlog, 120);
        assert!(learned.per_result() < 1.2, "{learned:?}");
        assert!(learned.results * 100 >= off.results * 98, "{learned:?}");
        assert!(learned.late <= off.late && learned.waited <= off.waited);
    }
    for (policy, free_first) in [(Policy::Fixed(0), false), (Policy::Fixed(0), true)] {
        play(12, policy, free_first, Backlog::Endless, 120);
    }
    let endless = play(12, LEARNED, true, Backlog::Endless, 120);
    assert!(endless.per_result() < 1.2, "{endless:?}");
}

// Guards against a reserve that ends when a job lasts for longer than `backlog_ms` although it is served.
#[test]
fn reserve_one_long_job_few_preempted() {
    let off = play(12, Policy::Fixed(0), true, Backlog::OneJob, 120);
    assert!(off.per_result() > 2.0, "{off:?}");
    let learned = play(12, LEARNED, true, Backlog::OneJob, 120);
    assert!(learned.per_result() < 1.2, "{learned:?}");
}

// Guards against a reserve that makes jobs late when the servers cannot serve all of them in time.
#[test]
fn reserve_backlog_behind_costs_few_results() {
    let jobs = Backlog::Jobs(100, 0.43);
    let off = play(1, Policy::Fixed(0), false, jobs, 230);
    let never = Policy::Learned(Reserve {
        percent: 97,
        backlog: Duration::from_secs(3600),
    });
    play(1, never, false, jobs, 230);
    let learned = play(1, LEARNED, false, jobs, 230);
    assert!(learned.late <= off.late + off.results / 10, "{learned:?}");
}

fn counts(online: u32) -> Counts {
    Counts {
        online,
        slots: SLOTS,
        ..Counts::default()
    }
}

// Guards against headroom for requests that wait at three gates for one slot, and for more requests than slots.
#[test]
fn note_online_waiting_and_excess_not_counted() {
    let rule = Reserve {
        percent: 97,
        backlog: Duration::from_secs(6),
    };
    let reserve = |counts| {
        let mut headroom = Headroom::default();
        headroom.note_online(SETTLE, counts);
        let now = SETTLE + Duration::from_secs(1);
        headroom.note_online(now, counts);
        headroom.reserve(now, 100, rule)
    };
    let waiting = Counts {
        waiting: 5,
        ..counts(2)
    };
    assert_eq!(reserve(waiting), 2);
    assert_eq!(reserve(counts(SLOTS + 1)), SLOTS);
    assert_eq!(reserve(counts(u32::MAX)), SLOTS);
}

#[test]
fn reserve_online_learned_then_forgotten() {
    let rule = Reserve {
        percent: 95,
        backlog: Duration::from_secs(6),
    };
    let mut headroom = Headroom::default();
    assert_eq!(headroom.reserve(SETTLE, SLOTS, rule), 0);
    let mut now = SETTLE;
    // Peaks and troughs: the peak is still known at the end of a trough.
    for (online, ms) in [(3, 2400), (1, 3400), (3, 2400), (1, 3400)] {
        headroom.note_online(now, counts(online));
        now += Duration::from_millis(ms);
    }
    headroom.note_online(now, counts(1));
    assert_eq!(headroom.reserve(now, SLOTS, rule), 3);
    // One slot remains for batch work.
    assert_eq!(headroom.reserve(now, 2, rule), 1);
    headroom.note_online(now + Duration::from_secs(40), counts(1));
    assert_eq!(headroom.reserve(now, SLOTS, rule), 1);
}

#[test]
fn reserve_item_waits_shrinks_until_served() {
    let rule = Reserve {
        percent: 95,
        backlog: Duration::from_secs(6),
    };
    let item = |id: &str| request(&id.into(), Class::Batch, 7);
    let mut headroom = Headroom::default();
    headroom.note_online(SETTLE, counts(4));
    let mut reserves = Vec::new();
    for second in 0..=12 {
        let now = SETTLE + Duration::from_secs(second);
        headroom.note_online(now, counts(4));
        // Each time that the item returns to its job, its attempt id changes.
        headroom.note_denied(now, &item(&format!("j/0.3.1.{second}.2")));
        reserves.push(headroom.reserve(now, SLOTS, rule));
    }
    assert_eq!(reserves, [0, 4, 4, 4, 4, 4, 4, 3, 3, 2, 1, 1, 0]);
    // Only a grant to this item ends its wait.
    let now = SETTLE + Duration::from_secs(12);
    headroom.note_granted(&item("j/0.30.1.0"));
    assert_eq!(headroom.reserve(now, SLOTS, rule), 0);
    headroom.note_granted(&item("j/0.3.2.0"));
    assert_eq!(headroom.reserve(now, SLOTS, rule), 4);
    headroom.note_denied(now, &item("j/0.3.2.0"));
    assert_eq!(headroom.reserve(now, SLOTS, rule), 4);
    let now = SETTLE + Duration::from_secs(14);
    assert_eq!(headroom.reserve(now, SLOTS, rule), 4);
}

// Guards against headroom that shrinks because of requests that a new gate or the throttle holds back.
#[test]
fn lacks_batch_slot_only_without_room() {
    let mut queue = Queue::new(1, Time::ZERO);
    assert!(!queue.lacks_batch_slot(SETTLE / 2));
    queue.set_rate(Some(0.1), SETTLE);
    let request = request(&"b1".into(), Class::Batch, 7);
    let (verdict, _) = queue.request(SETTLE, &request, 1, true);
    assert_eq!(verdict, Verdict::Waiting);
    assert!(!queue.lacks_batch_slot(SETTLE));
    queue.set_rate(None, SETTLE);
    queue.serve(SETTLE);
    assert!(queue.lacks_batch_slot(SETTLE));
}

#[test]
fn set_reserve_running_batch_not_preempted() {
    let mut queue = Queue::new(2, Time::ZERO);
    let ask = |queue: &mut Queue, id: &str, class| {
        let request = request(&id.into(), class, 0);
        queue.request(SETTLE, &request, 1, true)
    };
    ask(&mut queue, "b1", Class::Batch);
    ask(&mut queue, "b2", Class::Batch);
    queue.set_reserve(1);
    assert_eq!(queue.serve(SETTLE), Effects::default());
    queue.release(SETTLE, "b1", 1);
    // The free slot is kept for online requests.
    assert_eq!(ask(&mut queue, "b3", Class::Batch).0, Verdict::Waiting);
    let (verdict, effects) = ask(&mut queue, "o", Class::Online);
    assert_eq!(verdict, Verdict::Granted);
    assert!(effects.preempted.is_empty());
    // What an online request frees is kept as well.
    assert_eq!(queue.release(SETTLE, "o", 1), Effects::default());
}

// Guards against preemptions at a server that is known to be full, and against counts that are out of date.
#[test]
fn mark_full_recent_counts_without_free_slot() {
    let routes = Routes::new(0);
    let names = ["a", "b", "c", "d"].map(Name::from);
    let full = Counts {
        online: 1,
        batch: SLOTS - 1,
        slots: SLOTS,
        ..Counts::default()
    };
    // Batch work that waits beside a free slot takes nothing from online requests.
    let kept = Counts {
        batch: 4,
        backlog: 9,
        ..full
    };
    routes.learn(SETTLE, &names[..3], &[full, kept, full]);
    let marked = |now| {
        let mut all = names.clone().map(|name| Candidate {
            name,
            is_near: true,
            load: 0.0,
            spare: 8,
            is_limited: false,
            expected: None,
            is_full: true,
            availability: Availability::Available,
        });
        routes.mark_full(&mut all, now);
        all.map(|c| c.is_full)
    };
    assert_eq!(marked(SETTLE), [true, false, true, false]);
    assert_eq!(marked(SETTLE + Duration::from_secs(1)), [false; 4]);
}
