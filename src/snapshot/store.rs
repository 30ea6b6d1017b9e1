//! Writes snapshots to the log and loads the newest one.

use super::{Collector, Snapshot, encode_chunks};
use crate::{
    error::{Fail, Kind, Res},
    fold::Fold,
    store::{AppendError, Log},
    wire::Name,
};
use std::time::Duration;

/// Number of records that are read first, from the end of the snapshot stream.
const WINDOW: u64 = 8;
/// Maximum number of append attempts for one chunk.
const ATTEMPTS_MAX: u32 = 5;

/// Name of the stream that holds the snapshots of `stream`.
pub fn snapshot_stream(stream: &str) -> String {
    format!("snap-{stream}")
}

/// Appends `snapshot` of `stream` under `id`; `pause` is called before each append. Returns the
/// number of chunks. A partly written snapshot stays in the log, and readers ignore it.
///
/// # Errors
/// The log did not accept every chunk.
pub fn write<F: Fold, L: Log>(
    log: &L,
    stream: &str,
    snapshot: &Snapshot<F>,
    id: &Name,
    mut pause: impl FnMut(),
) -> Res<usize> {
    let stream = snapshot_stream(stream);
    let chunks = encode_chunks(snapshot, id)?;
    for chunk in &chunks {
        let bytes =
            rmp_serde::to_vec(chunk).map_err(|e| Fail::new(Kind::Internal, e.to_string()))?;
        let is_appended = (0..ATTEMPTS_MAX).any(|_| {
            pause();
            // A duplicate chunk is harmless.
            !matches!(
                log.append(&stream, &bytes),
                Err(AppendError::NotTaken(_) | AppendError::Unknown(_))
            )
        });
        if !is_appended {
            let text = format!("the log did not accept chunk {} of {stream}", chunk.index);
            return Err(Fail::new(Kind::LogDown, text));
        }
    }
    Ok(chunks.len())
}

/// Loads the newest of the last written complete snapshots of `stream`. Reads back until one covers
/// every record below `need` or the stream's start is reached; `None` if no snapshot is complete.
///
/// # Errors
/// The log cannot be read.
pub fn load<F: Fold, L: Log>(log: &L, stream: &str, need: u64) -> Res<Option<Snapshot<F>>> {
    let stream = snapshot_stream(stream);
    let end = log.read(&stream, u64::MAX, Duration::ZERO)?;
    let mut window = WINDOW;
    // Widens the window from the end, so that the cost does not grow with the number of snapshots.
    loop {
        let from = end.head.saturating_sub(window).max(end.first);
        let collector = collect(log, &stream, from, end.head)?;
        let found: Option<Snapshot<F>> = collector.newest();
        let is_enough = found.as_ref().is_some_and(|s| s.next >= need);
        if is_enough || from <= end.first {
            return Ok(found);
        }
        window *= 2;
    }
}

fn collect<L: Log>(log: &L, stream: &str, from: u64, head: u64) -> Res<Collector> {
    let mut collector = Collector::default();
    let mut next = from;
    while next < head {
        let page = log.read(stream, next, Duration::ZERO)?;
        let Some(last) = page.entries.last() else {
            break;
        };
        next = last.offset + 1;
        page.entries.iter().for_each(|e| collector.add(&e.bytes));
    }
    Ok(collector)
}
