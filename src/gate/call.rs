//! Messages between the host that wants slots and the host that grants them.

use super::queue::{Counts, SlotRequest, Verdict};
use crate::{
    kernel::Call,
    share::Tag,
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Asks the gate of a server for a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acquire {
    /// Backend server.
    pub server: Name,
    /// Who asks, and for what.
    pub request: SlotRequest,
    /// Batch work: what the workspace was served by the fleet, as far as the host knows.
    pub served: Tag,
    /// How long the answer may wait for a free slot; zero keeps no place in the queue.
    pub wait: Duration,
    /// Whether to grant even if the host asked sees another in charge, because that one cannot be
    /// reached.
    pub force: bool,
}

/// Answer to [`Acquire`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The gate's verdict, and the counts after it.
    Answered {
        /// Verdict.
        verdict: Verdict,
        /// Counts of the server.
        counts: Counts,
        /// Virtual time of batch work at the server.
        virtual_time: Tag,
    },
    /// Another host is in charge of the server.
    Moved(Peer),
    /// The server takes no new work.
    Closed,
}

impl Call for Acquire {
    type Reply = Admission;
    const PATH: &'static str = "/peer/gate/acquire";
}

/// Gives slots back, and takes waiting requests out of their queues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// What is given back.
    pub slots: Vec<ReleasedSlot>,
}

/// A slot that is given back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// Backend server.
    pub server: Name,
    /// Id of the attempt.
    pub id: Name,
    /// Tokens that the attempt used.
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
    /// The slots.
    pub slots: Vec<HeldSlot>,
}

/// A slot that is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Backend server.
    pub server: Name,
    /// What the slot was granted for.
    pub request: SlotRequest,
}

impl Call for Renew {
    type Reply = CountsReply;
    const PATH: &'static str = "/peer/gate/renew";
}

/// Has the holder of a slot end its attempt at the server, because the work has to give way.
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

/// Tells the host in charge of a server that the server said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaves {
    /// Backend server.
    pub server: Name,
    /// Its start that leaves.
    pub start: u64,
}

impl Call for Leaves {
    type Reply = ();
    const PATH: &'static str = "/peer/gate/leaves";
}
