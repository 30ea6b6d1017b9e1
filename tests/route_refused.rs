//! Causes of requests that servers refuse without running them.

use gooseberrytack::{gate::Counts, route::RefusalCause};

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
