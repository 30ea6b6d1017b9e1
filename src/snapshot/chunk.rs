//! Splits a snapshot into chunks and reassembles it.

use super::Snapshot;
use crate::{
    error::{Fail, Kind, Res},
    fold::Fold,
    wire::Name,
};
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};

/// Maximum number of bytes of state in one chunk.
const CHUNK_BYTES_MAX: usize = 256 * 1024;

/// A record of a snapshot stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Id of the snapshot; unique for each attempt to write one.
    pub id: Name,
    /// Offset of the first record that was not applied to the state.
    pub next: u64,
    /// Index of the chunk in the snapshot.
    pub index: u32,
    /// Number of chunks in the snapshot.
    pub count: u32,
    /// SHA-256 of the whole encoded state.
    pub digest: ByteBuf,
    /// This chunk's bytes of the encoded state.
    pub bytes: ByteBuf,
}

/// Encodes `snapshot` as chunks under `id`.
///
/// # Errors
/// The state cannot be encoded.
pub fn encode_chunks<F: Fold>(snapshot: &Snapshot<F>, id: &Name) -> Res<Vec<Chunk>> {
    let bytes = rmp_serde::to_vec(&snapshot.state)
        .map_err(|e| Fail::new(Kind::Internal, format!("cannot encode {}: {e}", F::STREAM)))?;
    let digest = ByteBuf::from(Sha256::digest(&bytes).to_vec());
    let count = bytes.len().div_ceil(CHUNK_BYTES_MAX) as u32;
    let chunks = bytes
        .chunks(CHUNK_BYTES_MAX)
        .zip(0..)
        .map(|(part, index)| Chunk {
            id: id.clone(),
            next: snapshot.next,
            index,
            count,
            digest: digest.clone(),
            bytes: ByteBuf::from(part),
        });
    Ok(chunks.collect())
}

/// Takes the records of a snapshot stream and finds the newest complete snapshot.
#[derive(Debug, Default)]
pub struct Collector {
    /// Chunks by snapshot, sorted by id.
    groups: Vec<Group>,
    newest: Option<Complete>,
}

#[derive(Debug)]
struct Group {
    id: Name,
    /// Sorted by index, each index once.
    chunks: Vec<Chunk>,
}

#[derive(Debug)]
struct Complete {
    next: u64,
    bytes: Vec<u8>,
}

impl Collector {
    /// Adds a record of the snapshot stream; a record that is not a chunk is ignored.
    pub fn add(&mut self, record: &[u8]) {
        let Ok(chunk) = rmp_serde::from_slice::<Chunk>(record) else {
            return;
        };
        if self.newest.as_ref().is_some_and(|n| n.next >= chunk.next) {
            return;
        }
        let found = self.groups.binary_search_by(|g| g.id.cmp(&chunk.id));
        let at = found.unwrap_or_else(|at| {
            let group = Group {
                id: chunk.id.clone(),
                chunks: Vec::new(),
            };
            self.groups.insert(at, group);
            at
        });
        let group = &mut self.groups[at];
        if let Err(slot) = group.chunks.binary_search_by_key(&chunk.index, |c| c.index) {
            group.chunks.insert(slot, chunk);
        }
        if let Some(complete) = group.assemble() {
            self.groups.retain(|g| g.chunks[0].next > complete.next);
            self.newest = Some(complete);
        }
    }

    /// The newest complete snapshot, if its state decodes.
    pub fn newest<F: Fold>(&self) -> Option<Snapshot<F>> {
        let complete = self.newest.as_ref()?;
        Some(Snapshot {
            state: rmp_serde::from_slice(&complete.bytes).ok()?,
            next: complete.next,
        })
    }
}

impl Group {
    fn assemble(&self) -> Option<Complete> {
        let first = self.chunks.first()?;
        if self.chunks.len() != first.count as usize {
            return None;
        }
        let bytes: Vec<u8> = self
            .chunks
            .iter()
            .flat_map(|c| c.bytes.iter())
            .copied()
            .collect();
        let is_intact = Sha256::digest(&bytes).as_slice() == first.digest.as_slice();
        is_intact.then_some(Complete {
            next: first.next,
            bytes,
        })
    }
}
