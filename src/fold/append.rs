//! Append side of a follower: records are queued and appended in groups.

use super::{
    AppendOutcome, FRAME_MAX, Fold, Follower, Ticket,
    follower::RETRY_PAUSE,
    frame::{Pending, encode_frame},
    pos,
};
use crate::{
    clock::Clock,
    store::{AppendError, Log},
    wire::Name,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Maximum number of bytes of fold records in one log record.
const FRAME_BYTES_MAX: usize = 512 * 1024;
/// Interval at which an idle appender checks whether the follower was stopped.
const STOP_CHECK: Duration = Duration::from_millis(500);

impl<F: Fold, L: Log + Clone, C: Clock + Clone> Follower<F, L, C> {
    /// Has records of `group` that are queued from now on appended in log records of their own, which the log may
    /// refuse without holding back others.
    pub fn append_apart(&self, group: &Name) {
        self.apart.lock().expect("groups").push(group.clone());
    }

    /// Ends [`append_apart`](Self::append_apart).
    pub fn append_together(&self, group: &Name) {
        self.apart.lock().expect("groups").retain(|g| g != group);
    }

    /// Queues a record for the next append.
    pub fn submit(&self, rec: &F::Record) -> Ticket {
        let mut queue = self.queue.lock().expect("append queue");
        let ticket = self.enqueue(&mut queue, rec);
        drop(queue);
        self.queued.notify_all();
        ticket
    }

    /// Queues `first`, if any, and `rec` for the same append as far as its size allows, and waits up to
    /// `limit` for the outcome of `rec`. If `rec` is still queued then, it is removed from the queue, so
    /// that it is certainly not appended.
    pub(super) fn submit_within(
        &self,
        first: Option<&F::Record>,
        rec: &F::Record,
        limit: Duration,
    ) -> AppendOutcome {
        let mut queue = self.queue.lock().expect("append queue");
        if let Some(first) = first {
            self.enqueue(&mut queue, first);
        }
        let ticket = self.enqueue(&mut queue, rec);
        drop(queue);
        self.queued.notify_all();
        match ticket.wait(limit) {
            AppendOutcome::Unknown if self.dequeue(&ticket) => AppendOutcome::NotTaken,
            outcome => outcome,
        }
    }

    /// Removes a record from the queue; `false` if the append thread already took it.
    fn dequeue(&self, ticket: &Ticket) -> bool {
        let mut queue = self.queue.lock().expect("append queue");
        let found = queue
            .iter()
            .position(|p| Arc::ptr_eq(&p.ticket.0, &ticket.0));
        found.map(|at| queue.remove(at)).is_some()
    }

    /// Appends queued records, group by group, until the follower is stopped.
    pub(super) fn append_loop(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            let group = self.next_group();
            if group.is_empty() {
                continue;
            }
            let frame = encode_frame(&group);
            let outcome = self.log.append(&self.stream, &frame);
            for (i, pending) in group.iter().enumerate() {
                pending.ticket.set(match &outcome {
                    Ok(offset) => AppendOutcome::Taken(pos(*offset, i)),
                    Err(AppendError::NotTaken(_)) => AppendOutcome::NotTaken,
                    Err(AppendError::Unknown(_)) => AppendOutcome::Unknown,
                });
            }
            let interval = *self.interval.lock().expect("interval");
            self.clock.sleep(if outcome.is_ok() {
                interval
            } else {
                interval.max(RETRY_PAUSE)
            });
        }
        for pending in self.queue.lock().expect("append queue").drain(..) {
            pending.ticket.set(AppendOutcome::NotTaken);
        }
    }

    fn next_group(&self) -> Vec<Pending> {
        let queue = self.queue.lock().expect("append queue");
        let (mut queue, _) = self
            .queued
            .wait_timeout_while(queue, STOP_CHECK, |q| {
                q.is_empty() && !self.stopped.load(Ordering::Relaxed)
            })
            .expect("append queue");
        let mut size = 0;
        let group = queue.first().and_then(|p| p.apart.clone());
        let count = queue
            .iter()
            .take(FRAME_MAX)
            .take_while(|p| p.apart == group)
            .take_while(|p| {
                let fits = size == 0 || size + p.bytes.len() <= FRAME_BYTES_MAX;
                size += p.bytes.len();
                fits
            })
            .count();
        queue.drain(..count).collect()
    }

    fn enqueue(&self, queue: &mut Vec<Pending>, rec: &F::Record) -> Ticket {
        let ticket = Ticket::default();
        let group = F::group(rec);
        let apart = self.apart.lock().expect("groups");
        let apart = apart.iter().find(|g| group == Some(&***g)).cloned();
        match rmp_serde::to_vec(rec) {
            Ok(bytes) => queue.push(Pending {
                bytes,
                ticket: ticket.clone(),
                apart,
            }),
            Err(_) => ticket.set(AppendOutcome::NotTaken),
        }
        ticket
    }
}
