//! Online requests go to servers with a free slot first, because they would preempt batch work at a full one.

use super::state::Routes;
use crate::{
    clock::Time,
    wire::{Class, Name},
};

impl Routes {
    /// Moves the servers whose slots were all held, by their recent counts, behind the others, for an online
    /// request; otherwise the order stays. A server without recent counts may have a free slot.
    pub fn prefer_free(&self, class: Class, servers: &mut [Name], now: Time) {
        if class == Class::Online {
            servers.sort_by_key(|server| self.is_full(server, now));
        }
    }
}
