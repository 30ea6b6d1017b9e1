//! Reads and appends to the log through other hosts while this one cannot reach it.

use super::{Call, Host, Plugin, Port, Route, serve_call};
use crate::{
    clock::Time,
    error::{Ran, Res},
    http::Exchange,
    store::{AppendError, Log, Page, SharedLog},
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{
    io,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

/// Peers that are asked for a page before the read has failed.
const PEERS: usize = 3;
/// Longest time for a call to a peer beyond the wait that was asked for.
const LIMIT: Duration = Duration::from_secs(1);
/// Time for which peers are left alone after none of them could read the log.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// Time beyond the wait that was asked for after which a failed read was a timeout.
const CUT_MAX: Duration = Duration::from_millis(500);
/// Times that an append may take longer than the last one before it counts as not answered.
const PATIENCE_FACTOR: u32 = 8;
/// Shortest time for which an append is waited for; an append takes some 10 ms with its way.
const PATIENCE_MIN: Duration = Duration::from_millis(150);
/// Time for which peers are asked first after the log could not be read.
const LOG_BACKOFF: Duration = Duration::from_secs(2);

inventory::submit! {
    Plugin {
        name: "relay",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/log/read", handle: serve_read },
            Route { port: Port::Peer, method: "POST", path: "/peer/log/append", handle: serve_append },
        ],
        tasks: &[],
        stop: |_| {},
    }
}

/// Asks a host to read the log.
#[derive(Debug, Serialize, Deserialize)]
struct ReadCall {
    stream: Name,
    from: u64,
    wait: Duration,
}

impl Call for ReadCall {
    type Reply = Page;
    const PATH: &'static str = "/peer/log/read";
}

/// Asks a host to append to the log.
#[derive(Debug, Serialize, Deserialize)]
struct AppendCall {
    stream: Name,
    bytes: ByteBuf,
}

/// What became of an append that a host made for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum AppendReply {
    /// The log took it at this offset.
    Taken(u64),
    /// The log did not take it, and that is certain.
    NotTaken(Name),
    /// The log may have taken it.
    Unknown(Name),
}

impl Call for AppendCall {
    type Reply = AppendReply;
    const PATH: &'static str = "/peer/log/append";
}

/// The log; calls go through a peer while the log cannot be reached.
///
/// A peer answers from a read of the log that it makes for the call, so that a page is as fresh as
/// one from the log itself. An append goes through a peer only where it is certain that the log did
/// not take it before; an answer of the peer that is lost leaves its outcome unknown.
#[derive(Debug, Clone)]
pub struct RelayLog {
    log: SharedLog,
    host: Arc<OnceLock<Arc<Host>>>,
    state: Arc<Mutex<Backoff>>,
}

/// Until when the log or the peers are not the first to be asked.
#[derive(Debug, Clone, Copy, Default)]
struct Backoff {
    log: Time,
    peers: Time,
    /// What the last append that the log took directly took.
    spent: Duration,
}

impl RelayLog {
    /// Reads through `log`, and through the peers of `host` as soon as that is set.
    pub fn new(log: SharedLog, host: Arc<OnceLock<Arc<Host>>>) -> Self {
        Self {
            log,
            host,
            state: Arc::default(),
        }
    }

    fn state(&self) -> Backoff {
        *self.state.lock().expect("backoff")
    }

    fn read_direct(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let result = self.log.read(stream, from, wait);
        if let Some(host) = self.host.get() {
            let until = match &result {
                Ok(_) => Time::ZERO,
                Err(_) => host.now() + LOG_BACKOFF,
            };
            self.state.lock().expect("backoff").log = until;
        }
        result
    }

    /// Time after which an append that has not been answered is better made by another host: some times
    /// what appends take at present.
    pub fn patience(&self) -> Duration {
        (self.state().spent * PATIENCE_FACTOR).max(PATIENCE_MIN)
    }

    /// Whether this host can certainly not append: its last call to the log failed, and no neighbour
    /// answers.
    pub fn is_cut_off(&self, host: &Host) -> bool {
        if self.state().log == Time::ZERO {
            return false;
        }
        let neighbours = neighbours(host);
        let is_down = |p: &Peer| host.members.is_down(&p.name);
        !neighbours.is_empty() && neighbours.iter().all(is_down)
    }

    fn append_direct(&self, host: &Host, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let began = host.now();
        let result = self.log.append(stream, bytes);
        let mut state = self.state.lock().expect("backoff");
        match &result {
            Ok(_) => state.spent = host.now().saturating_sub(began),
            Err(error) => {
                tracing::info!(stream, ?error, "append_failed");
                state.log = host.now() + LOG_BACKOFF;
            }
        }
        result
    }

    fn read_relayed(&self, host: &Host, stream: &str, from: u64, wait: Duration) -> Option<Page> {
        if host.now() < self.state().peers {
            return None;
        }
        let call = ReadCall {
            stream: stream.into(),
            from,
            wait,
        };
        let page = reachable(host)
            .iter()
            .find_map(|peer| host.call(peer.addr, &call, wait + LIMIT).ok());
        if page.is_none() {
            self.state.lock().expect("backoff").peers = host.now() + PEER_BACKOFF;
        }
        page
    }
}

/// The peers that this host turns to: a few, spread over failure domains, other ones for each
/// host.
pub fn neighbours(host: &Host) -> Vec<Peer> {
    let mut peers = host.members.owners(&host.me.name, PEERS + 1);
    peers.retain(|p| p.name != host.me.name);
    peers.truncate(PEERS);
    peers
}

/// The neighbours that answer probes.
fn reachable(host: &Host) -> Vec<Peer> {
    let mut peers = neighbours(host);
    peers.retain(|p| !host.members.is_down(&p.name));
    peers
}

impl Log for RelayLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let Some(host) = self.host.get() else {
            return self.log.append(stream, bytes);
        };
        if host.now() < self.state().log {
            return match append_relayed(host, stream, bytes) {
                Some(result) => result,
                None => self.append_direct(host, stream, bytes),
            };
        }
        match self.append_direct(host, stream, bytes) {
            Err(AppendError::NotTaken(text)) => {
                append_relayed(host, stream, bytes).unwrap_or(Err(AppendError::NotTaken(text)))
            }
            result => result,
        }
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let Some(host) = self.host.get() else {
            return self.log.read(stream, from, wait);
        };
        if host.now() < self.state().log
            && let Some(page) = self.read_relayed(host, stream, from, wait)
        {
            return Ok(page);
        }
        let began = host.now();
        let mut page = self.read_direct(stream, from, wait);
        // A connection that was cut says nothing of the log; one that timed out does.
        if page.is_err() && host.now().saturating_sub(began) < wait + CUT_MAX {
            page = self.read_direct(stream, from, wait);
        }
        page.or_else(|e| self.read_relayed(host, stream, from, wait).ok_or(e))
    }
}

/// Appends through the first peer that answers; `None` if none can be reached. A peer that is certain
/// that the log did not take the record is passed over.
fn append_relayed(host: &Host, stream: &str, bytes: &[u8]) -> Option<Result<u64, AppendError>> {
    let call = AppendCall {
        stream: stream.into(),
        bytes: ByteBuf::from(bytes),
    };
    let mut refused = None;
    for peer in reachable(host) {
        match host.call(peer.addr, &call, LIMIT) {
            Ok(AppendReply::Taken(offset)) => return Some(Ok(offset)),
            Ok(AppendReply::NotTaken(text)) => {
                refused = Some(Err(AppendError::NotTaken(text.to_string())));
            }
            Ok(AppendReply::Unknown(text)) => {
                return Some(Err(AppendError::Unknown(text.to_string())));
            }
            Err(fail) if fail.kind.row().ran == Ran::No => {}
            Err(fail) => return Some(Err(AppendError::Unknown(fail.text.to_string()))),
        }
    }
    refused
}

/// Appends for a peer. The log is asked directly: a peer of a peer is no better than this one.
fn serve_append(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: AppendCall| {
        Ok(match host.log.append(&call.stream, &call.bytes) {
            Ok(offset) => AppendReply::Taken(offset),
            Err(AppendError::NotTaken(text)) => AppendReply::NotTaken(text.into()),
            Err(AppendError::Unknown(text)) => AppendReply::Unknown(text.into()),
        })
    })
}

fn serve_read(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: ReadCall| {
        host.log.read(&call.stream, call.from, call.wait.min(LIMIT))
    })
}
