//! Work in flight in the simulation.

use gooseberrytack::{
    batch::Task,
    wire::{Class, Name},
};

/// A request or batch item, with its current attempt.
pub struct InFlight {
    pub id: Name,
    pub workspace: usize,
    pub class: Class,
    pub host: usize,
    pub task: Option<Task>,
    pub tokens: u32,
    pub pos: u32,
    /// Position at which the attempt started, in tokens.
    pub from: u32,
    pub server: Option<usize>,
    pub asked_ms: u64,
    pub rounds: u32,
    /// Time of the next token; `None` without a slot.
    pub next_ms: Option<u64>,
    pub attempts: u32,
    /// Tokens that were charged when it got its slot.
    pub granted: u32,
}

impl InFlight {
    pub fn new(id: String, workspace: usize, class: Class, host: usize, tokens: u32) -> Self {
        Self {
            id: id.into(),
            workspace,
            class,
            host,
            task: None,
            tokens,
            pos: 0,
            from: 0,
            server: None,
            asked_ms: 0,
            rounds: 0,
            next_ms: None,
            attempts: 0,
            granted: 0,
        }
    }
}
