//! The segments in quarantine, folded from the log.

use super::is_request;
use crate::{
    fold::{Fold, Pos},
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most segments in quarantine; a further one replaces the one that was convicted or probed first, a
/// whole request before a segment that many requests may share.
const ENTRIES_MAX: usize = 256;

/// A segment in quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the segment.
    pub segment: Name,
    /// Log position of the conviction.
    pub since: Pos,
    /// Log position of the last probe, or of the conviction before the first one.
    pub last: Pos,
    /// Number of probes.
    pub probes: u32,
    /// Host that last won the right to probe it, or that convicted it.
    pub host: Name,
    /// Backend servers that ended under requests with the segment.
    pub servers: Vec<Name>,
}

/// The quarantine at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Entries, sorted by segment.
    pub entries: Vec<Entry>,
}

/// A record of the `quarantine` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Puts a segment in quarantine; ignored if it is.
    Impose {
        /// Id of the segment.
        segment: Name,
        /// Host that convicted it.
        host: Name,
        /// Backend servers that ended under requests with the segment.
        servers: Vec<Name>,
    },
    /// A host is about to send one request with the segment; ignored unless `number` probes were made
    /// before.
    Probe {
        /// Id of the segment.
        segment: Name,
        /// Position of the conviction.
        since: Pos,
        /// Number of earlier probes.
        number: u32,
        /// Probing host.
        host: Name,
    },
    /// Ends the quarantine of a segment with which a request was answered.
    Lift {
        /// Id of the segment.
        segment: Name,
        /// Position of the conviction.
        since: Pos,
        /// Host that has the answer.
        host: Name,
    },
}

impl Quarantine {
    /// The entry of `segment`.
    pub fn entry(&self, segment: &str) -> Option<&Entry> {
        self.find(segment).ok().map(|i| &self.entries[i])
    }

    fn find(&self, segment: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| (*e.segment).cmp(segment))
    }

    fn convicted(&mut self, segment: &str, since: Pos) -> Option<usize> {
        let at = self.find(segment).ok()?;
        (self.entries[at].since == since).then_some(at)
    }

    fn impose(&mut self, entry: Entry) {
        if self.find(&entry.segment).is_ok() {
            return;
        }
        if self.entries.len() >= ENTRIES_MAX
            && let Some(at) = self.least_needed()
        {
            self.entries.remove(at);
        }
        let at = self.entries.partition_point(|e| e.segment < entry.segment);
        self.entries.insert(at, entry);
    }

    fn least_needed(&self) -> Option<usize> {
        let all = self.entries.iter().enumerate();
        all.min_by_key(|(_, e)| (!is_request(&e.segment), e.last))
            .map(|(at, _)| at)
    }
}

impl Fold for Quarantine {
    type Record = Record;
    const STREAM: &'static str = "quarantine";
    // Records are rare; a waiting read gets them at once.
    const READ_WAIT: Duration = Duration::from_secs(1);

    fn apply(&mut self, at: Pos, rec: &Record) {
        match rec {
            Record::Impose {
                segment,
                host,
                servers,
            } => self.impose(Entry {
                segment: segment.clone(),
                since: at,
                last: at,
                probes: 0,
                host: host.clone(),
                servers: servers.clone(),
            }),
            Record::Probe {
                segment,
                since,
                number,
                host,
            } => {
                let found = self.convicted(segment, *since);
                let entry = found.map(|i| &mut self.entries[i]);
                if let Some(entry) = entry.filter(|e| e.probes == *number) {
                    entry.probes += 1;
                    entry.last = at;
                    entry.host = host.clone();
                }
            }
            Record::Lift { segment, since, .. } => {
                if let Some(i) = self.convicted(segment, *since) {
                    self.entries.remove(i);
                }
            }
        }
    }
}
