//! The holder of each slot, folded from the log.

use crate::{
    fold::{Fold, Pos},
    member::is_same_host,
    wire::Name,
};
use serde::{Deserialize, Serialize};

/// Records of slots from this number on are ignored.
const SLOT_NUMBERS: usize = 16;

/// One slot of a workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// Host that holds it; `None` if it was released or never claimed.
    pub host: Option<Name>,
    /// Log position of the last claim or release; zero if there was none.
    pub epoch: Pos,
    /// Tokens left at the last release, `u32::MAX` before; not used if `succeeded` or `forced`.
    pub left: u32,
    /// Whether its holder is a restart of the previous one, which was not `forced`.
    #[serde(default)]
    pub succeeded: bool,
    /// Whether its holder waits `CLAIM_WAIT` before it lends, as others may still lend its tokens.
    pub forced: bool,
    /// Burst of the workspace as known to its holder at the claim.
    pub burst: u32,
}

/// The slots of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Workspace.
    pub workspace: Name,
    /// Indexed by slot number, up to the last one ever claimed.
    pub slots: Vec<Slot>,
}

/// Holders of all slots at a position of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// Workspaces, sorted by name.
    pub shares: Vec<Shares>,
}

/// A record of the `homes` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A host claims a slot; ignored unless `replaces` is the slot's epoch.
    Claim {
        /// Workspace.
        workspace: Name,
        /// Number of the slot.
        slot: u32,
        /// Claiming host.
        host: Name,
        /// Epoch of the slot as the host knew it.
        replaces: Pos,
        /// Burst of the workspace as the host knew it.
        burst: u32,
    },
    /// The holder of a slot has stopped lending and releases it.
    Release {
        /// Workspace.
        workspace: Name,
        /// Number of the slot.
        slot: u32,
        /// Epoch under which it was held.
        epoch: Pos,
        /// Whole tokens left in the bucket.
        left: u32,
    },
}

impl Slot {
    fn has_other_burst(&self, burst: u32) -> bool {
        self.epoch != 0 && self.burst != burst
    }
}

impl Homes {
    /// The slots of `workspace` up to the last one ever claimed.
    pub fn slots(&self, workspace: &str) -> &[Slot] {
        match self.find(workspace) {
            Ok(i) => &self.shares[i].slots,
            Err(_) => &[],
        }
    }

    /// Slot `slot` of `workspace`; vacant if it was never claimed.
    pub fn slot(&self, workspace: &str, slot: u32) -> Slot {
        let slots = self.slots(workspace);
        slots.get(slot as usize).cloned().unwrap_or_default()
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|s| (*s.workspace).cmp(workspace))
    }

    fn slot_mut(&mut self, workspace: &Name, slot: u32) -> &mut Slot {
        let at = self.find(workspace).unwrap_or_else(|at| {
            let shares = Shares {
                workspace: workspace.clone(),
                slots: Vec::new(),
            };
            self.shares.insert(at, shares);
            at
        });
        let slots = &mut self.shares[at].slots;
        let i = slot as usize;
        if slots.len() <= i {
            slots.resize(i + 1, Slot::default());
        }
        &mut slots[i]
    }
}

impl Fold for Homes {
    type Record = Record;
    const STREAM: &'static str = "homes";

    fn apply(&mut self, at: Pos, rec: &Record) {
        let (Record::Claim { slot, .. } | Record::Release { slot, .. }) = rec;
        if *slot as usize >= SLOT_NUMBERS {
            return;
        }
        match rec {
            Record::Claim {
                workspace,
                slot,
                host,
                replaces,
                burst,
            } => {
                let old = self.slot(workspace, *slot);
                if old.epoch != *replaces {
                    return;
                }
                let first = old.epoch == 0;
                // A slot added by a larger burst must wait until the other holders know their
                // smaller shares.
                let added = first
                    && self
                        .slots(workspace)
                        .iter()
                        .any(|s| s.has_other_burst(*burst));
                let same = old.host.as_ref().is_some_and(|o| is_same_host(o, host));
                let succeeded = same && !old.forced;
                *self.slot_mut(workspace, *slot) = Slot {
                    host: Some(host.clone()),
                    epoch: at,
                    left: if first { u32::MAX } else { old.left },
                    succeeded,
                    forced: (old.host.is_some() && !succeeded) || added,
                    burst: *burst,
                };
            }
            Record::Release {
                workspace,
                slot,
                epoch,
                left,
            } => {
                let held = self.slot(workspace, *slot);
                if held.epoch != *epoch || held.host.is_none() {
                    return;
                }
                let slot = self.slot_mut(workspace, *slot);
                *slot = Slot {
                    host: None,
                    epoch: at,
                    left: *left,
                    ..slot.clone()
                };
            }
        }
    }
}
