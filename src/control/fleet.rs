//! What all live hosts report: their revision and their events.

use crate::{
    error::{Fail, Kind, Res},
    fold::Pos,
    http::Exchange,
    kernel::{Call, Host, serve_call},
    timeline::{Event, merge},
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::{io, sync::Arc, thread, time::Duration};

/// Longest time that a host has to answer.
const LIMIT: Duration = Duration::from_secs(2);
/// Hosts asked at the same time.
const FAN_OUT: usize = 16;
/// Most events that one host is asked for.
const EVENTS_MAX: usize = 10_000;

/// How far a host is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: Name,
    /// Revision in force there.
    pub revision: Pos,
    /// Offset of the next record of the configuration stream to apply.
    pub next: u64,
    /// Whether the last read of that stream failed.
    pub down: bool,
    /// Whether the balancer may send callers there.
    pub ready: bool,
    /// Whether a planned stop began.
    pub stopping: bool,
}

/// Asks for a [`Report`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ReportCall {}

impl Call for ReportCall {
    type Reply = Report;
    const PATH: &'static str = "/peer/report";
}

/// Asks for events.
#[derive(Debug, Serialize, Deserialize)]
pub struct EventsCall {
    /// What their id begins with.
    pub id: Name,
    /// Most events wanted.
    pub most: usize,
}

impl Call for EventsCall {
    type Reply = Vec<Event>;
    const PATH: &'static str = "/peer/events";
}

/// What one live host answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The host.
    pub host: Name,
    /// Its report, if it answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    /// Why there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Name>,
}

/// Events of all hosts and the hosts that gave none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Merged {
    /// Events, a cause before its effect.
    pub events: Vec<Event>,
    /// Hosts that did not answer.
    pub silent: Vec<Name>,
}

fn report(host: &Host) -> Report {
    let progress = host.config.progress();
    Report {
        host: host.me.name.clone(),
        revision: host.config.view(|s| s.revision),
        next: progress.next,
        down: progress.is_down,
        ready: host.is_ready(),
        stopping: host.is_stopping(),
    }
}

/// The reports of all hosts that this one takes for live.
pub fn reports(host: &Arc<Host>) -> Vec<(Peer, Res<Report>)> {
    ask_all(host, |peer| {
        if peer.name == host.me.name {
            return Ok(report(host));
        }
        host.call(peer.addr, &ReportCall {}, LIMIT)
    })
}

/// The events of all live hosts whose id begins with `id`, merged, and the hosts that gave none.
pub fn timeline(host: &Arc<Host>, id: &str, most: usize) -> (Vec<Event>, Vec<Name>) {
    let call = EventsCall {
        id: id.into(),
        most: most.min(EVENTS_MAX),
    };
    let answers = ask_all(host, |peer| {
        if peer.name == host.me.name {
            return Ok(host.timeline.select(&call.id, call.most));
        }
        host.call(peer.addr, &call, LIMIT)
    });
    let (mut events, mut silent) = (Vec::new(), Vec::new());
    for (peer, answer) in answers {
        match answer {
            Ok(found) => events.extend(found),
            Err(_) => silent.push(peer.name),
        }
    }
    let mut events = merge(events);
    events.drain(..events.len().saturating_sub(most));
    (events, silent)
}

/// Asks each live host, `FAN_OUT` at a time.
fn ask_all<T: Send>(host: &Arc<Host>, ask: impl Fn(&Peer) -> Res<T> + Sync) -> Vec<(Peer, Res<T>)> {
    let mut peers = host.members.live();
    if !peers.iter().any(|p| p.name == host.me.name) {
        peers.push(host.me.clone());
    }
    let mut answers = Vec::new();
    for group in peers.chunks(FAN_OUT) {
        thread::scope(|scope| {
            let threads: Vec<_> = group.iter().map(|p| scope.spawn(|| ask(p))).collect();
            for (peer, thread) in group.iter().zip(threads) {
                let answer = thread.join().unwrap_or_else(|_| {
                    Err(Fail::new(
                        Kind::Internal,
                        "the call ended without an answer",
                    ))
                });
                answers.push((peer.clone(), answer));
            }
        });
    }
    answers
}

pub(super) fn serve_report(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, _: ReportCall| Ok(report(host)))
}

pub(super) fn serve_events(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: EventsCall| {
        Ok(host.timeline.select(&call.id, call.most.min(EVENTS_MAX)))
    })
}

pub(super) fn status(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    exchange.json(200, &report(host))
}

pub(super) fn revisions(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let heard: Vec<Heard> = reports(host)
        .into_iter()
        .map(|(peer, answer)| Heard {
            host: peer.name,
            error: answer.as_ref().err().map(|f| f.text.clone()),
            report: answer.ok(),
        })
        .collect();
    exchange.json(200, &heard)
}

pub(super) fn events(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let head = &exchange.request.head;
    let id = head.param("id").unwrap_or_default();
    let most = match head.param("most").map(|m| m.parse()) {
        None => EVENTS_MAX,
        Some(Ok(most)) => most,
        Some(Err(_)) => {
            return exchange.fail(&Fail::field("most", "is not a whole number"));
        }
    };
    let (events, silent) = timeline(host, &id, most);
    exchange.json(200, &Merged { events, silent })
}
