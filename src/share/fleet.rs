//! Fair-share tags of batch work over all backend servers.
//!
//! The queue of one server sees only a small part of the service of a workspace. So batch work uses
//! fleet-wide tags: one host, the home of a workspace, sums the reports of all hosts, and each host
//! adds the change that it has not reported yet.

use super::{Tag, virtual_cost};
use crate::wire::Name;
use serde::{Deserialize, Serialize};

/// Virtual time, 300 tokens at weight one, by which a workspace may be behind or ahead of the
/// others. What it lost or gained beyond that, as its or their work came late, is forgotten.
pub const DRIFT_MAX: Tag = 300 * super::UNIT;

/// Rounds of reports without work after which a host forgets a workspace.
const IDLE_ROUNDS: u32 = 25;
/// Rounds without a report after which a workspace is reported although this host did not move its
/// tag: the work of other hosts moves it, and the answer has the present tag.
const QUIET_ROUNDS: u32 = 2;

/// Service of one workspace, sent by a host to the home of the workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Workspace whose tag moves.
    pub workspace: Name,
    /// Virtual time by which the tag moves; negative if less was used than expected.
    #[serde(rename = "moved")]
    pub delta: i64,
    /// Sender's virtual time: the highest of its servers, or its lowest tag in use if higher.
    #[serde(rename = "level")]
    pub virtual_time: Tag,
}

/// Fleet-wide tags of the workspaces whose home is this host.
#[derive(Debug, Default)]
pub struct FleetTags {
    virtual_time: Tag,
    /// Sorted by workspace.
    tags: Vec<(Name, Tag)>,
}

impl FleetTags {
    /// Adds a report; returns the new tag, which is at most `DRIFT_MAX` from the virtual time.
    pub fn add(&mut self, report: &Report) -> Tag {
        let found = self.tags.binary_search_by(|t| t.0.cmp(&report.workspace));
        let at = found.unwrap_or_else(|at| {
            self.tags
                .insert(at, (report.workspace.clone(), report.virtual_time));
            at
        });
        let now = self.virtual_time.max(report.virtual_time);
        self.virtual_time = now;
        let tag = self.tags[at].1.saturating_add_signed(report.delta);
        let (least, most) = (now.saturating_sub(DRIFT_MAX), now + DRIFT_MAX);
        self.tags[at].1 = tag.clamp(least, most);
        self.tags[at].1
    }
}

/// Tags of the workspaces that have batch work on this host.
#[derive(Debug, Default)]
pub struct HostTags {
    virtual_time: Tag,
    /// Sorted by workspace.
    tags: Vec<HostTag>,
}

#[derive(Debug)]
struct HostTag {
    workspace: Name,
    /// Tag in the last answer of the workspace's home.
    known: Tag,
    /// Change in reports that are not answered yet.
    sent: i64,
    /// Change that was not reported yet.
    unsent: i64,
    /// Rounds of reports since a request last needed the tag.
    idle_rounds: u32,
    /// Rounds since the last report.
    quiet_rounds: u32,
}

impl HostTags {
    /// Fleet-wide tag of `workspace` as known to this host; marks the workspace as in use.
    pub fn tag(&mut self, workspace: &Name) -> Tag {
        let own = self.entry(workspace);
        own.idle_rounds = 0;
        own.current()
    }

    /// Charges `workspace` for `cost` tokens that it is expected to use.
    pub fn charge(&mut self, workspace: &Name, weight: u32, cost: u32) {
        self.entry(workspace).unsent += virtual_cost(weight, cost) as i64;
    }

    /// Corrects a charge of `cost` tokens for work that used `used`.
    pub fn settle(&mut self, workspace: &Name, weight: u32, cost: u32, used: u32) {
        let own = self.entry(workspace);
        own.unsent += virtual_cost(weight, used) as i64 - virtual_cost(weight, cost) as i64;
    }

    /// Advances the virtual time to that of a server, if that is higher.
    pub fn advance(&mut self, virtual_time: Tag) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// Reports of this round: tags that this host moved, and those not reported for some rounds.
    /// Drops workspaces that have had no work for `IDLE_ROUNDS`.
    pub fn reports(&mut self) -> Vec<Report> {
        self.tags
            .retain(|s| s.idle_rounds < IDLE_ROUNDS || s.sent != 0 || s.unsent != 0);
        let least = self
            .tags
            .iter()
            .filter(|s| s.idle_rounds == 0)
            .map(HostTag::current)
            .min();
        self.virtual_time = self.virtual_time.max(least.unwrap_or(0));
        let virtual_time = self.virtual_time;
        let reports = self.tags.iter_mut().filter_map(|own| {
            own.idle_rounds += 1;
            own.quiet_rounds += 1;
            (own.unsent != 0 || own.quiet_rounds > QUIET_ROUNDS).then(|| own.report(virtual_time))
        });
        reports.collect()
    }

    /// Applies the tag in the answer to a report; without an answer, the change is reported again.
    pub fn handle_answer(&mut self, report: &Report, tag: Option<Tag>) {
        let own = self.entry(&report.workspace);
        own.sent -= report.delta;
        match tag {
            Some(tag) => own.known = tag,
            None => own.unsent += report.delta,
        }
    }

    fn entry(&mut self, workspace: &Name) -> &mut HostTag {
        let found = self.tags.binary_search_by(|s| s.workspace.cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            let own = HostTag {
                workspace: workspace.clone(),
                known: self.virtual_time,
                sent: 0,
                unsent: 0,
                idle_rounds: 0,
                quiet_rounds: QUIET_ROUNDS,
            };
            self.tags.insert(at, own);
            at
        });
        &mut self.tags[at]
    }
}

impl HostTag {
    fn current(&self) -> Tag {
        self.known.saturating_add_signed(self.sent + self.unsent)
    }

    fn report(&mut self, virtual_time: Tag) -> Report {
        let delta = std::mem::take(&mut self.unsent);
        self.sent += delta;
        self.quiet_rounds = 0;
        Report {
            workspace: self.workspace.clone(),
            delta,
            virtual_time,
        }
    }
}

/// Tags of the workspaces that have batch work at one server.
#[derive(Debug, Clone, Default)]
pub struct QueueTags {
    virtual_time: Tag,
    /// Sorted by workspace.
    tags: Vec<(Name, Tag)>,
}

impl QueueTags {
    /// Sets the tag of `workspace` to the one that a requesting host knows.
    pub fn set(&mut self, workspace: &Name, tag: Tag) {
        let at = self.find(workspace);
        self.tags[at].1 = tag;
    }

    /// Tag of `workspace`; the virtual time if it has none.
    pub fn tag(&self, workspace: &Name) -> Tag {
        let found = self.tags.binary_search_by(|t| t.0.cmp(workspace));
        found.map_or(self.virtual_time, |at| self.tags[at].1)
    }

    /// Charges work that starts now, and advances the virtual time to the tag before the charge.
    pub fn serve(&mut self, workspace: &Name, weight: u32, cost: u32) {
        let at = self.find(workspace);
        self.virtual_time = self.virtual_time.max(self.tags[at].1);
        self.tags[at].1 += virtual_cost(weight, cost);
    }

    /// Corrects a charge of `cost` tokens for work that used `used`.
    pub fn settle(&mut self, workspace: &Name, weight: u32, cost: u32, used: u32) {
        let at = self.find(workspace);
        let tag = &mut self.tags[at].1;
        *tag = (*tag + virtual_cost(weight, used)).saturating_sub(virtual_cost(weight, cost));
    }

    /// Virtual time: the highest tag with which work has been served.
    pub fn virtual_time(&self) -> Tag {
        self.virtual_time
    }

    /// Number of workspaces with a tag.
    pub fn tracked(&self) -> usize {
        self.tags.len()
    }

    /// Drops the tags of all workspaces except those for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.tags.retain(|(name, _)| keep(name));
    }

    fn find(&mut self, workspace: &Name) -> usize {
        let found = self.tags.binary_search_by(|t| t.0.cmp(workspace));
        found.unwrap_or_else(|at| {
            self.tags.insert(at, (workspace.clone(), self.virtual_time));
            at
        })
    }
}
