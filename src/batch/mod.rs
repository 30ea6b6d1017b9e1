//! Runs batch jobs: accepts them, claims their parts, and dispatches items to backend servers.
//!
//! `accept` appends a job to the log, `ownership` claims parts and commits outcomes, `run` dispatches
//! items. `plan`, `scheduler` and `verdict` make the decisions and do no I/O.
//!
//! A hash of its id assigns a job to one of the log's streams. `readers` decides which streams this
//! host follows, `forward` sends operations to a host that follows the job's stream, and `serve`
//! carries them out there.

mod accept;
mod api;
mod doubt;
mod forward;
mod load;
mod message;
mod ownership;
mod parse;
pub mod passed;
mod plan;
mod quota;
mod readers;
mod results;
mod run;
mod scheduler;
mod serve;
mod stream;
mod verdict;

pub use accept::{job_id, part_size, split_pieces};
pub use forward::{ask, list_all};
pub use load::{Loads, Rank};
pub use message::{
    ItemPage, ItemStatus, JobCall, JobOp, JobRef, JobReply, JobSummary, ListQuery, NewJob,
    OpenPart, Quota,
};
pub use parse::parse_items;
pub use plan::{Planner, Turn, View};
pub use quota::is_far_below;
pub use readers::{PlacementWatch, ReaderState, Step};
pub use scheduler::{Scheduler, Task};
pub use stream::{Slot, Stream, StreamGuard, Streams, stream_name, stream_of};
pub use verdict::{TRIES_MAX, Verdict, judge, judge_passed};

use crate::{
    batch::doubt::Doubts,
    clock::{SystemClock, Time},
    fold::decode_frame,
    job::Record,
    kernel::{Host, RelayLog},
    region::intersect,
    settings::Settings,
    wire::Name,
};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicUsize, Ordering},
};

/// Batch work of one host.
#[derive(Debug)]
pub struct Batch {
    /// The log streams that hold the jobs.
    pub streams: Streams,
    workers: AtomicUsize,
    /// Bytes of uploads under way.
    upload_bytes: AtomicUsize,
    /// Uploads under way with the workspaces of their jobs.
    uploads: Mutex<Vec<(Name, Name)>>,
    /// Jobs that may still be accepted although their submission has failed.
    doubts: Doubts,
}

impl Batch {
    /// Batch work with the streams of `settings`, none of them followed yet.
    pub fn new(log: &RelayLog, clock: &SystemClock, settings: &Settings) -> Self {
        Self {
            streams: Streams::new(log, clock, settings),
            workers: AtomicUsize::new(0),
            upload_bytes: AtomicUsize::new(0),
            uploads: Mutex::default(),
            doubts: Doubts::default(),
        }
    }

    /// Follows the stream if there is only one; `readers` follows several later.
    pub fn start(&self, host: &Arc<Host>) {
        if let [slot] = self.streams.slots() {
            ownership::follow(host, slot);
        }
    }

    /// The regions to whose hosts the log record `bytes` of `stream` may be passed; `None` for all hosts. Pieces of
    /// uploads that are over may only stay in this host's region.
    pub fn regions_of_frame(&self, host: &Host, stream: &str, bytes: &[u8]) -> Option<Arc<[Name]>> {
        if !host.declared.has_region_limits() || self.streams.slot(stream).is_none() {
            return None;
        }
        let uploads = self.uploads.lock().expect("uploads").clone();
        let records = decode_frame::<Record>(bytes).into_iter();
        let of_record = |(_, record)| match record {
            Record::Piece { upload, asks, .. } => {
                match uploads.iter().find(|(id, _)| *id == upload) {
                    Some((_, workspace)) => host.declared.regions_of_items(host, workspace, &asks),
                    None => Some(Arc::default()),
                }
            }
            _ => None,
        };
        intersect(records.map(of_record))
    }

    /// Number of worker threads, each of which dispatches one item at a time.
    pub fn workers(&self) -> usize {
        self.workers.load(Ordering::Relaxed)
    }
}

/// Longest time between two readings of the folded state.
const SYNC_INTERVAL: Time = Time::from_millis(50);
