//! Online requests go to servers with a free slot first, because they would preempt batch work at a full one.

use super::state::Routes;
use crate::{
    clock::Time,
    wire::{Class, Name},
};

/// Moves the servers that are full according to `is_full` behind the others, which keep their order.
pub fn free_first(servers: &mut [Name], is_full: impl Fn(&Name) -> bool) {
    servers.sort_by_key(|server| is_full(server));
}

impl Routes {
    /// Moves the servers whose slots were all held, by their recent counts, behind the others, for an online
    /// request. A server without recent counts may have a free slot.
    pub(super) fn prefer_free(&self, class: Class, servers: &mut [Name], now: Time) {
        if class == Class::Online {
            free_first(servers, |server| self.is_full(server, now));
        }
    }
}
