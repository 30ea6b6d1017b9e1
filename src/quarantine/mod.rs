//! Quarantine of prompt segments that crash backend servers ("queries of death").
//!
//! A host that loses a server before the first event of an answer reports the request's segments to
//! the hosts in charge of each segment, which put the reports of the fleet together. A segment that
//! they convict is recorded in the log, so that every host refuses requests with it. A probe, one for
//! the whole fleet at a time, finds out when the segment no longer crashes servers.
//! docs/QUARANTINE.md weighs the ways and gives the reasons.

mod admit;
mod call;
mod evidence;
mod fold;
mod report;
mod task;
mod witness;

pub use admit::{Admission, Permit};
pub use evidence::{Evidence, Loss, Verdict};
pub use fold::{Entry, Quarantine, Record};
pub use report::LostAttempt;
pub use witness::Witness;

use crate::{clock::Time, wire::Name};
use report::Outbox;
use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize},
    },
    time::Duration,
};

/// Most segments of one request that are considered.
pub const SEGMENTS_MAX: usize = 32;
/// Time from the conviction of a segment to its first probe; it doubles with each further probe.
pub const PROBE_AFTER: Duration = Duration::from_secs(15);
/// Longest time between two probes of a segment.
pub const PROBE_AFTER_MAX: Duration = Duration::from_secs(3600);

/// What one host knows of segments, besides the folded log.
#[derive(Debug, Default)]
pub struct Segments {
    /// What this host saw itself.
    witness: Mutex<Witness>,
    /// Reports of all hosts on the segments that this host is in charge of.
    evidence: Mutex<Evidence>,
    /// When this host first saw the present state of each quarantine; sorted by segment.
    seen: Mutex<Vec<Seen>>,
    /// Segments that are refused ahead of the log; sorted.
    holds: Mutex<Vec<Hold>>,
    /// Checks of lost servers that are under way.
    checks: AtomicUsize,
    /// What is still to be reported.
    outbox: Mutex<Outbox>,
    /// Whether a thread is sending reports.
    is_sending: AtomicBool,
    /// Whether a thread is recording convictions.
    is_convicting: AtomicBool,
}

/// When a host first saw the present state of a quarantine.
#[derive(Debug, Clone)]
struct Seen {
    entry: Entry,
    at: Time,
    since: Time,
}

/// A segment that is refused ahead of the log.
#[derive(Debug, Clone)]
struct Hold {
    segment: Name,
    until: Time,
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

    fn seen(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().expect("seen quarantines")
    }

    fn holds(&self) -> MutexGuard<'_, Vec<Hold>> {
        self.holds.lock().expect("holds")
    }
}

/// Placement key of the hosts in charge of a segment.
fn segment_key(segment: &str) -> String {
    format!("segment/{segment}")
}

/// Time from a quarantine, or from its last probe, to the next one.
fn probe_interval(probes: u32) -> Duration {
    PROBE_AFTER
        .saturating_mul(2u32.saturating_pow(probes))
        .min(PROBE_AFTER_MAX)
}
