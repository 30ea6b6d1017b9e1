//! Tells gates which limits servers stated, and decides how much of a limit a gate grants.
//!
//! The gate of a server grants every slot, so it is the one place that can hold a limit that counts
//! over all hosts.

use super::{
    call::{LimitNotice, StatedLimit},
    gate_key,
    hold::{CALL_TIMEOUT, Held},
    release::add,
};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    kernel::Host,
    member::Members,
    wire::{Name, Peer},
};
use std::time::Duration;

/// Least rate in requests per second: only an answer tells that a limit of zero has ended.
pub const PROBE_RATE: f64 = 0.2;
/// Part of a limit that is granted while another host may grant it as well. Together they stay below
/// one and a half times the limit.
pub const SHARED_PART: f64 = 0.25;
/// Time, beyond the interval of reads of the host list, for which others may take an earlier gate for
/// the present one.
const HANDOVER_MARGIN: Duration = Duration::from_secs(1);
/// Attempts that ended without a repeated statement after which the limit lapses, and the least age
/// of the statement.
const UNCONFIRMED_MAX: u32 = 4;
const UNCONFIRMED_AGE: Duration = Duration::from_secs(10);

/// By what right a host grants slots of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It has been the gate for long enough for all hosts to know.
    Gate,
    /// It became the gate lately, or stands in for it.
    Standby,
    /// It reaches no gate and grants for itself, like each of this many hosts.
    Alone(usize),
}

impl Role {
    /// Slots per second that are granted of the limit `rate`.
    pub fn granted_rate(self, rate: f64) -> f64 {
        let part = match self {
            Self::Gate => 1.0,
            Self::Standby => SHARED_PART,
            Self::Alone(count) => 1.0 / count.max(1) as f64,
        };
        rate.max(PROBE_RATE) * part
    }
}

impl Role {
    /// The role for the limit of a cold server, if the host list was last read `list_age` ago and has
    /// `host_count` hosts. While the list cannot be read, another host may have become the gate.
    pub fn for_cold(self, list_age: Option<Duration>, host_count: usize) -> Self {
        let is_fresh = list_age.is_some_and(|age| age < handover(host_count));
        match self {
            Self::Gate if !is_fresh => Self::Standby,
            role => role,
        }
    }
}

/// Time after which a new gate grants all of a limit.
pub(super) fn handover(host_count: usize) -> Duration {
    Members::read_every(host_count) + HANDOVER_MARGIN
}

/// Counts attempts that ended since a server last stated its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Confirmation {
    stated_at: Time,
    ended: u32,
}

impl Confirmation {
    /// Whether the limit stated at `stated_at` is still in force at `now`. It is not if attempts ended since
    /// and nobody told of a repetition: hosts that never heard of it do not tell of its end.
    pub fn holds(&mut self, stated_at: Time, now: Time) -> bool {
        if self.stated_at != stated_at {
            *self = Self {
                stated_at,
                ended: 0,
            };
        }
        self.ended < UNCONFIRMED_MAX || now.saturating_sub(stated_at) < UNCONFIRMED_AGE
    }

    /// Counts an attempt that was sent and has ended.
    pub fn note_ended(&mut self) {
        self.ended = self.ended.saturating_add(1);
    }
}

impl Held {
    /// Has the gate of `server` told what the server stated.
    pub fn queue_limit(&self, server: &Name) {
        let mut outbox = self.outbox.lock().expect("outbox");
        if !outbox.limits.contains(server) {
            outbox.limits.push(server.clone());
        }
        drop(outbox);
        self.queued.notify_all();
    }
}

/// Tells `peer` what `server` stated, if it has not been told. A host that runs an earlier build and does
/// not know the message counts as told.
///
/// # Errors
/// The host cannot be reached.
pub(super) fn tell(host: &Host, peer: &Peer, server: &Name) -> Res<()> {
    match host.routes.limits.untold(server, &peer.name, host.now()) {
        Some(limit) => send(host, peer, vec![limit]),
        None => Ok(()),
    }
}

/// Tells the gates of `servers` what these stated.
pub(super) fn tell_gates(host: &Host, servers: &[Name]) {
    let mut batches = Vec::new();
    for server in servers {
        let limit = host.routes.limits.stated(server, host.now());
        if let (Some(limit), Some(gate)) = (limit, host.members.owner(&gate_key(server))) {
            add(&mut batches, gate, limit);
        }
    }
    for (gate, limits) in batches {
        if let Err(fail) = send(host, &gate, limits) {
            // It is told again before it is asked for a slot.
            tracing::info!(peer = &*gate.name, error = %fail, "limits_not_told");
        }
    }
}

fn send(host: &Host, peer: &Peer, limits: Vec<StatedLimit>) -> Res<()> {
    if peer.name != host.me.name {
        let notice = LimitNotice {
            limits: limits.clone(),
        };
        host.call(peer.addr, &notice, CALL_TIMEOUT)
            .or_else(is_answer)?;
    }
    for limit in &limits {
        host.routes.limits.mark_told(limit, &peer.name, host.now());
    }
    Ok(())
}

/// Takes any answer of the peer, also that of a build that does not know the message.
fn is_answer(fail: Fail) -> Res<()> {
    match fail.kind {
        Kind::Unreachable | Kind::ServerLost => Err(fail),
        _ => Ok(()),
    }
}

/// Records what other hosts were told by servers.
pub(super) fn receive(host: &Host, notice: &LimitNotice) {
    for limit in &notice.limits {
        host.note_told_limit(limit);
    }
}
