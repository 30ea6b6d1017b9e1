//! When a host asks its peers for the declared configuration.

use gooseberrytack::declared::SourceState;
use std::time::Duration;

const READ: SourceState = SourceState {
    is_lost: false,
    is_partial: false,
    age: Some(Duration::from_millis(1000)),
};

#[test]
fn needs_peers_read_recently() {
    assert!(!READ.needs_peers());
}

/// CONFIG: peers were asked only once the last read was 1.5 s old.
#[test]
fn needs_peers_lost_at_once() {
    let lost = SourceState {
        is_lost: true,
        age: Some(Duration::ZERO),
        ..READ
    };
    assert!(lost.needs_peers());
}

#[test]
fn needs_peers_silent_source() {
    let age = Some(Duration::from_millis(1500));
    assert!(SourceState { age, ..READ }.needs_peers());
    assert!(SourceState { age: None, ..READ }.needs_peers());
}

#[test]
fn needs_peers_partial_list() {
    let is_partial = true;
    assert!(SourceState { is_partial, ..READ }.needs_peers());
}
