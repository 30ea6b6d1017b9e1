//! Software versions at which streams began, folded from the log.

use crate::{
    fold::{Fold, Pos},
    store::ORIGINS_STREAM,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Most streams that are kept; beyond it the older half is dropped.
const STREAMS_MAX: usize = 16_384;

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// Id of the request that it answers.
    pub id: Name,
    /// Service of its server.
    pub service: Name,
    /// Software version of its server.
    pub version: Name,
    /// Log position of the record.
    pub at: Pos,
}

/// When a host last saw several versions of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Mix {
    service: Name,
    /// Milliseconds since 1970.
    unix_ms: u64,
}

/// The recorded streams at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origins {
    /// Sorted by id.
    streams: Vec<Recorded>,
    /// Sorted by service.
    mixes: Vec<Mix>,
}

/// A record of the stream `origins`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request that is about to be sent; empty if a host only saw several versions.
    pub id: Name,
    /// Service of the server.
    pub service: Name,
    /// Software version of the server; empty without a request.
    pub version: Name,
    /// Whether the host sees several versions of the service; one that just started may see only the last.
    pub is_mixed: bool,
    /// Time of the host, in milliseconds since 1970.
    pub unix_ms: u64,
}

impl Origins {
    /// Where the stream `id` began.
    pub fn stream(&self, id: &str) -> Option<&Recorded> {
        let at = self.streams.binary_search_by(|s| (*s.id).cmp(id)).ok()?;
        Some(&self.streams[at])
    }

    /// When a host last saw several versions of `service`, in milliseconds since 1970.
    pub fn last_mixed(&self, service: &str) -> Option<u64> {
        let found = self
            .mixes
            .binary_search_by(|l| (*l.service).cmp(service))
            .ok()?;
        Some(self.mixes[found].unix_ms)
    }

    fn note_mixed(&mut self, rec: &Record) {
        match self.mixes.binary_search_by(|l| l.service.cmp(&rec.service)) {
            Ok(at) => {
                let mix = &mut self.mixes[at];
                mix.unix_ms = mix.unix_ms.max(rec.unix_ms);
            }
            Err(at) => {
                let mix = Mix {
                    service: rec.service.clone(),
                    unix_ms: rec.unix_ms,
                };
                self.mixes.insert(at, mix);
            }
        }
    }

    fn drop_older_half(&mut self) {
        let mut ages: Vec<Pos> = self.streams.iter().map(|s| s.at).collect();
        ages.sort_unstable();
        let middle = ages[ages.len() / 2];
        self.streams.retain(|s| s.at >= middle);
    }
}

impl Fold for Origins {
    type Record = Record;
    const STREAM: &'static str = ORIGINS_STREAM;
    const READ_WAIT: Duration = Duration::from_secs(2);
    // A caller that resumes a stream has the log read at once.
    const READ_PAUSE: Duration = Duration::from_millis(500);

    fn apply(&mut self, at: Pos, rec: &Record) {
        if rec.is_mixed {
            self.note_mixed(rec);
        }
        if rec.id.is_empty() {
            return;
        }
        let stream = Recorded {
            id: rec.id.clone(),
            service: rec.service.clone(),
            version: rec.version.clone(),
            at,
        };
        match self.streams.binary_search_by(|s| s.id.cmp(&rec.id)) {
            Ok(i) => self.streams[i] = stream,
            Err(i) => self.streams.insert(i, stream),
        }
        if self.streams.len() > STREAMS_MAX {
            self.drop_older_half();
        }
    }
}
