//! Calls that run at most once under an idempotency key.
//!
//! The first record of a call in the log decides which attempt may send it. No other attempt sends
//! it; a repeat gets the recorded outcome.

mod fold;

pub use fold::{ANSWERED_MAX, Call, Calls, PENDING_MAX, Record, Saved};
