//! Requests for slots of a backend server, and what its queue answers.

use crate::{
    fold::Pos,
    wire::{Class, Name},
};
use serde::{Deserialize, Serialize};

/// A request for a slot on behalf of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Unique id of the attempt.
    pub id: Name,
    /// Host that will hold the slot.
    pub holder: Name,
    /// Workspace that is charged for the tokens.
    pub workspace: Name,
    /// Model that the attempt runs.
    pub model: Name,
    /// Adapter of the model, if any.
    pub adapter: Option<Name>,
    /// Priority class: online preempts batch.
    pub class: Class,
    /// Number of tokens that the attempt is expected to use.
    pub cost: u32,
    /// For batch, the log position at which the job was accepted; lower is older. Zero for online.
    pub since: Pos,
}

impl SlotRequest {
    /// Id of the work that the attempt is for: the id of its first attempt, later ones have a number added.
    pub fn work_id(&self) -> Name {
        match self.id.rsplit_once('.') {
            Some((work, number)) if number.bytes().all(|b| b.is_ascii_digit()) => work.into(),
            _ => self.id.clone(),
        }
    }
}

/// Answer to [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The holder has the slot until it is released or its lease expires.
    Granted,
    /// The request has a place in the queue; the holder asks again to keep it.
    Waiting,
    /// No slot is free, and the request is not queued.
    Busy,
}

/// Slots and queue lengths of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Online requests that hold a slot.
    pub online: u32,
    /// Batch items that hold a slot.
    pub batch: u32,
    /// Online requests that wait.
    pub waiting: u32,
    /// Batch items that wait.
    pub backlog: u32,
    /// Slots of the server.
    pub slots: u32,
}

/// Effects of a change to the queue, to be carried out by the caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effects {
    /// Attempts that got a slot.
    pub granted: Vec<Name>,
    /// Batch attempts to cancel at the server.
    pub preempted: Vec<Name>,
}
