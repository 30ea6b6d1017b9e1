//! The durable store: the log and the host list, as small traits and over HTTP.

mod http;

pub use http::{HttpHosts, HttpLog};

use crate::{error::Res, wire::Peer};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Offset in the stream, counted from zero.
    pub offset: u64,
    /// Content.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// A run of records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset that is still kept.
    pub first: u64,
    /// Offset that the next append gets; `UNKNOWN_HEAD` if that is not known.
    pub head: u64,
    /// Records in order, from the offset asked for or from `first`, whichever is higher.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Head of a page that does not tell how far the stream goes.
    pub const UNKNOWN_HEAD: u64 = u64::MAX;

    /// Whether the page tells how far the stream goes.
    pub fn is_known(&self) -> bool {
        self.head != Self::UNKNOWN_HEAD
    }
}

/// Why an append gave no offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The log did not take the record, and that is certain.
    NotTaken(String),
    /// The log may have taken the record.
    Unknown(String),
}

/// The append-only log.
pub trait Log: Send + Sync + 'static {
    /// Appends `bytes` to `stream` and returns the record's offset.
    ///
    /// # Errors
    /// The record was not taken, or whether it was is not known.
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError>;

    /// Reads from offset `from`; waits up to `wait` while there is nothing to read.
    ///
    /// # Errors
    /// The log cannot be read.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page>;
}

/// The log of the store that the host was started with.
#[derive(Clone)]
pub struct SharedLog(pub Arc<dyn Log>);

impl fmt::Debug for SharedLog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedLog")
    }
}

impl Log for SharedLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        self.0.append(stream, bytes)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        self.0.read(stream, from, wait)
    }
}

/// What the host list says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// It serves.
    Live,
    /// It is about to stop and takes no new work.
    Leaving,
}

/// A host on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The host.
    pub peer: Peer,
    /// What it says of itself.
    pub status: HostStatus,
    /// Number of its last announcement, which rises over all hosts; zero where the list tells none.
    #[serde(default)]
    pub announced: u64,
}

/// The platform's list of hosts. It lags.
pub trait Hosts: Send + Sync + 'static {
    /// Says that this host lives; to be repeated each second.
    ///
    /// # Errors
    /// The list cannot be reached.
    fn announce(&self, listed: &Listed) -> Res<()>;

    /// All hosts that the list shows.
    ///
    /// # Errors
    /// The list cannot be reached.
    fn list(&self) -> Res<Vec<Listed>>;
}

/// The host list of the store that the host was started with.
#[derive(Clone)]
pub struct SharedHosts(pub Arc<dyn Hosts>);

impl fmt::Debug for SharedHosts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedHosts")
    }
}

impl Hosts for SharedHosts {
    fn announce(&self, listed: &Listed) -> Res<()> {
        self.0.announce(listed)
    }

    fn list(&self) -> Res<Vec<Listed>> {
        self.0.list()
    }
}
