//! Whether a failed attempt is made again.

use crate::error::{Fail, Kind};

/// Attempts at one piece of work, the first included.
pub const ATTEMPTS: u32 = 4;
/// Attempts at one request that is passed on unchanged.
pub const FORWARD_ATTEMPTS: u32 = 8;
/// Retries that may be made at once after a quiet time.
pub const RESERVE: u64 = 20;

/// A budget of retries over all traffic of a host, in hundredths of a retry.
///
/// Each request adds a part of a retry, so that retries stay a fixed share of the traffic even
/// when every attempt fails.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    percent: u64,
    hundredths: u64,
}

impl Budget {
    /// A budget of `percent` retries for each hundred requests.
    pub fn new(percent: u64) -> Self {
        let reserve = if percent == 0 { 0 } else { RESERVE * 100 };
        Self {
            percent,
            hundredths: reserve,
        }
    }

    /// Counts a request.
    pub fn earn(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(RESERVE * 100);
    }

    /// Takes one retry; `false` if none is left.
    pub fn spend(&mut self) -> bool {
        let rest = self.hundredths.checked_sub(100);
        self.hundredths = rest.unwrap_or(self.hundredths);
        rest.is_some()
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try again on another server, from the present position.
    Retry,
    /// Answer with the failure.
    GiveUp,
}

/// Decides by what is certain about the failed attempt. The budget is asked by the caller.
pub fn decide(kind: Kind, repeatable: bool, attempts: u32) -> Next {
    if attempts >= ATTEMPTS {
        return Next::GiveUp;
    }
    match kind {
        // Nothing reached a server.
        Kind::Unreachable | Kind::Overloaded => Next::Retry,
        Kind::ServerLost | Kind::BrokenAnswer if repeatable => Next::Retry,
        _ => Next::GiveUp,
    }
}

/// Decides for a request that is passed on unchanged and that a server may have run. `may_send` tells
/// whether one more server may run it.
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

/// The failure to answer with, when an earlier attempt may have run: a kind that says "not run"
/// would not be true then.
pub fn final_fail(fail: Fail, earlier: Option<&Fail>, repeatable: bool) -> Fail {
    let Some(earlier) = earlier else {
        return seal(fail, repeatable);
    };
    match fail.kind {
        Kind::ExpiredWaiting => Fail {
            kind: Kind::ExpiredRunning,
            ..fail
        },
        kind if kind.row().ran == crate::error::Ran::No => seal(earlier.clone(), repeatable),
        _ => seal(fail, repeatable),
    }
}

/// Work that may not be repeated has an unknown outcome once a server may have it.
fn seal(fail: Fail, repeatable: bool) -> Fail {
    let lost = matches!(fail.kind, Kind::ServerLost | Kind::ExpiredRunning);
    if repeatable || !lost {
        return fail;
    }
    let text = format!("{}; it may have run and is not repeated", fail.text);
    Fail::new(Kind::OutcomeUnknown, text)
}
