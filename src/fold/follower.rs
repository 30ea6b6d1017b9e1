//! Follows a stream of the log: reads and applies its records, and appends records in groups.

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

/// Pause after a failed read or append; doubles with each consecutive failed read.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause after a failed read.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(400);
/// Time after which an appended record is read directly; a read that waits at the log usually gets
/// a new record within about 10 ms.
const DIRECT_READ_AFTER: Duration = Duration::from_millis(30);
/// Minimum time left to start another append; a later one might not be answered before the limit.
const ATTEMPT_MIN: Duration = Duration::from_millis(500);

/// A stream's state on this host, kept up to date by its own read and append threads.
#[derive(Debug)]
pub struct Follower<F: Fold, L: Log, C: Clock> {
    pub(super) stream: Name,
    pub(super) log: L,
    pub(super) clock: C,
    state: RwLock<F>,
    progress: Mutex<Progress>,
    /// Start of the last read that did not wait for new records; locked during such a read.
    last_read: Mutex<Option<Time>>,
    /// Locked during an update, so that applying a page and installing a state do not interleave.
    update: Mutex<()>,
    advanced: Condvar,
    pub(super) queue: Mutex<Vec<Pending>>,
    pub(super) queued: Condvar,
    /// Groups whose records are appended apart from others.
    pub(super) apart: Mutex<Vec<Name>>,
    pub(super) interval: Mutex<Duration>,
    pub(super) stopped: AtomicBool,
}

/// Read progress in a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Offset of the next log record to apply.
    pub next: u64,
    /// Oldest offset retained by the log at the last read.
    pub first: u64,
    /// Start of the last read that reached the head of the stream.
    pub caught_up: Option<Time>,
    /// Whether the last read failed.
    pub is_down: bool,
}

impl<F: Fold, L: Log + Clone, C: Clock + Clone> Follower<F, L, C> {
    /// Creates a follower at the start of the stream, with a minimum `interval` between appends.
    pub fn new(log: L, clock: C, interval: Duration) -> Self {
        Self::for_stream(F::STREAM.into(), log, clock, interval)
    }

    /// Creates a follower at the start of `stream`, one of several with the same record type.
    pub fn for_stream(stream: Name, log: L, clock: C, interval: Duration) -> Self {
        Self {
            stream,
            log,
            clock,
            state: RwLock::default(),
            progress: Mutex::default(),
            last_read: Mutex::default(),
            update: Mutex::default(),
            advanced: Condvar::new(),
            queue: Mutex::default(),
            queued: Condvar::new(),
            apart: Mutex::default(),
            interval: Mutex::new(interval),
            stopped: AtomicBool::new(false),
        }
    }

    /// Name of the stream in the log.
    pub fn stream(&self) -> &Name {
        &self.stream
    }

    /// Starts the read and append threads.
    pub fn start(self: &Arc<Self>) {
        let reader = self.clone();
        spawn("follow-read", move || reader.read_loop());
        let writer = self.clone();
        spawn("follow-append", move || writer.append_loop());
    }

    /// Whether `stop` was called.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Stops both threads; queued records are not appended.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.queued.notify_all();
        self.advanced.notify_all();
    }

    /// Calls `f` with the current state.
    pub fn view<R>(&self, f: impl FnOnce(&F) -> R) -> R {
        f(&self.state.read().expect("folded state"))
    }

    /// The state together with its read progress.
    pub fn snapshot(&self) -> (Progress, Option<F>) {
        let _update = self.update.lock().expect("update lock");
        (self.progress(), Some(self.view(F::clone)))
    }

    /// How far the stream was read.
    pub fn progress(&self) -> Progress {
        *self.progress.lock().expect("progress")
    }

    /// Sets the minimum time between two appends.
    pub fn set_interval(&self, interval: Duration) {
        *self.interval.lock().expect("interval") = interval;
    }

    /// Waits up to `limit` until the log record at `offset` is applied; returns whether it is.
    pub fn wait_applied(&self, offset: u64, limit: Duration) -> bool {
        let guard = self.progress.lock().expect("progress");
        let (guard, _) = self
            .advanced
            .wait_timeout_while(guard, limit, |p| {
                p.next <= offset && !self.stopped.load(Ordering::Relaxed)
            })
            .expect("progress");
        guard.next > offset
    }

    /// Waits up to `limit` until the record at `at`, which the log has, is applied; returns whether
    /// it is. A read that waits at the log may get the record late, so after a short time the log
    /// is read directly, and again each time after twice the wait.
    pub fn catch_up_to(&self, at: Pos, limit: Duration) -> bool {
        let offset = offset_of(at);
        let end = self.clock.now() + limit;
        let mut wait = DIRECT_READ_AFTER;
        loop {
            let left = end.saturating_sub(self.clock.now());
            if self.wait_applied(offset, wait.min(left)) {
                return true;
            }
            if left <= wait || self.is_stopped() {
                return false;
            }
            self.read_now();
            wait *= 2;
        }
    }

    /// Applies the records that the log has now, without waiting for new ones. Concurrent callers
    /// share one read.
    pub fn read_now(&self) {
        let called = self.clock.now();
        let mut last = self.last_read.lock().expect("last read");
        if last.is_some_and(|began| began >= called) {
            return;
        }
        let began = self.clock.now();
        *last = Some(began);
        let next = self.progress().next;
        match self.log.read(&self.stream, next, Duration::ZERO) {
            Ok(page) => {
                self.apply(&page, began);
            }
            // The read thread meets the same failure and handles it.
            Err(fail) => tracing::info!(stream = %self.stream, next, %fail, "read_failed"),
        }
    }

    /// Waits up to `limit` for the log record at `next`; returns the next offset to apply.
    pub fn wait_moved(&self, next: u64, limit: Duration) -> u64 {
        self.wait_applied(next, limit);
        self.progress().next
    }

    /// Appends `rec`, repeatedly if needed, until `seen` finds its effect in the state. The fold
    /// must ignore repeats of the record.
    ///
    /// # Errors
    /// `LogDown` if `rec` is certainly not in the log by `limit`; `Unsettled` if it may be, or may
    /// still come; `Conflict` if it was applied without effect.
    pub fn settle<R>(
        &self,
        rec: &F::Record,
        limit: Duration,
        seen: impl Fn(&F) -> Option<R>,
    ) -> Res<R> {
        let mut in_doubt = false;
        match self.settle_after(None, rec, limit, &mut in_doubt, seen) {
            Err(fail) if fail.kind == Kind::Conflict && in_doubt => Err(settle_error(true)),
            result => result,
        }
    }

    /// Like `settle`, with `first` in front of `rec` in each append. `in_doubt` tells whether an earlier
    /// append of `rec` may still take effect, and then whether one may: after `Conflict`, a lost append
    /// of `rec` may still come.
    ///
    /// # Errors
    /// As for [`settle`](Self::settle).
    pub fn settle_after<R>(
        &self,
        first: Option<&F::Record>,
        rec: &F::Record,
        limit: Duration,
        in_doubt: &mut bool,
        seen: impl Fn(&F) -> Option<R>,
    ) -> Res<R> {
        let end = self.clock.now() + limit;
        let mut min_left = Duration::ZERO;
        loop {
            if let Some(found) = self.view(&seen) {
                return Ok(found);
            }
            let left = end.saturating_sub(self.clock.now());
            let is_too_late = !*in_doubt && left < min_left;
            if left.is_zero() || is_too_late || self.stopped.load(Ordering::Relaxed) {
                return Err(settle_error(*in_doubt));
            }
            min_left = ATTEMPT_MIN.min(limit / 2);
            match self.submit_within(first, rec, left) {
                AppendOutcome::Taken(at) => {
                    let left = end.saturating_sub(self.clock.now());
                    if self.catch_up_to(at, left) {
                        return self.view(&seen).ok_or_else(|| {
                            Fail::new(
                                Kind::Conflict,
                                "the record was appended but had no effect; check the state",
                            )
                        });
                    }
                    *in_doubt = true;
                }
                AppendOutcome::NotTaken => self.clock.sleep(RETRY_PAUSE.min(left)),
                AppendOutcome::Unknown => {
                    *in_doubt = true;
                    self.wait_moved(self.progress().next, RETRY_PAUSE.min(left));
                }
            }
        }
    }

    fn read_loop(&self) {
        let mut is_initial = true;
        let mut pause = RETRY_PAUSE;
        while !self.stopped.load(Ordering::Relaxed) {
            let began = self.clock.now();
            if self.read_once(is_initial).is_ok() {
                is_initial = false;
                pause = RETRY_PAUSE;
                let spent = self.clock.now().saturating_sub(began);
                if spent < F::READ_PAUSE {
                    self.clock.sleep(F::READ_PAUSE - spent);
                }
            } else {
                self.progress.lock().expect("progress").is_down = true;
                // Jitter, so that hosts that failed together do not retry at the same time.
                self.clock
                    .sleep(pause.mul_f64(rand::random_range(0.5..1.0)));
                pause = (pause * 2).min(RETRY_PAUSE_MAX);
            }
        }
    }

    /// Reads and applies a page; loads a snapshot first if `is_initial`, or if the log no longer
    /// has the next record.
    fn read_once(&self, is_initial: bool) -> Res<()> {
        if is_initial {
            self.restore(0)?;
        }
        let began = self.clock.now();
        let page = self
            .log
            .read(&self.stream, self.progress().next, F::READ_WAIT)?;
        if page.first > self.progress().next {
            self.restore(page.first)?;
        }
        // An empty page after a full wait shows that there was nothing new until the wait ended.
        let has_waited = self.clock.now().saturating_sub(began) >= F::READ_WAIT;
        let current_at = match page.entries.is_empty() && has_waited {
            true => began + F::READ_WAIT,
            false => began,
        };
        if self.apply(&page, current_at) {
            return Ok(());
        }
        Err(Fail::new(
            Kind::NotReady,
            "the next record is no longer in the log and not in a snapshot",
        ))
    }

    /// Installs a snapshot that covers every record below `need`, if it is ahead of the state.
    fn restore(&self, need: u64) -> Res<()> {
        if let Some(found) = snapshot::load::<F, L>(&self.log, &self.stream, need)? {
            self.install(Some(found.state), found.next, None);
        }
        Ok(())
    }

    /// Applies a page that was current at `began`; `false` if records before it are missing.
    pub fn apply(&self, page: &Page, began: Time) -> bool {
        let _update = self.update.lock().expect("update lock");
        let mut next = self.progress().next;
        if page.first > next {
            return false;
        }
        for entry in page.entries.iter() {
            if entry.offset < next {
                continue;
            }
            // Every host skips the same log records: those that do not decode.
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
        progress.is_down &= !page.is_head_known();
        if next >= page.head {
            progress.caught_up = progress.caught_up.max(Some(began));
        }
        drop(progress);
        self.advanced.notify_all();
        true
    }

    /// Replaces the state by one in which every log record below `next` was applied, unless this
    /// state is as far. `current_at` is the start of a read that found the stream's head not above
    /// `next`.
    pub fn install(&self, state: Option<F>, next: u64, current_at: Option<Time>) -> bool {
        let _update = self.update.lock().expect("update lock");
        let is_ahead = next > self.progress().next;
        let is_installed = match state {
            Some(state) if is_ahead => {
                *self.state.write().expect("folded state") = state;
                true
            }
            _ => false,
        };
        let mut progress = self.progress.lock().expect("progress");
        if is_installed {
            progress.next = next;
        }
        if progress.next >= next {
            progress.caught_up = progress.caught_up.max(current_at);
        }
        drop(progress);
        self.advanced.notify_all();
        is_installed
    }
}

fn settle_error(in_doubt: bool) -> Fail {
    if in_doubt {
        Fail::new(
            Kind::Unsettled,
            "the outcome is not known yet; retry with the same id",
        )
    } else {
        Fail::new(Kind::LogDown, "the log takes no records; nothing was kept")
    }
}
