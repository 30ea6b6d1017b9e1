//! Order in which servers are asked for a slot.

use super::{expected::Expected, health::Availability};
use crate::wire::{Class, Name};
use rand::Rng;
use std::hash::Hasher;
use twox_hash::XxHash64;

/// Most servers that one host uses for one model.
pub const SUBSET: usize = 64;
/// Servers that an online request asks for a slot before it waits in a queue.
const FAN_OUT_ONLINE: usize = 6;
/// Servers that batch work asks for a slot before it waits in a queue.
const FAN_OUT_BATCH: usize = 2;
/// Load above the mean, as a fraction of a server's slots, up to which cache affinity decides.
const AFFINITY_SLACK: f32 = 0.25;
/// Load, as a fraction of the slots, that a server in another failure domain must save.
const FAR_LOAD: f32 = 0.1;
/// Cost of a full server for batch work, above any time between events in seconds.
const FULL_COST: f32 = 1e6;
/// Load up to which online requests prefer servers that do not limit the requests that they take.
const UNLIMITED_LOAD: f32 = 0.75;

/// A server that could run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Name of the server.
    pub name: Name,
    /// Whether the server is in this host's failure domain.
    pub is_near: bool,
    /// Online requests running and waiting at the server, per slot.
    pub load: f32,
    /// Free slots minus waiting work of both classes, negative if more waits; all slots if unknown.
    pub spare: i32,
    /// Whether the server limits the requests that it takes.
    pub is_limited: bool,
    /// What a request can expect of the server, if speeds are learned.
    pub expected: Option<Expected>,
    /// Whether the server's recent counts leave no slot free; `false` if it has none.
    pub is_full: bool,
    /// Whether the server may get work.
    pub availability: Availability,
}

impl Candidate {
    /// Order of servers for online requests: seconds if speeds are known, else requests per slot.
    fn online_cost(&self) -> f32 {
        match &self.expected {
            Some(expected) => expected.online_cost(),
            None => self.load + if self.is_near { 0.0 } else { FAR_LOAD },
        }
    }

    /// Order of servers for batch work: the best rate of tokens among those with room, else the shortest
    /// queue.
    fn batch_cost(&self) -> f32 {
        match &self.expected {
            Some(expected) if self.spare > 0 && expected.has_room.1 => expected.step,
            Some(_) => FULL_COST - self.spare as f32,
            None => -(self.spare as f32),
        }
    }

    /// Whether the server is below its learned limit for online requests.
    fn has_room(&self) -> bool {
        self.expected.is_none_or(|e| e.has_room.0)
    }

    /// Whether cache affinity may decide for the server among others with the mean `load` and `cost`.
    fn is_light(&self, load: f32, cost: f32) -> bool {
        let is_near_mean = match self.expected {
            Some(_) => self.online_cost() <= cost * (1.0 + AFFINITY_SLACK),
            None => self.load <= load + AFFINITY_SLACK,
        };
        is_near_mean && self.load < 1.0
    }

    /// The server with or without a limit; one that is throttled has no slot to give.
    pub(super) fn with_limit(self, is_limited: bool, is_throttled: bool) -> Self {
        let (load, spare) = match is_throttled {
            true => (self.load.max(1.0), self.spare.min(0)),
            false => (self.load, self.spare),
        };
        Self {
            load,
            spare,
            is_limited,
            ..self
        }
    }
}

/// Number of servers to ask for a slot before the work waits for one.
///
/// This limits the messages of a batch backlog, whose items all ask repeatedly while every server
/// is full. Batch work asks two servers, each the better of two by their last counts, which usually
/// finds a free slot if many are free. Online requests are worth more messages.
pub fn fan_out(class: Class) -> usize {
    match class {
        Class::Online => FAN_OUT_ONLINE,
        Class::Batch => FAN_OUT_BATCH,
    }
}

/// Up to `most` servers to ask: one due for a probe, then the best first. Online requests with a
/// `prefix` hash prefer the server that is likely to have the prompt's prefix cached; a hash of an
/// empty prompt would send those requests of all hosts to the same server. Of the servers with a limit, and of those
/// without, the full ones come last for them.
pub fn order<R: Rng>(
    class: Class,
    prefix: Option<u64>,
    all: &[Candidate],
    most: usize,
    rng: &mut R,
) -> Vec<Name> {
    let mut usable: Vec<&Candidate> = all
        .iter()
        .filter(|c| c.availability == Availability::Available)
        .collect();
    let mut chosen: Vec<&Candidate> = Vec::new();
    if let Some(probe) = all.iter().find(|c| c.availability == Availability::Probe) {
        chosen.push(probe);
    }
    match class {
        Class::Online => {
            // A limit is better spent on long work while others have room for online requests.
            let has_limited = usable.iter().any(|c| c.is_limited);
            let (roomy, rest) = usable.into_iter().partition(|c| {
                let is_free = !has_limited || (!c.is_limited && c.load < UNLIMITED_LOAD);
                is_free && c.has_room()
            });
            for tier in [roomy, rest] {
                let before = chosen.len();
                take_online(tier, prefix, &mut chosen, most, rng);
                // A request at a full server would preempt batch work.
                chosen[before..].sort_by_key(|c| c.is_full);
            }
        }
        Class::Batch => {
            usable.retain(|c| !chosen.contains(c));
            take_best_of_two(&mut usable, &mut chosen, most, rng, Candidate::batch_cost);
        }
    }
    chosen.truncate(most);
    chosen.iter().map(|c| c.name.clone()).collect()
}

/// Adds servers for online requests until there are `most`: the one that is likely to have the prefix, then
/// the least loaded.
fn take_online<'a, R: Rng>(
    mut usable: Vec<&'a Candidate>,
    prefix: Option<u64>,
    chosen: &mut Vec<&'a Candidate>,
    most: usize,
    rng: &mut R,
) {
    let mean = usable.iter().map(|c| c.load).sum::<f32>() / usable.len().max(1) as f32;
    let affine = prefix.and_then(|p| usable.iter().max_by_key(|c| rendezvous(p, &c.name)));
    let cost = usable.iter().map(|c| c.online_cost()).sum::<f32>() / usable.len().max(1) as f32;
    let affine = affine.filter(|c| c.is_light(mean, cost));
    chosen.extend(affine);
    usable.retain(|c| !chosen.contains(c));
    take_best_of_two(&mut usable, chosen, most, rng, Candidate::online_cost);
}

/// Moves up to `most` servers to `chosen`, each the better of two random ones (power of two choices).
fn take_best_of_two<'a, R: Rng>(
    usable: &mut Vec<&'a Candidate>,
    chosen: &mut Vec<&'a Candidate>,
    most: usize,
    rng: &mut R,
    cost: impl Fn(&Candidate) -> f32,
) {
    while chosen.len() < most && !usable.is_empty() {
        let first = rng.random_range(0..usable.len());
        let second = rng.random_range(0..usable.len());
        let better = if cost(usable[second]) < cost(usable[first]) {
            second
        } else {
            first
        };
        chosen.push(usable.swap_remove(better));
    }
}

/// The servers that `host` uses: at most [`SUBSET`], a stable choice that differs between hosts, half
/// of them in the host's failure domain (`true`) if there are enough.
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

/// Weight of `name` for `seed` in rendezvous hashing; the highest wins.
pub fn rendezvous(seed: u64, name: &str) -> u64 {
    hash(seed, name)
}

fn hash(seed: u64, text: &str) -> u64 {
    let mut hash = XxHash64::with_seed(seed);
    hash.write(text.as_bytes());
    hash.finish()
}
