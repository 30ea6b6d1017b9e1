//! Writes snapshots to the log and reads the newest one back.

use super::{Collector, Snapshot, chunks_of};
use crate::{
    error::{Fail, Kind, Res},
    fold::Fold,
    store::{AppendError, Log},
    wire::Name,
};
use std::time::Duration;

/// Records that are looked at first, from the end of the snapshot stream.
const WINDOW: u64 = 8;
/// Appends of one chunk before the snapshot is given up.
const TRIES: u32 = 5;

/// Name of the stream with the snapshots of `stream`.
pub fn stream_of(stream: &str) -> String {
    format!("snap-{stream}")
}

/// Appends `snapshot` of `stream` under `id`; `pause` is called before each append. A snapshot that is given up
/// in the middle stays in the log and is ignored by its readers.
///
/// # Errors
/// The log did not take every chunk.
pub fn write<F: Fold, L: Log>(
    log: &L,
    stream: &str,
    snapshot: &Snapshot<F>,
    id: &Name,
    mut pause: impl FnMut(),
) -> Res<usize> {
    let stream = stream_of(stream);
    let chunks = chunks_of(snapshot, id)?;
    for chunk in &chunks {
        let bytes =
            rmp_serde::to_vec(chunk).map_err(|e| Fail::new(Kind::Internal, e.to_string()))?;
        let taken = (0..TRIES).any(|_| {
            pause();
            // A chunk that is there twice does no harm.
            !matches!(
                log.append(&stream, &bytes),
                Err(AppendError::NotTaken(_) | AppendError::Unknown(_))
            )
        });
        if !taken {
            return Err(Fail::new(
                Kind::LogDown,
                "the log did not take the whole snapshot",
            ));
        }
    }
    Ok(chunks.len())
}

/// The newest of the whole snapshots of `stream` that were written last, going back until one has every record
/// below `need`; `None` if there is none.
///
/// # Errors
/// The log cannot be read.
pub fn load<F: Fold, L: Log>(log: &L, stream: &str, need: u64) -> Res<Option<Snapshot<F>>> {
    let stream = stream_of(stream);
    let end = log.read(&stream, u64::MAX, Duration::ZERO)?;
    let mut window = WINDOW;
    // Reads ever more from the end, so that the cost does not grow with the number of snapshots.
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
