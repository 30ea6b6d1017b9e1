//! Types shared by several modules: names, work with its priority and answer, and peers.

use crate::{clock::Time, fold::Pos, pass::Request};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Name or id of a workspace, model, host, backend server, job or request.
pub type Name = Arc<str>;

/// Priority of work at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Work that a caller waits for.
    Online,
    /// Work that uses idle capacity and is preempted by online work.
    Batch,
}

/// One generation request to run on a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Request id, common to all attempts of the work; echoed by the backend server.
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
    /// Priority at the backend servers.
    pub class: Class,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time on the host's clock after which nobody waits for the answer.
    pub deadline: Time,
    /// Time on the host's clock until which the work waits for a slot of a server.
    pub slot_deadline: Time,
    /// Position in the log of the acceptance of its batch job; zero for online work.
    pub since: Pos,
    /// Request to forward unchanged; none for work of this product's own interface.
    pub request: Option<Arc<Request>>,
    /// Which software versions of the servers will do.
    pub software: Software,
}

/// Which software versions of the servers will do for work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Software {
    /// All of them.
    #[default]
    Any,
    /// All of them for the start of a stream, which its caller may resume at any host.
    Start,
    /// The one that began the stream of which this is the rest.
    Only(Name),
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Backend server that completed the answer.
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
