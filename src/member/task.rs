//! Periodic tasks of membership: announces this host, reads the list and probes peers.

use super::{Members, NEIGHBOURS, Ring, Whoami};
use crate::{
    clock::Time,
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, serve_call},
    store::{HostStatus, Hosts, Listed},
    wire::Peer,
};
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

/// Bytes a second that a host may read from the list. A longer list is read less often.
pub const READ_BYTES: usize = 4096;
/// Approximate size of a list entry in bytes.
const ENTRY_BYTES: usize = 80;
/// Interval of announcements, reads of a short list, and probes.
const EVERY: Duration = Duration::from_secs(1);
/// Time limit of a probe, and of an announcement through a peer.
const PROBE_LIMIT: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin {
        name: "member",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/member/whoami", handle: whoami },
            Route { port: Port::Peer, method: "POST", path: "/peer/member/announce", handle: announce_for },
        ],
        tasks: &[
            Task { name: "announce", every: EVERY, run: announce, waits: true, on: On::All },
            Task { name: "list", every: EVERY, run: read_list, waits: true, on: On::All },
            Task { name: "probe", every: EVERY, run: probe, waits: true, on: On::All },
        ],
        stop: leave,
    }
}

impl Members {
    /// Interval of reads of a list of `count` hosts.
    pub fn read_every(count: usize) -> Duration {
        EVERY.max(Duration::from_secs(
            (count * ENTRY_BYTES / READ_BYTES) as u64,
        ))
    }

    fn apply_list(&self, host: &Host, listed: &[Listed], began: Time) {
        let mut list = self.list.lock().expect("list");
        list.note_earlier_start(listed, &host.me.name);
        list.read(listed, began);
        let ring = Ring::new(list.live(&host.me, host.is_stopping()));
        self.host_count.store(list.host_count(), Ordering::Relaxed);
        drop(list);
        *self.ring.write().expect("ring") = Arc::new(ring);
    }

    fn remove_self(&self, host: &Host) {
        let live = self.list.lock().expect("list").live(&host.me, true);
        *self.ring.write().expect("ring") = Arc::new(Ring::new(live));
    }
}

fn announce(host: &Arc<Host>) {
    let status = if host.is_stopping() {
        HostStatus::Leaving
    } else {
        HostStatus::Live
    };
    let began = host.now();
    let listed = Listed {
        peer: host.me.clone(),
        status,
        announced: 0,
    };
    if host.list.announce(&listed).is_ok() || announce_relayed(host, &listed) {
        *host.members.announced.lock().expect("announced") = Some(began);
    }
}

/// Asks a peer to announce this host, which cannot reach the list. The reply tells whether the list
/// accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct AnnounceCall {
    listed: Listed,
}

impl Call for AnnounceCall {
    type Reply = ();
    const PATH: &'static str = "/peer/member/announce";
}

fn announce_relayed(host: &Host, listed: &Listed) -> bool {
    let call = AnnounceCall {
        listed: listed.clone(),
    };
    let ask = |peer: &Peer| host.call(peer.addr, &call, PROBE_LIMIT).ok();
    host.relay.try_peers(host, ask).is_some()
}

fn announce_for(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: AnnounceCall| {
        host.list.announce(&call.listed)
    })
}

fn read_list(host: &Arc<Host>) {
    let began = host.now();
    let every = Members::read_every(host.members.ring().peers().len());
    let due = host.members.fresh().is_none_or(|f| began >= f + every);
    if !due {
        return;
    }
    if let Ok(listed) = host.list.list() {
        host.members.apply_list(host, &listed, began);
    }
}

fn probe(host: &Arc<Host>) {
    let began = host.now();
    let ring = host.members.ring();
    let neighbours = ring.owners(&host.me.name, NEIGHBOURS as usize + 1);
    for peer in neighbours.iter().filter(|p| p.name != host.me.name) {
        host.members.watch(peer, began);
    }
    // Without the log, this host must know which peers answer, so it probes all of them.
    let all = host.relay.is_lost();
    let due = {
        let mut probes = host.members.probes.lock().expect("probes");
        probes.due(began, all)
    };
    thread::scope(|scope| {
        for peer in &due {
            scope.spawn(|| probe_one(host, peer));
        }
    });
}

fn probe_one(host: &Host, peer: &Peer) {
    let answer = host.call(peer.addr, &Whoami {}, PROBE_LIMIT).ok();
    let mut probes = host.members.probes.lock().expect("probes");
    probes.done(&peer.name, answer.as_deref(), host.now());
}

fn whoami(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, _: Whoami| Ok(host.me.name.clone()))
}

fn leave(host: &Arc<Host>) {
    announce(host);
    host.members.remove_self(host);
}
