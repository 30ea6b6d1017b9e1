//! Placement by rendezvous hashing, reads of the host list, and probes.

use gooseberrytack::{
    member::{ListView, Probes, Ring},
    store::{HostStatus, Listed},
    wire::Peer,
};
use std::time::Duration;

fn peer(i: usize, domains: usize) -> Peer {
    Peer {
        name: format!("host-{i:04}").into(),
        addr: ([127, 0, 0, 1], 1000 + i as u16).into(),
        domain: format!("domain-{}", i % domains).into(),
    }
}

fn listed(ids: &[usize]) -> Vec<Listed> {
    ids.iter()
        .map(|i| Listed {
            peer: peer(*i, 3),
            status: HostStatus::Live,
            announced: 0,
        })
        .collect()
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn owner_moves_only_share_of_lost_host() {
    let all: Vec<Peer> = (0..20).map(|i| peer(i, 4)).collect();
    let before = Ring::new(all.clone());
    let after = Ring::new(all[1..].to_vec());
    for key in (0..2000).map(|k| format!("key-{k}")) {
        let old = before.owner(&key).unwrap();
        if old.name != all[0].name {
            assert_eq!(old, after.owner(&key).unwrap());
        }
    }
}

#[test]
fn owner_spreads_evenly() {
    let ring = Ring::new((0..20).map(|i| peer(i, 4)).collect());
    let mut counts = vec![0; 20];
    for key in (0..20_000).map(|k| format!("gate/server-{k}")) {
        let name = &ring.owner(&key).unwrap().name;
        counts[ring.peers().iter().position(|p| p.name == *name).unwrap()] += 1;
    }
    assert!(counts.iter().all(|c| (800..1200).contains(c)), "{counts:?}");
}

#[test]
fn owners_use_every_domain_first() {
    let ring = Ring::new((0..12).map(|i| peer(i, 4)).collect());
    for key in (0..200).map(|k| format!("key-{k}")) {
        let owners = ring.owners(&key, 6);
        assert_eq!(owners[0], *ring.owner(&key).unwrap());
        let mut domains: Vec<_> = owners[..4].iter().map(|p| &p.domain).collect();
        domains.sort();
        domains.dedup();
        assert_eq!((owners.len(), domains.len()), (6, 4));
    }
}

#[test]
fn owners_more_than_hosts_returns_all() {
    let ring = Ring::new((0..3).map(|i| peer(i, 1)).collect());
    assert_eq!(ring.owners("key", 9).len(), 3);
    assert!(Ring::default().owners("key", 2).is_empty());
    assert!(Ring::default().owner("key").is_none());
}

#[test]
fn gone_counts_only_reads() {
    let mut view = ListView::default();
    assert_eq!(view.gone_for("host-0001", secs(30)), None);
    view.read(&listed(&[1, 2]), secs(10));
    assert_eq!(view.gone_for("host-0001", secs(30)), None);
    view.read(&listed(&[2]), secs(20));
    assert_eq!(view.gone_for("host-0001", secs(30)), Some(secs(0)));
    view.read(&listed(&[2]), secs(25));
    assert_eq!(view.gone_for("host-0001", secs(30)), Some(secs(5)));
    view.read(&listed(&[1, 2]), secs(26));
    assert_eq!(view.gone_for("host-0001", secs(30)), None);
}

#[test]
fn gone_unlisted_counts_from_first_question() {
    let mut view = ListView::default();
    view.read(&listed(&[1]), secs(10));
    view.read(&listed(&[1]), secs(14));
    let gone = view.gone_for("host-0009", secs(20));
    assert_eq!(gone, None, "it may have started after the last read");
    view.read(&listed(&[1]), secs(21));
    view.read(&listed(&[1]), secs(25));
    assert_eq!(view.gone_for("host-0009", secs(30)), Some(secs(5)));
    view.read(&listed(&[1, 9]), secs(31));
    assert_eq!(view.gone_for("host-0009", secs(31)), None);
}

#[test]
fn live_has_me_until_leaving() {
    let mut view = ListView::default();
    let me = peer(5, 3);
    assert_eq!(view.live(&me, false), vec![me.clone()]);
    let mut list = listed(&[1, 9]);
    list[1].status = HostStatus::Leaving;
    view.read(&list, secs(1));
    assert_eq!(view.live(&me, false), vec![peer(1, 3), me.clone()]);
    assert_eq!(view.live(&me, true), vec![peer(1, 3)]);
}

#[test]
fn probes_other_name_counts_as_down() {
    let mut probes = Probes::default();
    let peer = peer(1, 3);
    probes.watch(&peer, secs(1));
    probes.done(&peer.name, Some("host-0001.new"), secs(1));
    assert!(!probes.is_down(&peer.name));
    probes.done(&peer.name, None, secs(1));
    assert!(probes.is_down(&peer.name));
    probes.done(&peer.name, Some(&peer.name), secs(1));
    assert!(!probes.is_down(&peer.name));
    assert!(probes.due(secs(30), true).is_empty());
}

#[test]
fn probes_sound_peer_is_probed_rarely() {
    let mut probes = Probes::default();
    let peer = peer(1, 3);
    let mut probed = Vec::new();
    for s in 1..=9 {
        probes.watch(&peer, secs(s));
        for due in probes.due(secs(s), false) {
            probes.done(&due.name, Some(&due.name), secs(s));
            probed.push(s);
        }
    }
    assert_eq!(
        probed,
        [1, 6],
        "at first, then to check that it is the same host"
    );
    assert_eq!(
        probes.due(secs(9), true),
        vec![peer.clone()],
        "without the log"
    );
    assert!(probes.due(secs(9), false).is_empty());
    probes.failed(peer.addr);
    assert_eq!(
        probes.due(secs(9), false),
        vec![peer.clone()],
        "a call failed"
    );
    probes.done(&peer.name, None, secs(9));
    assert_eq!(
        probes.due(secs(9), false),
        vec![peer.clone()],
        "a probe failed"
    );
    probes.done(&peer.name, Some(&peer.name), secs(9));
    assert!(probes.due(secs(9), false).is_empty());
}

fn start(name: &str, announced: u64) -> Listed {
    let peer = Peer {
        name: name.into(),
        ..peer(1, 1)
    };
    Listed {
        peer,
        status: HostStatus::Live,
        announced,
    }
}

/// After a power loss the list shows the earlier process of each host until its entry expires.
/// Nothing is placed on it once the later process has announced itself.
#[test]
fn live_earlier_start_takes_nothing() {
    let me = start("host-3.aa", 0).peer;
    let names = |list: &ListView| -> Vec<String> {
        let live = list.live(&me, false);
        live.iter().map(|p| p.name.to_string()).collect()
    };
    let mut list = ListView::default();
    // The suffixes are random: the later process may sort first.
    let all = [
        start("host-1.bb", 4),
        start("host-1.ff", 3),
        start("host-10.cc", 2),
        start("host-2.dd", 1),
        start("host-3.ee", 5),
    ];
    list.read(&all, secs(1));
    assert_eq!(
        names(&list),
        ["host-1.bb", "host-10.cc", "host-2.dd", "host-3.aa"]
    );
    let fleet = list.fleet(&me.name, secs(0));
    assert_eq!(fleet.len(), 4, "{fleet:?}");
    // Once the later process is not listed any more, the earlier one counts again.
    list.read(&all[1..], secs(2));
    assert_eq!(names(&list)[0], "host-1.ff");
}

/// If the list does not number announcements, both processes of another host stay.
#[test]
fn live_without_numbers_keeps_both_starts() {
    let mut list = ListView::default();
    list.read(&[start("host-1.bb", 0), start("host-1.ff", 0)], secs(1));
    assert_eq!(list.live(&start("host-3.aa", 0).peer, false).len(), 3);
}
