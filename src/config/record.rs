//! Records of the configuration stream and the outcomes of evaluating them.

use super::{Change, ObjectId};
use crate::{fold::Pos, wire::Name};
use serde::{Deserialize, Serialize};

/// An edit whose base is not the object's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The object.
    pub id: ObjectId,
    /// Revision that the edit is based on.
    pub base: Pos,
    /// Revision of the object; zero if it does not exist.
    pub revision: Pos,
    /// Id of the change that set `revision`; empty if the object does not exist.
    pub winner: Name,
    /// Author of that change.
    pub author: Name,
}

/// A validation error in a change or a declaration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The object; of sort default, whatever the section, if a declaration file's form is wrong.
    pub id: ObjectId,
    /// Name of the invalid field.
    pub field: Name,
    /// What is wrong, with the value, and what to try.
    pub text: Name,
}

/// Result of evaluating a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The change is in force.
    Accepted,
    /// Some edits are based on an outdated revision; nothing was changed.
    Lost(Vec<Conflict>),
    /// The change is invalid; nothing was changed.
    Refused(Vec<Fault>),
}

/// Recorded verdict on a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the change.
    pub id: Name,
    /// Position of the record that was evaluated.
    pub at: Pos,
    /// Hash of the change, to tell it from another one with the same id. Not compared on the
    /// operators' port if this outcome is already known there: the other gets this result.
    pub digest: u64,
    /// Verdict.
    pub verdict: Verdict,
}

/// A host's claim that only it orders a backend server to load or unload models or change its role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The backend server.
    pub server: Name,
    /// The claiming host.
    pub host: Name,
    /// Epoch of the claim that it replaces; zero if there was none.
    pub replaces: Pos,
}

/// A record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A change by an operator.
    Change(Change),
    /// A claim by a host.
    Claim(Claim),
}
