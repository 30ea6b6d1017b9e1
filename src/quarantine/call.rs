//! Messages between hosts about segments.

use crate::{kernel::Call, wire::Name};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Reports what a host saw of segments to a host that is in charge of them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Report {
    /// Reporting host.
    pub host: Name,
    /// Servers that ended under requests with a segment.
    pub losses: Vec<ReportedLoss>,
    /// Segments that the host reported before and that were answered since.
    pub answered: Vec<Name>,
}

/// The end of a server under a request with a segment. Times are ages, because hosts have no common clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ReportedLoss {
    /// Id of the segment.
    pub segment: Name,
    /// Backend server.
    pub server: Name,
    /// Its start number.
    pub start: u64,
    /// Time since the request was sent to the server.
    pub sent: Duration,
    /// Time since the server ended.
    pub lost: Duration,
}

impl Call for Report {
    type Reply = ();
    const PATH: &'static str = "/peer/segment/report";
}

/// Has a host refuse segments for some time, while the log cannot record their quarantine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HoldCall {
    /// Ids of the segments.
    pub segments: Vec<Name>,
}

impl Call for HoldCall {
    type Reply = ();
    const PATH: &'static str = "/peer/segment/hold";
}
