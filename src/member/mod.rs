//! Tracks live hosts and places roles on them.
//!
//! Each host announces itself on the platform's list and reads from it which hosts are live. Roles
//! are placed by rendezvous hashing over the live hosts, so that a host that joins or leaves moves
//! only its own share.

mod backoff;
mod list;
mod place;
mod probe;
mod reach;
mod task;

pub use backoff::Backoff;
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

/// Peers that every host probes even if it does not work with them, to detect that it is cut off.
const NEIGHBOURS: u32 = 3;

/// The live hosts as known to this host, and its contact with them.
#[derive(Debug)]
pub struct Members {
    list: Mutex<ListView>,
    ring: RwLock<Arc<Ring>>,
    probes: Mutex<Probes>,
    reach: Mutex<Reach>,
    reached: Mutex<Option<Time>>,
    announced: Mutex<Option<Time>>,
    host_count: AtomicUsize,
    lease: Duration,
}

impl Members {
    /// Members before the first read of the list: only `me`.
    pub fn new(me: &Peer, settings: &Settings) -> Self {
        Self {
            list: Mutex::new(ListView::default()),
            ring: RwLock::new(Arc::new(Ring::new(vec![me.clone()]))),
            probes: Mutex::default(),
            reach: Mutex::default(),
            reached: Mutex::default(),
            announced: Mutex::default(),
            host_count: AtomicUsize::new(0),
            lease: settings.lease,
        }
    }

    /// Snapshot of the live hosts for placement. A request keeps one snapshot for all its choices.
    pub fn ring(&self) -> Arc<Ring> {
        self.ring.read().expect("ring").clone()
    }

    /// Live hosts, sorted by name, including this one unless it is leaving.
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

    /// Whether reads of the list have not shown the host for at least the lease.
    pub fn is_gone(&self, name: &str, now: Time) -> bool {
        self.gone_for(name, now)
            .is_some_and(|span| span >= self.lease)
    }

    /// Time over which reads of the list have not shown the host; `None` if the last read shows it.
    /// Time after the last successful read does not count.
    pub fn gone_for(&self, name: &str, now: Time) -> Option<Duration> {
        self.list.lock().expect("list").gone_for(name, now)
    }

    /// Start of the last successful read of the list; `None` before the first.
    pub fn fresh(&self) -> Option<Time> {
        self.list.lock().expect("list").fresh()
    }

    /// Start of the last announcement of this host that the list accepted.
    pub fn announced(&self) -> Option<Time> {
        *self.announced.lock().expect("announced")
    }

    /// Number of hosts in the last read; several processes of one host count once.
    pub fn host_count(&self) -> usize {
        self.host_count.load(Ordering::Relaxed)
    }

    /// Whether the first read showed an earlier process of this host: others count it already.
    pub fn has_earlier_start(&self) -> bool {
        self.list.lock().expect("list").has_earlier_start
    }

    /// Whether the host is in the last read, as live or leaving.
    pub fn is_listed(&self, name: &str) -> bool {
        self.list.lock().expect("list").seen(name).is_some()
    }

    /// Has `peer`, with which this host works, probed for some seconds.
    pub fn watch(&self, peer: &Peer, now: Time) {
        self.probes.lock().expect("probes").watch(peer, now);
    }

    /// Records that a call to the host at `addr` failed, so that it is probed next.
    pub fn failed(&self, addr: SocketAddr) {
        self.probes.lock().expect("probes").failed(addr);
    }

    /// Whether a watched host does not answer probes. Work may be sent elsewhere, but the host
    /// keeps its roles.
    pub fn is_down(&self, name: &str) -> bool {
        self.probes.lock().expect("probes").is_down(name)
    }

    /// While the log cannot be read: last contact, also through peers, with a majority of the hosts
    /// listed since its last read (if alone: last read of the list); `None` if cut off or behind.
    pub fn reached(&self) -> Option<Time> {
        *self.reached.lock().expect("reached")
    }

    /// Age of both `reached` and the last read of the log from which this host counts as cut off.
    pub fn span(&self) -> Duration {
        reach_span(self.ring().peers().len())
    }

    /// Updates `reached`; `fresh` is the time of the last read of the log. A host counts as without
    /// contact while its configuration is behind that of another one.
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

    fn merge_contacts(&self, report: &ContactReport, asked: Time) {
        self.reach.lock().expect("reach").merge(report, asked);
    }

    fn contact_report(&self, host: &Host) -> ContactReport {
        let next = host.config.progress().next;
        let span = self.span();
        let mut reach = self.reach.lock().expect("reach");
        reach.report(&host.me.name, next, host.now(), span)
    }
}
