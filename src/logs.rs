//! Structured logs: one line of key=value pairs for each event, to standard output.
//!
//! Lines are written by a thread of their own. When it cannot keep up, further lines are dropped, so
//! that no request waits for a log line.

use std::io;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Lines that wait to be written, at most; about a megabyte.
const LINES: usize = 8192;

/// Starts the logs. They end when what is returned is dropped.
pub fn start() -> WorkerGuard {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .lossy(true)
        .thread_name("log")
        .finish(io::stdout());
    let lines = tracing_logfmt::builder().with_target(false).layer();
    tracing_subscriber::registry()
        .with(filter)
        .with(lines.with_writer(writer))
        .init();
    guard
}
