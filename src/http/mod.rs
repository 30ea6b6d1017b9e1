//! HTTP server and client.
//!
//! The server gives each request under way one thread, has one thread of a port wait for all idle
//! connections, counts connections against a bound and never lets one wait behind another. Heads are parsed by `httparse`, chunks by `chunked_transfer`. The
//! client is `ureq` with small buffers.

mod agents;
mod bounded;
mod client;
mod conns;
mod exchange;
mod filter;
mod input;
mod request;
mod resolver;
mod server;
mod service;
mod watch;

pub use client::{Client, Reply, SendError, Stream, Timeouts};
pub use exchange::Exchange;
pub use request::{Framing, Head, HeadError, Request, parse_head};
pub use server::{Bounds, Server};
