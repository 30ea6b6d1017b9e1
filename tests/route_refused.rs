//! Causes of requests that servers refuse without running them.

use gooseberrytack::{
    clock::Time,
    gate::Counts,
    gate::SETTLE,
    pass::{AttemptRegistry, Conn, Head},
    route::{RefusalCause, RefusalLog, logged_fields, resend_pause},
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

// Guards against a log that a server fills by refusing all that it is sent.
#[test]
fn take_turn_once_per_server_cause_second() {
    let log = RefusalLog::default();
    let turn = |server: &str, cause, now: Time| log.take_turn(&server.into(), cause, now);
    assert!(turn("a", RefusalCause::Filled, SETTLE));
    assert!(!turn("a", RefusalCause::Filled, SETTLE));
    assert!(turn("a", RefusalCause::Other, SETTLE));
    assert!(turn("b", RefusalCause::Filled, SETTLE));
    let late = SETTLE + Duration::from_millis(999);
    assert!(!turn("a", RefusalCause::Filled, late));
    let next = SETTLE + Duration::from_secs(1);
    assert!(turn("a", RefusalCause::Filled, next));
    assert!(!turn("a", RefusalCause::Filled, next));
}

// Guards against secrets of servers in the log.
#[test]
fn logged_fields_only_listed() {
    let fields = [
        ("retry-after", "2"),
        ("server-seal", "secret"),
        ("set-cookie", "secret"),
        ("server", "engine"),
    ];
    let head = |fields: &[(&str, &str)]| Head {
        status: 503,
        fields: fields
            .iter()
            .map(|(n, v)| (n.to_string(), v.to_string()))
            .collect(),
    };
    assert_eq!(logged_fields(&head(&fields)), "retry-after=2 server=engine");
    let long = "x".repeat(1000);
    assert_eq!(logged_fields(&head(&[("server", &long)])).len(), 300);
}
