//! Monotonic clocks: the system's, and one that tests advance by hand.

use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Monotonic time since the clock's origin. Comparable only within one clock and its clones.
pub type Time = Duration;

/// Source of monotonic time.
pub trait Clock: Send + Sync + 'static {
    /// Time since the origin.
    fn now(&self) -> Time;

    /// Blocks the calling thread for `span`.
    fn sleep(&self, span: Duration);

    /// Time since 1970, which hosts have in common up to the error of their clocks.
    fn unix(&self) -> Duration;
}

/// The operating system's monotonic clock.
#[derive(Debug, Clone)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        self.origin.elapsed()
    }

    fn sleep(&self, span: Duration) {
        thread::sleep(span);
    }

    fn unix(&self) -> Duration {
        // A time of day before 1970 counts as 1970.
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}

/// A clock that stands still until it is advanced, for tests.
#[derive(Debug, Clone, Default)]
pub struct PausedClock {
    shared: Arc<(Mutex<Time>, Condvar)>,
}

impl PausedClock {
    /// A clock that reads zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the clock by `span` and wakes the sleepers whose time has come.
    pub fn advance(&self, span: Duration) {
        let mut now = self.shared.0.lock().expect("clock lock");
        *now += span;
        self.shared.1.notify_all();
    }
}

impl Clock for PausedClock {
    fn now(&self) -> Time {
        *self.shared.0.lock().expect("clock lock")
    }

    fn sleep(&self, span: Duration) {
        let mut now = self.shared.0.lock().expect("clock lock");
        let due = *now + span;
        while *now < due {
            now = self.shared.1.wait(now).expect("clock lock");
        }
    }

    fn unix(&self) -> Duration {
        self.now()
    }
}
