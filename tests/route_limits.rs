//! What a host knows of the limits that servers state, and of servers that are at their limits.

use gooseberrytack::{
    clock::Time,
    config::Server,
    gate::{Counts, StatedLimit},
    route::{Noted, ServerLimits, Throttled},
    wire::{Class, Name},
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn server(name: &str, start: u64) -> Server {
    Server {
        name: name.into(),
        addr: "127.0.0.1:1".parse().expect("address"),
        domain: "d".into(),
        models: vec!["m".into()],
        slots: 8,
        fenced: false,
        leaving: false,
        start,
        software: "v1".into(),
    }
}

fn name() -> Name {
    "s".into()
}

fn counts(online: u32, batch: u32, waiting: u32) -> Counts {
    Counts {
        online,
        batch,
        waiting,
        backlog: 0,
        slots: 8,
    }
}

fn rate(limits: &ServerLimits) -> Option<f64> {
    limits.rate(&server("s", 1)).map(|(rate, _)| rate)
}

#[test]
fn note_latest_statement_counts() {
    let limits = ServerLimits::default();
    assert_eq!(limits.note(&name(), 1, None, SECOND), Noted::Nothing);
    assert_eq!(
        limits.note(&name(), 1, Some(4.0), 2 * SECOND),
        Noted::Changed(None)
    );
    assert_eq!(
        limits.note(&name(), 1, Some(4.0), 3 * SECOND),
        Noted::Repeated
    );
    assert_eq!(
        limits.note(&name(), 1, Some(2.0), 4 * SECOND),
        Noted::Changed(Some(4.0))
    );
    // A host that was cut off tells later what it heard before.
    assert_eq!(
        limits.note(&name(), 1, Some(9.0), 3 * SECOND),
        Noted::Nothing
    );
    assert_eq!(rate(&limits), Some(2.0));
    assert_eq!(
        limits.note(&name(), 1, None, 5 * SECOND),
        Noted::Changed(Some(2.0))
    );
    assert_eq!(rate(&limits), None);
}

#[test]
fn note_earlier_start_is_ignored() {
    let limits = ServerLimits::default();
    limits.note(&name(), 2, None, SECOND);
    limits.note(&name(), 2, Some(3.0), SECOND);
    assert_eq!(
        limits.note(&name(), 1, Some(1.0), 2 * SECOND),
        Noted::Nothing
    );
    assert_eq!(limits.rate(&server("s", 3)), None);
    assert_eq!(limits.rate(&server("s", 2)), Some((3.0, SECOND)));
}

#[test]
fn untold_each_gate_once_until_it_changes() {
    let limits = ServerLimits::default();
    let (gate, other): (Name, Name) = ("h1".into(), "h2".into());
    assert_eq!(limits.untold(&name(), &gate, SECOND), None);
    limits.note(&name(), 1, Some(4.0), SECOND);
    let told = limits
        .untold(&name(), &gate, 3 * SECOND)
        .expect("not told yet");
    let wanted = StatedLimit {
        server: name(),
        start: 1,
        rate: Some(4.0),
        age: 2 * SECOND,
    };
    assert_eq!(told, wanted);
    limits.mark_told(&told, &gate, 3 * SECOND);
    assert_eq!(limits.untold(&name(), &gate, 4 * SECOND), None);
    assert!(limits.untold(&name(), &other, 4 * SECOND).is_some());
    limits.note(&name(), 1, None, 5 * SECOND);
    assert!(limits.untold(&name(), &gate, 5 * SECOND).is_some());
    // The answer to the message before came late.
    limits.mark_told(&told, &gate, 6 * SECOND);
    assert!(limits.untold(&name(), &gate, 6 * SECOND).is_some());
}

#[test]
fn prune_restarted_and_gone_are_forgotten() {
    let limits = ServerLimits::default();
    for name in ["a", "b", "c"] {
        limits.note(&name.into(), 1, Some(1.0), SECOND);
    }
    limits.prune(&[server("a", 1), server("b", 2)]);
    let known = |name: &str| limits.stated(&name.into(), SECOND).is_some();
    assert_eq!(["a", "b", "c"].map(known), [true, false, false]);
}

fn note(throttled: &Throttled, class: Class, counts: Counts, is_queued: bool) -> bool {
    let limits = ServerLimits::default();
    limits.note(&name(), 1, Some(2.0), SECOND);
    throttled.note(&limits, &server("s", 1), class, counts, is_queued, SECOND)
}

#[test]
fn throttled_full_server_is_not() {
    let throttled = Throttled::default();
    assert!(!note(&throttled, Class::Online, counts(8, 0, 0), false));
    assert!(!note(&throttled, Class::Batch, counts(4, 4, 0), false));
    assert!(!throttled.has("s", SECOND));
    assert!(note(&throttled, Class::Online, counts(4, 4, 0), false));
    assert!(throttled.has("s", SECOND));
}

#[test]
fn throttled_batch_without_known_limit_is_not() {
    let throttled = Throttled::default();
    let limits = ServerLimits::default();
    let free = counts(1, 0, 0);
    let server = server("s", 1);
    assert!(!throttled.note(&limits, &server, Class::Batch, free, false, SECOND));
    assert!(throttled.note(&limits, &server, Class::Online, free, false, SECOND));
    // How long is not known.
    assert_eq!(throttled.earliest([&name()].into_iter(), SECOND), SECOND);
}

#[test]
fn earliest_is_after_those_that_wait() {
    let throttled = Throttled::default();
    let earliest = |now| throttled.earliest([&name()].into_iter(), now);
    assert_eq!(earliest(SECOND), SECOND);
    note(&throttled, Class::Online, counts(1, 0, 4), false);
    assert_eq!(earliest(SECOND), 3 * SECOND);
    note(&throttled, Class::Online, counts(1, 0, 4), true);
    assert_eq!(earliest(SECOND), SECOND * 5 / 2);
}

#[test]
fn earliest_one_server_without_limit_is_now() {
    let throttled = Throttled::default();
    note(&throttled, Class::Online, counts(1, 0, 4), false);
    let other: Name = "t".into();
    let now: Time = SECOND;
    assert_eq!(throttled.earliest([&name(), &other].into_iter(), now), now);
}
