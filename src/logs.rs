//! Structured logs in logfmt on standard output, one line for each event.
//!
//! A separate thread writes the lines. If it cannot keep up, further lines are dropped, so that no
//! request waits for a log line.

use std::{io, sync::OnceLock};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{EnvFilter, layer::SubscriberExt, util::SubscriberInitExt};

/// Most lines that wait to be written, about a megabyte.
const BUFFERED_LINES: usize = 8192;

/// Counter of dropped lines; set by [`start`].
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Number of lines dropped since the start.
pub fn dropped() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Installs the logger, filtered by `RUST_LOG` or at `info`. Dropping the guard writes what is buffered.
pub fn start() -> WorkerGuard {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
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
