//! Follows a stream of the log: reads and applies it, and appends to it in groups.

use super::{
    AppendOutcome, Fold, Pos,
    frame::{Pending, decode_frame},
    offset_of, pos,
};
use crate::{
    clock::{Clock, Time},
    error::{Fail, Kind, Res},
    snapshot,
    store::{Log, Page},
    threads::spawn,
    wire::Name,
};
use std::{
    sync::{
        Arc, Condvar, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// How long a read of the log waits for news.
const READ_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed read or append; twice as long after each further read that fails.
pub(super) const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed read.
const PAUSE_MAX: Duration = Duration::from_millis(400);
/// Time after which a record that the log took is read for by itself; a read that waits at the log
/// hears of a new record within some 10 ms.
const NUDGE: Duration = Duration::from_millis(30);
/// Least time left for a further append; one begun later could end without an answer that is heard.
const LAST_TRY: Duration = Duration::from_millis(500);

/// A stream's state on this host, kept up to date by threads of its own.
#[derive(Debug)]
pub struct Follower<F: Fold, L: Log, C: Clock> {
    pub(super) stream: Name,
    pub(super) log: L,
    pub(super) clock: C,
    state: RwLock<F>,
    progress: Mutex<Progress>,
    /// Start of the last read without a wait for news; held while it goes on.
    asked: Mutex<Option<Time>>,
    /// Held while the state is moved on, so that a page and a whole state do not interleave.
    step: Mutex<()>,
    moved: Condvar,
    pub(super) queue: Mutex<Vec<Pending>>,
    pub(super) queued: Condvar,
    pub(super) interval: Mutex<Duration>,
    pub(super) stopped: AtomicBool,
}

/// How far the stream was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Offset of the next log record to apply.
    pub next: u64,
    /// Oldest offset that the log kept at the last read.
    pub first: u64,
    /// Start of the last read that reached the head of the stream.
    pub fresh: Option<Time>,
    /// Whether the last read failed.
    pub down: bool,
}

impl<F: Fold, L: Log + Clone, C: Clock + Clone> Follower<F, L, C> {
    /// A follower at the start of the stream. `interval` is the least time between two appends.
    pub fn new(log: L, clock: C, interval: Duration) -> Self {
        Self::for_stream(F::STREAM.into(), log, clock, interval)
    }

    /// A follower at the start of `stream`, one of several that carry the same kind of records.
    pub fn for_stream(stream: Name, log: L, clock: C, interval: Duration) -> Self {
        Self {
            stream,
            log,
            clock,
            state: RwLock::default(),
            progress: Mutex::default(),
            asked: Mutex::default(),
            step: Mutex::default(),
            moved: Condvar::new(),
            queue: Mutex::default(),
            queued: Condvar::new(),
            interval: Mutex::new(interval),
            stopped: AtomicBool::new(false),
        }
    }

    /// Name of the stream in the log.
    pub fn stream(&self) -> &Name {
        &self.stream
    }

    /// Starts the reading and the appending thread.
    pub fn start(self: &Arc<Self>) {
        let reader = self.clone();
        spawn("follow-read", move || reader.read_all());
        let writer = self.clone();
        spawn("follow-append", move || writer.append_all());
    }

    /// Whether `stop` was called.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Ends both threads; appends that wait are not made.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.queued.notify_all();
        self.moved.notify_all();
    }

    /// Runs `look` on the present state.
    pub fn view<R>(&self, look: impl FnOnce(&F) -> R) -> R {
        look(&self.state.read().expect("folded state"))
    }

    /// The state together with how far it is.
    pub fn snapshot(&self) -> (Progress, Option<F>) {
        let _step = self.step.lock().expect("step");
        (self.progress(), Some(self.view(F::clone)))
    }

    /// How far the stream was read.
    pub fn progress(&self) -> Progress {
        *self.progress.lock().expect("progress")
    }

    /// Sets the least time between two appends.
    pub fn set_interval(&self, interval: Duration) {
        *self.interval.lock().expect("interval") = interval;
    }

    /// Waits until the log record at `offset` was applied; `false` if that took longer than
    /// `limit`.
    pub fn wait_applied(&self, offset: u64, limit: Duration) -> bool {
        let guard = self.progress.lock().expect("progress");
        let (guard, _) = self
            .moved
            .wait_timeout_while(guard, limit, |p| {
                p.next <= offset && !self.stopped.load(Ordering::Relaxed)
            })
            .expect("progress");
        guard.next > offset
    }

    /// Waits until the record at `at`, which the log has, was applied here; `false` if that took
    /// longer than `limit`. A read that waits at the log may not hear of the record for long, so
    /// after a short time the log is read without waiting, and again after twice that time.
    pub fn catch_up_to(&self, at: Pos, limit: Duration) -> bool {
        let offset = offset_of(at);
        let end = self.clock.now() + limit;
        let mut nap = NUDGE;
        loop {
            let left = end.saturating_sub(self.clock.now());
            if self.wait_applied(offset, nap.min(left)) {
                return true;
            }
            if left <= nap || self.is_stopped() {
                return false;
            }
            self.read_now();
            nap *= 2;
        }
    }

    /// Applies what the log has at this time, without waiting for news. One caller reads for all that ask
    /// meanwhile.
    pub fn read_now(&self) {
        let asked = self.clock.now();
        let mut last = self.asked.lock().expect("last read");
        if last.is_some_and(|began| began >= asked) {
            return;
        }
        let began = self.clock.now();
        *last = Some(began);
        let next = self.progress().next;
        match self.log.read(&self.stream, next, Duration::ZERO) {
            Ok(page) => {
                self.apply(&page, began);
            }
            // The reading thread meets the same failure and deals with it.
            Err(fail) => tracing::info!(stream = %self.stream, next, %fail, "read_failed"),
        }
    }

    /// Waits until some record was applied after `next`, `limit` at most.
    pub fn wait_moved(&self, next: u64, limit: Duration) -> u64 {
        self.wait_applied(next, limit);
        self.progress().next
    }

    /// Appends `rec`, again if need be, until `seen` finds its effect in the state. The fold must
    /// ignore repeats of the record.
    ///
    /// # Errors
    /// `LogDown` if by `limit` the log took nothing; `Unsettled` if it may have.
    pub fn settle<R>(
        &self,
        rec: &F::Record,
        limit: Duration,
        seen: impl Fn(&F) -> Option<R>,
    ) -> Res<R> {
        let end = self.clock.now() + limit;
        let mut doubt = false;
        let mut least = Duration::ZERO;
        loop {
            if let Some(found) = self.view(&seen) {
                return Ok(found);
            }
            let left = end.saturating_sub(self.clock.now());
            let is_last = !doubt && left < least;
            if left.is_zero() || is_last || self.stopped.load(Ordering::Relaxed) {
                return Err(unsettled(doubt));
            }
            least = LAST_TRY.min(limit / 2);
            match self.submit_within(rec, left) {
                AppendOutcome::Taken(at) => {
                    doubt = true;
                    let left = end.saturating_sub(self.clock.now());
                    if self.catch_up_to(at, left) {
                        return self.view(&seen).ok_or_else(|| {
                            Fail::new(
                                Kind::Conflict,
                                "the record had no effect; look at the state",
                            )
                        });
                    }
                }
                AppendOutcome::NotTaken => self.clock.sleep(PAUSE.min(left)),
                AppendOutcome::Unknown => {
                    doubt = true;
                    self.wait_moved(self.progress().next, PAUSE.min(left));
                }
            }
        }
    }

    fn read_all(&self) {
        let mut is_cold = true;
        let mut pause = PAUSE;
        while !self.stopped.load(Ordering::Relaxed) {
            if self.read_once(is_cold).is_ok() {
                is_cold = false;
                pause = PAUSE;
            } else {
                self.progress.lock().expect("progress").down = true;
                // Hosts that failed together do not come back together.
                self.clock
                    .sleep(pause.mul_f64(rand::random_range(0.5..1.0)));
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
    }

    /// Reads a page and applies it; starts from a snapshot if `is_cold` or if the log no longer
    /// keeps the next record.
    fn read_once(&self, is_cold: bool) -> Res<()> {
        if is_cold {
            self.restore(0)?;
        }
        let began = self.clock.now();
        let page = self
            .log
            .read(&self.stream, self.progress().next, READ_WAIT)?;
        if page.first > self.progress().next {
            self.restore(page.first)?;
        }
        // A read that waited in vain shows that there was nothing until its wait was over.
        let waited = self.clock.now().saturating_sub(began) >= READ_WAIT;
        let fresh = match page.entries.is_empty() && waited {
            true => began + READ_WAIT,
            false => began,
        };
        if self.apply(&page, fresh) {
            return Ok(());
        }
        Err(Fail::new(
            Kind::NotReady,
            "the log no longer keeps the next record, and no snapshot has it",
        ))
    }

    /// Loads a snapshot that has every record below `need`, if it is ahead of the state.
    fn restore(&self, need: u64) -> Res<()> {
        if let Some(found) = snapshot::load::<F, L>(&self.log, &self.stream, need)? {
            self.install(Some(found.state), found.next, None);
        }
        Ok(())
    }

    /// Applies a page that was asked for at `began`; `false` if records before it are missing.
    pub fn apply(&self, page: &Page, began: Time) -> bool {
        let _step = self.step.lock().expect("step");
        let mut next = self.progress().next;
        if page.first > next {
            return false;
        }
        for entry in page.entries.iter() {
            if entry.offset < next {
                continue;
            }
            // A log record that does not decode is skipped by every host alike.
            let recs: Vec<(usize, F::Record)> = decode_frame(&entry.bytes);
            let mut state = self.state.write().expect("folded state");
            for (i, rec) in &recs {
                state.apply(pos(entry.offset, *i), rec);
            }
            drop(state);
            next = entry.offset + 1;
        }
        let mut progress = self.progress.lock().expect("progress");
        progress.next = next;
        progress.first = page.first;
        progress.down &= !page.is_known();
        if next >= page.head {
            progress.fresh = progress.fresh.max(Some(began));
        }
        drop(progress);
        self.moved.notify_all();
        true
    }

    /// Takes over a whole state in which every log record below `next` was applied, unless this
    /// one is as far. `fresh` is the start of a read that found the head of the stream not above
    /// `next`.
    pub fn install(&self, state: Option<F>, next: u64, fresh: Option<Time>) -> bool {
        let _step = self.step.lock().expect("step");
        let ahead = next > self.progress().next;
        let taken = match state {
            Some(state) if ahead => {
                *self.state.write().expect("folded state") = state;
                true
            }
            _ => false,
        };
        let mut progress = self.progress.lock().expect("progress");
        if taken {
            progress.next = next;
        }
        if progress.next >= next {
            progress.fresh = progress.fresh.max(fresh);
        }
        drop(progress);
        self.moved.notify_all();
        taken
    }
}

fn unsettled(doubt: bool) -> Fail {
    if doubt {
        Fail::new(
            Kind::Unsettled,
            "the outcome is not known yet; ask again with the same id",
        )
    } else {
        Fail::new(Kind::LogDown, "the log takes no records; nothing was kept")
    }
}
