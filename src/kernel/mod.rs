//! Plug-in registry, host start-up and graceful stop.
//!
//! A role registers itself with `inventory::submit!` of a [`Plugin`]: its routes, its periodic
//! tasks and what it does at a planned stop. Handlers are plain functions of the host, so that a
//! request passes no dynamic dispatch.

mod call;
mod edges;
mod host;
mod ports;
mod relay;
mod router;
mod tasks;

pub use call::{Call, serve_call};
pub use edges::{Edges, Outside};
pub use host::{CallsFollower, ConfigFollower, Follow, HomesFollower, Host, JobFollower};
pub use relay::{RelayLog, neighbours};
pub use router::Router;

use crate::http::Exchange;
use std::{io, sync::Arc, time::Duration};

/// Answers a request. An `Err` means that the connection to the caller failed.
pub type Handler = fn(&Arc<Host>, &mut Exchange) -> io::Result<()>;

/// A port of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// For callers, behind the platform's balancer.
    Caller,
    /// For other hosts.
    Peer,
    /// For operators.
    Control,
    /// For the balancer's question whether the host is ready.
    Ready,
    /// For a collector that fetches the metrics.
    Metrics,
}

/// A path that a role answers.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Port.
    pub port: Port,
    /// Method, or `*` for any.
    pub method: &'static str,
    /// Path; one that ends in `/*` stands for everything below it.
    pub path: &'static str,
    /// What answers.
    pub handle: Handler,
}

/// Work that a role does again and again.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Name.
    pub name: &'static str,
    /// Time from the end of one run to the next; zero for a task that waits for its own events and runs
    /// all the time.
    pub every: Duration,
    /// One run; short, so that a stop is not held up.
    pub run: fn(&Arc<Host>),
    /// Whether a run may wait for another process or for an event; such runs get a thread.
    pub waits: bool,
    /// Hosts that need it.
    pub on: On,
}

/// Hosts that need a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum On {
    /// All.
    All,
    /// Those whose configuration comes through this product's own interface and its log, not from an
    /// outside system.
    Own,
    /// Those whose configuration comes from an outside system.
    Outside,
}

/// A role of the daemon.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Name.
    pub name: &'static str,
    /// Paths that it answers.
    pub routes: &'static [Route],
    /// Its periodic work.
    pub tasks: &'static [Task],
    /// Called once when a planned stop begins, beside those of the other roles and before the ports
    /// close.
    pub stop: fn(&Arc<Host>),
}

inventory::collect!(Plugin);
