//! Quarantine of prompt segments and requests that crash backend servers ("queries of death").
//!
//! A host that loses a server before the first event of an answer reports the request's segments to
//! the hosts in charge of each segment, which put the reports of the fleet together. A segment that
//! they convict is recorded in the log, so that every host refuses requests with it. A probe, one for
//! the whole fleet at a time, finds out when the segment no longer crashes servers.
//!
//! The whole of a caller's request counts as one more segment of it: [`request_id`] names all requests
//! with the same workspace, path and body.
//! docs/QUARANTINE.md weighs the ways and gives the reasons.

mod admit;
mod board;
mod call;
mod evidence;
mod fold;
mod report;
mod request;
mod task;
mod witness;

pub use admit::{Admission, Permit};
pub use board::{Board, Changes, PROBE_AFTER, PROBE_AFTER_MAX, REQUEST_PROBES_MAX, Seen};
pub use evidence::{Evidence, Loss, Verdict};
pub use fold::{Entry, Quarantine, Record};
pub use report::LostAttempt;
pub use request::{is_request, request_id};
pub use witness::Witness;

use report::Outbox;
use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicBool, AtomicUsize},
};

/// Most segments of one lost attempt that are reported.
pub const SEGMENTS_MAX: usize = 32;

/// What one host knows of segments, besides the folded log.
#[derive(Debug, Default)]
pub struct Segments {
    /// What this host saw itself.
    witness: Mutex<Witness>,
    /// Reports of all hosts on the segments that this host is in charge of.
    evidence: Mutex<Evidence>,
    /// The quarantine as this host knows it.
    board: Mutex<Board>,
    /// Checks of lost servers that are under way.
    checks: AtomicUsize,
    /// What is still to be reported.
    outbox: Mutex<Outbox>,
    /// Whether a thread is sending reports.
    is_sending: AtomicBool,
    /// Whether a thread is recording convictions.
    is_convicting: AtomicBool,
}

impl Segments {
    fn witness(&self) -> MutexGuard<'_, Witness> {
        self.witness.lock().expect("witness")
    }

    fn evidence(&self) -> MutexGuard<'_, Evidence> {
        self.evidence.lock().expect("evidence")
    }

    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().expect("outbox")
    }

    fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().expect("board")
    }
}

/// Placement key of the hosts in charge of a segment.
fn segment_key(segment: &str) -> String {
    format!("segment/{segment}")
}
