//! Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
//! 1998) over the live hosts.

use crate::wire::{Name, Peer};
use twox_hash::XxHash3_64;

/// Live hosts, prepared for placement.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    /// Hosts, sorted by name.
    peers: Vec<Peer>,
    /// Hash of each host's name, in the order of `peers`.
    seeds: Vec<u64>,
    /// Index of each host's failure domain, in the order of `peers`.
    domains: Vec<usize>,
    /// Number of failure domains.
    domain_count: usize,
}

impl Ring {
    /// Prepares `peers` for placement; of two with the same name, one is kept.
    pub fn new(mut peers: Vec<Peer>) -> Self {
        peers.sort_by(|a, b| a.name.cmp(&b.name));
        peers.dedup_by(|a, b| a.name == b.name);
        let seeds = peers.iter().map(|p| hash(&p.name)).collect();
        let mut names: Vec<Name> = peers.iter().map(|p| p.domain.clone()).collect();
        names.sort();
        names.dedup();
        let number = |p: &Peer| names.partition_point(|n| *n < p.domain);
        Self {
            domains: peers.iter().map(number).collect(),
            domain_count: names.len(),
            peers,
            seeds,
        }
    }

    /// The hosts, sorted by name.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// The host `name`, if it is live.
    pub fn peer(&self, name: &str) -> Option<&Peer> {
        let at = self.peers.binary_search_by(|p| (*p.name).cmp(name)).ok()?;
        self.peers.get(at)
    }

    /// The host in charge of `key`: the one with the highest score.
    pub fn owner(&self, key: &str) -> Option<&Peer> {
        let key = hash(key);
        let best = (0..self.peers.len()).max_by_key(|i| (mix(self.seeds[*i], key), *i))?;
        self.peers.get(best)
    }

    /// Up to `count` hosts for `key` by descending score. No failure domain occurs an (n+1)th time
    /// before every other one with hosts left has occurred n times.
    pub fn owners(&self, key: &str, count: usize) -> Vec<Peer> {
        if self.peers.is_empty() || count == 0 {
            return Vec::new();
        }
        let best = self.best(hash(key), count.div_ceil(self.domain_count));
        let mut chosen: Vec<usize> = Vec::new();
        for round in 0.. {
            let mut next: Vec<(u64, usize)> =
                best.iter().filter_map(|d| d.get(round).copied()).collect();
            next.sort_unstable_by(|a, b| b.cmp(a));
            chosen.extend(next.iter().map(|(_, i)| *i));
            if next.is_empty() || chosen.len() >= count {
                break;
            }
        }
        chosen.truncate(count);
        chosen.into_iter().map(|i| self.peers[i].clone()).collect()
    }

    /// The `most` highest scoring hosts of each failure domain, by descending score; all hosts if
    /// some failure domain has fewer than `most`.
    fn best(&self, key: u64, most: usize) -> Vec<Vec<(u64, usize)>> {
        let small = self.smallest() < most;
        let most = if small { self.peers.len() } else { most };
        let mut best: Vec<Vec<(u64, usize)>> = vec![Vec::new(); self.domain_count];
        for (i, seed) in self.seeds.iter().enumerate() {
            let top = &mut best[self.domains[i]];
            let entry = (mix(*seed, key), i);
            if top.len() < most || top.last().is_some_and(|l| *l < entry) {
                let at = top.partition_point(|e| *e > entry);
                top.insert(at, entry);
                top.truncate(most);
            }
        }
        best
    }

    /// Number of hosts in the smallest failure domain.
    fn smallest(&self) -> usize {
        let mut counts = vec![0; self.domain_count];
        self.domains.iter().for_each(|d| counts[*d] += 1);
        counts.into_iter().min().unwrap_or(0)
    }
}

fn hash(text: &str) -> u64 {
    XxHash3_64::oneshot(text.as_bytes())
}

/// Score of a host for a key: the finalizer of SplitMix64 over both hashes.
fn mix(seed: u64, key: u64) -> u64 {
    let mut z = seed ^ key.rotate_left(32);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
