//! One request on a connection, and its answer.

use super::{Request, output::Output};
use crate::error::{Fail, Kind, Res};
use chunked_transfer::Encoder;
use serde::Serialize;
use std::{
    fmt,
    io::{self, ErrorKind, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// A request and the means to answer it.
///
/// An answer is either sent whole (`send`, `json`, `fail`) or streamed: begun, written in pieces and
/// ended. Dropping a streamed answer without `end` closes the connection, so that the caller sees that
/// it is incomplete.
pub struct Exchange {
    /// The request with its body.
    pub request: Request,
    conn: Arc<TcpStream>,
    out: Output,
    /// Whether this host shut down the connection's reading side.
    read_closed: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
    /// Whether the head of the answer said that the connection may carry another request.
    keeps_alive: bool,
    state: State,
}

enum State {
    Open,
    Streaming(Encoder<Output>),
    /// A streamed answer to `HEAD`, which has no body.
    HeadOnly,
    Done,
    Broken,
}

/// JSON body of every error answer.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'a str>,
    ran: crate::error::Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// The JSON text of an error answer.
pub(super) fn error_json(fail: &Fail) -> String {
    let row = fail.kind.row();
    let body = ErrorBody {
        error: ErrorFields {
            code: row.code,
            message: &fail.text,
            field: fail.field.as_deref(),
            ran: row.ran,
            retry_after_ms: fail.retry_delay().map(|d| d.as_millis() as u64),
        },
    };
    serde_json::to_string(&body).unwrap_or_default()
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("head", &self.request.head)
            .finish_non_exhaustive()
    }
}

impl Exchange {
    pub(super) fn new(
        request: Request,
        out: Output,
        read_closed: Arc<AtomicBool>,
        stopping: Arc<AtomicBool>,
    ) -> Self {
        Self {
            request,
            conn: out.conn.clone(),
            out,
            read_closed,
            stopping,
            keeps_alive: false,
            state: State::Open,
        }
    }

    /// Whether an answer was begun or sent.
    pub fn is_begun(&self) -> bool {
        !matches!(self.state, State::Open)
    }

    /// Whether the connection may carry another request. A stop that begins after the head of the answer
    /// does not change that: the caller may send one at once.
    pub(super) fn is_reusable(&self) -> bool {
        matches!(self.state, State::Done) && self.keeps_alive
    }

    /// Sends a whole answer of content type `kind`.
    pub fn send(&mut self, status: u16, kind: &str, body: &[u8]) -> io::Result<()> {
        self.send_with(status, &[("content-type", kind)], body)
    }

    /// Sends a whole answer with the header fields `fields`. Where slow readers are bounded, `body` is dropped
    /// before the answer waits for its reader, so that it takes no memory that other answers need.
    ///
    /// # Errors
    /// The connection failed, or another answer has begun, which is cut.
    pub fn send_with(
        &mut self,
        status: u16,
        fields: &[(&str, &str)],
        body: impl AsRef<[u8]>,
    ) -> io::Result<()> {
        if self.is_begun() {
            self.abort();
            return Err(io::Error::other("another answer has begun"));
        }
        let mut out = self.head(status, fields);
        out.extend_from_slice(
            format!("content-length: {}\r\n\r\n", body.as_ref().len()).as_bytes(),
        );
        if self.request.head.method != "HEAD" {
            out.extend_from_slice(body.as_ref());
        }
        let _body = self.out.readers.is_none().then_some(body);
        self.state = State::Broken;
        self.out.write_all(&out)?;
        self.state = State::Done;
        Ok(())
    }

    /// Sends `value` as JSON.
    pub fn json<T: Serialize>(&mut self, status: u16, value: &T) -> io::Result<()> {
        let body = serde_json::to_vec(value).map_err(io::Error::other)?;
        self.send_with(status, &[("content-type", "application/json")], body)
    }

    /// Sends the error answer for `fail`, or closes the connection if an answer was already begun.
    pub fn fail(&mut self, fail: &Fail) -> io::Result<()> {
        if self.is_begun() {
            self.abort();
            return Ok(());
        }
        let body = error_json(fail);
        let seconds = fail.retry_delay().map(retry_seconds).unwrap_or_default();
        let mut fields = vec![("content-type", "application/json")];
        if !seconds.is_empty() {
            fields.push(("retry-after", &seconds));
        }
        self.send_with(fail.kind.row().status, &fields, body.as_bytes())
    }

    /// Sends the value of `result` as JSON with status 200, or its error as [`Exchange::fail`] does.
    pub fn answer<T: Serialize>(&mut self, result: Res<T>) -> io::Result<()> {
        match result {
            Ok(value) => self.json(200, &value),
            Err(fail) => self.fail(&fail),
        }
    }

    /// Begins a streamed answer. A caller of HTTP/1.0 is refused, since without chunks it cannot tell a
    /// complete answer from a truncated one.
    pub fn begin(&mut self, status: u16, fields: &[(&str, &str)]) -> io::Result<()> {
        if !self.request.head.chunks {
            let text = "a streamed answer needs HTTP/1.1";
            self.fail(&Fail::new(Kind::Internal, text))?;
            return Err(ErrorKind::Unsupported.into());
        }
        let mut out = self.head(status, fields);
        out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.state = State::Broken;
        self.out.write_all(&out)?;
        if self.request.head.method == "HEAD" {
            self.state = State::HeadOnly;
            return Ok(());
        }
        self.state = State::Streaming(Encoder::with_flush_after_write(self.out.clone()));
        Ok(())
    }

    /// Sends a piece of a streamed answer.
    pub fn write(&mut self, piece: &[u8]) -> io::Result<()> {
        if matches!(self.state, State::HeadOnly) {
            return Ok(());
        }
        let State::Streaming(encoder) = &mut self.state else {
            return Err(io::Error::new(
                ErrorKind::NotConnected,
                "no answer was begun",
            ));
        };
        let result = encoder.write_all(piece);
        if result.is_err() {
            self.abort();
        }
        result
    }

    /// Ends a streamed answer with the last chunk.
    pub fn end(&mut self) -> io::Result<()> {
        match std::mem::replace(&mut self.state, State::Done) {
            State::Streaming(encoder) => drop(encoder),
            State::HeadOnly => {}
            other => self.state = other,
        }
        Ok(())
    }

    /// Answers with status 200 and hands the connection over, which then carries no more HTTP.
    ///
    /// # Errors
    /// The connection failed, or another answer has begun, which is cut.
    pub fn upgrade(&mut self) -> io::Result<Arc<TcpStream>> {
        if self.is_begun() {
            self.abort();
            return Err(io::Error::other("another answer has begun"));
        }
        self.state = State::Broken;
        self.out
            .write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")?;
        Ok(self.conn.clone())
    }

    /// Closes the connection without the last chunk.
    pub fn abort(&mut self) {
        let _ = self.conn.shutdown(Shutdown::Both);
        self.state = State::Broken;
    }

    /// Whether the caller closed the connection. If this host shut down its reading side, as it does for
    /// a connection that seemed idle, only a failed write shows that.
    pub fn is_gone(&self) -> bool {
        if self.conn.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0];
        let gone = match self.conn.peek(&mut byte) {
            Ok(0) => !self.read_closed.load(Ordering::Acquire),
            Ok(_) => false,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        self.conn.set_nonblocking(false).is_err() || gone
    }

    fn head(&mut self, status: u16, fields: &[(&str, &str)]) -> Vec<u8> {
        let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
        for (name, value) in fields {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        self.keeps_alive = self.request.head.persistent && !self.stopping.load(Ordering::Relaxed);
        if !self.keeps_alive {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if matches!(self.state, State::Streaming(_)) {
            self.abort();
        }
    }
}

/// Seconds for `Retry-After`, rounded up, at least one.
fn retry_seconds(span: Duration) -> String {
    span.as_millis().div_ceil(1000).max(1).to_string()
}

fn reason(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        415 => "Unsupported Media Type",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
