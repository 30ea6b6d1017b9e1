//! Cost of placement, and how many gates and slots move when hosts are lost.

use crate::{HOSTS, SERVERS, WORKSPACES, nanos, peer, size, workspace};
use gooseberrytack::{
    fold::{Fold, pos},
    limit::{Homes, Place, Record, misplaced, place},
    member::{Members, Ring},
    wire::Name,
};
use std::{collections::BTreeSet, hint::black_box};

pub fn placement() {
    println!(
        "\n| hosts | owner us | eight owners us | list KB | list read every s | list bytes/s |"
    );
    println!("|---|---|---|---|---|---|");
    for hosts in [10, 100, 1_600] {
        let ring = Ring::new((0..hosts).map(peer).collect());
        let keys: Vec<String> = (0..1000).map(|k| format!("gate/server-{k}")).collect();
        let owner = nanos(20_000, |n| {
            black_box(ring.owner(&keys[n % 1000]));
        });
        let owners = nanos(2_000, |n| {
            black_box(ring.owners(&keys[n % 1000], 8));
        });
        let bytes = size(&ring.peers());
        let every = Members::read_every(hosts).as_secs();
        println!(
            "| {hosts} | {:.2} | {:.1} | {} | {every} | {} |",
            owner / 1000.0,
            owners / 1000.0,
            bytes / 1024,
            bytes as u64 / every,
        );
    }
}

/// Hosts in charge of every server, and holders of every slot.
struct Placed {
    gates: Vec<Name>,
    homes: Homes,
    at: u64,
}

impl Placed {
    fn new(ring: &Ring) -> Self {
        let mut placed = Self {
            gates: gates(ring),
            homes: Homes::default(),
            at: 0,
        };
        placed.claim(ring);
        placed
    }

    /// Releases the slots that their holders give up.
    fn release(&mut self, ring: &Ring) {
        for w in 0..WORKSPACES {
            let of = workspace(w);
            let held = self.homes.slots(&of.name).to_vec();
            let mut holders: Vec<&Name> = held.iter().filter_map(|s| s.host.as_ref()).collect();
            holders.sort();
            holders.dedup();
            for holder in holders {
                for slot in misplaced(ring, &of, &held, holder) {
                    let record = Record::Release {
                        workspace: of.name.clone(),
                        slot,
                        epoch: held[slot as usize].epoch,
                        left: 0,
                    };
                    self.homes.apply(pos(self.at, 0), &record);
                    self.at += 1;
                }
            }
        }
    }

    /// Claims every slot without a live holder; returns how many.
    fn claim(&mut self, ring: &Ring) -> usize {
        let mut count = 0;
        for w in 0..WORKSPACES {
            let of = workspace(w);
            let places = place(ring, &of, self.homes.slots(&of.name));
            for (slot, vacant) in (0u32..).zip(&places) {
                let Place::Vacant(peer) = vacant else {
                    continue;
                };
                let record = Record::Claim {
                    workspace: of.name.clone(),
                    slot,
                    host: peer.name.clone(),
                    replaces: self.homes.slot(&of.name, slot).epoch,
                    burst: of.burst,
                };
                self.homes.apply(pos(self.at, 0), &record);
                self.at += 1;
                count += 1;
            }
        }
        count
    }

    /// Goes over to `ring`; returns the gates and slots that moved.
    fn step(&mut self, ring: &Ring) -> (usize, usize) {
        let now = gates(ring);
        let moved = now.iter().zip(&self.gates).filter(|(a, b)| a != b).count();
        self.gates = now;
        let claimed = self.claim(ring);
        self.release(ring);
        (moved, claimed + self.claim(ring))
    }

    fn most(&self) -> (usize, usize) {
        let holders = self.homes.shares.iter().flat_map(|s| &s.slots);
        let slots: Vec<&Name> = holders.filter_map(|s| s.host.as_ref()).collect();
        (most(self.gates.iter()), most(slots.into_iter()))
    }
}

fn most<'a>(names: impl Iterator<Item = &'a Name>) -> usize {
    let mut names: Vec<&Name> = names.collect();
    names.sort();
    names
        .chunk_by(|a, b| a == b)
        .map(<[_]>::len)
        .max()
        .unwrap_or(0)
}

fn gates(ring: &Ring) -> Vec<Name> {
    let owner = |s| ring.owner(&format!("gate/server-{s:04}"));
    let all = (0..SERVERS).filter_map(|s| owner(s).map(|p| p.name.clone()));
    all.collect()
}

pub fn churn() {
    println!("\n| event | hosts | gates moved | slots moved | most gates, slots a host |");
    println!("|---|---|---|---|---|");
    let mut hosts: Vec<usize> = (0..HOSTS).collect();
    let ring = |hosts: &[usize]| Ring::new(hosts.iter().map(|i| peer(*i)).collect());
    let mut placed = Placed::new(&ring(&hosts));
    let show = |what: &str, count: usize, moved: (usize, usize), most: (usize, usize)| {
        println!(
            "| {what} | {count} | {} | {} | {}, {} |",
            moved.0, moved.1, most.0, most.1
        );
    };
    show(
        "start",
        hosts.len(),
        (SERVERS, placed.at as usize),
        placed.most(),
    );
    // A day: 60 failures and 1,000 replacements in twenty rounds; each lost host comes back new.
    let mut total = (0, 0);
    for round in 0..20 {
        let lost: BTreeSet<usize> = (0..53)
            .map(|n| (n * 29 + round * 7) % hosts.len())
            .collect();
        let kept: Vec<usize> = (0..hosts.len())
            .filter(|i| !lost.contains(i))
            .map(|i| hosts[i])
            .collect();
        let moved = placed.step(&ring(&kept));
        total = (total.0 + moved.0, total.1 + moved.1);
        hosts = kept;
        hosts.extend(lost.iter().map(|i| 10_000 + round * HOSTS + i));
        let moved = placed.step(&ring(&hosts));
        total = (total.0 + moved.0, total.1 + moved.1);
    }
    show(
        "a day of 1,060 losses, each replaced",
        hosts.len(),
        total,
        placed.most(),
    );
    let left: Vec<usize> = hosts
        .iter()
        .copied()
        .filter(|i| peer(*i).domain != peer(0).domain)
        .collect();
    let moved = placed.step(&ring(&left));
    show("a failure domain lost", left.len(), moved, placed.most());
    let moved = placed.step(&ring(&hosts));
    show("the failure domain back", hosts.len(), moved, placed.most());
}
