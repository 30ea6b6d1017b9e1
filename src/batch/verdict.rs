//! What becomes of an item after a try.

use crate::{
    error::{Fail, Kind, Ran, Res},
    job::Outcome,
    wire::Answer,
};
use std::time::Duration;

/// Most tries of an item that count against it.
pub const TRIES_MAX: u32 = 6;
/// Pause after the first try that failed; doubled for each further one.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_secs(15);
/// Pause after a try that found no spare capacity.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// What to do with an item after a try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It ended.
    End(Outcome),
    /// Try it again after the pause.
    Retry {
        /// Pause.
        pause: Duration,
        /// Whether the try counts against the item.
        is_charged: bool,
    },
    /// Nobody wants it any more.
    Drop,
}

/// Judges the result of a try after `tries` earlier ones that counted.
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

/// Judges a try of an item that is passed on unchanged, after `tries` answers that a server failed.
/// It ends when a server refuses it as invalid, or after `most` such answers; whatever else happened
/// to it is no failure of the item.
pub fn judge_passed(result: Res<Answer>, tries: u32, most: u32) -> Verdict {
    let fail = match result {
        Ok(answer) => return judge(Ok(answer), tries, true),
        Err(fail) => fail,
    };
    match fail.kind {
        Kind::Cancelled => Verdict::Drop,
        Kind::ServerRefused => Verdict::End(failed(&fail, fail.text.to_string())),
        Kind::ServerFailed if tries + 1 >= most => {
            let text = format!(
                "gave up after {most} answers that a server failed: {}",
                fail.text
            );
            Verdict::End(failed(&fail, text))
        }
        Kind::ServerFailed => Verdict::Retry {
            pause: PAUSE,
            is_charged: true,
        },
        _ => Verdict::Retry {
            pause: fail.after.unwrap_or(FULL_PAUSE).min(PAUSE),
            is_charged: false,
        },
    }
}

fn failed(fail: &Fail, text: String) -> Outcome {
    Outcome::Failed {
        code: fail.kind.row().code.into(),
        text: text.into(),
    }
}
