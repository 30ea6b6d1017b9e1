//! Concurrency limits of an admission queue.

#[path = "gate_model/ask.rs"]
mod ask;

use ask::ask;
use gooseberrytack::{
    clock::Time,
    gate::{Effects, Queue, SETTLE, Verdict},
    wire::Class,
};

/// A queue of `slots` slots whose settling time has passed, and the present time.
fn settled(slots: u32) -> (Queue, Time) {
    (Queue::new(slots, Time::ZERO), SETTLE)
}

fn put(queue: &mut Queue, now: Time, id: &str, class: Class) -> (Verdict, Effects) {
    queue.request(now, &ask(id, class), 1, true)
}

/// Batch work must stay below a learned limit, and online requests must still get every slot.
#[test]
fn set_concurrency_holds_batch_and_not_online() {
    let (mut queue, now) = settled(4);
    queue.set_concurrency(2, 3);
    for id in ["b1", "b2"] {
        assert_eq!(put(&mut queue, now, id, Class::Batch).0, Verdict::Granted);
    }
    assert_eq!(put(&mut queue, now, "b3", Class::Batch).0, Verdict::Waiting);
    let (verdict, effects) = put(&mut queue, now, "o1", Class::Online);
    assert_eq!((verdict, effects.preempted.len()), (Verdict::Granted, 0));
    let (verdict, effects) = put(&mut queue, now, "o2", Class::Online);
    assert_eq!(
        (verdict, effects.preempted),
        (Verdict::Granted, vec!["b2".into()])
    );
    for id in ["o3", "o4"] {
        assert_eq!(put(&mut queue, now, id, Class::Online).0, Verdict::Granted);
    }
    assert_eq!(
        put(&mut queue, now, "o5", Class::Online).0,
        Verdict::Waiting
    );
}

/// A limit that falls must not preempt work that runs already: it would run again elsewhere.
#[test]
fn set_concurrency_lower_preempts_nothing() {
    let (mut queue, now) = settled(4);
    for id in ["b1", "b2", "b3", "b4"] {
        put(&mut queue, now, id, Class::Batch);
    }
    queue.set_concurrency(2, 2);
    assert_eq!(queue.serve(now), Effects::default());
    let (_, effects) = put(&mut queue, now, "o1", Class::Online);
    assert_eq!(effects.preempted.len(), 1);
}
