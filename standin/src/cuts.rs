//! Cuts running hosts of a harness from each other and from the platform.
//!
//! A cut drops everything between the host's client and an address. A host that is put in the
//! place of another starts without cuts.

use crate::Harness;

/// What a group of hosts can be cut from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The hosts outside the group.
    Hosts,
    /// The log.
    Log,
    /// The host list.
    List,
}

impl Harness {
    /// Drops the calls of the host at `from` to the one at `to`; those in the other direction go
    /// on.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.host(from).client.block(self.host(to).me.addr);
    }

    /// Drops the calls between two hosts in both directions.
    pub fn cut(&self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Lets the calls between two hosts through again, in both directions.
    pub fn reconnect(&self, a: usize, b: usize) {
        self.host(a).client.unblock(self.host(b).me.addr);
        self.host(b).client.unblock(self.host(a).me.addr);
    }

    /// Cuts the hosts at `group` from what `sides` tells; among each other they still talk.
    pub fn cut_group(&self, group: &[usize], sides: &[Side]) {
        let others = (0..self.places()).filter(|i| !group.contains(i));
        let others: Vec<usize> = others.collect();
        for &i in group {
            let client = &self.host(i).client;
            for side in sides {
                match side {
                    Side::Hosts => others.iter().for_each(|o| self.cut(i, *o)),
                    Side::Log => client.block(self.endpoint(i).addr()),
                    Side::List => client.block(self.list.addr()),
                }
            }
        }
    }

    /// Cuts the hosts of a failure domain from what `sides` tells.
    pub fn cut_domain(&self, domain: &str, sides: &[Side]) {
        let group = (0..self.places()).filter(|i| self.domain(*i) == domain);
        self.cut_group(&group.collect::<Vec<_>>(), sides);
    }

    /// Takes every cut back.
    pub fn reconnect_all(&self) {
        for i in 0..self.places() {
            let client = &self.host(i).client;
            client.unblock(self.endpoint(i).addr());
            client.unblock(self.list.addr());
            (0..self.places()).for_each(|o| self.reconnect(i, o));
        }
    }
}
