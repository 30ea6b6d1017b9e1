//! Items under way on a host by workspace, and the order in which workspaces are served.

use crate::wire::Name;

/// Most items of one host that wait for a server slot, shared equally by the workspaces.
const WAITING_MAX: u32 = 24;
/// Smallest number of waiting items that a workspace is allowed.
const WAITING_MIN: u32 = 2;
/// Load of one item at weight 1.
const UNIT: u64 = 1 << 16;

/// Items under way by workspace, over all schedulers of a host.
#[derive(Debug, Default)]
pub struct Loads {
    /// Sorted by workspace.
    all: Vec<Load>,
    turns: u64,
}

/// Items of one workspace that are under way.
#[derive(Debug)]
struct Load {
    workspace: Name,
    /// Items that have no slot yet.
    waiting: u32,
    running: u32,
    /// Value of `turns` at the last dispatch.
    turn: u64,
}

/// Rank of a workspace; the lowest is served first. Its load with one more item divided by its
/// weight, then the turn of its last dispatch.
pub type Rank = (u64, u64);

impl Loads {
    /// Rank of the next item of `workspace`; none if its limit of items waiting for a slot is reached.
    pub fn rank(&self, workspace: &Name, weight: u32) -> Option<Rank> {
        let most = (WAITING_MAX / (self.all.len() as u32).max(1)).max(WAITING_MIN);
        let Ok(i) = self.find(workspace) else {
            return Some((UNIT / u64::from(weight.max(1)), 0));
        };
        let load = &self.all[i];
        let rank = u64::from(load.running + 1) * UNIT / u64::from(weight.max(1));
        (load.waiting < most).then_some((rank, load.turn))
    }

    /// Records that an item was dispatched; it waits for a slot.
    pub fn began(&mut self, workspace: &Name) {
        self.turns += 1;
        let at = self.find(workspace).unwrap_or_else(|at| {
            let load = Load {
                workspace: workspace.clone(),
                waiting: 0,
                running: 0,
                turn: 0,
            };
            self.all.insert(at, load);
            at
        });
        let load = &mut self.all[at];
        load.waiting += 1;
        load.running += 1;
        load.turn = self.turns;
    }

    /// Records that an item got a server slot, or gave it up and waits for another.
    pub fn slot(&mut self, workspace: &Name, has_slot: bool) {
        if let Ok(i) = self.find(workspace) {
            let waiting = &mut self.all[i].waiting;
            *waiting = if has_slot { *waiting - 1 } else { *waiting + 1 };
        }
    }

    /// Records that an item that does not wait for a slot has ended its try.
    pub fn ended(&mut self, workspace: &Name) {
        if let Ok(i) = self.find(workspace) {
            self.all[i].running -= 1;
            if self.all[i].running == 0 {
                self.all.remove(i);
            }
        }
    }

    fn find(&self, workspace: &Name) -> Result<usize, usize> {
        self.all.binary_search_by(|l| l.workspace.cmp(workspace))
    }
}
