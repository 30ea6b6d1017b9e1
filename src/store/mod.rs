//! The platform's durable store: traits for the log and the host list, with HTTP clients.

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
    /// Encoded content.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Stream with the software versions at which streams began.
pub const ORIGINS_STREAM: &str = "origins";

/// Whether only the records of the last minute of `stream` are needed, so that a log may drop others.
pub fn is_brief(stream: &str) -> bool {
    stream == ORIGINS_STREAM
}

/// A range of consecutive records of a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Oldest offset retained by the log.
    pub first: u64,
    /// Offset of the next append; `UNKNOWN_HEAD` if it is not known.
    pub head: u64,
    /// Records in order, from the requested offset or `first`, whichever is higher.
    pub entries: Vec<Entry>,
}

impl Page {
    /// Value of `head` in a page that does not tell the stream's head.
    pub const UNKNOWN_HEAD: u64 = u64::MAX;

    /// Whether the page tells the stream's head.
    pub fn is_head_known(&self) -> bool {
        self.head != Self::UNKNOWN_HEAD
    }
}

/// Why an append returned no offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendError {
    /// The record is certainly not in the log.
    NotTaken(String),
    /// The record may be in the log.
    Unknown(String),
}

/// The append-only log.
pub trait Log: Send + Sync + 'static {
    /// Appends `bytes` to `stream` and returns the record's offset.
    ///
    /// # Errors
    /// The record was not appended, or it is unknown whether it was.
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError>;

    /// Reads records from offset `from`; waits up to `wait` if there are none yet.
    ///
    /// # Errors
    /// The log cannot be read.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page>;
}

/// A cloneable handle to the log that the host was started with.
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

/// Status of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostStatus {
    /// The host accepts work.
    Live,
    /// The host is stopping and accepts no new work.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name, address and failure domain of the host.
    pub peer: Peer,
    /// Status that the host last announced.
    #[serde(rename = "standing")]
    pub status: HostStatus,
    /// Number of the last announcement, increasing across all hosts; zero if the list has none.
    #[serde(default)]
    pub announced: u64,
}

/// The platform's list of hosts, which may be out of date.
pub trait Hosts: Send + Sync + 'static {
    /// Announces this host as running; must be repeated every second.
    ///
    /// # Errors
    /// The list cannot be reached.
    fn announce(&self, listed: &Listed) -> Res<()>;

    /// Returns all hosts in the list.
    ///
    /// # Errors
    /// The list cannot be reached.
    fn list(&self) -> Res<Vec<Listed>>;
}

/// A cloneable handle to the host list that the host was started with.
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
