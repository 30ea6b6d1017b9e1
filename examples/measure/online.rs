//! Plays the online load and records what the callers see.

use crate::schedule::Arrival;
use standin::{Got, answer_to};
use std::{
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

/// Outcome of one request.
#[derive(Debug, Clone)]
pub struct Done {
    /// Workspace.
    pub workspace: usize,
    /// Whether the workspace was within its rate.
    pub within: bool,
    /// Tokens asked for.
    pub tokens: u32,
    /// When it was sent, from the start of the phase.
    pub sent: Duration,
    /// When the first token came.
    pub first: Option<Duration>,
    /// How it ended.
    pub end: End,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer.
    Whole,
    /// A whole answer that is not the one to the question.
    Crossed,
    /// Refused because of the rate.
    RateLimited,
    /// Refused for another reason.
    Refused,
    /// No whole answer.
    Cut,
}

/// Sends one request; `first` is to be called when the first token comes.
pub trait Ask: Sync {
    /// Sends `arrival` and reads the answer.
    fn ask(&self, arrival: &Arrival, first: &mut dyn FnMut()) -> Got;
}

/// Plays `schedule`, each request in a thread of its own. Calls `at_end` when `span` is over, while
/// the last requests are still under way.
pub fn play<A: Ask>(
    schedule: &[Arrival],
    system: &A,
    span: Duration,
    at_end: impl FnOnce(),
) -> Vec<Done> {
    let began = Instant::now();
    let all = Mutex::new(Vec::with_capacity(schedule.len()));
    thread::scope(|scope| {
        for arrival in schedule {
            thread::sleep(arrival.at.saturating_sub(began.elapsed()));
            let all = &all;
            let run = move || {
                let done = send(arrival, system, began);
                all.lock().expect("outcomes").push(done);
            };
            let spawned = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn_scoped(scope, run);
            spawned.expect("a thread for a caller");
        }
        thread::sleep(span.saturating_sub(began.elapsed()));
        at_end();
    });
    all.into_inner().expect("outcomes")
}

fn send<A: Ask>(arrival: &Arrival, system: &A, began: Instant) -> Done {
    let sent = began.elapsed();
    let mut first = None;
    let got = system.ask(arrival, &mut || {
        first.get_or_insert_with(|| began.elapsed());
    });
    let end = match got {
        Got::Whole(text) if text == answer_to(&arrival.content, arrival.tokens) => End::Whole,
        Got::Whole(_) => End::Crossed,
        Got::Refused(429, _) => End::RateLimited,
        Got::Refused(..) => End::Refused,
        Got::Cut(_) => End::Cut,
    };
    Done {
        workspace: arrival.workspace,
        within: arrival.within,
        tokens: arrival.tokens,
        sent,
        first,
        end,
    }
}
