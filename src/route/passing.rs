//! An attempt that passes a request on unchanged, and its answer back.

use super::{
    attempt::{Stop, Try},
    dispatch::{Run, Sink},
};
use crate::{
    clock::Time,
    error::{Fail, Kind},
    gate::Slot,
    pass::{
        AttemptContext, Conn, Dialect, Entered, Event, Events, Head, ReadError, Request, Verdict,
    },
    timeline::Happening,
    wire::{Answer, Class},
};
use std::{fmt::Write, time::Duration};

/// Longest time to connect to a server.
const CONNECT: Duration = Duration::from_millis(500);
/// Longest wait for a server between two looks at whether the answer is still wanted.
const POLL: Duration = Duration::from_millis(100);
/// Silence of a server after which a request that may be repeated goes on elsewhere. Callers leave
/// after two seconds of silence, so that there is time for another server.
const SILENCE: Duration = Duration::from_millis(800);
/// Longest body of an answer that is no event stream, in bytes.
const WHOLE_MAX: usize = 4 << 20;
/// Most bytes of such an answer as it arrives, its head and framing included.
const WHOLE_TAKEN_MAX: u64 = 8 << 20;
/// Most bytes of events without id and data between two others.
const EMPTY_MAX: usize = 16 * 1024;
/// Longest text of a batch item in bytes: a page of results.
const TEXT_MAX: usize = 1 << 20;

impl<S: Sink> Run<'_, S> {
    /// Passes `request` to the slot's server, from the event after the last one passed back.
    pub(super) fn pass(
        &mut self,
        slot: &Slot,
        attempt: &mut Try,
        request: &Request,
    ) -> Result<Answer, Stop> {
        let host = self.host;
        let Some(dialect) = host.dialect else {
            let text = "the servers of this host take no requests unchanged";
            return Err(Stop::Unwanted(Fail::new(Kind::Internal, text)));
        };
        let left = self.work.deadline.saturating_sub(host.now());
        let mut conn = Conn::open(attempt.addr, CONNECT.min(left)).map_err(|e| {
            Stop::Failed(Fail::new(Kind::Unreachable, format!("backend server: {e}")))
        })?;
        let entered = host.passing.enter(&slot.id, conn.socket());
        let workspace = &*self.work.workspace;
        let context = AttemptContext {
            request,
            server: &slot.server,
            workspace: (!workspace.is_empty()).then_some(workspace),
            left: self.work.deadline.saturating_sub(host.now()),
            after: self.pos,
        };
        let fields = (dialect.fields)(&context);
        self.sent += 1;
        let result = match conn.send(&head_text(request, &fields), &request.body) {
            Ok(()) => self.answered(slot, attempt, request, dialect, &mut conn, &entered),
            Err(e) => Err(self.lost(&format!("the request was cut: {e}"), entered.is_ended())),
        };
        if let Err(Stop::Failed(fail)) = &result
            && matches!(fail.kind, Kind::BrokenAnswer | Kind::ServerLost)
        {
            let (id, server) = (&*slot.id, &*slot.server);
            let bytes = conn.taken();
            tracing::info!(id, server, bytes, cause = &*fail.text, "answer_cut");
        }
        result
    }

    /// Reads the answer and passes it back.
    fn answered(
        &mut self,
        slot: &Slot,
        attempt: &mut Try,
        request: &Request,
        dialect: &Dialect,
        conn: &mut Conn,
        entered: &Entered<'_>,
    ) -> Result<Answer, Stop> {
        let host = self.host;
        let since = host.now();
        let head = loop {
            if let Some(head) = self.arrived(conn.head(POLL), since, entered)? {
                break head;
            }
        };
        let verdict = (dialect.read)(&head, &request.id);
        if verdict != Verdict::Foreign && (dialect.leaves)(&head) {
            host.note_leaving(&slot.server, attempt.start, &slot.id);
        }
        match verdict {
            Verdict::Ours => {}
            Verdict::NotRun => {
                self.sent -= 1;
                let text = format!("the server answered {} and did not run it", head.status);
                return Err(Stop::Failed(Fail::new(Kind::ServerFull, text)));
            }
            Verdict::Foreign => {
                let text = "the answer belongs to another request";
                return Err(Stop::Failed(Fail::new(Kind::BrokenAnswer, text)));
            }
        }
        let is_stream = head
            .field("content-type")
            .is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status == 200 && is_stream {
            return self.events(slot, attempt, conn, &head, entered);
        }
        self.whole(slot, conn, &head, entered)
    }

    fn events(
        &mut self,
        slot: &Slot,
        attempt: &mut Try,
        conn: &mut Conn,
        head: &Head,
        entered: &Entered<'_>,
    ) -> Result<Answer, Stop> {
        let mut events = Events::default();
        // Events with nothing for the caller; they may turn out to be no part of the answer.
        let mut empty = Vec::new();
        let mut since = self.host.now();
        loop {
            let read = conn.read(POLL, events.buffer());
            let Some(more) = self.arrived(read, since, entered)? else {
                continue;
            };
            let mut moved = false;
            while let Some(mut event) = events
                .pop()
                .map_err(|_| broken("an event of the answer is not valid"))?
            {
                if event.is_empty() {
                    empty.append(&mut event.raw);
                    if empty.len() > EMPTY_MAX {
                        return Err(broken("the answer has no more events"));
                    }
                    continue;
                }
                if attempt.first.is_none() {
                    attempt.first = Some(self.host.now());
                    let timeline = &self.host.timeline;
                    timeline.note(Happening::FirstToken, &slot.id, None, &slot.server);
                }
                moved = true;
                if !empty.is_empty() {
                    empty.append(&mut event.raw);
                    event.raw = std::mem::take(&mut empty);
                }
                self.pass_event(head, &event)?;
            }
            // Bytes that never become an event are no progress, and neither are comments.
            if moved {
                since = self.host.now();
            } else if more {
                self.go_on(since)?;
            }
            if !more {
                if events.is_torn() {
                    let text = "the answer ended in the middle of an event";
                    return Err(self.lost(text, entered.is_ended()));
                }
                self.sink.begin(head).map_err(Stop::Unwanted)?;
                if !empty.is_empty() {
                    let event = Event {
                        id: None,
                        data: String::new(),
                        raw: empty,
                    };
                    self.sink.event(&event).map_err(Stop::Unwanted)?;
                }
                return Ok(self.answer(slot));
            }
        }
    }

    fn pass_event(&mut self, head: &Head, event: &Event) -> Result<(), Stop> {
        self.in_time().map_err(Stop::Unwanted)?;
        if let Some(id) = event.id {
            if id != self.pos + 1 {
                let text = format!("event {id} came after event {}", self.pos);
                return Err(broken(&text));
            }
            self.pos = id;
        } else if self.pos > 0 {
            let text = format!("an event without id came after event {}", self.pos);
            return Err(broken(&text));
        }
        if self.work.class == Class::Batch {
            if !self.text.is_empty() {
                self.text.push('\n');
            }
            self.text += &event.data;
            if self.text.len() > TEXT_MAX {
                // Another server begins anew.
                self.text.clear();
                self.pos = self.work.request.as_ref().map_or(0, |r| r.after);
                return Err(broken("the text of the item is too long"));
            }
        }
        self.sink
            .begin(head)
            .and_then(|()| self.sink.event(event))
            .map_err(Stop::Unwanted)
    }

    /// Reads an answer that is no event stream.
    fn whole(
        &mut self,
        slot: &Slot,
        conn: &mut Conn,
        head: &Head,
        entered: &Entered<'_>,
    ) -> Result<Answer, Stop> {
        let mut body = Vec::new();
        let (mut size, mut since) = (0, self.host.now());
        let mut held = self.host.passing.hold();
        loop {
            let read = conn.read(POLL, &mut body);
            match self.arrived(read, since, entered)? {
                Some(false) => break,
                Some(true) if body.len() > WHOLE_MAX || conn.taken() > WHOLE_TAKEN_MAX => {
                    return Err(broken("the answer is too long"));
                }
                Some(true) if !held.grow(body.len()) => {
                    return Err(broken("there is no room for the answer beside others"));
                }
                Some(true) => {
                    // Framing alone is no progress.
                    if body.len() > size {
                        (size, since) = (body.len(), self.host.now());
                    }
                    self.go_on(since)?;
                }
                None => {}
            }
        }
        if head.status < 400 {
            self.sink.whole(head, &body).map_err(Stop::Unwanted)?;
            return Ok(self.answer(slot));
        }
        self.sink.failed(head, &body);
        let text = format!("the server answered {}", head.status);
        match head.status {
            500.. => Err(Stop::Failed(Fail::new(Kind::ServerFailed, text))),
            _ => Err(Stop::Unwanted(Fail::new(Kind::ServerRefused, text))),
        }
    }

    fn answer(&mut self, slot: &Slot) -> Answer {
        Answer {
            text: std::mem::take(&mut self.text),
            tokens: self.pos,
            server: slot.server.clone(),
        }
    }

    /// What a read gave; none if nothing arrived, the answer is still wanted and the server has made
    /// progress lately, the last time at `since`.
    fn arrived<T>(
        &mut self,
        read: Result<T, ReadError>,
        since: Time,
        entered: &Entered<'_>,
    ) -> Result<Option<T>, Stop> {
        match read {
            Ok(read) => return Ok(Some(read)),
            Err(ReadError::Broken(text)) => return Err(self.lost(&text, entered.is_ended())),
            Err(ReadError::Quiet) if entered.is_ended() => return Err(self.lost("", true)),
            Err(ReadError::Quiet) => {}
        }
        self.go_on(since).map(|()| None)
    }

    /// Ends an attempt that nobody waits for, or that may be repeated and made no progress since
    /// `since` for too long.
    fn go_on(&mut self, since: Time) -> Result<(), Stop> {
        self.in_time()
            .and_then(|()| self.sink.check())
            .map_err(Stop::Unwanted)?;
        let silent = self.host.now().saturating_sub(since);
        if self.work.repeatable && silent >= SILENCE {
            return Err(self.lost("the server is silent", false));
        }
        Ok(())
    }

    /// Why an attempt ended early: batch work gave way, or the server failed.
    fn lost(&self, text: &str, is_ended: bool) -> Stop {
        if is_ended && self.work.class == Class::Batch {
            return Stop::Evicted;
        }
        Stop::Failed(Fail::new(Kind::ServerLost, text))
    }
}

fn broken(text: &str) -> Stop {
    Stop::Failed(Fail::new(Kind::BrokenAnswer, text))
}

fn head_text(request: &Request, fields: &[(&'static str, String)]) -> String {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n",
        request.method, request.target, request.host
    );
    let passed = request.fields.iter().map(|(n, v)| (&**n, &**v));
    let set = fields.iter().map(|(n, v)| (*n, v.as_str()));
    for (name, value) in passed.chain(set) {
        // Writing to a string does not fail.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let has_body =
        !request.body.is_empty() || !matches!(&*request.method, "GET" | "HEAD" | "DELETE");
    if has_body {
        let _ = write!(text, "Content-Length: {}\r\n", request.body.len());
    }
    text += "Connection: close\r\n\r\n";
    text
}
