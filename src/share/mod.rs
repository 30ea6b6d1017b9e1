//! Fair shares among workspaces, by weight and counted in tokens.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, 1996): each piece of work gets a start tag, and
//! waiting work is served in the order of the tags. When the work ends, the difference between the
//! expected and the used tokens is settled.

mod fleet;

pub use fleet::{DRIFT_MAX, FleetTags, HostTags, QueueTags, Report};

use crate::wire::Name;

/// Virtual time: a token of a workspace with weight one moves its tag by [`UNIT`].
pub type Tag = u64;

/// Virtual time of one token at weight one.
pub const UNIT: Tag = 1 << 16;

/// Start-time fair queueing of the online work at one server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FairQueue {
    virtual_time: Tag,
    /// Finish tag of the last work of each workspace, sorted by workspace.
    tags: Vec<FinishTag>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct FinishTag {
    workspace: Name,
    tag: Tag,
}

impl FairQueue {
    /// Records the arrival of work of `cost` tokens; returns its start tag.
    pub fn arrive(&mut self, workspace: &Name, weight: u32, cost: u32) -> Tag {
        let virtual_time = self.virtual_time;
        let finish = self.finish(workspace);
        let start = finish.tag.max(virtual_time);
        finish.tag = start + virtual_cost(weight, cost);
        start
    }

    /// Advances the virtual time to the start tag of work that starts now; drops passed tags.
    pub fn serve(&mut self, start: Tag) {
        self.virtual_time = self.virtual_time.max(start);
        let virtual_time = self.virtual_time;
        self.tags.retain(|t| t.tag > virtual_time);
    }

    /// Corrects a charge of `cost` tokens for work that used `used`.
    pub fn settle(&mut self, workspace: &Name, weight: u32, cost: u32, used: u32) {
        let (before, after) = (virtual_cost(weight, cost), virtual_cost(weight, used));
        let finish = self.finish(workspace);
        finish.tag = (finish.tag + after).saturating_sub(before);
    }

    /// Drops all tags; called when nothing waits and nothing runs.
    pub fn reset(&mut self) {
        self.tags.clear();
    }

    /// Number of workspaces with a finish tag.
    pub fn tracked(&self) -> usize {
        self.tags.len()
    }

    fn finish(&mut self, workspace: &Name) -> &mut FinishTag {
        let found = self.tags.binary_search_by(|t| t.workspace.cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            let finish = FinishTag {
                workspace: workspace.clone(),
                tag: self.virtual_time,
            };
            self.tags.insert(at, finish);
            at
        });
        &mut self.tags[at]
    }
}

fn virtual_cost(weight: u32, cost: u32) -> Tag {
    Tag::from(cost) * UNIT / Tag::from(weight.max(1))
}
