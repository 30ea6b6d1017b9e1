//! The text that an engine generates: a pure function of model, prompt and position.

use twox_hash::XxHash3_64;

/// Increment of the splitmix64 generator.
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Seed of the answer to `prompt` by `model`.
pub(crate) fn seed(model: &str, prompt: &str) -> u64 {
    XxHash3_64::oneshot_with_seed(XxHash3_64::oneshot(model.as_bytes()), prompt.as_bytes())
}

/// The token at `pos`: four hexadecimal digits and a space.
pub(crate) fn token(seed: u64, pos: u32) -> String {
    let mut x = seed.wrapping_add(STEP.wrapping_mul(u64::from(pos) + 1));
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    format!("{:04x} ", (x >> 40) & 0xffff)
}

/// The answer of `model` to `prompt`, `tokens` tokens long.
pub fn expected(model: &str, prompt: &str, tokens: u32) -> String {
    let seed = seed(model, prompt);
    (0..tokens).map(|i| token(seed, i)).collect()
}
