//! Runs one piece of work on the backend servers, with retries.

use super::{attempt::Abort, refused::RefusalCause, wait::Places};
use crate::{
    clock::{Clock, Time},
    error::{Fail, Kind, Ran, Res},
    gate::Slot,
    http::Share,
    kernel::Host,
    pass::{Buffer, Event, Head},
    quarantine::{self, Admission, Permit},
    retry::{self, Next},
    timeline::Happening,
    wire::{Answer, Class, Name, Software, Work},
};
use std::{sync::Arc, time::Duration};

/// Pause after a server that did not run a request, before the next server is asked.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a request that no server runs is refused, and may be sent to another host.
const NOT_RUN_MAX: Duration = Duration::from_millis(1500);
/// Longer pause from then on, if a server may have run the request before.
const NOT_RUN_LATE_PAUSE: Duration = Duration::from_millis(200);

/// Receives the tokens of an answer.
pub trait Sink {
    /// Takes the token at `pos`. An error ends the work and cancels it on the server.
    ///
    /// # Errors
    /// The rest of the answer is not wanted.
    fn token(&mut self, pos: u32, text: &str) -> Res<()>;

    /// Takes the head of an event stream, before each event and at the end. A server that resumes
    /// the stream has its own head.
    ///
    /// # Errors
    /// The answer is not wanted.
    fn begin(&mut self, _head: &Head) -> Res<()> {
        Ok(())
    }

    /// Whether an event stream has begun, so that no other answer can be taken.
    fn is_begun(&self) -> bool {
        false
    }

    /// Takes an event of an answer that is passed back unchanged.
    ///
    /// # Errors
    /// The rest of the answer is not wanted.
    fn event(&mut self, _event: &Event) -> Res<()> {
        self.check()
    }

    /// Takes any other complete answer with a status below 400.
    ///
    /// # Errors
    /// The answer is not wanted.
    fn whole(&mut self, _head: &Head, _body: Buffer) -> Res<()> {
        Ok(())
    }

    /// Takes an answer with status 400 or above. From 500 on, another server may still succeed.
    fn failed(&mut self, _head: &Head, _body: Buffer) {}

    /// Called once, when the work has its first slot and before it is sent to a server.
    ///
    /// # Errors
    /// The work may not be sent now.
    fn admit(&mut self) -> Res<()> {
        Ok(())
    }

    /// Called with `true` when the work gets a slot, with `false` when it lost it and needs another.
    fn slot(&mut self, _held: bool) {}

    /// Called periodically while the work waits for a slot or for bytes of a server's answer.
    ///
    /// # Errors
    /// The answer is no longer wanted.
    fn check(&mut self) -> Res<()> {
        Ok(())
    }
}

/// State of one piece of work that is being dispatched.
pub(super) struct Run<'a, S> {
    pub(super) host: &'a Arc<Host>,
    pub(super) work: &'a Work,
    pub(super) sink: &'a mut S,
    /// Text of the tokens passed to the sink.
    pub(super) text: String,
    /// Memory of the text of a batch item.
    pub(super) text_share: Share,
    /// Position of the next token.
    pub(super) pos: u32,
    /// Software version that began the stream, once it has events.
    pub(super) version: Option<Name>,
    /// Whether the last answer broke off inside the event after `pos`.
    pub(super) was_partial: bool,
    /// Answers since the last event that ended with their connections without one.
    pub(super) empty_ends: u32,
    /// Slot requests so far; their numbers make the attempt ids unique.
    pub(super) asks: u32,
    /// Attempts of a forwarded request that a server may have run.
    pub(super) sent: u32,
    pub(super) admitted: bool,
    /// Server of the current or last attempt; empty before the first.
    pub(super) current: Name,
    /// Prompt segments of the request that others may share, and the id of the whole request.
    pub(super) segments: Vec<Name>,
    /// Right to send it although segments of it are in quarantine.
    pub(super) permit: Option<Permit>,
    /// Whether the failure of the last attempt suggests that its server has started again.
    pub(super) may_have_restarted: bool,
    /// Whether the last attempt lost its server before the answer began.
    pub(super) lost_early: bool,
    /// Whether a server's limit held the work back.
    pub(super) was_throttled: bool,
    /// Why a server last refused the work without running it.
    pub(super) refused: Option<RefusalCause>,
    /// Failed attempts that count against the retries.
    failures: u32,
    /// Position from which no server has run the work, and since when.
    not_run: Option<(u32, Time)>,
    /// Servers at which an attempt failed.
    pub(super) tried: Vec<Name>,
    /// The last failure after which a server may have run the work.
    pub(super) earlier: Option<Fail>,
    /// Places in the queues of other servers, while the current one is silent.
    pub(super) places: Option<Places>,
    /// Slot on another server that the request leaves a silent one for; a retry of the budget is spent.
    pub(super) reserved: Option<Slot>,
}

/// Runs `work` on backend servers and feeds its tokens to `sink`.
///
/// If a server fails, another one resumes the answer at the exact position, within the retry budget.
/// Preempted batch work resumes in the same way when there is capacity again.
///
/// # Errors
/// The row of the error's kind in the error table says whether the work ran.
pub fn dispatch<S: Sink>(host: &Arc<Host>, work: &Work, sink: &mut S) -> Res<Answer> {
    if let Some(request) = &work.request {
        // Items that an earlier version accepted were not checked.
        request.check()?;
    }
    host.routes.count_request();
    let mut run = Run {
        host,
        work,
        sink,
        text: String::new(),
        text_share: host.passing.share(),
        pos: work.request.as_ref().map_or(0, |r| r.after),
        version: match &work.software {
            Software::Only(version) => Some(version.clone()),
            Software::Any | Software::Start => None,
        },
        was_partial: false,
        empty_ends: 0,
        asks: 0,
        sent: 0,
        admitted: false,
        current: Name::default(),
        segments: segments_of(host, work),
        permit: None,
        may_have_restarted: false,
        lost_early: false,
        was_throttled: false,
        refused: None,
        failures: 0,
        not_run: None,
        tried: Vec::new(),
        earlier: None,
        places: None,
        reserved: None,
    };
    let result = run.run();
    let (what, note) = match &result {
        Ok(answer) => (Happening::Finished, &*answer.server),
        Err(fail) => (Happening::Failed, fail.kind.row().code),
    };
    host.timeline.note(what, &work.id, None, note);
    result
}

impl<S: Sink> Run<'_, S> {
    fn run(&mut self) -> Res<Answer> {
        loop {
            self.refuse_quarantined()
                .map_err(|fail| self.final_fail(fail))?;
            let slot = match self.reserved.take() {
                Some(slot) => slot,
                None => self.acquire().map_err(|fail| self.final_fail(fail))?,
            };
            self.sink.slot(true);
            match self.attempt(slot) {
                Ok(answer) => return Ok(answer),
                Err(Abort::Final(fail)) => return Err(fail),
                Err(Abort::Preempted) => self.resume_preempted()?,
                Err(Abort::Failed(fail)) => self.recover(fail)?,
            }
            self.sink.slot(false);
        }
    }

    /// Prepares another attempt after a failed one, or returns the final error.
    fn recover(&mut self, fail: Fail) -> Res<()> {
        // A probe reaches one server.
        if self.permit.is_some() && fail.kind != Kind::Unreachable {
            return Err(self.final_fail(fail));
        }
        if self.work.request.is_some() && fail.kind.row().ran == Ran::No {
            return self.wait_after_not_run(fail);
        }
        let next = self.next_step(&fail);
        self.failures += 1;
        let again =
            next == Next::Retry && (self.reserved.is_some() || self.host.routes.take_retry());
        if !again {
            return Err(self.final_fail(fail));
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

    /// What to do if the current attempt fails with `fail`, besides the retry budget.
    pub(super) fn next_step(&self, fail: &Fail) -> Next {
        let (kind, failures) = (fail.kind, self.failures + 1);
        let Some(request) = &self.work.request else {
            return retry::decide(kind, self.work.repeatable, failures);
        };
        let may_send = match self.work.class {
            Class::Online => self.sent < request.attempts,
            // The job counts each failed answer of a batch item by itself, and waits before an item that
            // may have crashed its server is tried again.
            Class::Batch => kind != Kind::ServerFailed && !self.lost_early,
        };
        retry::decide_forwarded(kind, self.work.repeatable, failures, may_send)
    }

    /// Pauses after a server that certainly did not run a forwarded request. Fails if no server ran it
    /// for [`NOT_RUN_MAX`], unless it is online and one may have run it before: a refusal would not be true
    /// then.
    fn wait_after_not_run(&mut self, fail: Fail) -> Res<()> {
        let now = self.host.now();
        let (pos, since) = *self.not_run.get_or_insert((self.pos, now));
        let mut pause = NOT_RUN_PAUSE;
        if pos != self.pos {
            self.not_run = Some((self.pos, now));
        } else if now.saturating_sub(since) >= NOT_RUN_MAX {
            if self.earlier.is_none() || self.work.class == Class::Batch {
                return Err(self.final_fail(fail));
            }
            pause = NOT_RUN_LATE_PAUSE;
        }
        self.host.clock.sleep(pause);
        Ok(())
    }

    /// Fails if a segment of the prompt is in quarantine and not due for a probe.
    fn refuse_quarantined(&self) -> Res<()> {
        if self.permit.is_some() {
            return Ok(());
        }
        match self.host.admit_segments(&self.segments) {
            Admission::Refused(fail) => Err(fail),
            Admission::Free | Admission::Probe(_) => Ok(()),
        }
    }

    /// Like `refuse_quarantined`, right before the request is sent; claims a probe that is due.
    pub(super) fn permit_segments(&mut self) -> Res<()> {
        if self.permit.is_some() {
            return Ok(());
        }
        match self.host.admit_segments(&self.segments) {
            Admission::Free => Ok(()),
            Admission::Refused(fail) => Err(fail),
            Admission::Probe(entries) => {
                self.permit = Some(self.host.claim_probe(&entries)?);
                Ok(())
            }
        }
    }

    /// Drops the events so far, so that any server may begin again.
    pub(super) fn restart(&mut self) {
        self.text = String::new();
        self.text_share = self.host.passing.share();
        self.pos = self.work.request.as_ref().map_or(0, |r| r.after);
        self.version = None;
    }

    /// Lets preempted batch work resume from its position, unless the host stops.
    fn resume_preempted(&mut self) -> Res<()> {
        let fail = Fail::new(Kind::Preempted, "the work was preempted by online requests");
        if !self.work.repeatable || self.host.is_stopping() {
            return Err(fail);
        }
        self.earlier = Some(fail);
        self.permit = None;
        Ok(())
    }

    pub(super) fn final_fail(&self, fail: Fail) -> Fail {
        if fail.kind == Kind::Quarantined
            && let Some(earlier) = &self.earlier
        {
            let text = format!("{}; not tried again: {}", earlier.text, fail.text);
            return Fail::new(earlier.kind, text);
        }
        let earlier = self.earlier.as_ref();
        let is_preempted = earlier.is_some_and(|e| e.kind == Kind::Preempted);
        if self.work.class == Class::Batch && is_preempted && fail.kind != Kind::Cancelled {
            return earlier.cloned().unwrap_or(fail);
        }
        retry::final_fail(fail, earlier, self.work.repeatable)
    }
}

fn segments_of(host: &Host, work: &Work) -> Vec<Name> {
    let (Some(dialect), Some(request)) = (host.dialect, &work.request) else {
        return Vec::new();
    };
    let mut segments = (dialect.segments)(request);
    segments.retain(|s| !quarantine::is_request(s));
    // An item of a batch job is still owed if servers end under it.
    if work.class == Class::Online {
        segments.push(quarantine::request_id(&work.workspace, request));
    }
    segments
}
