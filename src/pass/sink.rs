//! Writes a server's answer back to its caller as it arrives.

use super::{Event, Head};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::Host,
    limit::Permit,
    route::Sink,
};
use std::{io, sync::Arc, time::Duration};

/// Time between two looks at whether the caller is still there.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// Header fields that concern one connection only (RFC 9110, section 7.6.1), and the framing.
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

/// Whether the header field `name` (lower case) concerns one connection only.
pub fn is_connection_field(name: &str) -> bool {
    CONNECTION_FIELDS.contains(&name)
}

/// Passes an answer back on the connection that its request came on.
pub(super) struct PassSink<'a> {
    host: &'a Arc<Host>,
    exchange: &'a mut Exchange,
    permit: Option<Permit>,
    began: Time,
    due: Time,
    last: Option<Time>,
    /// A server's answer that ends the request if no other server does better.
    failed: Option<(Head, Vec<u8>)>,
    /// Whether a whole answer was sent.
    is_sent: bool,
}

impl<'a> PassSink<'a> {
    pub(super) fn new(
        host: &'a Arc<Host>,
        exchange: &'a mut Exchange,
        permit: Option<Permit>,
        began: Time,
    ) -> Self {
        Self {
            host,
            exchange,
            permit,
            began,
            due: began + CHECK_EVERY,
            last: None,
            failed: None,
            is_sent: false,
        }
    }

    /// Ends the answer: complete only if `result` says so.
    pub(super) fn finish<T>(self, result: &Res<T>) -> io::Result<()> {
        let fail = match result {
            Ok(_) if self.is_sent => return Ok(()),
            Ok(_) => return self.exchange.end(),
            Err(fail) => fail,
        };
        if self.exchange.is_begun() {
            self.exchange.cut();
            return Ok(());
        }
        match &self.failed {
            Some((head, body)) if matches!(fail.kind, Kind::ServerFailed | Kind::ServerRefused) => {
                self.exchange.send_with(head.status, &passed(head), body)
            }
            _ => super::send_error(self.exchange, fail),
        }
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
        match &mut self.permit {
            Some(permit) => permit.confirm(self.host),
            None => Ok(()),
        }
    }

    fn begin(&mut self, head: &Head) -> Res<()> {
        if self.exchange.is_begun() {
            return Ok(());
        }
        self.exchange
            .begin(head.status, &passed(head))
            .map_err(gone)
    }

    fn event(&mut self, event: &Event) -> Res<()> {
        self.note_time();
        self.exchange.write(&event.raw).map_err(gone)?;
        self.check()
    }

    fn whole(&mut self, head: &Head, body: &[u8]) -> Res<()> {
        self.note_time();
        self.is_sent = true;
        self.exchange
            .send_with(head.status, &passed(head), body)
            .map_err(gone)
    }

    fn failed(&mut self, head: &Head, body: &[u8]) {
        self.failed = Some((head.clone(), body.to_vec()));
    }

    fn token(&mut self, _: u32, _: &str) -> Res<()> {
        Err(Fail::new(
            Kind::Internal,
            "the answer has tokens in place of events",
        ))
    }

    fn check(&mut self) -> Res<()> {
        let now = self.host.now();
        if now < self.due {
            return Ok(());
        }
        self.due = now + CHECK_EVERY;
        self.host.check_caller(self.exchange)
    }
}
