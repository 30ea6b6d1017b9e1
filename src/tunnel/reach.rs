//! Whether this host can connect to backend servers.

use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Number of servers that must fail in a row before the path is doubted instead of the servers.
const DOUBT_SERVERS: usize = 2;
/// Time without a connection to any server after which one failure is enough.
const DOUBT_TIME: Duration = Duration::from_millis(500);

/// What a host knows of its own path to the backend servers.
///
/// A host is cut off if it fails to connect to servers that a peer connects to. Without a peer, servers that are down
/// and a path that is cut look the same.
#[derive(Debug, Clone, Default)]
pub struct ServerReach {
    /// Last connection to a server.
    reached: Option<Time>,
    /// Servers that this host has failed to connect to since; sorted.
    failed: Vec<Name>,
    /// Since when this host is cut off.
    cut: Option<Time>,
}

impl ServerReach {
    /// Records a connection to a server. Returns for how long this host was cut off, if it was.
    pub fn note_reached(&mut self, now: Time) -> Option<Duration> {
        self.reached = Some(now);
        self.failed.clear();
        self.cut.take().map(|since| now.saturating_sub(since))
    }

    /// Records that this host failed to connect to `server`.
    pub fn note_failed(&mut self, server: &Name) {
        if let Err(at) = self.failed.binary_search(server) {
            self.failed.insert(at, server.clone());
        }
    }

    /// Records that a peer connected to a server that this host failed to connect to. Returns whether this host counts
    /// as cut off from now on.
    pub fn note_tunnel(&mut self, now: Time) -> bool {
        let is_new = self.cut.is_none() && self.is_doubtful(now);
        if is_new {
            self.cut = Some(now);
        }
        is_new
    }

    /// Whether the failures may be those of the path to all servers.
    pub fn is_doubtful(&self, now: Time) -> bool {
        let is_recent = |at| now.saturating_sub(at) < DOUBT_TIME;
        match self.failed.len() {
            0 => false,
            n => n >= DOUBT_SERVERS || !self.reached.is_some_and(is_recent),
        }
    }

    /// Whether this host is cut off.
    pub fn is_cut(&self) -> bool {
        self.cut.is_some()
    }

    /// Number of servers that this host has failed to connect to since its last connection.
    pub fn failures(&self) -> usize {
        self.failed.len()
    }
}
