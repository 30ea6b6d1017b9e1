//! Size of the state of rate-token slots, and cost of claims and placement.

use crate::{HOSTS, memory, nanos, peer, size, workspace};
use gooseberrytack::{
    config::Workspace,
    fold::{Fold, pos},
    limit::{Homes, Record, place, slots},
    member::Ring,
};
use std::hint::black_box;

pub fn state() {
    println!("\n| workspaces | slots | snapshot KB | resident KB | claim ns | scan of all us |");
    println!("|---|---|---|---|---|---|");
    let ring = Ring::new((0..HOSTS).map(peer).collect());
    for workspaces in [100, 1_000, 13_000] {
        let before = memory();
        let mut homes = Homes::default();
        let mut count = 0;
        let claim = nanos(workspaces, |w| {
            let of = workspace(w);
            for slot in 0..slots(of.burst) {
                homes.apply(pos(count, 0), &claim_of(&of, slot, &ring, w));
                count += 1;
            }
        });
        let after = memory();
        let homes: &Homes = Box::leak(Box::new(homes));
        let scan = nanos(1, |_| {
            for w in 0..workspaces {
                let of = workspace(w);
                black_box(place(&ring, &of, homes.slots(&of.name)));
            }
        });
        println!(
            "| {workspaces} | {count} | {} | {} | {:.0} | {:.0} |",
            size(homes) / 1024,
            after.saturating_sub(before),
            claim / (count as f64 / workspaces as f64),
            scan / 1000.0
        );
    }
}

fn claim_of(of: &Workspace, slot: u32, ring: &Ring, w: usize) -> Record {
    let peers = ring.peers();
    Record::Claim {
        workspace: of.name.clone(),
        slot,
        host: peers[(w * 7 + slot as usize * 401) % peers.len()]
            .name
            .clone(),
        replaces: 0,
        burst: of.burst,
    }
}
