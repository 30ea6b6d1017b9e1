//! Decides at which software version a stream goes on that its caller resumes.

use super::Usage;
use crate::wire::Name;

/// What a host knows of a stream that has no record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The versions of its service that are in use.
    pub usage: Usage,
    /// Whether the host has read all records that were in the log when the caller asked.
    pub is_read: bool,
    /// Whether, since then, most of the other hosts that were asked told that they saw no other version.
    pub is_confirmed: bool,
    /// Whether the host reaches neither the log nor other hosts, so that others may know newer versions.
    pub is_cut_off: bool,
    /// Whether the log tells that several versions of the service were lately in use.
    pub was_mixed: bool,
}

/// The version of a stream that has no record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// It can only have begun at this version.
    Version(Name),
    /// It may have begun at several versions; the text says why.
    Unknown(&'static str),
}

/// The version at which a stream without a record began.
///
/// Streams are recorded while several versions are in use, and those that run when a second one comes. One
/// without a record began when there was one version, or could not be recorded.
pub fn decide(evidence: &Evidence) -> Origin {
    let usage = &evidence.usage;
    if evidence.is_cut_off {
        return Origin::Unknown("this host is cut off from the log and the other hosts");
    }
    // A host that is out of step for moments does not know of the latest version.
    let is_current = evidence.is_read || evidence.is_confirmed;
    match usage.sole() {
        Some(sole) if is_current && usage.is_covered && !evidence.was_mixed => {
            Origin::Version(sole.clone())
        }
        _ if !evidence.is_read => Origin::Unknown("the records of streams cannot be read"),
        Some(_) => Origin::Unknown("another software version was in use"),
        None => Origin::Unknown("several software versions are in use"),
    }
}
