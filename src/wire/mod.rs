//! Types that several roles share: names, classes of work, work and its answer.

use crate::{clock::Time, fold::Pos, pass::Request};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// A name: workspace, model, host, backend server, job or request id.
pub type Name = Arc<str>;

/// Priority of work at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A caller waits for it.
    Online,
    /// It fills idle capacity and gives way to online work.
    Batch,
}

/// One piece of generation to carry out.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Request id, unique for each attempt chain; echoed by the backend server.
    pub id: Name,
    /// Workspace that the work runs for.
    pub workspace: Name,
    /// Model to run.
    pub model: Name,
    /// Adapter of the model, if any.
    pub adapter: Option<Name>,
    /// Prompt text.
    pub prompt: Name,
    /// Most tokens to generate.
    pub tokens: u32,
    /// Priority.
    pub class: Class,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time on the host's clock after which nobody waits for the answer.
    pub deadline: Time,
    /// Time on the host's clock until which the work waits for a slot of a server.
    pub slot_deadline: Time,
    /// Batch: position of the acceptance of its job; zero for online work.
    pub since: Pos,
    /// What to pass on unchanged; none for a generation of this product's own interface.
    pub request: Option<Arc<Request>>,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Backend server that finished the answer.
    pub server: Name,
}

/// A host as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer {
    /// Host name, unique for each start of the daemon.
    pub name: Name,
    /// Address of the peer port.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: Name,
}
