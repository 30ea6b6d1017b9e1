//! Live hosts and placement of roles on them.
//!
//! Each host announces itself on the platform's list and reads the list; what it read decides
//! which hosts are live. Roles find their host by rendezvous hashing over the live ones, so that
//! a host that joins or leaves moves only its own share.

mod list;
mod place;
mod probe;
mod reach;
mod task;

pub use list::{ListView, Seen, is_same_host};
pub use place::Ring;
pub use probe::{Probe, Probes, Whoami};
pub use reach::{Contact, ContactReport, Reach, ReachCall, reach_span};
pub use task::READ_BYTES;

use crate::{clock::Time, kernel::Host, settings::Settings, wire::Peer};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Peers that every host talks to whether it works with them or not, so that it knows whether it is
/// cut off.
const NEIGHBOURS: u32 = 3;

/// Known hosts of one host.
#[derive(Debug)]
pub struct Members {
    list: Mutex<ListView>,
    ring: RwLock<Arc<Ring>>,
    probes: Mutex<Probes>,
    reach: Mutex<Reach>,
    reached: Mutex<Option<Time>>,
    announced: Mutex<Option<Time>>,
    /// Number of hosts that the last read of the list showed.
    host_count: AtomicUsize,
    hold: Duration,
}

impl Members {
    /// Members as `me` knows them before it read the list: only itself.
    pub fn new(me: &Peer, settings: &Settings) -> Self {
        Self {
            list: Mutex::new(ListView::default()),
            ring: RwLock::new(Arc::new(Ring::new(vec![me.clone()]))),
            probes: Mutex::default(),
            reach: Mutex::default(),
            reached: Mutex::default(),
            announced: Mutex::default(),
            host_count: AtomicUsize::new(0),
            hold: settings.lease,
        }
    }

    /// The live hosts as placement sees them. The request path takes one and keeps it for all its
    /// choices.
    pub fn ring(&self) -> Arc<Ring> {
        self.ring.read().expect("ring").clone()
    }

    /// Live hosts, sorted by name; this one unless it is leaving.
    pub fn live(&self) -> Vec<Peer> {
        self.ring().peers().to_vec()
    }

    /// The host in charge of `key`.
    pub fn owner(&self, key: &str) -> Option<Peer> {
        self.ring().owner(key).cloned()
    }

    /// Up to `count` hosts for `key`, spread over failure domains, the one in charge first.
    pub fn owners(&self, key: &str, count: usize) -> Vec<Peer> {
        self.ring().owners(key, count)
    }

    /// Whether reads of the list have shown for the hold time (the lease) that the host is not
    /// there.
    pub fn is_gone(&self, name: &str, now: Time) -> bool {
        self.gone_for(name, now)
            .is_some_and(|span| span >= self.hold)
    }

    /// Time over which reads of the list have shown that the host is not there; `None` if the last
    /// read shows it. Time without a successful read does not count.
    pub fn gone_for(&self, name: &str, now: Time) -> Option<Duration> {
        self.list.lock().expect("list").gone_for(name, now)
    }

    /// When the list was last read; the start of that read.
    pub fn fresh(&self) -> Option<Time> {
        self.list.lock().expect("list").fresh()
    }

    /// Start of the last announcement of this host that the list accepted.
    pub fn announced(&self) -> Option<Time> {
        *self.announced.lock().expect("announced")
    }

    /// Number of hosts that the last read showed, several starts of one counted once.
    pub fn host_count(&self) -> usize {
        self.host_count.load(Ordering::Relaxed)
    }

    /// Whether the first read showed an earlier start of this host, so that the others count it.
    pub fn has_earlier_start(&self) -> bool {
        self.list.lock().expect("list").has_earlier_start
    }

    /// Whether the last read showed the host as live or leaving.
    pub fn is_listed(&self, name: &str) -> bool {
        self.list.lock().expect("list").seen(name).is_some()
    }

    /// Asks for direct probes of `peer` for some seconds, because this host works with it.
    pub fn watch(&self, peer: &Peer, now: Time) {
        self.probes.lock().expect("probes").watch(peer, now);
    }

    /// Takes note that a call to the host at `addr` failed.
    pub fn failed(&self, addr: SocketAddr) {
        self.probes.lock().expect("probes").failed(addr);
    }

    /// Whether probes of a watched host go unanswered. Work may be sent elsewhere, but the host
    /// stays in charge of what it is in charge of.
    pub fn is_down(&self, name: &str) -> bool {
        self.probes.lock().expect("probes").is_down(name)
    }

    /// Since when this host was last in touch with more than half of the hosts that the list showed
    /// after the last read of the log, directly or through peers. A host that the list shows alone
    /// has only the list to be in touch with.
    pub fn reached(&self) -> Option<Time> {
        *self.reached.lock().expect("reached")
    }

    /// Time without a sign of life after which a host counts as cut off.
    pub fn span(&self) -> Duration {
        reach_span(self.ring().peers().len())
    }

    /// Works out `reached` again; `fresh` is the time of the last read of the log. A host that is
    /// behind another one is in touch with nobody until it caught up.
    fn update_reached(&self, host: &Host, fresh: Time) {
        let me = &host.me.name;
        let next = host.config.progress().next;
        let list = self.list.lock().expect("list");
        let fleet = list.fleet(me, fresh);
        let reach = self.reach.lock().expect("reach");
        let since = match fleet.len() {
            1 => list.fresh(),
            _ => reach.majority(&fleet, me),
        };
        *self.reached.lock().expect("reached") = since.filter(|_| !reach.is_behind(next));
    }

    fn merge(&self, report: &ContactReport, asked: Time) {
        self.reach.lock().expect("reach").merge(report, asked);
    }

    fn report(&self, host: &Host) -> ContactReport {
        let next = host.config.progress().next;
        let span = self.span();
        let mut reach = self.reach.lock().expect("reach");
        reach.report(&host.me.name, next, host.now(), span)
    }
}
