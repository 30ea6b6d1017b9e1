//! What workspaces were served by all backend servers together.
//!
//! A server's own queue sees a small part of what a workspace is served. So the tags of batch work
//! are those of the whole fleet: the home host of a workspace adds up what all hosts report, and
//! each host adds what it has not reported yet.

use super::{Tag, span};
use crate::wire::Name;
use serde::{Deserialize, Serialize};

/// Virtual time by which a workspace may be behind the others or ahead of them. What it lost or
/// gained beyond that, because its work or that of others came late, is forgotten.
pub const APART: Tag = 300 * super::UNIT;

/// Looks without work after which a host forgets a workspace.
const IDLE_MAX: u32 = 25;
/// Looks after which a workspace that this host moved nothing for is reported all the same: its tag
/// moves by the work of other hosts.
const QUIET_MAX: u32 = 2;

/// What a host tells the home of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Workspace.
    pub workspace: Name,
    /// Virtual time by which its tag moves; less than zero if less was used than expected.
    pub moved: i64,
    /// Virtual time of the work that servers served last.
    pub virtual_time: Tag,
}

/// Tags of the workspaces that a host is the home of.
#[derive(Debug, Default)]
pub struct Totals {
    virtual_time: Tag,
    /// Sorted by workspace.
    all: Vec<(Name, Tag)>,
}

impl Totals {
    /// Adds a report up; returns the tag of the workspace in the fleet.
    pub fn add(&mut self, report: &Report) -> Tag {
        let found = self.all.binary_search_by(|t| t.0.cmp(&report.workspace));
        let at = found.unwrap_or_else(|at| {
            self.all
                .insert(at, (report.workspace.clone(), report.virtual_time));
            at
        });
        self.virtual_time = self.virtual_time.max(report.virtual_time);
        let tag = self.all[at].1.saturating_add_signed(report.moved);
        let (least, most) = (
            self.virtual_time.saturating_sub(APART),
            self.virtual_time + APART,
        );
        self.all[at].1 = tag.clamp(least, most);
        self.all[at].1
    }
}

/// Tags of the workspaces that a host has batch work of.
#[derive(Debug, Default)]
pub struct Local {
    virtual_time: Tag,
    /// Sorted by workspace.
    all: Vec<LocalShare>,
}

#[derive(Debug)]
struct LocalShare {
    workspace: Name,
    /// Tag as its home told it.
    known: Tag,
    /// What was reported and is not in `known` yet.
    sent: i64,
    /// What was not reported yet.
    unsent: i64,
    /// Looks since something was last asked for.
    idle: u32,
    /// Looks since the last report.
    quiet: u32,
}

impl Local {
    /// Tag of `workspace` in the fleet, as far as this host knows.
    pub fn tag(&mut self, workspace: &Name) -> Tag {
        let own = self.share(workspace);
        own.idle = 0;
        own.tag()
    }

    /// Counts `cost` tokens that `workspace` is about to use.
    pub fn charge(&mut self, workspace: &Name, weight: u32, cost: u32) {
        self.share(workspace).unsent += span(weight, cost) as i64;
    }

    /// Settles work that was counted as `cost` tokens and used `used`.
    pub fn settle(&mut self, workspace: &Name, weight: u32, cost: u32, used: u32) {
        let own = self.share(workspace);
        own.unsent += span(weight, used) as i64 - span(weight, cost) as i64;
    }

    /// Takes note of the virtual time at a server.
    pub fn learn(&mut self, virtual_time: Tag) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// What to report at this look: what moved, and now and then what did not. Workspaces without
    /// work are forgotten.
    pub fn reports(&mut self) -> Vec<Report> {
        self.all
            .retain(|s| s.idle < IDLE_MAX || s.sent != 0 || s.unsent != 0);
        let least = self
            .all
            .iter()
            .filter(|s| s.idle == 0)
            .map(LocalShare::tag)
            .min();
        self.virtual_time = self.virtual_time.max(least.unwrap_or(0));
        let virtual_time = self.virtual_time;
        let reports = self.all.iter_mut().filter_map(|own| {
            own.idle += 1;
            own.quiet += 1;
            (own.unsent != 0 || own.quiet > QUIET_MAX).then(|| own.report(virtual_time))
        });
        reports.collect()
    }

    /// Takes the answer to a report; `None` if there was none.
    pub fn answered(&mut self, report: &Report, tag: Option<Tag>) {
        let own = self.share(&report.workspace);
        own.sent -= report.moved;
        match tag {
            Some(tag) => own.known = tag,
            None => own.unsent += report.moved,
        }
    }

    fn share(&mut self, workspace: &Name) -> &mut LocalShare {
        let found = self.all.binary_search_by(|s| s.workspace.cmp(workspace));
        let at = found.unwrap_or_else(|at| {
            let own = LocalShare {
                workspace: workspace.clone(),
                known: self.virtual_time,
                sent: 0,
                unsent: 0,
                idle: 0,
                quiet: QUIET_MAX,
            };
            self.all.insert(at, own);
            at
        });
        &mut self.all[at]
    }
}

impl LocalShare {
    fn tag(&self) -> Tag {
        self.known.saturating_add_signed(self.sent + self.unsent)
    }

    fn report(&mut self, virtual_time: Tag) -> Report {
        let moved = std::mem::take(&mut self.unsent);
        self.sent += moved;
        self.quiet = 0;
        Report {
            workspace: self.workspace.clone(),
            moved,
            virtual_time,
        }
    }
}

/// Tags of the workspaces whose batch work waits at one server.
#[derive(Debug, Clone, Default)]
pub struct Waits {
    virtual_time: Tag,
    /// Sorted by workspace.
    all: Vec<(Name, Tag)>,
}

impl Waits {
    /// Takes over the tag that an asking host knows.
    pub fn note(&mut self, workspace: &Name, tag: Tag) {
        let at = self.find(workspace);
        self.all[at].1 = tag;
    }

    /// Tag of `workspace`.
    pub fn tag(&self, workspace: &Name) -> Tag {
        let found = self.all.binary_search_by(|t| t.0.cmp(workspace));
        found.map_or(self.virtual_time, |at| self.all[at].1)
    }

    /// Counts work that is served now.
    pub fn serve(&mut self, workspace: &Name, weight: u32, cost: u32) {
        let at = self.find(workspace);
        self.virtual_time = self.virtual_time.max(self.all[at].1);
        self.all[at].1 += span(weight, cost);
    }

    /// Settles work that was counted as `cost` tokens and used `used`.
    pub fn settle(&mut self, workspace: &Name, weight: u32, cost: u32, used: u32) {
        let at = self.find(workspace);
        let tag = &mut self.all[at].1;
        *tag = (*tag + span(weight, used)).saturating_sub(span(weight, cost));
    }

    /// Virtual time of the work that was served last.
    pub fn virtual_time(&self) -> Tag {
        self.virtual_time
    }

    /// Number of workspaces with a tag.
    pub fn tracked(&self) -> usize {
        self.all.len()
    }

    /// Forgets all workspaces but those that `keep` names.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.all.retain(|(name, _)| keep(name));
    }

    fn find(&mut self, workspace: &Name) -> usize {
        let found = self.all.binary_search_by(|t| t.0.cmp(workspace));
        found.unwrap_or_else(|at| {
            self.all.insert(at, (workspace.clone(), self.virtual_time));
            at
        })
    }
}
