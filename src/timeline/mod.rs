//! The timeline: recent events of a host, kept in a ring buffer and merged over all hosts on request.
//!
//! Events carry a logical time (Lamport, "Time, clocks, and the ordering of events in a distributed
//! system", 1978). Each call between hosts carries the sender's time, so that in the order of logical
//! times a cause comes before its effect, whatever the wall clocks say.

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

/// Kind of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Happening {
    /// The host started.
    Started,
    /// A planned stop began.
    Stopping,
    /// A planned stop ended.
    Stopped,
    /// A request arrived.
    Received,
    /// A request was refused.
    Refused,
    /// A slot of a backend server was granted.
    Granted,
    /// An attempt was sent to a backend server.
    Sent,
    /// The first token of an answer arrived.
    FirstToken,
    /// A request was sent again, to another server or from a position in the answer.
    Retried,
    /// An answer's stream was continued from a position.
    Resumed,
    /// Batch work was preempted.
    Preempted,
    /// A request ended with a complete answer.
    Finished,
    /// Work ended without its result.
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
    /// Completions of a job were committed to the log.
    Committed,
    /// A configuration change was accepted.
    ConfigAccepted,
    /// A configuration change was rejected.
    ConfigRejected,
    /// An API key was withdrawn.
    KeyWithdrawn,
    /// A server's health changed, and it is no longer fully available.
    SetAside,
    /// A server's health changed, and it is fully available again.
    TakenBack,
    /// A server announced that it is leaving.
    ServerLeaves,
    /// A host in charge of a prompt segment took a report on it.
    SegmentSuspected,
    /// A prompt segment was put in quarantine.
    SegmentQuarantined,
    /// A request with a segment in quarantine was sent as a probe.
    SegmentProbed,
    /// The quarantine of a prompt segment ended.
    SegmentReleased,
    /// A load or unload order was sent to a server.
    Ordered,
    /// A snapshot was written.
    SnapshotWritten,
    /// State was loaded from a snapshot or a peer.
    StateLoaded,
    /// A share of a workspace's rate moved to this host.
    ShareMoved,
    /// The log failed, or works again.
    LogState,
    /// A server stated another limit on the requests that it takes, or none any more.
    LimitStated,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Logical time; unique on its host and increasing.
    pub seq: u64,
    /// Host on which it happened.
    pub host: Name,
    /// Kind of the event.
    pub what: Happening,
    /// Id of what it concerns, such as a request, an item, a job or a change.
    pub id: Name,
    /// Position in the log, epoch or fencing token, if it has one.
    pub at: Option<u64>,
    /// Details; never contains a key or a prompt.
    pub note: Name,
}

/// Recent events of a host and its logical clock.
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
    /// A timeline of `host` that keeps the last `limit` events and counts each in `metrics` and `meters`.
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
        let mut ring = self.ring.lock().expect("timeline");
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

    /// Advances the logical clock; returns the time for an event or a message to another host.
    pub fn stamp(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Advances the logical clock to at least `stamp`, received from another host.
    pub fn observe(&self, stamp: u64) {
        self.clock.fetch_max(stamp, Ordering::Relaxed);
    }

    /// The last `most` events whose id or host begins with `id`, in the order recorded.
    pub fn select(&self, id: &str, most: usize) -> Vec<Event> {
        let ring = self.ring.lock().expect("timeline");
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

/// Sorts the events of several hosts by logical time and removes duplicates; a cause comes before its
/// effect.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.seq, &a.host).cmp(&(b.seq, &b.host)));
    events.dedup();
    events
}
