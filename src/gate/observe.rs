//! Tells gates what holders of slots observed, together with the releases, and what gates learned from it.
//!
//! The message replaces a release, so that no request costs a further one. The answer carries speeds of
//! the gate's server and of a few others that the answering host knows: each host meets each gate only
//! every ten to twenty seconds, and speeds that pass from host to host reach all within a few exchanges.

use super::{
    call::{Release, ReleasedSlot},
    gate_key,
    grant::{Inner, Queues},
    hold::{CALL_TIMEOUT, Held},
    learned::{Sample, Speed},
    slot::Counts,
};
use crate::{
    clock::Time,
    config::Server,
    error::Kind,
    kernel::{Call, Host},
    member::Backoff,
    pass::LoadReport,
    wire::{Name, Peer},
};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Time for which a host that does not know the message is sent releases only.
const UNKNOWN_TIME: Duration = Duration::from_secs(60);
/// Age at which an observation that no release accompanied is dropped, and most that are kept.
const KEEP_AGE: Duration = Duration::from_secs(2);
const KEEP_MAX: usize = 256;
/// Speeds of further servers in an answer.
const SPEEDS_MAX: usize = 8;

/// Releases slots whose attempts were sent, and tells what was observed of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleaseObserved {
    /// Slots to release.
    pub slots: Vec<ReleasedSlot>,
    /// Observations of attempts, each with its server.
    pub samples: Vec<(Name, Sample)>,
}

/// Answer to [`ReleaseObserved`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ObservedReply {
    /// Counts after the message, in the order of the slots.
    pub counts: Vec<Counts>,
    /// Speeds of servers, those of the slots first.
    pub speeds: Vec<ToldSpeed>,
}

/// Speed of a server as one host tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldSpeed {
    /// Backend server.
    pub server: Name,
    /// Its speed.
    pub speed: Speed,
    /// Time since its gate estimated it.
    pub age: Duration,
}

impl Call for ReleaseObserved {
    type Reply = ObservedReply;
    const PATH: &'static str = "/peer/gate/observed";
}

/// What a host observed of an attempt, by its own clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Observed {
    /// From sending the request to the first event.
    pub first: Option<Duration>,
    /// Recent mean time between events.
    pub gap: Option<Duration>,
    /// Time before the last event that the mean covers.
    pub span: Duration,
    /// Time of the last event.
    pub at: Time,
    /// The newest load report and when it came.
    pub load: Option<(LoadReport, Time)>,
}

impl Observed {
    /// The observation as it is told at `now`.
    pub fn sample(&self, now: Time) -> Sample {
        Sample {
            first: self.first,
            gap: self.gap,
            span: self.span,
            age: now.saturating_sub(self.at),
            load: self
                .load
                .map(|(report, at)| (report, now.saturating_sub(at))),
        }
    }
}

/// Observations that are not sent yet, and hosts that do not know the message.
#[derive(Debug, Default)]
pub(super) struct Observations {
    due: Vec<(Name, Observed)>,
    unknown: Backoff,
}

impl Held {
    /// Has the gate of `server` told what was observed, with the next release for it.
    pub fn observe(&self, server: &Name, observed: Observed) {
        let mut observations = self.observations.lock().expect("observations");
        let due = &mut observations.due;
        due.retain(|(_, o)| observed.at.saturating_sub(o.at) < KEEP_AGE);
        if due.len() < KEEP_MAX {
            due.push((server.clone(), observed));
        }
    }

    /// Releases `slots` at the gates on `peer`, with the observations for these.
    pub fn send_observed(&self, host: &Host, peer: &Peer, slots: Vec<ReleasedSlot>) {
        let servers: Vec<Name> = slots.iter().map(|d| d.server.clone()).collect();
        let samples = self.take_samples(host, peer, &servers);
        let reply = if peer.name == host.me.name {
            host.gates.queues.release_observed(host, &slots, &samples)
        } else if samples.is_empty() {
            self.release_only(host, peer, slots)
        } else {
            let call = ReleaseObserved { slots, samples };
            match host.call(peer.addr, &call, CALL_TIMEOUT) {
                Ok(reply) => reply,
                Err(fail) if matches!(fail.kind, Kind::Unreachable | Kind::ServerLost) => {
                    self.mark_down(&peer.name, host.now());
                    ObservedReply::default()
                }
                // The release has to reach the host in the message that every build knows.
                Err(fail) => {
                    // Builds answer an unknown path with 404; without a decodable error that is `BadRequest`.
                    if matches!(fail.kind, Kind::NotFound | Kind::BadRequest) {
                        let mut observations = self.observations.lock().expect("observations");
                        let unknown = &mut observations.unknown;
                        unknown.add(&peer.name, host.now(), UNKNOWN_TIME);
                    }
                    self.release_only(host, peer, call.slots)
                }
            }
        };
        host.routes.learn(host.now(), &servers, &reply.counts);
        host.routes.speeds.learn(host.now(), &reply.speeds);
    }

    fn release_only(&self, host: &Host, peer: &Peer, slots: Vec<ReleasedSlot>) -> ObservedReply {
        ObservedReply {
            counts: self.send_to(host, peer, &Release { slots }),
            speeds: Vec::new(),
        }
    }

    /// Takes the observations of `servers` if no other host than `peer` runs their gates, and if `peer` knows the message.
    fn take_samples(&self, host: &Host, peer: &Peer, servers: &[Name]) -> Vec<(Name, Sample)> {
        let now = host.now();
        let is_down = self.is_down(&peer.name, now);
        let mut observations = self.observations.lock().expect("observations");
        if is_down || observations.unknown.contains(&peer.name, now) {
            return Vec::new();
        }
        let is_here = |server: &Name| {
            let owner = host.members.owner(&gate_key(server));
            servers.contains(server) && owner.is_none_or(|o| o.name == peer.name)
        };
        let due = observations
            .due
            .extract_if(.., |(server, _)| is_here(server));
        due.map(|(server, observed)| (server, observed.sample(now)))
            .collect()
    }
}

impl Inner {
    /// Sets the limits of the queue to what was learned.
    pub(super) fn follow_learned(&mut self, host: &Host, server: &Server) {
        if host.settings.learn {
            self.learned
                .follow_server(server.slots, server.start, host.now());
            self.apply_learned(host);
        }
    }

    /// Sets the limits of the queue to those in force now, which change with time alone, too.
    pub(super) fn apply_learned(&mut self, host: &Host) {
        if host.settings.learn {
            let now = host.now();
            self.learned.expire(now);
            let (batch, all) = (self.learned.batch_limit(now), self.learned.limit());
            self.queue.set_concurrency(batch, all);
        }
    }

    /// Records the number of requests that run.
    pub(super) fn note_running(&mut self, host: &Host) {
        if host.settings.learn {
            let counts = self.queue.counts();
            self.learned
                .note_running(host.now(), counts.online + counts.batch);
        }
    }
}

impl Queues {
    /// Learns from `samples`, then frees `slots`.
    pub(super) fn release_observed(
        &self,
        host: &Host,
        slots: &[ReleasedSlot],
        samples: &[(Name, Sample)],
    ) -> ObservedReply {
        for (name, sample) in samples {
            self.learn(host, name, sample);
        }
        let counts = self.release(host, slots, true);
        let now = host.now();
        let mut speeds: Vec<ToldSpeed> = Vec::new();
        let servers = slots.iter().map(|s| &s.server);
        for server in servers.chain(samples.iter().map(|(name, _)| name)) {
            if speeds.iter().all(|told| told.server != *server) {
                speeds.extend(self.owned_speed(now, server));
            }
        }
        // What this host itself learned from others may still be news to the caller.
        speeds.extend(host.routes.speeds.some(now, SPEEDS_MAX, &mut rand::rng()));
        ObservedReply { counts, speeds }
    }

    fn learn(&self, host: &Host, name: &Name, sample: &Sample) {
        let server = host.config.view(|s| s.server(name).cloned());
        let (Some(gate), Some(server)) = (self.find(name), server) else {
            return;
        };
        if !host.settings.learn {
            return;
        }
        let now = host.now();
        let mut inner = gate.lock();
        inner.follow_learned(host, &server);
        let before = inner.learned.limit();
        let is_changed = inner.learned.learn(now, sample);
        inner.follow_learned(host, &server);
        let (limit, speed) = (inner.learned.limit(), inner.learned.speed(now));
        let effects = inner.queue.serve(now);
        self.apply(host, &gate, &mut inner, effects);
        drop(inner);
        let Some(speed) = speed else { return };
        if is_changed {
            let (server, slots) = (&**name, server.slots);
            let (step_us, full_us) = (speed.step, speed.full);
            tracing::info!(
                server,
                limit,
                before,
                slots,
                step_us,
                full_us,
                "server_limit_learned"
            );
        }
        let told = self.owned_speed(now, name);
        host.routes.speeds.learn(now, told.as_slice());
    }

    /// Learned speed of `server` if this host owns its gate and has enough observations.
    pub fn owned_speed(&self, now: Time, server: &Name) -> Option<ToldSpeed> {
        let gate = self.find(server)?;
        let inner = gate.lock();
        inner.owned_since?;
        let (speed, age) = inner.learned.estimate(now)?;
        let server = server.clone();
        Some(ToldSpeed { server, speed, age })
    }

    /// Learned speed of every server that has a gate on this host and enough observations.
    pub fn speeds(&self, now: Time) -> Vec<(Name, Speed)> {
        let all = self.all();
        let speed =
            |g: &Arc<super::grant::Gate>| Some((g.server.clone(), g.lock().learned.speed(now)?));
        all.iter().filter_map(speed).collect()
    }
}
