//! Writes a server's answer to the caller as it arrives.

use super::{Buffer, Event, Head};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::{Host, STOP_MARGIN},
    limit::Permit,
    route::Sink,
};
use std::{io, sync::Arc, time::Duration};

/// Interval of the checks whether the caller is still connected.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Header fields of the connection (RFC 9110, section 7.6.1) and of the body's framing.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the header field `name` (lower case) belongs to the connection and is not passed on.
pub fn is_connection_field(name: &str) -> bool {
    CONNECTION_FIELDS.contains(&name)
}

/// Passes an answer back on the connection of its request.
pub(super) struct PassSink<'a> {
    host: &'a Arc<Host>,
    exchange: &'a mut Exchange,
    permit: Option<Permit>,
    began: Time,
    /// Time after which the caller does not wait.
    deadline: Time,
    due: Time,
    last: Option<Time>,
    /// Error answer of a server, passed back if no other server succeeds.
    failed: Option<(Head, Buffer)>,
    is_sent: bool,
    /// Whether the request has a slot and may run.
    has_slot: bool,
}

impl<'a> PassSink<'a> {
    pub(super) fn new(
        host: &'a Arc<Host>,
        exchange: &'a mut Exchange,
        permit: Option<Permit>,
        began: Time,
        deadline: Time,
    ) -> Self {
        Self {
            host,
            exchange,
            permit,
            began,
            deadline,
            due: began + CHECK_INTERVAL,
            last: None,
            failed: None,
            is_sent: false,
            has_slot: false,
        }
    }

    /// Ends the answer, properly only if `result` is `Ok`; otherwise cuts it or sends an error.
    pub(super) fn finish<T>(self, result: &Res<T>) -> io::Result<()> {
        let fail = match result {
            Ok(_) if self.is_sent => return Ok(()),
            Ok(_) => return self.exchange.end(),
            Err(fail) => fail,
        };
        if self.exchange.is_begun() {
            self.note_cut(fail);
            self.exchange.abort();
            return Ok(());
        }
        match self.failed {
            Some((head, body)) if matches!(fail.kind, Kind::ServerFailed | Kind::ServerRefused) => {
                self.exchange.send_with(head.status, &passed(&head), body)
            }
            _ => super::send_error(self.exchange, fail),
        }
    }

    /// Logs that the caller gets an incomplete answer, which `Refused` events do not tell.
    fn note_cut(&self, fail: &Fail) {
        let id = self.exchange.request.field("request-id").unwrap_or("");
        let age_ms = self.host.now().saturating_sub(self.began).as_millis();
        let (code, cause) = (fail.kind.row().code, &*fail.text);
        let revision = self.host.config.view(|s| s.revision);
        tracing::info!(id, code, cause, age_ms, revision, "answer_not_completed");
    }

    /// Fails if the host ends before an answer can begin: its end closes the connection.
    fn check_stop(&self) -> Res<()> {
        if self.exchange.is_begun() || !self.host.ends_within(STOP_MARGIN) {
            return Ok(());
        }
        Err(match self.has_slot {
            true => {
                let text = "this host stops while a backend server is running the request";
                Fail::new(Kind::ExpiredRunning, text)
            }
            false => Fail::new(Kind::Stopping, "this host stops; use another host"),
        })
    }

    fn note_time(&mut self) {
        let now = self.host.now();
        self.host.served.piece(self.began, &mut self.last, now);
    }
}

/// The header fields of an answer that are passed back.
fn passed(head: &Head) -> Vec<(&str, &str)> {
    let fields = head.fields.iter();
    fields
        .filter(|(n, _)| !is_connection_field(n))
        .map(|(n, v)| (n.as_str(), v.as_str()))
        .collect()
}

fn gone(_: io::Error) -> Fail {
    Fail::new(Kind::Cancelled, "the caller went away")
}

impl Sink for PassSink<'_> {
    fn admit(&mut self) -> Res<()> {
        // A request that came before the stop may have waited until now.
        let left = self.deadline.saturating_sub(self.host.now());
        self.host.check_time_left(left)?;
        match &mut self.permit {
            Some(permit) => permit.confirm(self.host),
            None => Ok(()),
        }
    }

    fn slot(&mut self, held: bool) {
        self.has_slot = held;
    }

    fn begin(&mut self, head: &Head) -> Res<()> {
        if self.exchange.is_begun() {
            return Ok(());
        }
        self.exchange
            .begin(head.status, &passed(head))
            .map_err(gone)
    }

    fn is_begun(&self) -> bool {
        self.exchange.is_begun()
    }

    fn event(&mut self, event: &Event) -> Res<()> {
        self.note_time();
        self.exchange.write(&event.raw).map_err(gone)?;
        self.check()
    }

    fn whole(&mut self, head: &Head, body: Buffer) -> Res<()> {
        self.note_time();
        self.is_sent = true;
        self.exchange
            .send_with(head.status, &passed(head), body)
            .map_err(gone)
    }

    fn failed(&mut self, head: &Head, body: Buffer) {
        self.failed = Some((head.clone(), body));
    }

    fn token(&mut self, _: u32, _: &str) -> Res<()> {
        Err(Fail::new(
            Kind::Internal,
            "the answer consists of tokens, not of events",
        ))
    }

    fn check(&mut self) -> Res<()> {
        let now = self.host.now();
        if now < self.due {
            return Ok(());
        }
        self.due = now + CHECK_INTERVAL;
        self.host.check_caller(self.exchange)?;
        self.check_stop()
    }
}
