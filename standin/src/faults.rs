//! Faults injected into a stand-in.

use gooseberrytack::http::Exchange;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::Duration,
};

/// Longest wait of a frozen request between two checks of the faults.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Faults in force. A count applies to that many coming requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every request is refused with status 503 before it has any effect.
    pub refuse: bool,
    /// Every connection is closed without an answer, before the request has any effect.
    pub down: bool,
    /// Requests wait without an answer until this is cleared.
    pub freeze: bool,
    /// Milliseconds that each request waits before it is handled.
    pub slow_ms: u64,
    /// Answers that are dropped after the request took effect.
    pub lose: u32,
    /// Engine: streams that send a head and then nothing.
    pub silent: u32,
    /// Engine: streams that are cut after `cut_at` tokens.
    pub cut: u32,
    /// Engine: tokens sent before a cut, a crossed or a doubled piece.
    pub cut_at: u32,
    /// Engine: streams with one piece under another id.
    pub cross: u32,
    /// Engine: streams with one piece sent twice.
    pub double: u32,
    /// Engine: streams that go on after the number of tokens asked for.
    pub overlong: u32,
    /// Engine: streams that end with an error of the engine.
    pub error: u32,
    /// Engine: factor by which the time to each token grows, if above one.
    pub drag: u32,
    /// Engine: loads that end without the model loaded.
    pub bad_loads: u32,
}

/// Shared handle to the faults of one stand-in.
#[derive(Debug, Clone, Default)]
pub struct FaultSwitch(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    closed: bool,
}

impl FaultSwitch {
    /// Changes the faults in force.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.0.changed.notify_all();
    }

    /// Clears all faults.
    pub fn clear(&self) {
        self.set(|f| *f = Faults::default());
    }

    /// The faults in force.
    pub fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Uses up one of a count of faults; `false` if there is none left.
    pub(crate) fn take(&self, count: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let left = count(&mut state.faults);
        let any = *left > 0;
        *left = left.saturating_sub(1);
        any
    }

    /// Releases frozen requests for good.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.0.changed.notify_all();
    }

    /// Waits while the stand-in is frozen.
    pub(crate) fn wait_thawed(&self) {
        let mut state = self.lock();
        while state.faults.freeze && !state.closed {
            let waited = self.0.changed.wait_timeout(state, CHECK_INTERVAL);
            state = waited.expect("faults").0;
        }
    }

    /// Applies the faults that come before a request's effect; `false` if the request ends here.
    pub(crate) fn admit(&self, exchange: &mut Exchange) -> bool {
        self.wait_thawed();
        let faults = self.get();
        if faults.slow_ms > 0 {
            std::thread::sleep(Duration::from_millis(faults.slow_ms));
            self.wait_thawed();
        }
        if faults.down {
            exchange.abort();
        } else if faults.refuse {
            let _ = exchange.send(503, "text/plain", b"out of order");
        }
        !faults.down && !faults.refuse
    }

    /// Applies the faults that come after a request's effect; `false` if its answer is lost.
    pub(crate) fn allow_answer(&self, exchange: &mut Exchange) -> bool {
        self.wait_thawed();
        let lost = self.take(|f| &mut f.lose);
        if lost {
            exchange.abort();
        }
        !lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("faults")
    }
}
