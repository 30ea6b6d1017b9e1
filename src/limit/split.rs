//! Divides the rate and burst of a workspace among its slots.

use crate::config::Workspace;
use serde::{Deserialize, Serialize};

/// Most slots of a workspace.
pub(super) const SLOTS_MAX: u32 = 4;
/// Smallest burst of a slot if a workspace has several.
const SLOT_BURST: u32 = 8;
/// Units of `Share::rate` per declared request: millionths, less a thousandth for fast clocks.
const PARTS_PER_REQUEST: u64 = 999_000;

/// The part of a workspace's rate and burst that one slot has.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Rate in millionths of a request a minute.
    pub rate: u64,
    /// Most tokens in the bucket and on loan together.
    pub burst: u32,
}

impl Share {
    /// The larger rate and the larger burst of both.
    pub fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The smaller rate and the smaller burst of both.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }
}

/// Number of slots of a workspace with `burst`: one per `SLOT_BURST` tokens, 1 to `SLOTS_MAX`.
pub fn slots(burst: u32) -> u32 {
    (burst / SLOT_BURST).clamp(1, SLOTS_MAX)
}

/// Share of slot `slot`, zero for a slot that does not exist. The shares never exceed the whole.
pub fn share(workspace: &Workspace, slot: u32) -> Share {
    let count = slots(workspace.burst);
    if slot >= count {
        return Share::default();
    }
    Share {
        rate: u64::from(workspace.rate) * PARTS_PER_REQUEST / u64::from(count),
        burst: workspace.burst / count + u32::from(slot < workspace.burst % count),
    }
}
