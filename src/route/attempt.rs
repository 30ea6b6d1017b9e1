//! One attempt to run work on the server whose slot it holds.

use super::{
    dispatch::{Run, Sink},
    health::Outcome,
    pace::Pace,
};
use crate::{
    clock::Time,
    engine::{End, EngineClient, Generate, Piece},
    error::{Fail, Kind, Res},
    gate::{Slot, cancel_at},
    kernel::Host,
    pass::LoadStatement,
    timeline::Happening,
    wire::{Answer, Class, Name},
};
use std::net::SocketAddr;

/// Why an attempt ended without the whole answer.
pub(super) enum Abort {
    /// The work ends with this error; another server does not help.
    Final(Fail),
    /// Batch work was preempted by online requests.
    Preempted,
    /// The attempt failed; another server may succeed.
    Failed(Fail),
}

pub(super) struct Attempt {
    pub(super) addr: SocketAddr,
    /// Start number of the server that the work is sent to.
    pub(super) start: u64,
    /// Its software version.
    pub(super) software: Name,
    pub(super) began: Time,
    pub(super) first: Option<Time>,
    /// Times of its events, if speeds are learned.
    pub(super) pace: Option<Pace>,
}

impl Attempt {
    /// Records the time of an event; reads no clock unless speeds are learned.
    pub(super) fn note_event(&mut self, host: &Host) {
        if let Some(pace) = &mut self.pace {
            pace.note(host.now());
        }
    }

    /// Records the load that the head of the answer reports; calls `read` only if speeds are learned.
    pub(super) fn note_load(
        &mut self,
        host: &Host,
        slot: &Slot,
        read: impl FnOnce() -> LoadStatement,
    ) {
        if let Some(pace) = &mut self.pace {
            pace.load = host.load_report(slot, read());
        }
    }
}

impl<S: Sink> Run<'_, S> {
    /// Runs the work from its position on the slot's server.
    pub(super) fn attempt(&mut self, mut slot: Slot) -> Result<Answer, Abort> {
        let host = self.host;
        // A stopped or killed host must not send work.
        if host.is_dead() {
            let fail = Fail::new(Kind::Cancelled, "this host was stopped");
            return Err(Abort::Final(fail));
        }
        if !self.admitted {
            self.sink.admit().map_err(Abort::Final)?;
            self.admitted = true;
        }
        let server = host
            .config
            .view(|s| s.server(&slot.server).cloned())
            .ok_or_else(|| Abort::Failed(not_configured()))?;
        if host.routes.departures.has(&server) {
            let text = "the backend server is leaving and takes no new work";
            return Err(Abort::Failed(Fail::new(Kind::Unreachable, text)));
        }
        // The list may have changed since the server was chosen.
        if !host.routes.may_reach(host, self.work, &server) {
            let text = "the backend server is in no region that the request may reach";
            return Err(Abort::Failed(Fail::new(Kind::Unreachable, text)));
        }
        if self.version.as_ref().is_some_and(|v| *v != server.software) {
            let text = "the backend server has another software version than the stream";
            return Err(Abort::Failed(Fail::new(Kind::Unreachable, text)));
        }
        if let Err(fail) = self.permit_segments() {
            return Err(Abort::Final(self.final_fail(fail)));
        }
        self.current = slot.server.clone();
        self.places = None;
        let mut attempt = Attempt {
            addr: server.addr,
            start: server.start,
            software: server.software.clone(),
            began: host.now(),
            first: None,
            pace: host.settings.learn.then(Pace::default),
        };
        host.routes
            .begin(attempt.began, &slot.server, self.work.class);
        host.timeline
            .note(Happening::Sent, &slot.id, None, &slot.server);
        let from = self.pos;
        slot.is_sent = true;
        self.may_have_restarted = false;
        let result = match &self.work.request {
            Some(request) => self.forward_in_slot(&slot, &mut attempt, request),
            None => self.stream(&slot, &mut attempt),
        };
        slot.used = self.pos - from;
        if let Err(Abort::Failed(fail)) = &result {
            if self.may_have_restarted {
                host.suspect_start(&server, &slot.id, &fail.text);
            } else if matches!(fail.kind, Kind::Unreachable | Kind::NotReady) {
                // This host could not connect, which tells nothing about the server.
                slot.is_sent = false;
            }
        }
        if attempt.pace.is_some() {
            self.note_observed(&slot, &attempt, result.is_ok());
        }
        let outcome = outcome(&attempt, &result);
        host.routes
            .end(host, &slot.server, self.work.class, outcome);
        if matches!(result, Err(Abort::Failed(_))) {
            self.tried.push(slot.server.clone());
        }
        result
    }

    /// Has the gate of the slot's server told what was observed of `attempt`.
    fn note_observed(&self, slot: &Slot, attempt: &Attempt, is_whole: bool) {
        let host = self.host;
        if is_whole && self.work.class == Class::Online {
            host.routes.speeds.note_events(slot.used);
        }
        let pace = attempt.pace.as_ref();
        if let Some(observed) = pace.and_then(|pace| pace.observed(attempt.began)) {
            host.gates.held.observe(&slot.server, observed);
        }
    }

    fn stream(&mut self, slot: &Slot, attempt: &mut Attempt) -> Result<Answer, Abort> {
        let host = self.host;
        let left = self.work.deadline.saturating_sub(host.now());
        let engine = EngineClient::new(attempt.addr, host.client.clone(), host.settings.quiet);
        let mut pieces = engine
            .generate(&self.generate(slot), left)
            .map_err(|fail| self.classify(fail, slot, attempt))?;
        loop {
            let piece = pieces
                .next()
                .map_err(|fail| self.classify(fail, slot, attempt))?;
            if let Some(end) = piece.end {
                return self.finish(end, &piece, slot);
            }
            if attempt.first.is_none() {
                attempt.first = Some(host.now());
                host.timeline
                    .note(Happening::FirstToken, &slot.id, None, &slot.server);
            }
            attempt.note_event(host);
            self.deliver(&piece, slot, attempt)?;
        }
    }

    fn deliver(&mut self, piece: &Piece, slot: &Slot, attempt: &Attempt) -> Result<(), Abort> {
        let host = self.host;
        let taken = self
            .check_deadline()
            .and_then(|()| self.sink.token(piece.pos, &piece.text));
        if let Err(fail) = taken {
            cancel_at(host, attempt.addr, &slot.id);
            return Err(Abort::Final(fail));
        }
        self.text += &piece.text;
        self.pos = piece.pos + 1;
        Ok(())
    }

    fn finish(&mut self, end: End, piece: &Piece, slot: &Slot) -> Result<Answer, Abort> {
        match end {
            End::Stop => Ok(Answer {
                text: std::mem::take(&mut self.text),
                tokens: piece.pos,
                server: slot.server.clone(),
            }),
            End::Cancelled | End::Exported if self.work.class == Class::Batch => {
                Err(Abort::Preempted)
            }
            End::Cancelled | End::Exported => Err(Abort::Failed(Fail::new(
                Kind::ServerLost,
                "the backend server ended the answer early",
            ))),
            End::Invalid => Err(Abort::Final(Fail::new(
                Kind::ServerRefused,
                "the server cannot do it",
            ))),
            End::Error => Err(Abort::Failed(Fail::new(
                Kind::ServerLost,
                "the backend server reported an error",
            ))),
        }
    }

    /// Cancels an attempt that may still run, and tells a server failure from a passed deadline.
    fn classify(&self, fail: Fail, slot: &Slot, attempt: &Attempt) -> Abort {
        let host = self.host;
        if fail.kind != Kind::Unreachable {
            cancel_at(host, attempt.addr, &slot.id);
        }
        if fail.kind == Kind::ServerRefused {
            return Abort::Final(fail);
        }
        match self.check_deadline() {
            Err(late) if fail.kind != Kind::Unreachable => Abort::Final(late),
            _ => Abort::Failed(fail),
        }
    }

    /// Fails if the deadline passed while a server ran the work.
    pub(super) fn check_deadline(&self) -> Res<()> {
        if self.host.now() < self.work.deadline {
            return Ok(());
        }
        let text = "the deadline passed while a backend server was running the request";
        Err(Fail::new(Kind::ExpiredRunning, text))
    }

    fn generate(&self, slot: &Slot) -> Generate {
        Generate {
            id: slot.id.clone(),
            model: self.work.model.clone(),
            adapter: self.work.adapter.clone(),
            prompt: self.work.prompt.clone(),
            tokens: self.work.tokens,
            from: self.pos,
            cache: None,
        }
    }
}

fn not_configured() -> Fail {
    Fail::new(Kind::Unreachable, "the server is no longer configured")
}

fn outcome(attempt: &Attempt, result: &Result<Answer, Abort>) -> Outcome {
    match (result, attempt.first) {
        (Err(Abort::Failed(fail)), _) if fail.kind == Kind::Unreachable => Outcome::Unreachable,
        // A full server is not unhealthy; its gate corrects its counts by itself. Nor is one without a path to it.
        (Err(Abort::Failed(fail)), _) if matches!(fail.kind, Kind::ServerFull | Kind::NotReady) => {
            Outcome::Inconclusive
        }
        (Err(Abort::Failed(_)), _) => Outcome::Failure,
        (_, Some(first)) => Outcome::Success(first.saturating_sub(attempt.began).as_secs_f64()),
        _ => Outcome::Inconclusive,
    }
}
