//! Records, as the gate of their servers, streams whose hosts did not when another software version joined.
//!
//! A host that stands still or is cut off at that moment records nothing, and its callers resume its
//! streams elsewhere. The gates know at which servers these streams began.

use super::{RESUME_MAX, Recorded, Stream};
use crate::{clock::Time, gate::SlotRequest, kernel::Host, wire::Name};
use std::{collections::VecDeque, time::Duration};

/// Time for the hosts where the streams began to record them.
const RECORDED_AFTER: Duration = Duration::from_secs(1);
/// Most streams that are kept.
const GRANTED_MAX: usize = 4096;
/// Begins the id of a record by a gate. A record by the host where the stream began goes before it.
const GATE_PREFIX: &str = "gate/";

/// Streams of other hosts with slots that this host granted and that they have not released.
#[derive(Debug, Clone, Default)]
pub(super) struct GrantedStreams {
    /// Id of the attempt and its stream, in the order of the grants.
    streams: VecDeque<(Name, Stream)>,
}

impl GrantedStreams {
    fn note(&mut self, attempt: &Name, stream: Stream) {
        let oldest = stream.at.saturating_sub(RESUME_MAX);
        let is_old = |s: &(Name, Stream)| s.1.at < oldest;
        while self.streams.len() >= GRANTED_MAX || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
        self.streams.push_back((attempt.clone(), stream));
    }

    fn remove(&mut self, attempt: &str) {
        self.streams.retain(|(id, _)| **id != *attempt);
    }

    /// The streams of `service` granted until `end` that may still be resumed at `now`.
    fn of_service(&self, service: &str, end: Time, now: Time) -> Vec<Stream> {
        let streams = self.streams.iter().map(|(_, stream)| stream);
        streams
            .filter(|s| *s.service == *service && s.at <= end)
            .filter(|s| now.saturating_sub(s.at) < RESUME_MAX)
            .cloned()
            .collect()
    }
}

/// A service that another version joined.
#[derive(Debug, Clone)]
pub(super) struct Joined {
    service: Name,
    at: Time,
}

impl Host {
    /// Notes that a slot of a server with the software `version` was granted to `request` of another host.
    pub fn note_granted_stream(&self, request: &SlotRequest, version: &Name) {
        if self.dialect.is_none() || request.holder == self.me.name {
            return;
        }
        let stream = Stream {
            id: request.work_id(),
            service: request.model.clone(),
            version: version.clone(),
            at: self.now(),
        };
        self.resume.granted().note(&request.id, stream);
    }

    /// Notes that the slot of `attempt` was released: its host is there to record the stream, if it began.
    pub fn note_released_stream(&self, attempt: &str) {
        self.resume.granted().remove(attempt);
    }

    /// Notes that another version joined `service`.
    pub(super) fn note_joined(&self, service: &Name) {
        let mut joined = self.resume.joined();
        joined.retain(|j| j.service != *service);
        joined.push(Joined {
            service: service.clone(),
            at: self.now(),
        });
    }

    /// Records the granted streams from before a version joined that have no record by now.
    pub(super) fn record_granted(&self) {
        let now = self.now();
        let is_due = |j: &mut Joined| now.saturating_sub(j.at) >= RECORDED_AFTER;
        let due: Vec<Joined> = self.resume.joined().extract_if(.., is_due).collect();
        for Joined { service, at } in due {
            self.origins.read_now();
            // Those of later slots may have begun at the new version, with a slot of another gate.
            let mut streams = self.resume.granted().of_service(&service, at, now);
            streams.retain(|s| self.recorded(&s.id).is_none());
            let count = streams.len();
            for stream in streams {
                let id = gate_id(&stream.id);
                self.submit_stream(Stream { id, ..stream }, true);
            }
            tracing::info!(service = &*service, count, "granted_streams_recorded");
        }
    }

    /// The record of the stream `id`, by the host where it began or by a gate.
    pub(super) fn recorded(&self, id: &str) -> Option<Recorded> {
        let by_gate = gate_id(id);
        self.origins
            .view(|o| o.stream(id).or_else(|| o.stream(&by_gate)).cloned())
    }
}

fn gate_id(id: &str) -> Name {
    format!("{GATE_PREFIX}{id}").into()
}
