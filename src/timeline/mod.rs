//! Events of one host, kept in a bounded ring for the time line over all hosts.
//!
//! Events carry a logical clock (Lamport, "Time, clocks, and the ordering of events in a
//! distributed system", 1978): each call between hosts carries the sender's stamp, so that sorting
//! by stamp puts a cause before its effect whatever the wall clocks say.

use crate::{metrics::Meters, wire::Name};
use cadence::{Counted, StatsdClient};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Happening {
    /// The daemon started.
    Started,
    /// A planned stop began.
    Stopping,
    /// The daemon ended.
    Stopped,
    /// A request came in.
    Received,
    /// A request was refused.
    Refused,
    /// A slot of a backend server was granted.
    Granted,
    /// Work was sent to a backend server.
    Sent,
    /// The first token came.
    FirstToken,
    /// Work was sent again, to another server or from a position.
    Retried,
    /// A stream was continued from a position.
    Resumed,
    /// Batch work gave way.
    Preempted,
    /// The answer was whole.
    Finished,
    /// The work ended without its answer.
    Failed,
    /// A job was accepted.
    JobAccepted,
    /// A job was cancelled.
    JobCancelled,
    /// A job is complete.
    JobDone,
    /// A part of a job was claimed.
    Claimed,
    /// A part of a job was handed over.
    HandedOver,
    /// Completions were committed.
    Committed,
    /// A configuration change was accepted.
    ConfigAccepted,
    /// A configuration change was rejected.
    ConfigRejected,
    /// A key was withdrawn.
    KeyWithdrawn,
    /// A server was set aside.
    SetAside,
    /// A server was taken back.
    TakenBack,
    /// A server said that it leaves.
    ServerLeaves,
    /// An order was sent to a server.
    Ordered,
    /// A snapshot was written.
    SnapshotWritten,
    /// State was read from a snapshot or a peer.
    StateLoaded,
    /// A share of a workspace's rate moved to this host.
    ShareMoved,
    /// The log failed, or works again.
    LogState,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Logical time; unique on the host and rising.
    pub seq: u64,
    /// Host.
    pub host: Name,
    /// What happened.
    pub what: Happening,
    /// Request, item, job or change that it happened to.
    pub id: Name,
    /// Position in the log, if the event stands for one.
    pub at: Option<u64>,
    /// Further detail; never a key or a prompt.
    pub note: Name,
}

/// The events of a host.
#[derive(Debug)]
pub struct Timeline {
    host: Name,
    limit: usize,
    clock: AtomicU64,
    ring: Mutex<VecDeque<Event>>,
    metrics: Arc<StatsdClient>,
    meters: Arc<Meters>,
}

impl Timeline {
    /// A time line of `host` that keeps the last `limit` events and counts each in `metrics` and
    /// `meters`.
    pub fn new(host: Name, limit: usize, metrics: Arc<StatsdClient>, meters: Arc<Meters>) -> Self {
        Self {
            host,
            limit,
            clock: AtomicU64::new(0),
            ring: Mutex::default(),
            metrics,
            meters,
        }
    }

    /// Records an event, logs it and counts it as `events.KIND`.
    pub fn note(&self, what: Happening, id: &str, at: Option<u64>, note: &str) {
        let mut ring = self.ring.lock().expect("time line");
        let seq = self.stamp();
        let event = Event {
            seq,
            host: self.host.clone(),
            what,
            id: id.into(),
            at,
            note: note.into(),
        };
        if ring.len() >= self.limit {
            ring.pop_front();
        }
        ring.push_back(event);
        drop(ring);
        let kind = format!("{what:?}");
        let _ = self.metrics.count(&format!("events.{kind}"), 1);
        self.meters.event(kind);
        tracing::info!(event = ?what, host = %self.host, seq, id, at, note);
    }

    /// The stamp for a message to another host.
    pub fn stamp(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes account of a stamp from another host.
    pub fn observe(&self, stamp: u64) {
        self.clock.fetch_max(stamp, Ordering::Relaxed);
    }

    /// Events whose id begins with `id`, all if it is empty or begins the host's name; the last
    /// `most` of them.
    pub fn select(&self, id: &str, most: usize) -> Vec<Event> {
        let ring = self.ring.lock().expect("time line");
        let mut found: Vec<Event> = ring
            .iter()
            .rev()
            .filter(|e| e.id.starts_with(id) || e.host.starts_with(id))
            .take(most)
            .cloned()
            .collect();
        found.reverse();
        found
    }
}

/// Merges the events of several hosts; a cause comes before its effect.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.seq, &a.host).cmp(&(b.seq, &b.host)));
    events.dedup();
    events
}
