//! The log streams that hold the jobs, and the state of those that this host follows.

use super::{Loads, Planner, Scheduler, ownership::LastTick, quota::Pending};
use crate::{
    clock::{SystemClock, Time},
    fold::{Fold, Follower, Pos},
    job::State,
    kernel::{Host, JobFollower, RelayLog},
    member::Ring,
    settings::Settings,
    snapshot::LastSnapshot,
    wire::Name,
};
use std::{
    ops::Deref,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use twox_hash::XxHash3_64;

/// Time for which a host follows a stream for a job that it may not pass to a reader: long enough to read the stream
/// to its head while the caller sends the job again.
const NEED_TIME: Duration = Duration::from_secs(30);

/// All streams of jobs of one host, followed or not. A single stream is followed by every host; of
/// several, each is followed by a few hosts.
#[derive(Debug)]
pub struct Streams {
    slots: Vec<Slot>,
    readers: usize,
    /// Readers of each stream, by the latest host list.
    placed: Mutex<Option<Placed>>,
    log: RelayLog,
    clock: SystemClock,
    interval: Duration,
    /// Items under way by workspace, over all streams.
    loads: Arc<Mutex<Loads>>,
}

/// Readers of each stream for one host list.
#[derive(Debug)]
struct Placed {
    ring: Arc<Ring>,
    readers: Vec<Arc<Ring>>,
}

/// A stream of jobs, followed by this host or not.
#[derive(Debug)]
pub struct Slot {
    /// Name of the stream in the log.
    pub name: Name,
    index: usize,
    stream: RwLock<Option<Arc<Stream>>>,
    /// Highest position of the state that this host answered a caller from.
    answered: AtomicU64,
    /// How long placement has been the same.
    pub(super) placement: Mutex<super::PlacementWatch>,
    /// When this host last needed the stream although it is no reader of it.
    needed: Mutex<Option<Time>>,
}

/// A stream of jobs that this host follows.
#[derive(Debug)]
pub struct Stream {
    /// Follower with the folded state.
    pub jobs: JobFollower,
    pub(super) index: usize,
    /// When this host last wrote a snapshot.
    pub snapped: Mutex<LastSnapshot>,
    pub(super) scheduler: Mutex<Scheduler>,
    pub(super) planner: Mutex<Planner>,
    /// Whether repeatable items under way are to be preempted.
    pub(super) is_yielding: AtomicBool,
    pub(super) tick: Mutex<LastTick>,
    /// When the host began to release its parts.
    pub(super) closed: Mutex<Option<Time>>,
    /// Tokens of jobs that are being accepted, by workspace.
    pub(super) pending: Pending,
    /// Number of requests that use the state.
    users: AtomicUsize,
}

/// Access of a request to a followed stream, which stays followed until this is dropped.
#[derive(Debug)]
pub struct StreamGuard(Arc<Stream>);

impl Deref for StreamGuard {
    type Target = Stream;

    fn deref(&self) -> &Stream {
        &self.0
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.users.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Index of the stream of the job `id` among `count`; the same on every host.
pub fn stream_of(id: &str, count: usize) -> usize {
    (XxHash3_64::oneshot(id.as_bytes()) % count.max(1) as u64) as usize
}

/// Name in the log of the stream `index` of `count`. It contains `count`, so that hosts with another
/// number of streams never write to it.
pub fn stream_name(index: usize, count: usize) -> Name {
    if count <= 1 {
        return State::STREAM.into();
    }
    format!("{}-{index}-of-{count}", State::STREAM).into()
}

impl Streams {
    /// The streams that `settings` define, none of them followed yet.
    pub fn new(log: &RelayLog, clock: &SystemClock, settings: &Settings) -> Self {
        let slot = |index| Slot {
            name: stream_name(index, settings.streams),
            index,
            stream: RwLock::default(),
            answered: AtomicU64::new(0),
            placement: Mutex::default(),
            needed: Mutex::default(),
        };
        Self {
            slots: (0..settings.streams.max(1)).map(slot).collect(),
            readers: settings.readers,
            placed: Mutex::default(),
            log: log.clone(),
            clock: clock.clone(),
            interval: settings.interval,
            loads: Arc::default(),
        }
    }

    /// All streams.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// The stream of the job `id`.
    pub fn slot_of(&self, id: &str) -> &Slot {
        &self.slots[stream_of(id, self.slots.len())]
    }

    /// The stream with the log name `name`.
    pub fn slot(&self, name: &str) -> Option<&Slot> {
        self.slots.iter().find(|s| *s.name == *name)
    }

    /// The streams that this host follows.
    pub fn followed(&self) -> Vec<Arc<Stream>> {
        self.slots.iter().filter_map(Slot::followed).collect()
    }

    /// Whether there is a single stream, which every host follows.
    pub fn is_single(&self) -> bool {
        self.slots.len() == 1
    }

    /// The live hosts that placement assigns to the stream of `slot`.
    pub fn readers(&self, host: &Host, slot: &Slot) -> Arc<Ring> {
        let ring = host.members.ring();
        if self.is_single() {
            return ring;
        }
        let mut placed = self.placed.lock().expect("readers");
        let placed = match &mut *placed {
            Some(p) if Arc::ptr_eq(&p.ring, &ring) => p,
            other => other.insert(self.place(ring)),
        };
        placed.readers[slot.index].clone()
    }

    fn place(&self, ring: Arc<Ring>) -> Placed {
        let owners = |slot: &Slot| ring.owners(&slot.name, self.readers);
        let readers = self.slots.iter().map(|s| Arc::new(Ring::new(owners(s))));
        Placed {
            readers: readers.collect(),
            ring,
        }
    }

    /// Number of writers in a fleet of `hosts`; each counts once for each stream it may follow.
    pub fn writers(&self, hosts: usize) -> usize {
        match self.is_single() {
            true => hosts,
            false => self.slots.len() * self.readers.min(hosts),
        }
    }

    /// The stream of `slot` for a request, if this host follows it. Of several streams, it must also
    /// have been read to its head.
    pub fn enter(&self, slot: &Slot) -> Option<StreamGuard> {
        let stream = slot.stream.read().expect("stream");
        let stream = stream.as_ref()?;
        if !self.is_single() && stream.jobs.progress().caught_up.is_none() {
            return None;
        }
        stream.users.fetch_add(1, Ordering::Relaxed);
        Some(StreamGuard(stream.clone()))
    }

    /// Starts to follow the stream of `slot`.
    pub(super) fn open(&self, slot: &Slot) -> Arc<Stream> {
        let (log, clock) = (self.log.clone(), self.clock.clone());
        let follower = Follower::for_stream(slot.name.clone(), log, clock, self.interval);
        let stream = Arc::new(Stream {
            jobs: Arc::new(follower),
            index: slot.index,
            snapped: Mutex::default(),
            scheduler: Mutex::new(Scheduler::sharing(self.loads.clone())),
            planner: Mutex::default(),
            is_yielding: AtomicBool::new(false),
            tick: Mutex::default(),
            closed: Mutex::default(),
            pending: Pending::default(),
            users: AtomicUsize::new(0),
        });
        stream.jobs.start();
        *slot.stream.write().expect("stream") = Some(stream.clone());
        stream
    }

    /// Stops every follower without releasing parts, as the loss of the host does.
    pub fn kill(&self) {
        self.followed().iter().for_each(|s| s.jobs.stop());
    }
}

impl Slot {
    /// The stream, if this host follows it, even when not read to its head yet.
    pub fn followed(&self) -> Option<Arc<Stream>> {
        self.stream.read().expect("stream").clone()
    }

    /// Stops following the stream, unless parts are held or a request uses it; whether it did.
    pub(super) fn close(&self) -> bool {
        let mut slot = self.stream.write().expect("stream");
        if !slot.as_ref().is_some_and(|s| s.is_idle()) {
            return false;
        }
        if let Some(stream) = slot.take() {
            stream.jobs.stop();
        }
        true
    }

    /// Notes that this host needs the stream for a job that it may not pass to a reader.
    pub(super) fn need(&self, now: Time) {
        *self.needed.lock().expect("need") = Some(now);
    }

    /// Whether this host needed the stream within [`NEED_TIME`].
    pub(super) fn is_needed(&self, now: Time) -> bool {
        let needed = *self.needed.lock().expect("need");
        needed.is_some_and(|at| now.saturating_sub(at) < NEED_TIME)
    }

    /// Lowest position of the state from which the next caller may be answered.
    pub fn answered(&self) -> Pos {
        self.answered.load(Ordering::Relaxed)
    }

    /// Records that a caller was answered from the state at `at`.
    pub(super) fn note_answered(&self, at: Pos) {
        self.answered.fetch_max(at, Ordering::Relaxed);
    }
}

impl Stream {
    /// Name of the stream in the log.
    pub fn name(&self) -> &Name {
        self.jobs.stream()
    }

    /// Number of parts that this host holds, as its scheduler last saw the state.
    pub fn held(&self) -> usize {
        self.scheduler().held()
    }

    pub(super) fn scheduler(&self) -> MutexGuard<'_, Scheduler> {
        self.scheduler.lock().expect("scheduler")
    }

    /// Whether this host holds no part and no request uses the state.
    fn is_idle(&self) -> bool {
        self.users.load(Ordering::Relaxed) == 0 && self.held() == 0
    }

    /// Stops dispatch, so that parts are released as their items end.
    pub(super) fn retire(&self, now: Time) {
        self.scheduler().close();
        self.closed.lock().expect("closed").get_or_insert(now);
    }

    /// Undoes `retire`.
    pub(super) fn resume(&self) {
        *self.closed.lock().expect("closed") = None;
        self.is_yielding.store(false, Ordering::Relaxed);
        self.scheduler().open();
    }

    /// Offset of the next record to read, and how long ago the stream was read to its head.
    pub(super) fn read_status(&self, now: Time) -> (u64, String) {
        let progress = self.jobs.progress();
        let age = match progress.caught_up {
            Some(fresh) => format!("{} ms ago", now.saturating_sub(fresh).as_millis()),
            None => "never".into(),
        };
        (progress.next, age)
    }

    /// Waits up to `limit` until the state has reached `at`; whether it has.
    pub(super) fn wait_reached(&self, at: Pos, limit: Duration) -> bool {
        at == 0 || self.jobs.catch_up_to(at, limit)
    }
}
