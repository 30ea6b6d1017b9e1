//! Hash of the prompt prefix by which an engine's cache entry is found.

use twox_hash::XxHash3_64;

/// Length of the prefix of a longer prompt.
const PREFIX_MAX_BYTES: usize = 256;

/// Hash of the prefix of `prompt`, as cache events carry it.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    XxHash3_64::oneshot(&bytes[..bytes.len().min(PREFIX_MAX_BYTES)])
}
