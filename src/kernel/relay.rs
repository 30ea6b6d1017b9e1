//! Reads and appends to the log through other hosts while this one cannot reach it.

use super::{Call, Host, On, Plugin, Port, Route, Task, serve_call};
use crate::{
    clock::Time,
    error::{Fail, Kind, Ran, Res},
    http::Exchange,
    store::{AppendError, Log, Page, SharedLog},
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::{
    cell::RefCell,
    fmt, io,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

/// Peers that a host turns to for what is asked all the time.
const PEERS: usize = 3;
/// Peers that a host ever turns to for the log, so that its connections stay few in a large fleet.
const POOL: usize = 36;
/// Most peers that are tried for one call; a third of the hosts may have lost the log together.
const TRIES: usize = 9;
/// Longest time for a call to a peer beyond the wait that was asked for.
const LIMIT: Duration = Duration::from_secs(1);
/// What a host answers that cannot help a peer.
const LOST: &str = "this host cannot reach the log";
/// Time for which peers are left alone after none of them could read the log; twice as long after each
/// further time. A connection of theirs that was cut is back in some 10 ms.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest such time: the time in which a peer notices that the log is back.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Time beyond the wait that was asked for after which a failed read was a timeout.
const CUT_MAX: Duration = Duration::from_millis(500);
/// Times that an append may take longer than the last one before it counts as not answered.
const APPEND_TIMEOUT_FACTOR: u32 = 8;
/// Shortest time for which an append is waited for; an append takes some 10 ms with its way.
const APPEND_TIMEOUT_MIN: Duration = Duration::from_millis(150);
/// Time between two looks at whether the log can be reached again: a fraction of the second that a
/// call of which nothing is heard takes, so that a short break is over soon.
const PROBE_EVERY: Duration = Duration::from_millis(200);

inventory::submit! {
    Plugin {
        name: "relay",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/log/read", handle: serve_read },
            Route { port: Port::Peer, method: "POST", path: "/peer/log/append", handle: serve_append },
        ],
        tasks: &[Task { name: "relay-probe", every: PROBE_EVERY, run: probe, waits: true, on: On::All }],
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
/// From the first failed read on, or an append of which nothing was heard for long, only peers are asked:
/// a call of which nothing is heard takes a second, in which a caller has long gone elsewhere. A task of
/// its own looks whether the log can be reached again.
///
/// A peer answers from a read of the log that it makes for the call, so that a page is as fresh as
/// one from the log itself. An append goes through a peer only where it is certain that the log did
/// not take it before; an answer of the peer that is lost leaves its outcome unknown.
#[derive(Debug, Clone)]
pub struct RelayLog {
    log: SharedLog,
    host: Arc<OnceLock<Arc<Host>>>,
    state: Arc<Mutex<Standing>>,
}

/// Whether the log can be reached, and which peers are asked where it cannot.
#[derive(Debug, Clone, Copy, Default)]
struct Standing {
    /// Whether the last call to the log failed.
    away: bool,
    /// Peers that were passed over because none of them could help.
    turn: usize,
    /// Until when peers are left alone.
    peers: Time,
    /// Time for which they are left alone if none of them can help the next time.
    pause: Duration,
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

    fn state(&self) -> Standing {
        *self.state.lock().expect("standing")
    }

    fn read_direct(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let result = self.log.read(stream, from, wait);
        self.note(stream, result.as_ref().err());
        result
    }

    /// Takes account of a call to the log.
    fn note(&self, stream: &str, error: Option<impl fmt::Debug>) {
        let mut state = self.state.lock().expect("standing");
        let was_away = std::mem::replace(&mut state.away, error.is_some());
        match error {
            Some(error) if !was_away => tracing::info!(stream, ?error, "log_lost"),
            None if was_away => tracing::info!(stream, "log_back"),
            _ => {}
        }
    }

    /// Time after which an append that has not been answered is better made by another host: some times
    /// what appends take at present.
    pub fn append_timeout(&self) -> Duration {
        (self.state().spent * APPEND_TIMEOUT_FACTOR).max(APPEND_TIMEOUT_MIN)
    }

    /// Whether the last call to the log failed.
    pub fn is_lost(&self) -> bool {
        self.state().away
    }

    /// Fails at once where this host cannot help a peer that has lost the log.
    ///
    /// # Errors
    /// `NotReady`: this host has lost it too.
    pub fn check(&self) -> Res<()> {
        match self.is_lost() {
            true => Err(Fail::new(Kind::NotReady, LOST)),
            false => Ok(()),
        }
    }

    /// Whether this host can certainly not append: its last call to the log failed, and no neighbour
    /// answers.
    pub fn is_cut_off(&self, host: &Host) -> bool {
        if !self.state().away {
            return false;
        }
        let neighbours = neighbours(host);
        let is_down = |p: &Peer| host.members.is_down(&p.name);
        !neighbours.is_empty() && neighbours.iter().all(is_down)
    }

    fn append_direct(&self, host: &Host, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let began = host.now();
        let result = self.log.append(stream, bytes);
        let spent = host.now().saturating_sub(began);
        match &result {
            Ok(_) => {
                self.state.lock().expect("standing").spent = spent;
                host.meters.append(spent);
            }
            Err(error) => {
                tracing::info!(stream, ?error, ?spent, "append_failed");
                // A log that refuses or cuts a connection at once can be reached.
                if spent >= self.append_timeout() {
                    self.note(stream, Some(error));
                }
            }
        }
        result
    }

    fn read_relayed(&self, host: &Host, stream: &str, from: u64, wait: Duration) -> Option<Page> {
        let call = ReadCall {
            stream: stream.into(),
            from,
            wait,
        };
        self.log_of_peers(host, |peer| host.call(peer.addr, &call, wait + LIMIT).ok())
    }

    /// The first answer that `ask` gets, unless peers are left alone because none had the log.
    fn log_of_peers<T>(&self, host: &Host, ask: impl Fn(&Peer) -> Option<T>) -> Option<T> {
        if host.now() < self.state().peers {
            return None;
        }
        let answer = self.try_peers(host, ask);
        let mut state = self.state.lock().expect("standing");
        state.pause = match &answer {
            Some(_) => Duration::ZERO,
            None => (state.pause * 2).clamp(BACKOFF_MIN, BACKOFF_MAX),
        };
        state.peers = host.now() + state.pause;
        answer
    }

    /// The first answer that `ask` gets, beginning with the peer that last had one, or with the peers
    /// after those that were tried last in vain. Peers that do not answer probes are left out.
    pub fn try_peers<T>(&self, host: &Host, ask: impl Fn(&Peer) -> Option<T>) -> Option<T> {
        let turn = self.state().turn;
        let mut peers = host.members.owners(&host.me.name, POOL + 1);
        peers.retain(|p| p.name != host.me.name);
        let count = peers.len().max(1);
        peers.rotate_left(turn % count);
        for (n, peer) in peers.iter().enumerate().take(TRIES) {
            if host.members.is_down(&peer.name) {
                continue;
            }
            host.members.watch(peer, host.now());
            if let Some(answer) = ask(peer) {
                self.state.lock().expect("standing").turn = (turn + n) % count;
                return Some(answer);
            }
        }
        host.meters.helpless();
        self.state.lock().expect("standing").turn = (turn + TRIES) % count;
        None
    }

    /// Appends through the first peer that can; `None` if none can be reached. A peer that is certain
    /// that the log did not take the record is passed over.
    fn append_relayed(
        &self,
        host: &Host,
        stream: &str,
        bytes: &[u8],
    ) -> Option<Result<u64, AppendError>> {
        let call = AppendCall {
            stream: stream.into(),
            bytes: ByteBuf::from(bytes),
        };
        let refused = RefCell::new(None);
        let result = self.log_of_peers(host, |peer| {
            match host.call(peer.addr, &call, LIMIT) {
                Ok(AppendReply::Taken(offset)) => return Some(Ok(offset)),
                Ok(AppendReply::NotTaken(text)) => {
                    let error = AppendError::NotTaken(text.to_string());
                    *refused.borrow_mut() = Some(Err(error));
                }
                Ok(AppendReply::Unknown(text)) => {
                    return Some(Err(AppendError::Unknown(text.to_string())));
                }
                Err(fail) if fail.kind.row().ran == Ran::No => {}
                Err(fail) => return Some(Err(AppendError::Unknown(fail.text.to_string()))),
            }
            None
        });
        result.or(refused.into_inner())
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

impl Log for RelayLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let Some(host) = self.host.get() else {
            return self.log.append(stream, bytes);
        };
        let refused = match self.is_lost() {
            true => AppendError::NotTaken(LOST.into()),
            false => match self.append_direct(host, stream, bytes) {
                Err(error @ AppendError::NotTaken(_)) => error,
                result => return result,
            },
        };
        self.append_relayed(host, stream, bytes)
            .unwrap_or(Err(refused))
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let Some(host) = self.host.get() else {
            return self.log.read(stream, from, wait);
        };
        let fail = if self.is_lost() {
            Fail::new(Kind::LogDown, LOST)
        } else {
            let began = host.now();
            let mut page = self.read_direct(stream, from, wait);
            // A connection that was cut says nothing of the log; one that timed out does.
            if page.is_err() && host.now().saturating_sub(began) < wait + CUT_MAX {
                page = self.read_direct(stream, from, wait);
            }
            match page {
                Err(fail) => fail,
                page => return page,
            }
        };
        self.read_relayed(host, stream, from, wait).ok_or(fail)
    }
}

/// Looks whether a log that was lost can be reached again.
fn probe(host: &Arc<Host>) {
    if host.relay.state().away {
        let stream = host.config.stream();
        // What it finds is noted there, with the error.
        let _ = host
            .relay
            .read_direct(stream, host.config.progress().next, Duration::ZERO);
    }
}

/// Appends for a peer. The log is asked directly: a peer of a peer is no better than this one. A host
/// that has lost the log says so at once, so that the next one is asked.
fn serve_append(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: AppendCall| {
        if host.relay.is_lost() {
            return Ok(AppendReply::NotTaken(LOST.into()));
        }
        Ok(match host.log.append(&call.stream, &call.bytes) {
            Ok(offset) => AppendReply::Taken(offset),
            Err(AppendError::NotTaken(text)) => AppendReply::NotTaken(text.into()),
            Err(AppendError::Unknown(text)) => AppendReply::Unknown(text.into()),
        })
    })
}

fn serve_read(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: ReadCall| {
        host.relay.check()?;
        host.log.read(&call.stream, call.from, call.wait.min(LIMIT))
    })
}
