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

/// Versions of a service that hosts saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Service {
    name: Name,
    /// The last one that was the only one for long; empty for none.
    sole: Name,
    /// When a host last saw several, in milliseconds since 1970; zero for never.
    mixed_ms: u64,
}

/// The recorded streams at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origins {
    /// Sorted by id.
    streams: Vec<Recorded>,
    /// Sorted by name.
    services: Vec<Service>,
}

/// A record of the stream `origins`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request that the stream answers; empty for a mark, which tells only of the versions of a
    /// service.
    pub id: Name,
    /// Service of the server.
    pub service: Name,
    /// Software version of the server; that of all servers in a mark without `is_mixed`.
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
        let at = self.find(service).ok()?;
        Some(self.services[at].mixed_ms).filter(|ms| *ms > 0)
    }

    /// The version of `service` that was last the only one for long.
    pub fn last_sole(&self, service: &str) -> Option<&Name> {
        let at = self.find(service).ok()?;
        Some(&self.services[at].sole).filter(|v| !v.is_empty())
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.services.binary_search_by(|s| (*s.name).cmp(service))
    }

    fn note_service(&mut self, rec: &Record) {
        let at = match self.find(&rec.service) {
            Ok(at) => at,
            Err(at) => {
                let service = Service {
                    name: rec.service.clone(),
                    ..Service::default()
                };
                self.services.insert(at, service);
                at
            }
        };
        let service = &mut self.services[at];
        if rec.is_mixed {
            service.mixed_ms = service.mixed_ms.max(rec.unix_ms);
        } else if rec.id.is_empty() {
            service.sole = rec.version.clone();
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
        self.note_service(rec);
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
            // A stream begins once.
            Ok(_) => {}
            Err(i) => self.streams.insert(i, stream),
        }
        if self.streams.len() > STREAMS_MAX {
            self.drop_older_half();
        }
    }
}
