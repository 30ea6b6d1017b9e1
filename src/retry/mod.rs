//! Decides whether a failed attempt is retried, and which failure the caller gets.

use crate::error::{Fail, Kind};

/// Most attempts at one piece of work, including the first.
pub const ATTEMPTS: u32 = 4;
/// Most attempts at one request that is forwarded unchanged, including the first.
pub const FORWARD_ATTEMPTS: u32 = 8;
/// Most retries that a budget saves up for a burst.
pub const RESERVE: u64 = 20;

/// Retry budget over all traffic of a host.
///
/// Each request adds a fraction of a retry, so that retries stay a fixed share of the traffic even
/// when every attempt fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    percent: u64,
    /// In hundredths of a retry.
    credit: u64,
}

impl Budget {
    /// A budget of `percent` retries per hundred requests; with zero there are no retries at all.
    pub fn new(percent: u64) -> Self {
        let reserve = if percent == 0 { 0 } else { RESERVE * 100 };
        Self {
            percent,
            credit: reserve,
        }
    }

    /// Adds the share of one request to the budget.
    pub fn earn(&mut self) {
        self.credit = (self.credit + self.percent).min(RESERVE * 100);
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.credit >= 100
    }

    /// Takes one retry; `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let rest = self.credit.checked_sub(100);
        self.credit = rest.unwrap_or(self.credit);
        rest.is_some()
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try again on another server, from the current position.
    Retry,
    /// Answer with the failure.
    GiveUp,
}

/// Decides by what is certain about the failed attempt. The caller checks the budget.
pub fn decide(kind: Kind, repeatable: bool, attempts: u32) -> Next {
    if attempts >= ATTEMPTS {
        return Next::GiveUp;
    }
    match kind {
        // No server took the work.
        Kind::Unreachable | Kind::Overloaded => Next::Retry,
        Kind::ServerLost | Kind::BrokenAnswer if repeatable => Next::Retry,
        _ => Next::GiveUp,
    }
}

/// Decides for a request that is forwarded unchanged and that a server may have run. `may_send`
/// tells whether one more server may run it.
pub fn decide_forwarded(kind: Kind, repeatable: bool, attempts: u32, may_send: bool) -> Next {
    if attempts >= FORWARD_ATTEMPTS {
        return Next::GiveUp;
    }
    match kind {
        Kind::ServerLost | Kind::BrokenAnswer | Kind::ServerFailed if repeatable && may_send => {
            Next::Retry
        }
        _ => Next::GiveUp,
    }
}

/// Failure that the caller gets. Once an `earlier` attempt may have run, a kind that says "not run"
/// would be wrong.
pub fn final_fail(fail: Fail, earlier: Option<&Fail>, repeatable: bool) -> Fail {
    let Some(earlier) = earlier else {
        return mark_lost(fail, repeatable);
    };
    match fail.kind {
        Kind::ExpiredWaiting => Fail {
            kind: Kind::ExpiredRunning,
            ..fail
        },
        kind if kind.row().ran == crate::error::Ran::No => mark_lost(earlier.clone(), repeatable),
        _ => mark_lost(fail, repeatable),
    }
}

/// Turns a lost attempt at work that must not be repeated into [`Kind::OutcomeUnknown`].
fn mark_lost(fail: Fail, repeatable: bool) -> Fail {
    let lost = matches!(fail.kind, Kind::ServerLost | Kind::ExpiredRunning);
    if repeatable || !lost {
        return fail;
    }
    let text = format!("{}; it may have run and is not repeated", fail.text);
    Fail::new(Kind::OutcomeUnknown, text)
}
