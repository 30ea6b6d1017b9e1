//! Slots that a gate keeps free of batch work for the online requests of the next moments.
//!
//! The load: online traffic alternates between peaks and troughs of a few seconds, and a batch attempt
//! runs for longer than a trough. An attempt that is started in a slot that online requests need before
//! it ends is preempted, and each resumption costs a connection, a prompt read and a wait.

use super::{
    grant::{Inner, Queues},
    slot::{SlotRequest, Verdict},
};
use crate::{
    clock::Time,
    fold::Pos,
    kernel::Host,
    wire::{Class, Name},
};
use std::time::Duration;

/// Time after which an observation counts for 1/e of a new one: about two periods of peak and trough
/// (5.8 s), so that the peak is still known at the end of a trough.
const MEMORY: Duration = Duration::from_secs(12);
/// Time since an item of a job was last denied a slot up to which the job counts as waiting. Items that
/// wait ask at least every half second.
const WAITING: Duration = Duration::from_secs(1);
/// Time since an item of a job was last denied a slot after which the job is forgotten. Its items move
/// from gate to gate every few seconds.
const FORGET: Duration = Duration::from_secs(20);
/// Most jobs remembered.
const JOBS_MAX: usize = 256;

/// How many slots a gate keeps free of batch work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Part of the time, in percent, for which the slots kept free cover the online requests; zero keeps
    /// none free.
    pub percent: u32,
    /// Time for which a job has waited from which fewer slots are kept free, and none from twice that.
    pub backlog: Duration,
}

/// Online requests seen at one gate, and the batch jobs that wait there.
#[derive(Debug, Clone, Default)]
pub struct Headroom {
    /// Seconds with each number of online requests, earlier ones counting less.
    weights: Vec<f64>,
    /// Online requests since `at`, the time of the last observation.
    online: usize,
    at: Option<Time>,
    /// Sorted by job.
    jobs: Vec<Job>,
    /// Slots that the queue was last told to keep free.
    kept: u32,
}

#[derive(Debug, Clone)]
struct Job {
    key: (Pos, Name),
    first: Time,
    last: Time,
}

impl Headroom {
    /// Records that `online` requests hold or wait for a slot from `now` on.
    pub fn note_online(&mut self, now: Time, online: u32) {
        let passed = now.saturating_sub(self.at.unwrap_or(now)).as_secs_f64();
        if passed > 0.0 {
            let memory = MEMORY.as_secs_f64();
            let kept = (-passed / memory).exp();
            for weight in &mut self.weights {
                *weight *= kept;
            }
            if self.weights.len() <= self.online {
                self.weights.resize(self.online + 1, 0.0);
            }
            self.weights[self.online] += memory * (1.0 - kept);
        }
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
        self.online = online as usize;
    }

    /// Records that an item of the job accepted at `since` got no slot at `now`.
    pub fn note_denied(&mut self, now: Time, workspace: &Name, since: Pos) {
        self.jobs.retain(|j| j.last + FORGET > now);
        let key = (since, workspace.clone());
        match self.jobs.binary_search_by(|j| j.key.cmp(&key)) {
            Ok(at) => self.jobs[at].last = now,
            Err(at) if self.jobs.len() < JOBS_MAX => {
                let (first, last) = (now, now);
                self.jobs.insert(at, Job { key, first, last });
            }
            // The jobs that are remembered waited for longer.
            Err(_) => {}
        }
    }

    /// Slots, of `slots`, to keep free of batch work at `now`, those that online requests hold included. One
    /// slot at least remains for batch work.
    pub fn reserve(&self, now: Time, slots: u32, rule: Reserve) -> u32 {
        let learned = f64::from(self.needed(rule.percent));
        let over = self.backlog_age(now).saturating_sub(rule.backlog);
        let behind = over.as_secs_f64() / rule.backlog.as_secs_f64().max(0.001);
        let reserve = (learned * (1.0 - behind.min(1.0))).round() as u32;
        reserve.min(slots.saturating_sub(1))
    }

    /// Least number of slots that covered the online requests for `percent` of the remembered time.
    fn needed(&self, percent: u32) -> u32 {
        let needed = self.weights.iter().sum::<f64>() * f64::from(percent) / 100.0;
        let mut covered = 0.0;
        for (online, weight) in (0..).zip(&self.weights) {
            covered += weight;
            if covered >= needed {
                return online;
            }
        }
        self.weights.len().saturating_sub(1) as u32
    }

    /// Time since the first denial of the job that has waited longest.
    fn backlog_age(&self, now: Time) -> Duration {
        let waiting = self.jobs.iter().filter(|j| j.last + WAITING > now);
        let first = waiting.map(|j| j.first).min();
        first.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }
}

impl Queues {
    /// Sum, over the gates of this host, of the slots kept free of batch work.
    pub fn headroom(&self) -> u32 {
        let all = self.gates.lock().expect("gates").clone();
        all.iter().map(|g| g.lock().headroom.kept).sum()
    }
}

impl Inner {
    /// Has the queue keep slots free as the settings say.
    pub(super) fn follow_headroom(&mut self, host: &Host) {
        let rule = host.settings.reserve;
        if rule.percent == 0 {
            return;
        }
        let (now, counts) = (host.now(), self.queue.counts());
        self.headroom
            .note_online(now, counts.online + counts.waiting);
        self.headroom.kept = self.headroom.reserve(now, counts.slots, rule);
        self.queue.set_reserve(self.headroom.kept);
    }

    /// Records the verdict on a request for a slot.
    pub(super) fn note_verdict(&mut self, host: &Host, request: &SlotRequest, verdict: Verdict) {
        let is_denied = request.class == Class::Batch && verdict != Verdict::Granted;
        if is_denied && host.settings.reserve.percent > 0 {
            self.headroom
                .note_denied(host.now(), &request.workspace, request.since);
        }
    }
}
