//! Rollout order: which servers of a model may change version at the same time.

use crate::wire::Name;

/// Least servers in a chain if there are as many, so that at most a quarter of them lack the model.
const CHAIN_MIN: usize = 4;

/// The server that must have the new version before `server` may drain the old one; `None` if
/// `server` may start. `servers` are the model's servers, sorted.
///
/// The servers form chains, one for every four servers and at least one. The servers of a chain
/// change one after the other, so that a version that fails stops at the first of each.
pub fn predecessor<'a>(servers: &'a [Name], server: &str) -> Option<&'a Name> {
    let chains = (servers.len() / CHAIN_MIN).max(1);
    let at = servers.iter().position(|s| **s == *server)?;
    at.checked_sub(chains).and_then(|i| servers.get(i))
}
