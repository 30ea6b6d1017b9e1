//! Decides whether an item has ended after a try or is tried again.

use crate::{
    error::{Fail, Kind, Ran, Res},
    job::Outcome,
    wire::Answer,
};
use std::time::Duration;

/// Number of charged tries after which an item fails.
pub const TRIES_MAX: u32 = 6;
/// Pause after the first charged try; doubled for each further one.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_secs(15);
/// Pause after an uncharged try whose error names no time.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Pause before an item with a segment in quarantine is tried again.
const QUARANTINE_PAUSE: Duration = Duration::from_secs(2);

/// What to do with an item after a try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The item has ended.
    End(Outcome),
    /// Try the item again.
    Retry {
        /// Time until the item is due.
        pause: Duration,
        /// Whether the try counts against the item.
        is_charged: bool,
    },
    /// The host no longer holds the part; forget the item.
    Drop,
}

/// Judges the result of a try after `tries` charged ones. The outcome of an item that may not be
/// repeated is unknown if it may have run without an answer.
pub fn judge(result: Res<Answer>, tries: u32, repeatable: bool) -> Verdict {
    let fail = match result {
        Ok(answer) => {
            return Verdict::End(Outcome::Done {
                text: answer.text.into(),
                tokens: answer.tokens,
            });
        }
        Err(fail) => fail,
    };
    match fail.kind {
        Kind::Cancelled => Verdict::Drop,
        Kind::BadRequest
        | Kind::UnknownModel
        | Kind::NotFound
        | Kind::TooLarge
        | Kind::Forbidden
        | Kind::ServerRefused => Verdict::End(failed(&fail, fail.text.to_string())),
        Kind::Quarantined => wait_for_quarantine(),
        kind if kind.row().ran == Ran::No => Verdict::Retry {
            pause: fail.after.unwrap_or(FULL_PAUSE).min(PAUSE_MAX),
            is_charged: false,
        },
        _ if !repeatable => Verdict::End(Outcome::Unknown),
        Kind::Preempted => Verdict::Retry {
            pause: FULL_PAUSE,
            is_charged: false,
        },
        _ if tries + 1 >= TRIES_MAX => {
            let text = format!("gave up after {TRIES_MAX} tries: {}", fail.text);
            Verdict::End(failed(&fail, text))
        }
        _ => Verdict::Retry {
            pause: (PAUSE * 2u32.pow(tries)).min(PAUSE_MAX),
            is_charged: true,
        },
    }
}

/// Judges a try of a passed-through item after `tries` answers that a server failed. The item fails
/// when it cannot be passed on, when a server refuses it as invalid, or after `most` such answers. All other errors are not the
/// item's and are not charged.
pub fn judge_passed(result: Res<Answer>, tries: u32, most: u32) -> Verdict {
    let fail = match result {
        Ok(answer) => return judge(Ok(answer), tries, true),
        Err(fail) => fail,
    };
    match fail.kind {
        Kind::Cancelled => Verdict::Drop,
        Kind::ServerRefused | Kind::BadRequest => {
            Verdict::End(failed(&fail, fail.text.to_string()))
        }
        Kind::ServerFailed if tries + 1 >= most => {
            let why = &fail.text;
            let text = format!("gave up after {most} answers that a server failed: {why}");
            Verdict::End(failed(&fail, text))
        }
        Kind::ServerFailed => Verdict::Retry {
            pause: PAUSE,
            is_charged: true,
        },
        Kind::Quarantined => wait_for_quarantine(),
        Kind::ServerLost => Verdict::Retry {
            pause: PAUSE,
            is_charged: false,
        },
        _ => Verdict::Retry {
            pause: fail.after.unwrap_or(FULL_PAUSE).min(PAUSE),
            is_charged: false,
        },
    }
}

/// The item waits until the quarantine of its segment ends, or until it may be the probe.
fn wait_for_quarantine() -> Verdict {
    Verdict::Retry {
        pause: QUARANTINE_PAUSE,
        is_charged: false,
    }
}

fn failed(fail: &Fail, text: String) -> Outcome {
    Outcome::Failed {
        code: fail.kind.row().code.into(),
        text: text.into(),
    }
}
