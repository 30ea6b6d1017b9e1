//! Carries one piece of work out on the backend servers.

use super::attempt::Stop;
use crate::{
    clock::{Clock, Time},
    error::{Fail, Kind, Ran, Res},
    kernel::Host,
    pass::{Event, Head},
    retry::{self, Next},
    timeline::Happening,
    wire::{Answer, Class, Name, Work},
};
use std::{sync::Arc, time::Duration};

/// Pause after a server that did not run a request, before the next one is asked.
const STAND_BY: Duration = Duration::from_millis(20);
/// Time without a server that runs a request after which it is given up: callers leave after two
/// seconds without an event.
const STUCK_MAX: Duration = Duration::from_millis(1500);

/// Receives the tokens of an answer.
pub trait Sink {
    /// Takes the token at `pos`. An error ends the work and cancels it on the server.
    ///
    /// # Errors
    /// Nobody wants the rest of the answer.
    fn token(&mut self, pos: u32, text: &str) -> Res<()>;

    /// Takes the head of a server's answer that is an event stream; called again when another server
    /// goes on with it.
    ///
    /// # Errors
    /// Nobody wants the answer.
    fn begin(&mut self, _head: &Head) -> Res<()> {
        Ok(())
    }

    /// Takes an event of an answer that is passed back unchanged.
    ///
    /// # Errors
    /// Nobody wants the rest of the answer.
    fn event(&mut self, _event: &Event) -> Res<()> {
        self.check()
    }

    /// Takes a whole answer that is no event stream.
    ///
    /// # Errors
    /// Nobody wants the answer.
    fn whole(&mut self, _head: &Head, _body: &[u8]) -> Res<()> {
        Ok(())
    }

    /// Takes a server's answer that it failed or refuses. Another server may do better.
    fn failed(&mut self, _head: &Head, _body: &[u8]) {}

    /// Called once, right before the work is sent for the first time.
    ///
    /// # Errors
    /// The work may not be sent now.
    fn admit(&mut self) -> Res<()> {
        Ok(())
    }

    /// Called when the work gets a slot of a server, and when it gave it up and waits for another.
    fn slot(&mut self, _held: bool) {}

    /// Called now and then while nothing arrives.
    ///
    /// # Errors
    /// Nobody wants the answer any more.
    fn check(&mut self) -> Res<()> {
        Ok(())
    }
}

/// One piece of work under way.
pub(super) struct Run<'a, S> {
    pub(super) host: &'a Arc<Host>,
    pub(super) work: &'a Work,
    pub(super) sink: &'a mut S,
    /// Text of the tokens passed on.
    pub(super) text: String,
    /// Position of the next token.
    pub(super) pos: u32,
    /// Attempts that got a slot; makes the id of each one unique.
    pub(super) count: u32,
    /// Attempts at servers that may have run the work.
    pub(super) sent: u32,
    /// Whether the sink admitted the work.
    pub(super) admitted: bool,
    /// Failed attempts.
    fails: u32,
    /// Position at which no server ran the work, and since when.
    stuck: Option<(u32, Time)>,
    /// Servers that failed.
    pub(super) tried: Vec<Name>,
    /// The last failure after which a server may have run the work.
    pub(super) earlier: Option<Fail>,
}

/// Carries `work` out and feeds its tokens to `sink`.
///
/// A server that fails is replaced by another within the retry budget, and the answer goes on at
/// the exact position. Batch work that gives way goes on in the same manner when there is capacity
/// again.
///
/// # Errors
/// The kind tells whether the work ran; see the error table.
pub fn dispatch<S: Sink>(host: &Arc<Host>, work: &Work, sink: &mut S) -> Res<Answer> {
    host.routes.count_request();
    let mut run = Run {
        host,
        work,
        sink,
        text: String::new(),
        pos: work.request.as_ref().map_or(0, |r| r.after),
        count: 0,
        sent: 0,
        admitted: false,
        fails: 0,
        stuck: None,
        tried: Vec::new(),
        earlier: None,
    };
    let result = run.carry_out();
    let (what, note) = match &result {
        Ok(answer) => (Happening::Finished, &*answer.server),
        Err(fail) => (Happening::Failed, fail.kind.row().code),
    };
    host.timeline.note(what, &work.id, None, note);
    result
}

impl<S: Sink> Run<'_, S> {
    fn carry_out(&mut self) -> Res<Answer> {
        loop {
            let slot = self.acquire().map_err(|fail| self.settle(fail))?;
            self.sink.slot(true);
            match self.attempt(slot) {
                Ok(answer) => return Ok(answer),
                Err(Stop::Unwanted(fail)) => return Err(fail),
                Err(Stop::Evicted) => self.give_way()?,
                Err(Stop::Failed(fail)) => self.recover(fail)?,
            }
            self.sink.slot(false);
        }
    }

    /// Goes on after a failed attempt, or ends with its failure.
    fn recover(&mut self, fail: Fail) -> Res<()> {
        if self.work.request.is_some() && fail.kind.row().ran == Ran::No {
            return self.stand_by(fail);
        }
        self.fails += 1;
        let next = match &self.work.request {
            Some(request) => {
                let may_send = match self.work.class {
                    Class::Online => self.sent < request.attempts,
                    // Each answer of a batch item that a server failed is counted by its job.
                    Class::Batch => fail.kind != Kind::ServerFailed,
                };
                retry::decide_forwarded(fail.kind, self.work.repeatable, self.fails, may_send)
            }
            None => retry::decide(fail.kind, self.work.repeatable, self.fails),
        };
        let again = next == Next::Retry && self.host.routes.take_retry();
        if !again {
            return Err(self.settle(fail));
        }
        let what = if self.pos > 0 {
            Happening::Resumed
        } else {
            Happening::Retried
        };
        let note = format!("{} from={}", fail.kind.row().code, self.pos);
        self.host.timeline.note(what, &self.work.id, None, &note);
        if fail.kind.row().ran != Ran::No {
            self.earlier = Some(fail);
        }
        Ok(())
    }

    /// Waits a little after a server that certainly did not run a request to be passed on; gives up
    /// when no server ran it for long.
    fn stand_by(&mut self, fail: Fail) -> Res<()> {
        let now = self.host.now();
        let (pos, since) = *self.stuck.get_or_insert((self.pos, now));
        if pos != self.pos {
            self.stuck = Some((self.pos, now));
        } else if now.saturating_sub(since) >= STUCK_MAX {
            return Err(self.settle(fail));
        }
        self.host.clock.sleep(STAND_BY);
        Ok(())
    }

    /// Batch work goes on elsewhere or later, from its position, unless the host stops.
    fn give_way(&mut self) -> Res<()> {
        let fail = Fail::new(Kind::Preempted, "the work gave way to online requests");
        if !self.work.repeatable || self.host.is_stopping() {
            return Err(fail);
        }
        self.earlier = Some(fail);
        Ok(())
    }

    fn settle(&self, fail: Fail) -> Fail {
        let earlier = self.earlier.as_ref();
        let gave_way = earlier.is_some_and(|e| e.kind == Kind::Preempted);
        if self.work.class == Class::Batch && gave_way && fail.kind != Kind::Cancelled {
            return earlier.cloned().unwrap_or(fail);
        }
        retry::final_fail(fail, earlier, self.work.repeatable)
    }
}
