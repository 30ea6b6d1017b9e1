//! Causes of requests that servers refuse without running them.

use gooseberrytack::{
    gate::Counts,
    pass::{AttemptRegistry, Conn},
    route::{RefusalCause, resend_pause},
    wire::Class,
};
use std::{net::TcpListener, time::Duration};

#[test]
fn of_counts_cause_named() {
    let of = |status, online, batch| {
        let counts = Counts {
            online,
            batch,
            slots: 8,
            ..Counts::default()
        };
        RefusalCause::of(status, counts).name()
    };
    assert_eq!(of(503, 2, 7), "preempting");
    assert_eq!(of(503, 2, 6), "filled");
    assert_eq!(of(503, 2, 5), "other");
    assert_eq!(of(421, 2, 7), "other_server");
    // Counts that a peer made up do not overflow.
    assert_eq!(of(503, u32::MAX, u32::MAX), "preempting");
}

// Guards against a server that gets a refused request more often than twice, or at a fixed rate.
#[test]
fn resend_pause_twice_increasing() {
    for class in [Class::Online, Class::Batch] {
        let pause = |resends, ms| resend_pause(class, resends, Duration::from_millis(ms));
        let [first, second] = [0, 1].map(|resends| pause(resends, 75).expect("pause"));
        assert!(first < second);
        assert!(first + second <= Duration::from_millis(75));
        assert_eq!(pause(2, 1000), None);
        // With `refused_ms` off there is no time left.
        assert_eq!(pause(0, 0), None);
        let short = second - Duration::from_millis(1);
        assert_eq!(resend_pause(class, 1, short), None);
    }
}

// Guards against a batch item that is preempted between two connections of its attempt and sent all the same.
#[test]
fn replace_ended_attempt_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let addr = listener.local_addr().expect("address");
    let open = || Conn::open(addr, Duration::from_secs(5)).expect("connection");
    let registry = AttemptRegistry::default();
    let first = open();
    let mut entry = registry.register(&"a".into(), first.closer());
    drop(first);
    let second = open();
    assert!(entry.replace(second.closer()));
    drop(second);
    // The attempt is known while it has no connection.
    assert!(registry.end("a") && entry.is_ended());
    let third = open();
    assert!(!entry.replace(third.closer()));
    assert!(!third.closer().is_closed());
    drop(entry);
    assert!(!registry.end("a"));
}
