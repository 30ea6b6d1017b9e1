//! Reads from and appends to the log through peers while this host cannot reach it directly.

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

/// Number of neighbours, the peers that a host asks periodically.
const NEIGHBOURS: usize = 3;
/// Number of peers that a host may ask for the log, which bounds its connections in a large fleet.
const CANDIDATES: usize = 36;
/// Most peers that are tried for one call; a third of the hosts may lose the log together.
const TRIES: usize = 9;
/// Timeout of a call to a peer, on top of the wait that the read asks for.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Error text of a host that cannot reach the log itself.
const LOST: &str = "this host cannot reach the log";
/// Pause before peers are asked again after none of them could reach the log; doubles with each further
/// failure. A peer whose connection broke reconnects in some 10 ms.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest such pause: the time in which a peer notices that the log is back.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// A read that fails later than this after its wait timed out; earlier, its connection broke.
const BREAK_MAX: Duration = Duration::from_millis(500);
/// Timeout of an append as a multiple of the time that the last one took.
const APPEND_TIMEOUT_FACTOR: u32 = 8;
/// Shortest such timeout; an append takes some 10 ms, round trip included.
const APPEND_TIMEOUT_MIN: Duration = Duration::from_millis(150);
/// Interval of probes of a lost log: a fraction of the second in which an unanswered call times out, so
/// that the host soon leaves the relay after a short outage.
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

/// Result of an append that a host made for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum AppendReply {
    /// The log took it at this offset.
    Taken(u64),
    /// The log certainly did not take it.
    NotTaken(Name),
    /// The log may have taken it.
    Unknown(Name),
}

impl Call for AppendCall {
    type Reply = AppendReply;
    const PATH: &'static str = "/peer/log/append";
}

/// The log, reached through peers while this host cannot reach it directly.
///
/// After a failed read or an append that timed out, only peers are asked: an unanswered call takes a
/// second, and by then a caller has gone to another host. The task `relay-probe` finds out when the log
/// can be reached again.
///
/// A peer reads the log anew for each call, so that a page is as fresh as one from the log itself. An
/// append goes through a peer only if the log certainly did not take it before; if the peer's answer is
/// lost, the outcome is unknown.
#[derive(Debug, Clone)]
pub struct RelayLog {
    log: SharedLog,
    host: Arc<OnceLock<Arc<Host>>>,
    state: Arc<Mutex<State>>,
}

/// Whether the log can be reached, and which peers are asked while it cannot.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// Whether the last call to the log failed.
    is_lost: bool,
    /// Index of the candidate that is asked first.
    first: usize,
    /// No peer is asked before this time.
    resume: Time,
    /// Last pause between two rounds of asking peers; zero after a success.
    pause: Duration,
    /// Duration of the last append that the log took directly.
    spent: Duration,
}

impl RelayLog {
    /// Uses `log`, and the peers of `host` once that is set.
    pub fn new(log: SharedLog, host: Arc<OnceLock<Arc<Host>>>) -> Self {
        Self {
            log,
            host,
            state: Arc::default(),
        }
    }

    fn state(&self) -> State {
        *self.state.lock().expect("relay state")
    }

    fn read_direct(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        let result = self.log.read(stream, from, wait);
        self.note(stream, result.as_ref().err());
        result
    }

    /// Updates whether the log is lost from the result of a direct call.
    fn note(&self, stream: &str, error: Option<impl fmt::Debug>) {
        let mut state = self.state.lock().expect("relay state");
        let was_lost = std::mem::replace(&mut state.is_lost, error.is_some());
        match error {
            Some(error) if !was_lost => tracing::info!(stream, ?error, "log_lost"),
            None if was_lost => tracing::info!(stream, "log_back"),
            _ => {}
        }
    }

    /// Time after which an unanswered append is better made by another host.
    pub fn append_timeout(&self) -> Duration {
        (self.state().spent * APPEND_TIMEOUT_FACTOR).max(APPEND_TIMEOUT_MIN)
    }

    /// Whether the last call to the log failed.
    pub fn is_lost(&self) -> bool {
        self.state().is_lost
    }

    /// Checks that this host can reach the log for a peer.
    ///
    /// # Errors
    /// `NotReady` if this host has lost the log too.
    pub fn check(&self) -> Res<()> {
        match self.is_lost() {
            true => Err(Fail::new(Kind::NotReady, LOST)),
            false => Ok(()),
        }
    }

    /// Whether this host certainly cannot append: it has lost the log, and no neighbour answers probes.
    pub fn is_cut_off(&self, host: &Host) -> bool {
        if !self.is_lost() {
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
                self.state.lock().expect("relay state").spent = spent;
                host.meters.append(spent);
            }
            Err(error) => {
                tracing::info!(stream, ?error, ?spent, "append_failed");
                // A log that refuses or closes a connection at once is reachable.
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
        let timeout = wait + PEER_TIMEOUT;
        let ask = |peer: &Peer| host.call(peer.addr, &call, timeout).ok();
        self.ask_paced(host, |_| true, ask)
    }

    /// Like [`RelayLog::try_eligible`], with a pause after each round in which no peer had the log.
    fn ask_paced<T>(
        &self,
        host: &Host,
        is_eligible: impl Fn(&Peer) -> bool,
        ask: impl Fn(&Peer) -> Option<T>,
    ) -> Option<T> {
        if host.now() < self.state().resume {
            return None;
        }
        let answer = self.try_eligible(host, is_eligible, ask)?;
        let mut state = self.state.lock().expect("relay state");
        state.pause = match &answer {
            Some(_) => Duration::ZERO,
            None => (state.pause * 2).clamp(BACKOFF_MIN, BACKOFF_MAX),
        };
        state.resume = host.now() + state.pause;
        answer
    }

    /// The first answer that `ask` gets from a peer. Begins with the peer that answered last, or with the
    /// one after those that were last tried without success; skips peers that do not answer probes.
    pub fn try_peers<T>(&self, host: &Host, ask: impl Fn(&Peer) -> Option<T>) -> Option<T> {
        self.try_eligible(host, |_| true, ask).flatten()
    }

    /// Like [`RelayLog::try_peers`] among the peers for which `is_eligible` holds; the others count as no tries. `None`
    /// if there are only others: nothing was asked then, and later calls begin with the same peer.
    pub fn try_eligible<T>(
        &self,
        host: &Host,
        is_eligible: impl Fn(&Peer) -> bool,
        ask: impl Fn(&Peer) -> Option<T>,
    ) -> Option<Option<T>> {
        let first = self.state().first;
        let mut peers = host.members.owners(&host.me.name, CANDIDATES + 1);
        peers.retain(|p| p.name != host.me.name);
        let count = peers.len().max(1);
        peers.rotate_left(first % count);
        let eligible = peers.iter().enumerate().filter(|(_, p)| is_eligible(p));
        let eligible: Vec<(usize, &Peer)> = eligible.take(TRIES).collect();
        if eligible.is_empty() && !peers.is_empty() {
            return None;
        }
        for (n, peer) in &eligible {
            if host.members.is_down(&peer.name) {
                continue;
            }
            host.members.watch(peer, host.now());
            if let Some(answer) = ask(peer) {
                self.state.lock().expect("relay state").first = (first + n) % count;
                return Some(Some(answer));
            }
        }
        host.meters.relay_failed();
        let passed = eligible.get(TRIES - 1).map_or(TRIES, |(n, _)| n + 1);
        self.state.lock().expect("relay state").first = (first + passed) % count;
        Some(None)
    }

    /// Appends through the first peer that can; `None` if none can be reached. Goes on to the next peer if
    /// the log certainly did not take the record.
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
        let regions = host.batch.regions_of_frame(host, stream, bytes);
        let zones = &host.settings.zones;
        let refused = RefCell::new(None);
        let is_eligible = |peer: &Peer| {
            let is_within = |r: &Arc<[Name]>| zones.may_pass(&peer.domain, &host.me.domain, r);
            regions.as_ref().is_none_or(is_within)
        };
        let result = self.ask_paced(host, is_eligible, |peer| {
            match host.call(peer.addr, &call, PEER_TIMEOUT) {
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

/// The few peers that this host asks periodically, spread over failure domains; other ones for each
/// host.
pub fn neighbours(host: &Host) -> Vec<Peer> {
    let mut peers = host.members.owners(&host.me.name, NEIGHBOURS + 1);
    peers.retain(|p| p.name != host.me.name);
    peers.truncate(NEIGHBOURS);
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
            // A broken connection does not mean that the log is lost; a timeout does.
            if page.is_err() && host.now().saturating_sub(began) < wait + BREAK_MAX {
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

/// Probes a lost log with a read that does not wait.
fn probe(host: &Arc<Host>) {
    if host.relay.is_lost() {
        let stream = host.config.stream();
        // `read_direct` notes the result.
        let _ = host
            .relay
            .read_direct(stream, host.config.progress().next, Duration::ZERO);
    }
}

/// Appends for a peer, only ever directly: relaying through a second peer gains nothing. A host that has
/// lost the log says so at once, so that the peer asks the next one.
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
        host.log
            .read(&call.stream, call.from, call.wait.min(PEER_TIMEOUT))
    })
}
