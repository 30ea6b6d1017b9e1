//! Network partitions: cuts hosts of a harness off from each other and from the platform.
//!
//! A cut blocks the calls of a host's client to an address. A host that replaces another starts
//! without cuts.

use crate::Harness;

/// What a group of hosts can be cut off from.
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
    /// Blocks the calls of the host at `from` to the one at `to`, but not those in the other
    /// direction.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.host(from).client.block(self.host(to).me.addr);
    }

    /// Blocks the calls between two hosts in both directions.
    pub fn cut(&self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Unblocks the calls between two hosts in both directions.
    pub fn reconnect(&self, a: usize, b: usize) {
        self.host(a).client.unblock(self.host(b).me.addr);
        self.host(b).client.unblock(self.host(a).me.addr);
    }

    /// Cuts the hosts at the indexes `group` off from `sides`, but not from each other.
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

    /// Cuts the hosts of a failure domain off from `sides`, but not from each other.
    pub fn cut_domain(&self, domain: &str, sides: &[Side]) {
        let group = (0..self.places()).filter(|i| self.domain(*i) == domain);
        self.cut_group(&group.collect::<Vec<_>>(), sides);
    }

    /// Ends every cut.
    pub fn reconnect_all(&self) {
        for i in 0..self.places() {
            let client = &self.host(i).client;
            client.unblock(self.endpoint(i).addr());
            client.unblock(self.list.addr());
            (0..self.places()).for_each(|o| self.reconnect(i, o));
        }
    }
}
