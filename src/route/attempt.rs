//! One attempt at a piece of work on the server whose slot it holds.

use super::{
    dispatch::{Run, Sink},
    health::Outcome,
};
use crate::{
    clock::Time,
    engine::{End, EngineClient, Generate, Piece},
    error::{Fail, Kind, Res},
    gate::{Slot, cancel_at},
    timeline::Happening,
    wire::Answer,
};
use std::net::SocketAddr;

/// Why an attempt ended without the whole answer.
pub(super) enum Stop {
    /// Nobody wants the answer any more.
    Unwanted(Fail),
    /// Batch work gave way.
    Evicted,
    /// The server failed.
    Failed(Fail),
}

/// An attempt under way.
pub(super) struct Try {
    pub(super) addr: SocketAddr,
    /// Start of the server that the work is sent to.
    pub(super) start: u64,
    pub(super) began: Time,
    pub(super) first: Option<Time>,
}

impl<S: Sink> Run<'_, S> {
    /// Runs the work from its position on the slot's server.
    pub(super) fn attempt(&mut self, mut slot: Slot) -> Result<Answer, Stop> {
        let host = self.host;
        // A host that was lost sends nothing more.
        if host.is_dead() {
            let fail = Fail::new(Kind::Cancelled, "the host is lost");
            return Err(Stop::Unwanted(fail));
        }
        if !self.admitted {
            self.sink.admit().map_err(Stop::Unwanted)?;
            self.admitted = true;
        }
        let server = host
            .config
            .view(|s| s.server(&slot.server).cloned())
            .ok_or_else(|| Stop::Failed(gone()))?;
        if host.routes.departures.has(&server) {
            let text = "the server leaves and takes no new work";
            return Err(Stop::Failed(Fail::new(Kind::Unreachable, text)));
        }
        let mut attempt = Try {
            addr: server.addr,
            start: server.start,
            began: host.now(),
            first: None,
        };
        host.routes
            .begin(attempt.began, &slot.server, self.work.class);
        host.timeline
            .note(Happening::Sent, &slot.id, None, &slot.server);
        let from = self.pos;
        let result = match &self.work.request {
            Some(request) => self.pass(&slot, &mut attempt, request),
            None => self.stream(&slot, &mut attempt),
        };
        slot.used = self.pos - from;
        let outcome = outcome(&attempt, &result);
        host.routes
            .end(host, &slot.server, self.work.class, outcome);
        if matches!(result, Err(Stop::Failed(_))) {
            self.tried.push(slot.server.clone());
        }
        result
    }

    fn stream(&mut self, slot: &Slot, attempt: &mut Try) -> Result<Answer, Stop> {
        let host = self.host;
        let left = self.work.deadline.saturating_sub(host.now());
        let engine = EngineClient::new(attempt.addr, host.client.clone(), host.settings.quiet);
        let mut pieces = engine
            .generate(&self.generate(slot), left)
            .map_err(|fail| self.failed(fail, slot, attempt))?;
        loop {
            let piece = pieces
                .next()
                .map_err(|fail| self.failed(fail, slot, attempt))?;
            if let Some(end) = piece.end {
                return self.ended(end, &piece, slot);
            }
            if attempt.first.is_none() {
                attempt.first = Some(host.now());
                host.timeline
                    .note(Happening::FirstToken, &slot.id, None, &slot.server);
            }
            self.pass_on(&piece, slot, attempt)?;
        }
    }

    fn pass_on(&mut self, piece: &Piece, slot: &Slot, attempt: &Try) -> Result<(), Stop> {
        let host = self.host;
        let taken = self
            .in_time()
            .and_then(|()| self.sink.token(piece.pos, &piece.text));
        if let Err(fail) = taken {
            cancel_at(host, attempt.addr, &slot.id);
            return Err(Stop::Unwanted(fail));
        }
        self.text += &piece.text;
        self.pos = piece.pos + 1;
        Ok(())
    }

    fn ended(&mut self, end: End, piece: &Piece, slot: &Slot) -> Result<Answer, Stop> {
        match end {
            End::Stop => Ok(Answer {
                text: std::mem::take(&mut self.text),
                tokens: piece.pos,
                server: slot.server.clone(),
            }),
            End::Cancelled | End::Exported if self.work.class == crate::wire::Class::Batch => {
                Err(Stop::Evicted)
            }
            End::Cancelled | End::Exported => Err(Stop::Failed(Fail::new(
                Kind::ServerLost,
                "the server ended the answer early",
            ))),
            End::Invalid => Err(Stop::Unwanted(Fail::new(
                Kind::ServerRefused,
                "the server cannot do it",
            ))),
            End::Error => Err(Stop::Failed(Fail::new(
                Kind::ServerLost,
                "the server failed",
            ))),
        }
    }

    /// Cancels what may still run, and tells a server's failure from a deadline that passed.
    fn failed(&self, fail: Fail, slot: &Slot, attempt: &Try) -> Stop {
        let host = self.host;
        if fail.kind != Kind::Unreachable {
            cancel_at(host, attempt.addr, &slot.id);
        }
        if fail.kind == Kind::ServerRefused {
            return Stop::Unwanted(fail);
        }
        match self.in_time() {
            Err(late) if fail.kind != Kind::Unreachable => Stop::Unwanted(late),
            _ => Stop::Failed(fail),
        }
    }

    /// Whether the deadline of the work that a server is at has not passed.
    pub(super) fn in_time(&self) -> Res<()> {
        if self.host.now() < self.work.deadline {
            return Ok(());
        }
        let text = "the deadline passed while a server was at work";
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

fn gone() -> Fail {
    Fail::new(Kind::Unreachable, "the server is not configured any more")
}

fn outcome(attempt: &Try, result: &Result<Answer, Stop>) -> Outcome {
    match (result, attempt.first) {
        (Err(Stop::Failed(fail)), _) if fail.kind == Kind::Unreachable => Outcome::Gone,
        // A full server is no sick one; its gate learns by its own counts.
        (Err(Stop::Failed(fail)), _) if fail.kind == Kind::ServerFull => Outcome::None,
        (Err(Stop::Failed(_)), _) => Outcome::Bad,
        (_, Some(first)) => Outcome::Good(first.saturating_sub(attempt.began).as_secs_f64()),
        _ => Outcome::None,
    }
}
