//! Writes the answer of a chat completion, whole or as server-sent events.

use super::auth::{self, Caller};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::Host,
    limit::Permit,
    route::Sink,
    wire::{Answer, Name, Work},
};
use serde::Serialize;
use std::{io, sync::Arc, time::Duration};

/// Time between two checks of the caller's connection and key.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks periodically that the caller is still connected and its key valid, and records the time
/// between tokens.
pub(super) struct Watch<'a> {
    host: &'a Arc<Host>,
    caller: &'a Caller,
    permit: Permit,
    /// When the next check is due.
    due: Time,
    /// When the request arrived.
    began: Time,
    /// When the last token arrived.
    last: Option<Time>,
}

impl<'a> Watch<'a> {
    /// Watches a request that arrived at `began`.
    pub(super) fn new(
        host: &'a Arc<Host>,
        caller: &'a Caller,
        permit: Permit,
        began: Time,
    ) -> Self {
        Self {
            host,
            caller,
            permit,
            due: began + CHECK_INTERVAL,
            began,
            last: None,
        }
    }

    fn token(&mut self, exchange: &Exchange) -> Res<()> {
        let now = self.host.now();
        self.host.served.piece(self.began, &mut self.last, now);
        self.check(exchange)
    }

    fn check(&mut self, exchange: &Exchange) -> Res<()> {
        let now = self.host.now();
        if now < self.due {
            return Ok(());
        }
        self.due = now + CHECK_INTERVAL;
        self.host.check_caller(exchange)?;
        if !auth::is_valid(self.host, self.caller) {
            let text = "the key was withdrawn while the answer was being generated";
            return Err(Fail::new(Kind::KeyWithdrawn, text));
        }
        Ok(())
    }
}

/// Sends the whole answer at its end.
pub(super) struct PlainSink<'a> {
    watch: Watch<'a>,
    exchange: &'a mut Exchange,
}

impl<'a> PlainSink<'a> {
    pub(super) fn new(watch: Watch<'a>, exchange: &'a mut Exchange) -> Self {
        Self { watch, exchange }
    }

    pub(super) fn finish(self, work: &Work, result: &Res<Answer>) -> io::Result<()> {
        match result {
            Ok(answer) => self.exchange.json(200, &whole(work, answer)),
            Err(fail) => self.exchange.fail(fail),
        }
    }
}

impl Sink for PlainSink<'_> {
    fn admit(&mut self) -> Res<()> {
        self.watch.permit.confirm(self.watch.host)
    }

    fn token(&mut self, _: u32, _: &str) -> Res<()> {
        self.watch.token(self.exchange)
    }

    fn check(&mut self) -> Res<()> {
        self.watch.check(self.exchange)
    }
}

/// Sends each token as a server-sent event.
pub(super) struct StreamSink<'a> {
    watch: Watch<'a>,
    work: &'a Work,
    exchange: &'a mut Exchange,
    line: Vec<u8>,
}

impl<'a> StreamSink<'a> {
    pub(super) fn new(watch: Watch<'a>, work: &'a Work, exchange: &'a mut Exchange) -> Self {
        Self {
            watch,
            work,
            exchange,
            line: Vec::new(),
        }
    }

    /// Ends the stream with `[DONE]` if the answer is whole. After a failure, sends an error event
    /// and closes the connection if the stream has begun, else sends an error response.
    pub(super) fn finish(mut self, result: &Res<Answer>) -> io::Result<()> {
        let answer = match result {
            Ok(answer) => answer,
            Err(fail) if self.exchange.is_begun() => {
                let row = fail.kind.row();
                let _ = self.event(&ErrorEvent {
                    error: ErrorFields {
                        code: row.code,
                        message: &fail.text,
                        ran: row.ran,
                    },
                });
                self.exchange.abort();
                return Ok(());
            }
            Err(fail) => return self.exchange.fail(fail),
        };
        self.begin()?;
        let last = chunk(
            self.work,
            Delta { content: "" },
            Some("stop"),
            Some(usage(answer)),
        );
        self.event(&last)?;
        self.exchange.write(b"data: [DONE]\n\n")?;
        self.exchange.end()
    }

    fn begin(&mut self) -> io::Result<()> {
        if self.exchange.is_begun() {
            return Ok(());
        }
        let fields = [
            ("content-type", "text/event-stream"),
            ("cache-control", "no-store"),
        ];
        self.exchange.begin(200, &fields)
    }

    fn event<T: Serialize>(&mut self, value: &T) -> io::Result<()> {
        self.line.clear();
        self.line.extend_from_slice(b"data: ");
        serde_json::to_writer(&mut self.line, value).map_err(io::Error::other)?;
        self.line.extend_from_slice(b"\n\n");
        self.exchange.write(&self.line)
    }
}

impl Sink for StreamSink<'_> {
    fn admit(&mut self) -> Res<()> {
        self.watch.permit.confirm(self.watch.host)
    }

    fn token(&mut self, _: u32, text: &str) -> Res<()> {
        self.watch.token(self.exchange)?;
        let piece = chunk(self.work, Delta { content: text }, None, None);
        self.begin()
            .and_then(|()| self.event(&piece))
            .map_err(|_| Fail::new(Kind::Cancelled, "the caller went away"))
    }

    fn check(&mut self) -> Res<()> {
        self.watch.check(self.exchange)
    }
}

#[derive(Debug, Serialize)]
struct ErrorEvent<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    ran: crate::error::Ran,
}

#[derive(Debug, Serialize)]
struct Completion<'a, C> {
    id: &'a Name,
    object: &'static str,
    model: &'a Name,
    choices: [C; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'static str,
}

#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Part<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u32,
}

fn usage(answer: &Answer) -> Usage {
    Usage {
        completion_tokens: answer.tokens,
    }
}

fn whole<'a>(work: &'a Work, answer: &'a Answer) -> Completion<'a, Choice<'a>> {
    Completion {
        id: &work.id,
        object: "chat.completion",
        model: &work.model,
        choices: [Choice {
            index: 0,
            message: Message {
                role: "assistant",
                content: &answer.text,
            },
            finish_reason: "stop",
        }],
        usage: Some(usage(answer)),
    }
}

fn chunk<'a>(
    work: &'a Work,
    delta: Delta<'a>,
    end: Option<&'static str>,
    usage: Option<Usage>,
) -> Completion<'a, Part<'a>> {
    Completion {
        id: &work.id,
        object: "chat.completion.chunk",
        model: &work.model,
        choices: [Part {
            index: 0,
            delta,
            finish_reason: end,
        }],
        usage,
    }
}
