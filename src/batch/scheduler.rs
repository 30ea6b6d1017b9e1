//! Chooses which items of the held parts to dispatch next, and collects their outcomes.

use super::{Loads, Rank, Verdict};
use crate::{
    clock::Time,
    fold::Pos,
    job::{ItemEnd, ItemSpec, Job, Outcome, Part, PartRef, State},
    lease::Lease,
    wire::Name,
};
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// Number of uncommitted outcomes at which dispatch pauses.
const UNSAVED_MAX: usize = 4096;
/// Bytes of uncommitted outcomes at which dispatch pauses.
const UNSAVED_BYTES_MAX: usize = 16 << 20;

/// Dispatch queue of the parts that a host holds of one stream of jobs.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Lease that covers all the parts.
    pub lease: Lease,
    /// Sorted by job and part.
    parts: Vec<HeldPart>,
    /// Items under way by workspace, shared by all schedulers of the host.
    loads: Arc<Mutex<Loads>>,
    /// Outcomes that the folded state does not show yet.
    unsaved: Vec<UnsavedOutcome>,
    unsaved_bytes: usize,
    is_closing: bool,
}

#[derive(Debug)]
struct HeldPart {
    at: PartRef,
    workspace: Name,
    /// Log position of the job's commit.
    accepted: Pos,
    stop: Arc<AtomicBool>,
    /// Time of the first dispatch.
    since: Option<Time>,
    queue: VecDeque<QueuedItem>,
    running: u32,
    /// Non-repeatable items that were tried and did not run; the release takes back their intents.
    unrun: Vec<u32>,
}

#[derive(Debug, Clone)]
struct QueuedItem {
    index: u32,
    spec: Arc<ItemSpec>,
    tries: u32,
    attempt: u32,
    due: Time,
}

#[derive(Debug, Clone)]
struct UnsavedOutcome {
    at: PartRef,
    ended: ItemEnd,
}

/// An item to dispatch.
#[derive(Debug, Clone)]
pub struct Task {
    /// Part, with the epoch under which it is held.
    pub at: PartRef,
    /// Index of the item in the part.
    pub index: u32,
    /// Workspace that the job belongs to.
    pub workspace: Name,
    /// Log position of the job's commit.
    pub accepted: Pos,
    /// Time by which the job was accepted: the first dispatch of the part at this host.
    pub since: Time,
    /// Request of the item.
    pub spec: Arc<ItemSpec>,
    /// Earlier tries that count against the item.
    pub tries: u32,
    /// Number of earlier dispatches under the epoch.
    pub attempt: u32,
    /// Set when the host no longer holds the part.
    pub stop: Arc<AtomicBool>,
    /// Whether the item has a server slot.
    has_slot: Arc<AtomicBool>,
}

impl Scheduler {
    /// A scheduler that counts the items under way in `loads`, together with other schedulers.
    pub fn sharing(loads: Arc<Mutex<Loads>>) -> Self {
        Self {
            loads,
            ..Self::default()
        }
    }

    fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().expect("loads")
    }

    /// Matches the held parts and uncommitted outcomes to the folded state: drops what `host` no
    /// longer holds and outcomes of items that have ended in the state; adds the parts newly held.
    pub fn sync(&mut self, state: &State, host: &str) {
        let before = self.parts.len();
        self.parts.retain(|held| {
            let keep = state.held(host, &held.at).is_some();
            if !keep {
                held.stop.store(true, Ordering::Relaxed);
            }
            keep
        });
        let holds = state.holder(host).map_or(0, |h| h.parts as usize);
        if holds != self.parts.len() || before != self.parts.len() {
            self.add_new_parts(state, host);
        }
        let mut bytes = 0;
        self.unsaved.retain(|u| {
            let part = state.held(host, &u.at);
            let keep = part.is_some_and(|p| p.is_open(u.ended.index));
            bytes += if keep { size(&u.ended.outcome) } else { 0 };
            keep
        });
        self.unsaved_bytes = bytes;
    }

    fn add_new_parts(&mut self, state: &State, host: &str) {
        for job in state.jobs.iter().filter(|j| j.counts.open > 0) {
            for (i, part) in job.parts.iter().enumerate() {
                if part.holder.as_deref() != Some(host) {
                    continue;
                }
                let at = PartRef {
                    job: job.id.clone(),
                    part: i as u32,
                    epoch: part.epoch,
                };
                if let Err(spot) = self.parts.binary_search_by(|h| h.at.cmp(&at)) {
                    self.parts.insert(spot, HeldPart::new(at, job, part));
                }
            }
        }
    }

    /// The next item to dispatch, of the workspace with the lowest load for its weight ([`Loads`]).
    ///
    /// Gates share the servers by tokens over all hosts. For that, each workspace needs items
    /// waiting at the gates. So the number waiting is limited by workspace, which leaves workers for
    /// later workspaces, and this host's dispatches are not divided evenly: a workspace held by few
    /// hosts needs more from each. `span` is the lease's span.
    pub fn next(
        &mut self,
        now: Time,
        span: Duration,
        weight: impl Fn(&str) -> u32,
    ) -> Option<Task> {
        let i = self.next_part(now, span, &weight)?.0;
        let held = &mut self.parts[i];
        let pos = held.queue.iter().position(|q| q.due <= now)?;
        let queued = held.queue.remove(pos)?;
        held.running += 1;
        held.unrun.retain(|index| *index != queued.index);
        let task = Task {
            at: held.at.clone(),
            index: queued.index,
            workspace: held.workspace.clone(),
            accepted: held.accepted,
            since: *held.since.get_or_insert(now),
            spec: queued.spec,
            tries: queued.tries,
            attempt: queued.attempt,
            stop: held.stop.clone(),
            has_slot: Arc::default(),
        };
        self.loads().began(&task.workspace);
        Some(task)
    }

    /// Rank of the item that `next` would return. `span` is the lease's span.
    pub fn rank(&self, now: Time, span: Duration, weight: impl Fn(&str) -> u32) -> Option<Rank> {
        self.next_part(now, span, weight).map(|(_, rank)| rank)
    }

    /// Index of the part to serve next, with its rank.
    fn next_part(
        &self,
        now: Time,
        span: Duration,
        weight: impl Fn(&str) -> u32,
    ) -> Option<(usize, Rank)> {
        let full = self.unsaved.len() >= UNSAVED_MAX || self.unsaved_bytes >= UNSAVED_BYTES_MAX;
        if full || self.is_closing || !self.lease.is_held(now, span) {
            return None;
        }
        let loads = self.loads();
        let due = self.parts.iter().enumerate().filter(|(_, h)| h.is_due(now));
        due.filter_map(|(i, h)| Some((i, loads.rank(&h.workspace, weight(&h.workspace))?)))
            // Within a workspace, the job that was accepted first.
            .min_by_key(|(i, rank)| (*rank, self.parts[*i].accepted))
    }

    /// Records that an item got a server slot, or gave it up and waits for another.
    pub fn slot(&self, task: &Task, has_slot: bool) {
        if task.has_slot.swap(has_slot, Ordering::Relaxed) != has_slot {
            self.loads().slot(&task.workspace, has_slot);
        }
    }

    /// Records the end of a try: keeps the outcome for commit, queues the item again, or drops it.
    pub fn settle(&mut self, task: &Task, verdict: Verdict, now: Time) {
        self.slot(task, true); // `ended` expects an item that does not wait for a slot.
        self.loads().ended(&task.workspace);
        let Ok(i) = self.parts.binary_search_by(|h| h.at.cmp(&task.at)) else {
            return;
        };
        let held = &mut self.parts[i];
        held.running -= 1;
        match verdict {
            Verdict::Drop => {}
            Verdict::End(outcome) => {
                self.unsaved_bytes += size(&outcome);
                let (at, index) = (task.at.clone(), task.index);
                let ended = ItemEnd { index, outcome };
                self.unsaved.push(UnsavedOutcome { at, ended });
            }
            Verdict::Retry { pause, is_charged } => {
                if !task.spec.repeatable {
                    held.unrun.push(task.index);
                }
                held.queue.push_back(QueuedItem {
                    index: task.index,
                    spec: task.spec.clone(),
                    tries: task.tries + u32::from(is_charged),
                    attempt: task.attempt + 1,
                    due: now + pause,
                });
            }
        }
    }

    /// Uncommitted outcomes by part, up to `most` bytes in all and with the one that reaches it.
    pub fn unsaved(&self, most: usize) -> Vec<(PartRef, Vec<ItemEnd>)> {
        let mut groups: Vec<(PartRef, Vec<ItemEnd>)> = Vec::new();
        let mut bytes = 0;
        for u in &self.unsaved {
            if bytes >= most {
                break;
            }
            bytes += size(&u.ended.outcome);
            match groups.binary_search_by(|(at, _)| at.cmp(&u.at)) {
                Ok(i) => groups[i].1.push(u.ended.clone()),
                Err(i) => groups.insert(i, (u.at.clone(), vec![u.ended.clone()])),
            }
        }
        groups
    }

    /// Stops dispatch; see `open`.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Resumes dispatch after `close`.
    pub fn open(&mut self) {
        self.is_closing = false;
    }

    /// Whether dispatch is stopped by `close`.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Parts that can be released: nothing is running, and every outcome is committed. With each,
    /// the non-repeatable items that did not run, whose intents to run can be taken back.
    pub fn idle(&self) -> Vec<(PartRef, Vec<u32>)> {
        let idle = self.parts.iter().filter(|h| {
            let is_unsaved = self.unsaved.iter().any(|u| u.at == h.at);
            h.running == 0 && !is_unsaved
        });
        idle.map(|h| (h.at.clone(), h.unrun.clone())).collect()
    }

    /// Number of parts held.
    pub fn held(&self) -> usize {
        self.parts.len()
    }

    /// Number of items that wait to be dispatched.
    pub fn queued(&self) -> usize {
        self.parts.iter().map(|h| h.queue.len()).sum()
    }

    /// Number of items that wait to be dispatched by workspace, sorted by its name.
    pub fn stock(&self) -> Vec<(Name, usize)> {
        let mut stock: Vec<(Name, usize)> = Vec::new();
        for held in &self.parts {
            match stock.binary_search_by(|(name, _)| name.cmp(&held.workspace)) {
                Ok(i) => stock[i].1 += held.queue.len(),
                Err(i) => stock.insert(i, (held.workspace.clone(), held.queue.len())),
            }
        }
        stock
    }

    /// Number of items that were dispatched and not settled.
    pub fn running(&self) -> u32 {
        self.parts.iter().map(|h| h.running).sum()
    }
}

impl HeldPart {
    fn new(at: PartRef, job: &Job, part: &Part) -> Self {
        let open = (0..part.items.len() as u32).filter_map(|i| Some((i, part.spec(i)?)));
        let queue = open.map(|(index, spec)| QueuedItem {
            index,
            spec: spec.clone(),
            tries: 0,
            attempt: 0,
            due: Time::ZERO,
        });
        Self {
            at,
            workspace: job.workspace.clone(),
            accepted: job.at,
            stop: Arc::default(),
            since: None,
            queue: queue.collect(),
            running: 0,
            unrun: Vec::new(),
        }
    }

    fn is_due(&self, now: Time) -> bool {
        self.queue.iter().any(|q| q.due <= now)
    }
}

/// Approximate size of a stored outcome in bytes.
fn size(outcome: &Outcome) -> usize {
    let text = match outcome {
        Outcome::Done { text, .. } | Outcome::Failed { text, .. } => text.len(),
        Outcome::Unknown | Outcome::Cancelled => 0,
    };
    text + 16
}
