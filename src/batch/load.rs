//! Items of a host that are under way, by workspace.

use crate::wire::Name;

/// Items of one host that wait for a slot, if every workspace has as many.
const WAITING_MAX: u32 = 24;
/// Fewest items of a workspace that a host lets wait for a slot.
const WAITING_MIN: u32 = 2;
/// Load of one item at weight one.
const UNIT: u64 = 1 << 16;

/// What is under way, over all schedulers of a host.
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
    /// Turn of the last item.
    turn: u64,
}

/// Order in which workspaces are served: the load by weight with one more item, and the turn of
/// the last one.
pub type Rank = (u64, u64);

impl Loads {
    /// Rank of the next item of `workspace`; none if enough of its items wait for a slot.
    pub fn rank(&self, workspace: &Name, weight: u32) -> Option<Rank> {
        let most = (WAITING_MAX / (self.all.len() as u32).max(1)).max(WAITING_MIN);
        let Ok(i) = self.find(workspace) else {
            return Some((UNIT / u64::from(weight.max(1)), 0));
        };
        let load = &self.all[i];
        let rank = u64::from(load.running + 1) * UNIT / u64::from(weight.max(1));
        (load.waiting < most).then_some((rank, load.turn))
    }

    /// Notes that an item was handed out.
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

    /// Notes that an item got a slot, or gave it up and waits for another.
    pub fn slot(&mut self, workspace: &Name, has_slot: bool) {
        if let Ok(i) = self.find(workspace) {
            let waiting = &mut self.all[i].waiting;
            *waiting = if has_slot { *waiting - 1 } else { *waiting + 1 };
        }
    }

    /// Notes that an item that does not wait is not under way any more.
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
