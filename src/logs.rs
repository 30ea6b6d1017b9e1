//! Structured logs: one line of key=value pairs for each event, to standard output.
//!
//! Lines are written by a thread of their own. When it cannot keep up, further lines are dropped, so
//! that no request waits for a log line.

use std::{io, sync::OnceLock};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Lines that wait to be written, at most; about a megabyte.
const LINES: usize = 8192;

/// Counts the lines that were dropped.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Number of lines that were dropped since the start.
pub fn dropped() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Starts the logs. They end when what is returned is dropped.
pub fn start() -> WorkerGuard {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .lossy(true)
        .thread_name("log")
        .finish(io::stdout());
    DROPPED.get_or_init(|| writer.error_counter());
    let lines = tracing_logfmt::builder().with_target(false).layer();
    tracing_subscriber::registry()
        .with(filter)
        .with(lines.with_writer(writer))
        .init();
    guard
}
