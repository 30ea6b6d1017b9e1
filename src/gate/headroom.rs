//! Slots that a gate keeps free of batch work for the online requests of the next moments.
//!
//! The load: online traffic alternates between peaks and troughs of a few seconds, and a batch attempt
//! runs for longer than a trough. An attempt that is started in a slot that online requests need before
//! it ends is preempted, and each resumption costs a connection, a prompt read and a wait.

use super::{
    grant::{Inner, Queues},
    slot::{Counts, SlotRequest, Verdict},
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
const DECAY_TIME: Duration = Duration::from_secs(12);
/// Time since an item was last denied a slot up to which it counts as waiting. Items that wait ask at least
/// every half second.
const WAITING: Duration = Duration::from_secs(1);
/// Time since an item was last denied a slot after which it is forgotten. Items move from gate to gate every few
/// seconds.
const ITEM_EXPIRY: Duration = Duration::from_secs(20);
/// Most items remembered.
const ITEMS_MAX: usize = 1024;

/// How many slots a gate keeps free of batch work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reserve {
    /// Part of the time, in percent, for which the slots kept free cover the online requests; zero keeps
    /// none free.
    pub percent: u32,
    /// Time for which an item has waited from which fewer slots are kept free, and none from twice that.
    pub backlog: Duration,
}

/// Online requests seen at one gate, and the batch items that wait there.
#[derive(Debug, Clone, Default)]
pub struct Headroom {
    /// Seconds with each number of online requests, earlier ones counting less.
    weights: Vec<f64>,
    /// Online requests since `at`, the time of the last observation.
    online: usize,
    at: Option<Time>,
    /// Sorted by key.
    items: Vec<Item>,
    /// Slots that the queue was last told to keep free.
    kept: u32,
}

/// Log position of the job, workspace, and the item's own part of the attempt id.
type ItemKey = (Pos, Name, Name);

#[derive(Debug, Clone)]
struct Item {
    key: ItemKey,
    first: Time,
    last: Time,
}

impl Headroom {
    /// Records how many slots online requests hold from `now` on, by the `counts` of the server. Requests that wait
    /// are not recorded, because each has places at several gates. More requests than slots, which other gates may have
    /// granted, count as all slots.
    pub fn note_online(&mut self, now: Time, counts: Counts) {
        let passed = now.saturating_sub(self.at.unwrap_or(now)).as_secs_f64();
        if passed > 0.0 {
            let decay = DECAY_TIME.as_secs_f64();
            let kept = (-passed / decay).exp();
            for weight in &mut self.weights {
                *weight *= kept;
            }
            if self.weights.len() <= self.online {
                self.weights.resize(self.online + 1, 0.0);
            }
            self.weights[self.online] += decay * (1.0 - kept);
        }
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
        self.online = counts.online.min(counts.slots) as usize;
    }

    /// Records that the item that `request` is for waited until `now` and got no slot.
    pub fn note_denied(&mut self, now: Time, request: &SlotRequest) {
        self.items.retain(|i| i.last + ITEM_EXPIRY > now);
        let key = item_key(request);
        match self.items.binary_search_by(|i| i.key.cmp(&key)) {
            Ok(at) => self.items[at].last = now,
            Err(at) if self.items.len() < ITEMS_MAX => {
                let (first, last) = (now, now);
                self.items.insert(at, Item { key, first, last });
            }
            // The items that are remembered waited for longer.
            Err(_) => {}
        }
    }

    /// Records that the item that `request` is for got a slot. If it is preempted, its wait begins anew.
    pub fn note_granted(&mut self, request: &SlotRequest) {
        let key = item_key(request);
        if let Ok(at) = self.items.binary_search_by(|i| i.key.cmp(&key)) {
            self.items.remove(at);
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

    /// Time since the first denial of the item that has waited longest, of those that wait now.
    fn backlog_age(&self, now: Time) -> Duration {
        let waiting = self.items.iter().filter(|i| i.last + WAITING > now);
        let first = waiting.map(|i| i.first).min();
        first.map_or(Duration::ZERO, |first| now.saturating_sub(first))
    }
}

/// What the attempts of an item have in common: their ids are `JOB/PART.INDEX.EPOCH.ATTEMPT`, and later slot
/// requests have a number added. An item that returns to its job without a slot has a new attempt id.
fn item_key(request: &SlotRequest) -> ItemKey {
    let id = &*request.id;
    let part = id.rfind('/').map_or(0, |at| at + 1);
    let end = id[part..].match_indices('.').nth(1);
    let item = &id[..end.map_or(id.len(), |(at, _)| part + at)];
    (request.since, request.workspace.clone(), item.into())
}

impl Queues {
    /// Sum, over the gates of this host, of the slots kept free of batch work.
    pub fn headroom(&self) -> u32 {
        self.all().iter().map(|g| g.lock().headroom.kept).sum()
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
        self.headroom.note_online(now, counts);
        self.headroom.kept = self.headroom.reserve(now, counts.slots, rule);
        self.queue.set_reserve(self.headroom.kept);
    }

    /// Records the verdict on a request for a slot. Only requests that waited count as denied, because others ask
    /// elsewhere at once, and only those that the throttle or a new gate would not have held back anyway.
    pub(super) fn note_verdict(&mut self, host: &Host, request: &SlotRequest, verdict: Verdict) {
        if request.class != Class::Batch || host.settings.reserve.percent == 0 {
            return;
        }
        let now = host.now();
        match verdict {
            Verdict::Granted => self.headroom.note_granted(request),
            Verdict::Waiting if self.queue.lacks_batch_slot(now) => {
                self.headroom.note_denied(now, request);
            }
            Verdict::Waiting | Verdict::Busy => {}
        }
    }
}
