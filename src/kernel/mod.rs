//! Plug-in registry, host start-up and graceful stop.
//!
//! A role registers a [`Plugin`] with `inventory::submit!`: its routes, its periodic tasks and its
//! stop hook. Handlers are plain functions that take the host, not trait objects.

mod absent;
mod call;
mod edges;
mod host;
mod ports;
mod relay;
mod router;
mod tasks;
mod time_left;

pub use call::{Call, serve_call};
pub(crate) use call::{decode, decode_call, encode};
pub use edges::{Edges, Outside};
pub use host::{
    CallsFollower, ConfigFollower, Follow, HomesFollower, Host, JobFollower, OriginsFollower,
    QuarantineFollower,
};
pub use relay::{RelayLog, neighbours};
pub use router::Router;
pub use time_left::STOP_MARGIN;

use crate::http::Exchange;
use std::{io, sync::Arc, time::Duration};

/// Answers a request. An `Err` means that the connection to the caller failed.
pub type Handler = fn(&Arc<Host>, &mut Exchange) -> io::Result<()>;

/// A listening port of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Requests of callers, through the platform's load balancer.
    Caller,
    /// Calls from other hosts.
    Peer,
    /// Requests of operators.
    Control,
    /// Readiness probes of the load balancer.
    Ready,
    /// Scrapes by a metrics collector.
    Metrics,
}

/// A path on a port and the function that answers it.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    /// Port that it is served on.
    pub port: Port,
    /// HTTP method, or `*` for any.
    pub method: &'static str,
    /// Path; one that ends in `/*` matches everything below it.
    pub path: &'static str,
    /// Answers the request.
    pub handle: Handler,
}

/// Periodic work of a role.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Name, in log lines and as the thread's name.
    pub name: &'static str,
    /// Time from the end of one run to the next; zero for a task that blocks on its own events and is run
    /// in a loop on its own thread.
    pub every: Duration,
    /// One run; short, so that it does not delay a stop.
    pub run: fn(&Arc<Host>),
    /// Whether a run may block on another process or an event; such runs get a pool thread.
    pub waits: bool,
    /// Hosts that run it.
    pub on: On,
}

/// Hosts that run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum On {
    /// All hosts.
    All,
    /// Hosts whose configuration comes through this product's own interface and log.
    Own,
    /// Hosts whose configuration is declared by an outside system.
    Outside,
}

/// What a role registers with the daemon.
#[derive(Debug, Clone, Copy)]
pub struct Plugin {
    /// Name of the role.
    pub name: &'static str,
    /// Paths that it serves.
    pub routes: &'static [Route],
    /// Its periodic tasks.
    pub tasks: &'static [Task],
    /// Stop hook, called once when a planned stop begins: concurrently with those of the other roles,
    /// and before the ports close.
    pub stop: fn(&Arc<Host>),
}

inventory::collect!(Plugin);
