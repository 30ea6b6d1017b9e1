//! Hash of a prompt's prefix, which identifies an entry of an engine's prefix cache.

use twox_hash::XxHash3_64;

/// Length of the prefix; a shorter prompt is hashed whole.
const PREFIX_MAX_BYTES: usize = 256;

/// Hash of at most the first `PREFIX_MAX_BYTES` (256) of `prompt`, as cache events carry it.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    XxHash3_64::oneshot(&bytes[..bytes.len().min(PREFIX_MAX_BYTES)])
}
