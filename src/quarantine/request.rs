//! The id under which a whole request is judged, beside the segments of its prompt.

use crate::{pass::Request, wire::Name};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Begins the ids of whole requests; no segment has such an id.
const PREFIX: &str = "request:";
/// Bytes of the digest that an id has.
const ID_BYTES: usize = 16;

/// Id of all requests with the same workspace, path (query included) and body as this one.
pub fn request_id(workspace: &str, request: &Request) -> Name {
    let mut hash = Sha256::new();
    for part in [
        workspace.as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let mut id = String::from(PREFIX);
    for byte in &hash.finalize()[..ID_BYTES] {
        // Writing to a `String` cannot fail.
        let _ = write!(id, "{byte:02x}");
    }
    id.into()
}

/// Whether `id` is that of a whole request.
pub fn is_request(id: &str) -> bool {
    id.starts_with(PREFIX)
}
