//! Contacts of a host, directly and through peers, and when they are a majority of the fleet.

use gooseberrytack::{
    clock::Time,
    member::{Contact, ContactReport, ListView, Reach, reach_span},
    store::{HostStatus, Listed},
    wire::{Name, Peer},
};
use std::time::Duration;

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn name(i: usize) -> Name {
    format!("host-{i:04}").into()
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(name).collect()
}

fn contact(i: usize, age: u64) -> Contact {
    Contact {
        name: name(i),
        age: secs(age),
    }
}

/// Report of a host without configuration records.
fn report(contacts: &[Contact]) -> ContactReport {
    ContactReport {
        contacts: contacts.to_vec(),
        next: 0,
    }
}

fn listed(ids: &[usize], standing: HostStatus) -> Vec<Listed> {
    let peer = |i: usize| Peer {
        name: name(i),
        addr: ([127, 0, 0, 1], 1000 + i as u16).into(),
        domain: "a".into(),
    };
    let entry = |i: &usize| Listed {
        peer: peer(*i),
        status: standing,
        announced: 0,
    };
    ids.iter().map(entry).collect()
}

#[test]
fn majority_is_more_than_half() {
    let mut reach = Reach::default();
    reach.merge(&report(&[contact(1, 0)]), secs(20));
    assert_eq!(reach.majority(&names(3), &name(0)), Some(secs(20)));
    // Half of a fleet is not a majority, so that two halves are never ready at once.
    assert_eq!(reach.majority(&names(4), &name(0)), None);
    reach.merge(&report(&[contact(2, 3)]), secs(21));
    assert_eq!(reach.majority(&names(4), &name(0)), Some(secs(18)));
}

#[test]
fn majority_counts_only_fleet_and_self_once() {
    let mut reach = Reach::default();
    reach.merge(
        &report(&[contact(0, 0), contact(8, 0), contact(9, 0)]),
        secs(20),
    );
    assert_eq!(reach.majority(&names(3), &name(0)), None);
}

#[test]
fn report_ages_with_each_host_that_passes_it_on() {
    let mut first = Reach::default();
    first.merge(&report(&[contact(9, 0)]), secs(10));
    let mut second = Reach::default();
    second.merge(&first.report(&name(1), 0, secs(11), secs(5)), secs(100));
    let third = second.report(&name(2), 0, secs(102), secs(5));
    assert_eq!(
        third.contacts,
        [contact(1, 2), contact(9, 3), contact(2, 0)]
    );
    // Hosts that report a lost host to each other do not keep it alive.
    let late = second.report(&name(2), 0, secs(104), secs(5));
    assert_eq!(late.contacts, [contact(1, 4), contact(2, 0)]);
}

#[test]
fn merge_keeps_latest_sign() {
    let mut reach = Reach::default();
    reach.merge(&report(&[contact(1, 1)]), secs(10));
    reach.merge(&report(&[contact(1, 5)]), secs(11));
    assert_eq!(reach.majority(&names(2), &name(0)), Some(secs(9)));
}

#[test]
fn behind_until_all_that_was_told_is_applied() {
    let mut first = Reach::default();
    let mut second = Reach::default();
    first.merge(&report(&[contact(1, 0)]), secs(10));
    second.merge(&first.report(&name(2), 7, secs(11), secs(5)), secs(11));
    // A host that is itself behind passes the offset on.
    let third = second.report(&name(3), 4, secs(12), secs(5));
    assert_eq!(third.next, 7);
    assert!(second.is_behind(6) && !second.is_behind(7));
}

#[test]
fn fleet_keeps_hosts_lost_since_log() {
    let mut view = ListView::default();
    let fresh: Time = secs(10);
    view.read(&listed(&[0, 1, 2, 3], HostStatus::Live), secs(5));
    view.read(&listed(&[0, 1, 2], HostStatus::Live), secs(8));
    view.read(&listed(&[0, 1], HostStatus::Live), secs(12));
    // Host 3 went missing before the last read of the log; host 2 may be across a partition.
    assert_eq!(view.fleet(&name(0), fresh), names(3));
    assert_eq!(view.fleet(&name(9), fresh).len(), 4);
    let mut leaving = listed(&[0], HostStatus::Live);
    leaving.extend(listed(&[1], HostStatus::Leaving));
    view.read(&leaving, secs(13));
    assert_eq!(view.fleet(&name(0), fresh), [name(0), name(2)]);
}

/// Rounds until each of the first `group` hosts of `count`, which reach only each other, knows of a
/// majority; each host asks three others, as the daemon does. `None` if that never happens.
fn rounds(count: usize, group: usize) -> Option<u64> {
    let fleet = names(count);
    let mut all = vec![Reach::default(); count];
    let span = reach_span(count);
    for round in 1..=span.as_secs() {
        let now = secs(100 + round);
        for i in 0..group {
            for step in 1..=3 {
                let other = (i * 7 + step * step * 13 + 1) % count;
                if other >= group || other == i {
                    continue;
                }
                let reply = all[other].report(&fleet[other], 0, now, span);
                all[i].merge(&reply, now);
            }
        }
        let reaches = |i: usize| {
            let since = all[i].majority(&fleet, &fleet[i]);
            since.is_some_and(|t| now - t < span)
        };
        if (0..group).all(reaches) {
            return Some(round);
        }
    }
    None
}

#[test]
fn span_lets_word_of_majority_pass() {
    for count in [3, 4, 10, 300] {
        assert!(rounds(count, count).is_some(), "{count} hosts");
    }
    assert_eq!(rounds(10, 5), None);
    assert_eq!(rounds(300, 150), None);
}
