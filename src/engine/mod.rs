//! Model engines: the messages of their HTTP interface and the client for it.

mod client;
mod messages;
mod prefix;

pub use client::{EngineClient, Pieces};
pub use messages::*;
pub use prefix::prefix_hash;
