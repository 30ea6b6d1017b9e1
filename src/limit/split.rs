//! Division of a workspace's rate and burst among slots.

use crate::config::Workspace;
use serde::{Deserialize, Serialize};

/// Most slots of a workspace.
pub(super) const SLOTS_MAX: u32 = 4;
/// Least burst of a slot if a workspace has several.
const SLOT_BURST: u32 = 8;
/// Parts of a request in which a rate is divided. A thousandth is kept back for clocks that run
/// fast.
const PARTS: u64 = 999_000;

/// Part of a rate and burst.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Millionths of a request a minute.
    pub rate: u64,
    /// Most tokens at once.
    pub burst: u32,
}

impl Share {
    /// The larger rate and burst of both.
    pub fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The smaller rate and burst of both.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// Number of slots of a workspace with `burst`.
pub fn slots(burst: u32) -> u32 {
    (burst / SLOT_BURST).clamp(1, SLOTS_MAX)
}

/// Share of the slot `slot`; the shares of all slots add up to no more than the whole.
pub fn share(workspace: &Workspace, slot: u32) -> Share {
    let count = slots(workspace.burst);
    if slot >= count {
        return Share::default();
    }
    Share {
        rate: u64::from(workspace.rate) * PARTS / u64::from(count),
        burst: workspace.burst / count + u32::from(slot < workspace.burst % count),
    }
}
