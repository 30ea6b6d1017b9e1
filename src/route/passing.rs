//! An attempt that forwards a request unchanged and passes the server's answer back.

use super::{
    attempt::{Abort, Attempt},
    dispatch::{Run, Sink},
    ending::stopped_at_deadline,
};
use crate::{
    clock::Time,
    error::{Fail, Kind},
    gate::Slot,
    pass::{
        AttemptContext, Conn, Dialect, Head, RETRY_ELSEWHERE, ReadError, Registration, Request,
        Verdict,
    },
    quarantine::LostAttempt,
    tunnel::NoTunnel,
    wire::{Answer, Class},
};
use std::{fmt::Write, io::ErrorKind, time::Duration};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a batch item is tried again for which there was no path to a server.
const NO_PATH_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for bytes between two checks whether the answer is still wanted.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest body of an answer that is not an event stream.
const BODY_MAX_BYTES: usize = 4 << 20;
/// Most bytes received for such an answer, head and framing included.
const TOTAL_MAX_BYTES: u64 = 8 << 20;

impl<'a, S: Sink> Run<'a, S> {
    /// Sends `request` to the slot's server, to resume after the last event passed back. `entry` registers the
    /// attempt; it is there already if the request was sent before in the same slot.
    pub(super) fn forward(
        &mut self,
        slot: &Slot,
        attempt: &mut Attempt,
        request: &Request,
        entry: &mut Option<Registration<'a>>,
    ) -> Result<Answer, Abort> {
        let host = self.host;
        let Some(dialect) = host.dialect else {
            let text = "this host has no dialect for requests that are passed on unchanged";
            return Err(Abort::Final(Fail::new(Kind::Internal, text)));
        };
        let mut conn = self.connect(slot, attempt)?;
        let entry = match entry {
            Some(entry) => {
                if !entry.replace(conn.closer()) {
                    return Err(self.lost("the attempt was ended", true));
                }
                entry
            }
            None => entry.insert(host.passing.register(&slot.id, conn.closer())),
        };
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
        self.lost_early = false;
        let result = match conn.send(&head_text(request, dialect, &fields), &request.body) {
            Ok(()) => self.read_answer(slot, attempt, request, dialect, &mut conn, entry),
            Err(e) => Err(self.lost(&format!("the request was cut: {e}"), entry.is_ended())),
        };
        // Before the first event, a server answers with an error at the deadline.
        if let Err(Abort::Failed(fail)) = &result
            && fail.kind == Kind::ServerLost
            && attempt.first.is_some()
            && conn.is_truncated()
            && self.is_at_deadline()
        {
            return Err(stopped_at_deadline());
        }
        if let Err(Abort::Failed(fail)) = &result
            && matches!(fail.kind, Kind::BrokenAnswer | Kind::ServerLost)
        {
            self.may_have_restarted |= conn.is_truncated() && !entry.is_ended();
            let (id, server) = (&*slot.id, &*slot.server);
            let (bytes, start) = (conn.received(), attempt.start);
            let has_begun = attempt.first.is_some();
            let segments = self.segments.join(",");
            let cause = &*fail.text;
            tracing::info!(
                id,
                server,
                start,
                bytes,
                has_begun,
                segments,
                cause,
                "answer_cut"
            );
            if fail.kind == Kind::ServerLost && !has_begun {
                self.lost_early = true;
                self.note_lost(slot, attempt);
            }
        }
        result
    }

    /// Connects to the slot's server, through a peer if this host is cut off from the servers.
    fn connect(&mut self, slot: &Slot, attempt: &Attempt) -> Result<Conn, Abort> {
        let host = self.host;
        if host.tunnels.is_cut() {
            return host
                .open_tunnel(self.work, &slot.server)
                .map_err(|none| match none {
                    NoTunnel::Server(fail) => Abort::Failed(fail),
                    NoTunnel::NoPath | NoTunnel::NoPeer => self.no_path(),
                });
        }
        let left = self.work.deadline.saturating_sub(host.now());
        let limit = CONNECT_TIMEOUT.min(left);
        let began = host.now();
        let error = match host.passing.open(attempt.addr, limit) {
            Ok(conn) => {
                host.note_server_reached();
                return Ok(conn);
            }
            Err(error) => error,
        };
        let took = host.now().saturating_sub(began);
        if host.note_server_failed(&slot.server) {
            match host.open_tunnel(self.work, &slot.server) {
                Ok(conn) => return Ok(conn),
                // Not known to be the server's fault.
                Err(NoTunnel::NoPath) => return Err(Abort::Failed(self.cut_off())),
                Err(NoTunnel::NoPeer | NoTunnel::Server(_)) => {}
            }
        }
        self.may_have_restarted = connect_suggests_restart(error.kind(), limit, took);
        let text = format!("backend server: {error}");
        Err(Abort::Failed(Fail::new(Kind::Unreachable, text)))
    }

    /// The end of a request that neither this host nor a peer can send to a server. Another host may serve it.
    fn no_path(&self) -> Abort {
        Abort::Final(self.final_fail(self.cut_off()))
    }

    fn cut_off(&self) -> Fail {
        let text = "this host is cut off from the backend servers, and no peer connects it; use another host";
        let after = match self.work.class {
            Class::Online => RETRY_ELSEWHERE,
            Class::Batch => NO_PATH_PAUSE,
        };
        Fail::new(Kind::NotReady, text).retry_after(after)
    }

    /// Records that the server was lost before the answer began, for the quarantine of segments.
    fn note_lost(&self, slot: &Slot, attempt: &Attempt) {
        self.host.note_lost(LostAttempt {
            id: slot.id.clone(),
            segments: self.segments.clone(),
            server: slot.server.clone(),
            addr: attempt.addr,
            start: attempt.start,
            sent: attempt.began,
            lost: self.host.now(),
        });
    }

    /// Reads the answer and passes it back.
    fn read_answer(
        &mut self,
        slot: &Slot,
        attempt: &mut Attempt,
        request: &Request,
        dialect: &Dialect,
        conn: &mut Conn,
        entry: &Registration<'_>,
    ) -> Result<Answer, Abort> {
        let host = self.host;
        let since = host.now();
        let head = loop {
            if let Some(head) = self.received(conn.head(POLL_INTERVAL), since, entry)? {
                break head;
            }
        };
        let verdict = (dialect.read)(&head, &request.id);
        if verdict != Verdict::Foreign && (dialect.leaves)(&head) {
            host.note_leaving(&slot.server, attempt.start, &slot.id);
        }
        if verdict != Verdict::Foreign {
            let limit = (dialect.limit)(&head);
            host.note_limit(&slot.server, attempt.start, &limit, &slot.id);
        }
        if verdict == Verdict::Ours {
            attempt.note_load(host, slot, || (dialect.load)(&head));
        }
        match verdict {
            Verdict::Ours => {}
            Verdict::NotRun => {
                self.note_refused(slot, attempt.start, &head, conn);
                let text = format!("the server answered {} without running it", head.status);
                return Err(Abort::Failed(Fail::new(Kind::ServerFull, text)));
            }
            Verdict::Foreign => {
                let text = "the backend server's answer belongs to another request";
                return Err(Abort::Failed(Fail::new(Kind::BrokenAnswer, text)));
            }
        }
        let is_stream = head
            .field("content-type")
            .is_some_and(|t| t.starts_with("text/event-stream"));
        if head.status == 200 && is_stream {
            return self.read_events(slot, attempt, conn, &head, entry);
        }
        // The rest of a stream is events only.
        if head.status < 400 && (self.work.class == Class::Batch || self.sink.is_begun()) {
            let text = format!("an answer with status {} has no events", head.status);
            return Err(broken(&text));
        }
        self.read_whole(slot, conn, &head, entry)
    }

    /// Reads an answer that is not an event stream.
    fn read_whole(
        &mut self,
        slot: &Slot,
        conn: &mut Conn,
        head: &Head,
        entry: &Registration<'_>,
    ) -> Result<Answer, Abort> {
        let mut body = self.host.passing.buffer();
        let (mut size, mut since) = (0, self.host.now());
        loop {
            let read = conn.read(POLL_INTERVAL, body.bytes());
            match self.received(read, since, entry)? {
                Some(false) => break,
                Some(true) if body.len() > BODY_MAX_BYTES || conn.received() > TOTAL_MAX_BYTES => {
                    return Err(broken("the answer is longer than allowed"));
                }
                Some(true) if !body.fits() => {
                    return Err(broken("the host's memory for complete answers is used up"));
                }
                Some(true) => {
                    // Framing alone does not count as progress.
                    if body.len() > size {
                        (size, since) = (body.len(), self.host.now());
                    }
                    self.check_progress(since)?;
                }
                None => {}
            }
        }
        if head.status < 400 {
            self.host.note_answered(&self.segments, &slot.id);
            self.sink.whole(head, body).map_err(Abort::Final)?;
            return Ok(self.answer(slot));
        }
        self.sink.failed(head, body);
        let text = format!("the backend server answered {}", head.status);
        match head.status {
            500.. => Err(Abort::Failed(Fail::new(Kind::ServerFailed, text))),
            _ => Err(Abort::Final(Fail::new(Kind::ServerRefused, text))),
        }
    }

    pub(super) fn answer(&mut self, slot: &Slot) -> Answer {
        Answer {
            text: std::mem::take(&mut self.text),
            tokens: self.pos,
            server: slot.server.clone(),
        }
    }

    /// The result of a read; `None` if it timed out but the answer is still wanted and the server's
    /// last progress, at `since`, is recent.
    pub(super) fn received<T>(
        &mut self,
        read: Result<T, ReadError>,
        since: Time,
        entry: &Registration<'_>,
    ) -> Result<Option<T>, Abort> {
        match read {
            Ok(read) => return Ok(Some(read)),
            Err(ReadError::Broken(text)) => return Err(self.lost(&text, entry.is_ended())),
            Err(ReadError::TimedOut) if entry.is_ended() => return Err(self.lost("", true)),
            Err(ReadError::TimedOut) => {}
        }
        self.check_progress(since).map(|()| None)
    }

    /// Fails if the answer is no longer wanted, or if the request leaves its server, which has made no
    /// progress since `since`.
    pub(super) fn check_progress(&mut self, since: Time) -> Result<(), Abort> {
        self.check_deadline()
            .and_then(|()| self.sink.check())
            .map_err(Abort::Final)?;
        let silent = self.host.now().saturating_sub(since);
        if self.leaves_silent(silent) {
            return Err(self.lost("the backend server makes no progress", false));
        }
        Ok(())
    }

    /// Why an attempt ended early: batch work was preempted, or the server failed.
    pub(super) fn lost(&self, text: &str, is_ended: bool) -> Abort {
        if is_ended && self.work.class == Class::Batch {
            return Abort::Preempted;
        }
        Abort::Failed(Fail::new(Kind::ServerLost, text))
    }
}

/// Whether a failure to connect, with `limit` as timeout and after `took`, suggests that the server ended.
/// A short timeout, a lack of resources on this host or a pause of this host does not.
pub fn connect_suggests_restart(kind: ErrorKind, limit: Duration, took: Duration) -> bool {
    match kind {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => true,
        ErrorKind::TimedOut => limit >= CONNECT_TIMEOUT && took < 2 * CONNECT_TIMEOUT,
        _ => false,
    }
}

pub(super) fn broken(text: &str) -> Abort {
    Abort::Failed(Fail::new(Kind::BrokenAnswer, text))
}

fn head_text(request: &Request, dialect: &Dialect, fields: &[(&'static str, String)]) -> String {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\n",
        request.method, request.target, request.host
    );
    let passed = request.passed_fields(dialect.reserved);
    let set = fields.iter().map(|(n, v)| (*n, v.as_str()));
    for (name, value) in passed.chain(set) {
        // Writing to a `String` cannot fail.
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
