//! Order in which servers are asked for a slot.

use super::health::Availability;
use crate::wire::{Class, Name};
use rand::Rng;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Most servers for one model that one host works with.
pub const SUBSET: usize = 64;
/// Servers that an online request is asked for at before it waits.
const ASKED_ONLINE: usize = 6;
/// Servers that batch work is asked for at before it waits.
const ASKED_BATCH: usize = 2;
/// Load above the mean, in parts of a server, up to which a request goes where its prefix is.
const AFFINITY_SLACK: f32 = 0.25;
/// Load that a server in another failure domain must save.
const FAR_COST: f32 = 0.1;

/// A server that could run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name.
    pub name: Name,
    /// Whether it is in this host's failure domain.
    pub is_near: bool,
    /// Online requests at it and waiting for it, by slot.
    pub load: f32,
    /// Free slots, less what waits.
    pub spare: i32,
    /// Whether it may get work.
    pub availability: Availability,
}

/// Servers to ask for a slot before the work waits for one.
///
/// Load it answers: a backlog of batch work, every item of which asks around again and again while all
/// servers are full. An online request is worth the messages; batch work takes the better of two
/// pairs of servers by their last counts, which is free where there is much room, and else waits.
pub fn asked(class: Class) -> usize {
    match class {
        Class::Online => ASKED_ONLINE,
        Class::Batch => ASKED_BATCH,
    }
}

/// The servers to ask, the best first, `most` at most. Online requests with a `prefix` go where it is
/// likely to be cached; those without one have nothing to find there, and all hosts would send them to
/// the same server.
pub fn order<R: Rng>(
    class: Class,
    prefix: Option<u64>,
    all: &[Candidate],
    most: usize,
    rng: &mut R,
) -> Vec<Name> {
    let mut open: Vec<&Candidate> = all
        .iter()
        .filter(|c| c.availability == Availability::Available)
        .collect();
    let mut chosen: Vec<&Candidate> = Vec::new();
    if let Some(probe) = all.iter().find(|c| c.availability == Availability::Probe) {
        chosen.push(probe);
    }
    match class {
        Class::Online => {
            let mean = open.iter().map(|c| c.load).sum::<f32>() / open.len().max(1) as f32;
            let home = prefix.and_then(|p| open.iter().max_by_key(|c| rendezvous(p, &c.name)));
            let home = home.filter(|c| c.load <= mean + AFFINITY_SLACK && c.load < 1.0);
            chosen.extend(home);
            open.retain(|c| !chosen.contains(c));
            take_better(&mut open, &mut chosen, most, rng, |c| {
                c.load + if c.is_near { 0.0 } else { FAR_COST }
            });
        }
        Class::Batch => {
            open.retain(|c| !chosen.contains(c));
            take_better(&mut open, &mut chosen, most, rng, |c| -c.spare as f32);
        }
    }
    chosen.truncate(most);
    chosen.iter().map(|c| c.name.clone()).collect()
}

/// Takes the better of two at random, again and again.
fn take_better<'a, R: Rng>(
    open: &mut Vec<&'a Candidate>,
    chosen: &mut Vec<&'a Candidate>,
    most: usize,
    rng: &mut R,
    cost: impl Fn(&Candidate) -> f32,
) {
    while chosen.len() < most && !open.is_empty() {
        let first = rng.random_range(0..open.len());
        let second = rng.random_range(0..open.len());
        let better = if cost(open[second]) < cost(open[first]) {
            second
        } else {
            first
        };
        chosen.push(open.swap_remove(better));
    }
}

/// The servers that a host works with: at most [`SUBSET`], the same each time, another choice on
/// each host, half of them near if there are enough.
pub fn subset(host: &str, mut all: Vec<(Name, bool)>) -> Vec<Name> {
    let seed = hash(0, host);
    if all.len() > SUBSET {
        all.sort_by_key(|(name, _)| std::cmp::Reverse(rendezvous(seed, name)));
        let near: Vec<_> = all.iter().filter(|(_, near)| *near).cloned().collect();
        let rest = near.len().min(SUBSET / 2);
        let mut kept: Vec<_> = near[..rest].to_vec();
        for server in all {
            if kept.len() < SUBSET && !kept.contains(&server) {
                kept.push(server);
            }
        }
        all = kept;
    }
    all.into_iter().map(|(name, _)| name).collect()
}

/// Weight of `name` for `seed` in rendezvous hashing.
pub fn rendezvous(seed: u64, name: &str) -> u64 {
    hash(seed, name)
}

fn hash(seed: u64, text: &str) -> u64 {
    let mut hash = XxHash64::with_seed(seed);
    hash.write(text.as_bytes());
    hash.finish()
}
