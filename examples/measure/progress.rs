//! Batch tokens, counted at the engines.

use crate::schedule::{WORKSPACES, workspace_of};
use gooseberrytack::wire::Name;
use standin::Engine;

/// Positions that batch items reached at the engines.
#[derive(Debug, Default)]
pub struct Progress {
    /// Position of each item, sorted by prompt.
    items: Vec<(Name, u32)>,
    /// Tokens generated, repeated ones included.
    sent: u64,
}

/// Progress of batch items between two readings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gain {
    /// Tokens by workspace, each position of an item counted once.
    pub tokens: [u64; WORKSPACES],
    /// Tokens that were generated again.
    pub again: u64,
}

impl Progress {
    /// The positions reached so far.
    pub fn read(engines: &[Engine]) -> Self {
        let runs = engines.iter().flat_map(Engine::runs);
        let runs = runs.filter(|r| r.prompt.contains(" item "));
        let mut sent = 0;
        let mut items: Vec<(Name, u32)> = Vec::new();
        for run in runs {
            sent += u64::from(run.pos - run.from);
            items.push((run.prompt, run.pos));
        }
        items.sort();
        items.reverse();
        items.dedup_by(|a, b| a.0 == b.0);
        items.reverse();
        Self { items, sent }
    }

    /// What was gained since `before`.
    pub fn since(&self, before: &Self) -> Gain {
        let (now, then) = (self.tokens(), before.tokens());
        let tokens: [u64; WORKSPACES] = std::array::from_fn(|w| now[w] - then[w]);
        Gain {
            tokens,
            again: (self.sent - before.sent).saturating_sub(tokens.iter().sum()),
        }
    }

    fn tokens(&self) -> [u64; WORKSPACES] {
        let mut tokens = [0; WORKSPACES];
        for (prompt, pos) in &self.items {
            tokens[workspace_of(prompt)] += u64::from(*pos);
        }
        tokens
    }
}

impl Gain {
    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            tokens: std::array::from_fn(|w| self.tokens[w] + other.tokens[w]),
            again: self.again + other.again,
        }
    }

    /// Tokens of all workspaces.
    pub fn total(&self) -> u64 {
        self.tokens.iter().sum()
    }
}
