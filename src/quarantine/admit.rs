//! Admits requests by the segments of their prompts, and claims probes.

use super::{Entry, Record, is_request};
use crate::{
    error::{Fail, Kind, Res},
    kernel::Host,
    wire::Name,
};
use std::time::Duration;

/// Longest wait for the right to probe a segment.
const CLAIM_LIMIT: Duration = Duration::from_millis(500);

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// None of its segments is in quarantine.
    Free,
    /// It may be sent as the probe of these quarantines, if this host wins the right to it.
    Probe(Vec<Entry>),
    /// It must not be sent.
    Refused(Fail),
}

/// The right to send one request with segments in quarantine to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit(());

impl Host {
    /// Whether a request with `segments` may be sent now.
    pub fn admit_segments(&self, segments: &[Name]) -> Admission {
        if segments.is_empty() {
            return Admission::Free;
        }
        let now = self.now();
        self.quarantine
            .view(|state| self.segments.board().admission(state, segments, now))
    }

    /// Claims the probe of `entries` for this host. Of all hosts, one wins.
    ///
    /// # Errors
    /// `Quarantined` if another host has the probe or the log does not tell.
    pub fn claim_probe(&self, entries: &[Entry]) -> Res<Permit> {
        for entry in entries {
            let record = Record::Probe {
                segment: entry.segment.clone(),
                since: entry.since,
                number: entry.probes,
                host: self.me.name.clone(),
            };
            let claimed = self.quarantine.settle(&record, CLAIM_LIMIT, |state| {
                let Some(now) = state.entry(&entry.segment) else {
                    return Some(true);
                };
                let is_mine = now.since == entry.since
                    && now.probes == entry.probes + 1
                    && now.host == self.me.name;
                (now != entry).then_some(is_mine)
            });
            if !matches!(claimed, Ok(true)) {
                let segment = &*entry.segment;
                tracing::info!(
                    segment,
                    number = entry.probes,
                    ?claimed,
                    "probe_not_claimed"
                );
                return Err(refusal(&[entry]));
            }
        }
        Ok(Permit(()))
    }
}

/// Refusal of a request with segments in quarantine.
pub(super) fn refusal(entries: &[&Entry]) -> Fail {
    let whole = entries.iter().position(|e| is_request(&e.segment));
    let named = match whole {
        Some(at) => &entries[at..=at],
        None => entries,
    };
    let servers = named.iter().map(|e| e.servers.len()).max().unwrap_or(0);
    let names: Vec<&str> = named.iter().map(|e| &*e.segment).collect();
    refuse(&names, &format!("{servers} backend servers"))
}

/// Refusal of a request with a segment that is refused ahead of the log.
pub(super) fn hold_refusal(segment: &str) -> Fail {
    refuse(&[segment], "backend servers")
}

fn refuse(names: &[&str], servers: &str) -> Fail {
    let text = match names.iter().find(|n| is_request(n)) {
        Some(id) => format!(
            "this request is in quarantine because {servers} ended under it: \"{id}\"; do not send the same \
             path and body again"
        ),
        None => {
            let names: Vec<String> = names.iter().map(|n| format!("\"{n}\"")).collect();
            format!(
                "segments of the prompt are in quarantine because {servers} ended under requests with them: \
                 {}; send the request without them",
                names.join(", ")
            )
        }
    };
    Fail::new(Kind::Quarantined, text)
}
