//! Decides which host lends from a slot, which may claim it, and which should release it.

use super::{Slot, slots};
use crate::{config::Workspace, member::Ring, wire::Peer};

/// The host to ask for tokens of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// A live host that holds the slot.
    Held(Peer),
    /// The host that should claim the slot, because it has no live holder.
    Vacant(Peer),
    /// No live host.
    None,
}

impl Place {
    /// The host, if there is one.
    pub fn peer(&self) -> Option<&Peer> {
        match self {
            Self::Held(peer) | Self::Vacant(peer) => Some(peer),
            Self::None => None,
        }
    }
}

/// Places of all slots of `workspace`, given the claimed slots `held`. Live holders keep theirs; the
/// others go to hosts chosen by rendezvous hashing, those with the fewest slots first.
pub fn place(ring: &Ring, workspace: &Workspace, held: &[Slot]) -> Vec<Place> {
    let count = slots(workspace.burst) as usize;
    let live = |i: usize| held.get(i)?.host.as_ref().and_then(|h| ring.peer(h));
    let mut places: Vec<Place> = (0..count)
        .map(|i| live(i).cloned().map_or(Place::None, Place::Held))
        .collect();
    if places.iter().all(|p| *p != Place::None) {
        return places;
    }
    let owners = owners(ring, workspace);
    for i in 0..count {
        if places[i] == Place::None
            && let Some(peer) = least_loaded(&owners, &places)
        {
            places[i] = Place::Vacant(peer.clone());
        }
    }
    places
}

/// Slots that `me` should release: half of its excess over the host with the fewest slots among
/// those chosen by rendezvous hashing, or the whole excess if `me` is not among them.
pub fn misplaced(ring: &Ring, workspace: &Workspace, held: &[Slot], me: &str) -> Vec<u32> {
    let is_mine = |s: &Slot| s.host.as_deref() == Some(me);
    if !held.iter().any(is_mine) {
        return Vec::new();
    }
    let owners = owners(ring, workspace);
    let holds = |name: &str| {
        let same = held.iter().filter(|s| s.host.as_deref() == Some(name));
        same.count()
    };
    let is_owner = owners.iter().any(|p| &*p.name == me);
    let least = owners.iter().map(|p| holds(&p.name)).min();
    let Some(least) = least else {
        return Vec::new();
    };
    let more = holds(me).saturating_sub(least);
    let numbers = held.iter().zip(0u32..).filter(|(s, _)| is_mine(s));
    numbers
        .map(|(_, number)| number)
        .take(if is_owner { more / 2 } else { more })
        .collect()
}

fn owners(ring: &Ring, workspace: &Workspace) -> Vec<Peer> {
    let count = slots(workspace.burst) as usize;
    ring.owners(&format!("limit/{}", workspace.name), 2 * count)
}

/// The first owner among those with the fewest of `places`.
fn least_loaded<'a>(owners: &'a [Peer], places: &[Place]) -> Option<&'a Peer> {
    let holds = |peer: &Peer| {
        let same = places.iter().filter(|p| p.peer() == Some(peer));
        same.count()
    };
    owners.iter().min_by_key(|p| holds(p))
}
