//! Asks other hosts about a stream while the log cannot be read.

use super::Usage;
use crate::{
    http::Exchange,
    kernel::{Call, Host, Plugin, Port, Route, serve_call},
    wire::{Name, Peer},
};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc, thread, time::Duration};

/// Most hosts that are asked.
const PEERS_MAX: usize = 8;
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

inventory::submit! {
    Plugin {
        name: "resume-peers",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/resume/versions", handle: serve }],
        tasks: &[],
        stop: |_| {},
    }
}

/// Asks what a host knows of a stream and of the software versions of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsCall {
    /// Id of the request that began the stream.
    pub stream: Name,
    /// Its service.
    pub service: Name,
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// Service of its server.
    pub service: Name,
    /// Software version of its server.
    pub version: Name,
}

/// Answer to [`VersionsCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsReply {
    /// Where the stream began, if the host knows.
    pub began: Option<Beginning>,
    /// The only version of the service that the host saw lately; `None` if there are several or it cannot
    /// tell.
    pub sole: Option<Name>,
}

impl Call for VersionsCall {
    type Reply = VersionsReply;
    const PATH: &'static str = "/peer/resume/versions";
}

/// What the other hosts tell together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Testimony {
    /// One of them knows where the stream began.
    Began(Beginning),
    /// Most of those asked answered, and all of these saw only the version that this host saw.
    Agreed,
    /// It is not certain.
    Unsure,
}

/// Sums up the answers of the hosts that were asked (`None` from one that did not answer). A host that is
/// alone agrees with itself.
pub fn sum_up(replies: &[Option<VersionsReply>], usage: &Usage) -> Testimony {
    let answers: Vec<&VersionsReply> = replies.iter().flatten().collect();
    if let Some(began) = answers.iter().find_map(|r| r.began.clone()) {
        return Testimony::Began(began);
    }
    let is_most = replies.is_empty() || answers.len() * 2 > replies.len();
    let is_same = |r: &&VersionsReply| r.sole.is_some() && r.sole.as_ref() == usage.sole();
    match is_most && answers.iter().all(is_same) {
        true => Testimony::Agreed,
        false => Testimony::Unsure,
    }
}

/// Asks up to [`PEERS_MAX`] other hosts about the stream `id` of `service`.
pub(super) fn ask(host: &Host, id: &Name, service: &Name, usage: &Usage) -> Testimony {
    let ring = host.members.ring();
    let others = ring.peers().iter().filter(|p| p.name != host.me.name);
    let others: Vec<&Peer> = others.collect();
    let asked: Vec<&Peer> = others
        .choose_multiple(&mut rand::rng(), PEERS_MAX)
        .copied()
        .collect();
    let call = VersionsCall {
        stream: id.clone(),
        service: service.clone(),
    };
    let replies: Vec<Option<VersionsReply>> = thread::scope(|scope| {
        let ask = |peer: &&Peer| host.call(peer.addr, &call, CALL_TIMEOUT).ok();
        let asks: Vec<_> = asked.iter().map(|p| scope.spawn(move || ask(p))).collect();
        asks.into_iter()
            .map(|a| a.join().unwrap_or_default())
            .collect()
    });
    let answered = replies.iter().flatten().count();
    let testimony = sum_up(&replies, usage);
    let (id, service) = (&**id, &**service);
    let asked = asked.len();
    tracing::info!(
        id,
        service,
        asked,
        answered,
        ?testimony,
        "peers_asked_for_stream"
    );
    testimony
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: VersionsCall| {
        Ok(host.known_versions(&call.stream, &call.service))
    })
}
