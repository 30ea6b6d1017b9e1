//! What candidates for a request promise, from the state of one host.

use super::{
    choose::Candidate,
    expected::Load,
    state::{Routes, ServerStats},
};
use crate::{clock::Time, config::Server, wire::Name};

impl Routes {
    /// Adds to the candidates, all of them among `servers` (sorted by name), what a request can expect there.
    pub(super) fn assess(
        &self,
        stats: &[ServerStats],
        servers: &[Server],
        all: &mut [Candidate],
        now: Time,
    ) {
        let load = |c: &Candidate| {
            let at = servers.binary_search_by(|s| s.name.cmp(&c.name));
            load(stats, &c.name, at.map_or(1, |at| servers[at].slots), now)
        };
        let named: Vec<_> = all.iter().map(|c| (&c.name, c.is_near, load(c))).collect();
        let Some(expected) = self.speeds.assess(now, &named) else {
            return;
        };
        for (candidate, expected) in all.iter_mut().zip(expected) {
            candidate.expected = Some(expected);
        }
    }
}

/// What is at `server`: the counts of its gate if they are fresh, else the host's own requests.
fn load(stats: &[ServerStats], server: &Name, slots: u32, now: Time) -> Load {
    let slots = slots.max(1);
    let mut load = Load::default();
    if let Ok(at) = stats.binary_search_by(|s| s.server.cmp(server)) {
        let known = &stats[at];
        let recent = known.recent_counts(now);
        load.is_known = recent.is_some();
        load.counts = recent.unwrap_or_default();
        load.counts.online = load.counts.online.max(known.online);
    }
    load.counts.slots = slots;
    load
}
