//! Hosts that are not called for a limited time.

use gooseberrytack::{member::Backoff, wire::Name};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(2);

/// Guards against a host that is called too early or never again, and against one that is skipped in place of another.
#[test]
fn contains_host_for_its_span() {
    let (name, at): (Name, _) = ("host".into(), Duration::from_secs(5));
    let mut backoff = Backoff::default();
    assert!(!backoff.contains(&name, at));
    backoff.add(&name, at, SPAN);
    assert!(backoff.contains(&name, at));
    assert!(backoff.contains(&name, at + SPAN - Duration::from_nanos(1)));
    assert!(!backoff.contains(&name, at + SPAN));
    assert!(!backoff.contains("other", at));
}

/// Guards against a failure that does not extend the time, and against the loss of other entries.
#[test]
fn add_extends_only_its_host() {
    let (name, other): (Name, Name) = ("host".into(), "other".into());
    let (at, later) = (Duration::from_secs(5), Duration::from_secs(6));
    let mut backoff = Backoff::default();
    backoff.add(&name, at, SPAN);
    backoff.add(&other, at, SPAN);
    backoff.add(&name, later, SPAN);
    assert!(backoff.contains(&other, at + SPAN - Duration::from_nanos(1)));
    assert!(!backoff.contains(&other, at + SPAN));
    assert!(backoff.contains(&name, at + SPAN));
    assert!(!backoff.contains(&name, later + SPAN));
}
