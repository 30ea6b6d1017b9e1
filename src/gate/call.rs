//! Messages between the host that holds slots and the host that grants them.

use super::slot::{Counts, SlotRequest, Verdict};
use crate::{
    kernel::Call,
    share::Tag,
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Requests a slot from the gate of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Backend server.
    pub server: Name,
    /// The attempt that needs the slot.
    #[serde(rename = "ask")]
    pub request: SlotRequest,
    /// For batch work, the fair-share tag of the workspace as known to the sender; zero for online.
    pub served: Tag,
    /// How long the answer may wait for a free slot; with zero, the request is not queued.
    pub wait: Duration,
    /// Whether to answer even if the receiver sees the gate on another host, because that host
    /// cannot be reached.
    pub force: bool,
}

/// Answer to [`Acquire`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The gate decided; the counts include its decision.
    Answered {
        /// Verdict.
        verdict: Verdict,
        /// Counts of the server.
        counts: Counts,
        /// Virtual time of batch work at the server.
        level: Tag,
    },
    /// The gate of the server runs on this other host.
    Moved(Peer),
    /// The server takes no new work.
    Closed,
}

impl Call for Acquire {
    type Reply = Admission;
    const PATH: &'static str = "/peer/gate/acquire";
}

/// Releases slots, and removes waiting requests from their queues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Slots to release, or requests to remove.
    pub slots: Vec<ReleasedSlot>,
}

/// A slot that is released, or a waiting request that is withdrawn.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// Backend server.
    pub server: Name,
    /// Id of the attempt.
    pub id: Name,
    /// Tokens that the attempt used; zero if it never started.
    pub used: u32,
}

/// Answer to [`Release`] and [`Renew`]: counts of the servers named, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReply {
    /// Counts after the message.
    pub counts: Vec<Counts>,
}

impl Call for Release {
    type Reply = CountsReply;
    const PATH: &'static str = "/peer/gate/release";
}

/// Renews all slots of a host at a gate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// All slots that the sender holds at this gate.
    pub slots: Vec<HeldSlot>,
}

/// A slot whose lease is renewed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Backend server.
    pub server: Name,
    /// The request for which the slot was granted.
    #[serde(rename = "ask")]
    pub request: SlotRequest,
}

impl Call for Renew {
    type Reply = CountsReply;
    const PATH: &'static str = "/peer/gate/renew";
}

/// Has the holder of a slot end its attempt at the server, because the attempt is preempted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Yield {
    /// Id of the attempt.
    pub id: Name,
}

/// Answer to [`Yield`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Yielded {
    /// Whether the attempt was under way.
    pub found: bool,
}

impl Call for Yield {
    type Reply = Yielded;
    const PATH: &'static str = "/peer/gate/yield";
}

/// Tells the gate of a server that the server announced that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLeaving {
    /// Backend server.
    pub server: Name,
    /// Start number of the server process that is leaving.
    pub start: u64,
}

impl Call for ServerLeaving {
    type Reply = ();
    const PATH: &'static str = "/peer/gate/leaves";
}

/// Releases slots that were not used: nothing was sent to their servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseUnsent {
    /// Slots to release, or requests to remove.
    pub slots: Vec<ReleasedSlot>,
}

impl Call for ReleaseUnsent {
    type Reply = CountsReply;
    const PATH: &'static str = "/peer/gate/unsent";
}

/// What a server stated about the requests that it takes from all hosts together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// Backend server.
    pub server: Name,
    /// Start number of the server process.
    pub start: u64,
    /// Requests per second; `None` if it takes any number.
    pub rate: Option<f64>,
    /// Time since its last answer that said so.
    pub age: Duration,
}

/// Tells the gates of servers what the servers stated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// One entry for each server.
    pub limits: Vec<StatedLimit>,
}

impl Call for LimitNotice {
    type Reply = ();
    const PATH: &'static str = "/peer/gate/limits";
}

/// Tells the gates of servers that the servers may have started again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartNotice {
    /// Backend servers.
    pub servers: Vec<Name>,
}

impl Call for StartNotice {
    type Reply = ();
    const PATH: &'static str = "/peer/gate/starts";
}
