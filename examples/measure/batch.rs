//! The batch load: items of every workspace, more of them open than can be served.

use crate::schedule::{content, factor};

/// Items of a small workspace in one job; a large one has more by its weight.
const ITEMS: usize = 200;
/// Tokens of an item: least, and how many more at most.
const TOKENS: (u32, u32) = (20, 40);

/// One item.
#[derive(Debug, Clone)]
pub struct Item {
    /// Content of the message.
    pub content: String,
    /// Tokens to generate.
    pub tokens: u32,
}

/// Provides batch load from every workspace.
pub trait BatchLoad: Sync {
    /// Runs `during` with items of every workspace open, after a time to start. The items are
    /// abandoned afterwards.
    fn with_batch<R>(&self, label: &str, during: impl FnOnce() -> R) -> R;
}

/// Items of one job of `workspace`.
pub fn items(label: &str, workspace: usize) -> Vec<Item> {
    let count = ITEMS * factor(workspace) as usize;
    (0..count).map(|i| item(label, workspace, i)).collect()
}

/// The item `index` of `workspace`.
pub fn item(label: &str, workspace: usize, index: usize) -> Item {
    let unique = format!("{label} item {index}");
    Item {
        content: content(workspace, index % 2, &unique),
        tokens: TOKENS.0 + (workspace * 37 + index * 53) as u32 % TOKENS.1,
    }
}
