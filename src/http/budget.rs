//! Memory for messages that are buffered until they are complete.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of a message that may always be buffered.
const FREE_BYTES: usize = 16 * 1024;

/// Bounds the bytes that all messages together buffer; clones share the bound.
#[derive(Debug, Clone)]
pub struct Budget {
    used: Arc<AtomicUsize>,
    most: usize,
}

/// Part of a budget that a message uses; released on drop.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    size: usize,
}

impl Budget {
    /// A budget of `most` bytes, of which none is used.
    pub fn new(most: usize) -> Self {
        Self {
            used: Arc::default(),
            most,
        }
    }

    /// Share for a message without bytes.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            size: 0,
        }
    }
}

impl Share {
    /// Extends the share to `size` bytes; `false` if the budget is exceeded.
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        self.size += more;
        let used = &self.budget.used;
        let all = used.fetch_add(more, Ordering::Relaxed) + more;
        size <= FREE_BYTES || all <= self.budget.most
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}
