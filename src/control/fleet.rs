//! Status and events gathered from all live hosts.

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

/// Time limit of a call to a host.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Most hosts called at the same time.
const PARALLEL_MAX: usize = 16;
/// Most events requested from one host.
const EVENTS_MAX: usize = 10_000;

/// Status of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the host.
    pub host: Name,
    /// Revision of the configuration in force there.
    pub revision: Pos,
    /// Offset of the next record of the configuration stream to apply.
    pub next: u64,
    /// Whether the last read of that stream failed.
    pub down: bool,
    /// Whether it accepts requests of callers, as `/readyz` tells the load balancer.
    pub ready: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
}

/// Requests a [`Report`] from a host.
#[derive(Debug, Serialize, Deserialize)]
pub struct ReportCall {}

impl Call for ReportCall {
    type Reply = Report;
    const PATH: &'static str = "/peer/report";
}

/// Requests events from a host's timeline.
#[derive(Debug, Serialize, Deserialize)]
pub struct EventsCall {
    /// Prefix of the ids of the events.
    pub id: Name,
    /// Most events to return.
    pub most: usize,
}

impl Call for EventsCall {
    type Reply = Vec<Event>;
    const PATH: &'static str = "/peer/events";
}

/// Answer of one live host, or why there is none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAnswer {
    /// Name of the host.
    pub host: Name,
    /// Its status, if it answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Report>,
    /// Why it did not answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<Name>,
}

/// Merged events of all live hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MergedEvents {
    /// Events, causes before their effects.
    pub events: Vec<Event>,
    /// Hosts that did not answer, whose events are missing.
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

/// The status of every host that this one considers live.
pub fn reports(host: &Arc<Host>) -> Vec<(Peer, Res<Report>)> {
    ask_all(host, |peer| {
        if peer.name == host.me.name {
            return Ok(report(host));
        }
        host.call(peer.addr, &ReportCall {}, CALL_TIMEOUT)
    })
}

/// The last `most` events of all live hosts whose id begins with `id`, merged, and the hosts that
/// did not answer.
pub fn timeline(host: &Arc<Host>, id: &str, most: usize) -> (Vec<Event>, Vec<Name>) {
    let call = EventsCall {
        id: id.into(),
        most: most.min(EVENTS_MAX),
    };
    let answers = ask_all(host, |peer| {
        if peer.name == host.me.name {
            return Ok(host.timeline.select(&call.id, call.most));
        }
        host.call(peer.addr, &call, CALL_TIMEOUT)
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

/// Calls `ask` for each live host, at most `PARALLEL_MAX` at a time.
fn ask_all<T: Send>(host: &Arc<Host>, ask: impl Fn(&Peer) -> Res<T> + Sync) -> Vec<(Peer, Res<T>)> {
    let mut peers = host.members.live();
    if !peers.iter().any(|p| p.name == host.me.name) {
        peers.push(host.me.clone());
    }
    let mut answers = Vec::new();
    for group in peers.chunks(PARALLEL_MAX) {
        thread::scope(|scope| {
            let threads: Vec<_> = group.iter().map(|p| scope.spawn(|| ask(p))).collect();
            for (peer, thread) in group.iter().zip(threads) {
                let answer = thread.join().unwrap_or_else(|_| {
                    Err(Fail::new(
                        Kind::Internal,
                        "the thread that called the host panicked",
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
    let heard: Vec<HostAnswer> = reports(host)
        .into_iter()
        .map(|(peer, answer)| HostAnswer {
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
    let most = head.param("most").map_or(Ok(EVENTS_MAX), |text| {
        let parsed = text.parse();
        parsed.map_err(|_| format!("\"{text}\" is not a whole number"))
    });
    let most = match most {
        Ok(most) => most,
        Err(text) => return exchange.fail(&Fail::field("most", text)),
    };
    let (events, silent) = timeline(host, &id, most);
    exchange.json(200, &MergedEvents { events, silent })
}
