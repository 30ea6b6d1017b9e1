//! HTTP server and client.
//!
//! The server runs each request in progress on its own thread, waits for all idle connections of a
//! port in one thread, and bounds the number of connections. Heads are parsed by `httparse`, chunks by
//! `chunked_transfer`. The client is `ureq` with small buffers.

mod agents;
mod bounded;
mod budget;
mod client;
mod conns;
mod exchange;
mod filter;
mod input;
mod output;
mod readers;
mod request;
mod resolver;
mod server;
mod service;
mod stream;
mod watch;

pub use budget::{Budget, Share};
pub use client::{Client, Reply, SendError, Timeouts};
pub use exchange::Exchange;
pub use output::SlowReaders;
pub use readers::{Closed, Readers, Slow};
pub(crate) use request::is_status;
pub use request::{Framing, Head, HeadError, Request, parse_head};
pub use server::{Bounds, Server};
pub use stream::Stream;
