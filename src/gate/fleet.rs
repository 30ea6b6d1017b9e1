//! Reports the service of each workspace's batch work to the workspace's home host, and learns its
//! fair-share tag in the whole fleet.

use super::hold::CALL_TIMEOUT;
use crate::{
    kernel::{Call, Host},
    share::{Report, Tag},
    wire::Peer,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Reports the service of some workspaces to their home host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// One report for each workspace.
    pub reports: Vec<Report>,
}

/// Answer to [`Served`]: fleet-wide tags of the workspaces, in the order of the reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tags {
    /// Fair-share tags.
    pub tags: Vec<Tag>,
}

impl Call for Served {
    type Reply = Tags;
    const PATH: &'static str = "/peer/gate/served";
}

/// Adds reports to the totals, as the home of their workspaces.
pub(super) fn add(host: &Host, call: &Served) -> Tags {
    let mut totals = host.gates.totals.lock().expect("totals");
    let tags = call.reports.iter().map(|r| totals.add(r)).collect();
    Tags { tags }
}

/// Reports the service of this host's batch work, in one message for each home.
pub(super) fn report(host: &Arc<Host>) {
    let reports = host.gates.held.shares().reports();
    let mut homes: Vec<(Peer, Vec<Report>)> = Vec::new();
    for report in reports {
        let key = format!("served/{}", report.workspace);
        let home = host.members.owner(&key).unwrap_or(host.me.clone());
        match homes.binary_search_by(|(p, _)| p.name.cmp(&home.name)) {
            Ok(at) => homes[at].1.push(report),
            Err(at) => homes.insert(at, (home, vec![report])),
        }
    }
    for (home, reports) in homes {
        let call = Served { reports };
        let tags = if home.name == host.me.name {
            add(host, &call)
        } else {
            host.call(home.addr, &call, CALL_TIMEOUT)
                .unwrap_or_default()
        };
        let mut shares = host.gates.held.shares();
        for (i, report) in call.reports.iter().enumerate() {
            shares.handle_answer(report, tags.tags.get(i).copied());
        }
    }
}
