//! Reads requests from a connection within the server's bounds.

use super::{
    Bounds, Share,
    request::{Framing, Head, HeadError, Request, parse_head},
};
use crate::error::{Fail, Kind};
use std::{
    cell::Cell,
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Most bytes of one read from a socket.
const READ_SIZE: usize = 8 * 1024;
/// Most bytes of chunk framing between two pieces of a body.
const CHUNK_FRAMING: usize = 1024;

/// The receiving side of a connection, with the bytes received but not yet parsed.
pub(super) struct Input<'a> {
    stream: &'a TcpStream,
    /// Read timeout that the socket has; `None` if it was never set.
    timeout: &'a mut Option<Duration>,
    buffer: Vec<u8>,
}

impl<'a> Input<'a> {
    /// Reads from `stream`, whose read timeout is `timeout`; `None` if it was never set.
    pub(super) fn new(stream: &'a TcpStream, timeout: &'a mut Option<Duration>) -> Self {
        Self {
            stream,
            timeout,
            buffer: Vec::new(),
        }
    }

    /// Waits for a byte, `limit` at most; `false` if the caller closed the connection.
    pub(super) fn wait(&mut self, limit: Duration) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.set_timeout(limit)?;
        Ok(self.fill()? > 0)
    }

    /// Whether no bytes beyond the last request were received.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads a request whose first byte has arrived.
    /// `share` is that of its body.
    pub(super) fn request(&mut self, bounds: &Bounds, share: &mut Share) -> Result<Request, Fail> {
        let end = Instant::now() + bounds.read;
        let head = self.head(bounds, end)?;
        if matches!(head.framing, Framing::Length(size) if size > bounds.body as u64) {
            return Err(body_too_large(bounds.body));
        }
        let expect = head.field("expect");
        if expect.is_some_and(|v| v.eq_ignore_ascii_case("100-continue")) {
            let _ = (&*self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let body = match head.framing {
            Framing::None => Vec::new(),
            Framing::Length(size) => self.sized(size as usize, end, share)?,
            Framing::Chunked => self.chunks(bounds.body, end, share)?,
        };
        Ok(Request { head, body })
    }

    fn head(&mut self, bounds: &Bounds, end: Instant) -> Result<Head, Fail> {
        loop {
            if !self.buffer.is_empty() {
                match parse_head(&self.buffer) {
                    Ok((_, size)) if size > bounds.head => return Err(head_too_large(bounds.head)),
                    Ok((head, size)) => {
                        self.buffer.drain(..size);
                        return Ok(head);
                    }
                    Err(HeadError::Bad(fail)) => return Err(fail),
                    Err(HeadError::Partial) => {}
                }
            }
            if self.buffer.len() > bounds.head {
                return Err(head_too_large(bounds.head));
            }
            self.fill_by(end)?;
        }
    }

    fn sized(&mut self, size: usize, end: Instant, share: &mut Share) -> Result<Vec<u8>, Fail> {
        while self.buffer.len() < size {
            self.fill_by(end)?;
            if !share.grow(self.buffer.len().min(size)) {
                return Err(no_memory());
            }
        }
        let rest = self.buffer.split_off(size);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn chunks(&mut self, limit: usize, end: Instant, share: &mut Share) -> Result<Vec<u8>, Fail> {
        let (left, fail) = (Cell::new(0), Cell::new(None));
        let mut decoder = chunked_transfer::Decoder::new(Chunks {
            input: self,
            end,
            left: &left,
            fail: &fail,
        });
        let mut body = Vec::new();
        let mut piece = [0; READ_SIZE];
        loop {
            left.set(READ_SIZE + CHUNK_FRAMING);
            match decoder.read(&mut piece) {
                Ok(0) => return Ok(body),
                Ok(n) if body.len() + n > limit => return Err(body_too_large(limit)),
                Ok(n) if !share.grow(body.len() + n) => return Err(no_memory()),
                Ok(n) => body.extend_from_slice(&piece[..n]),
                Err(e) => return Err(fail.take().unwrap_or_else(|| bad_chunk(&e.to_string()))),
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; READ_SIZE];
        let n = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Sets the socket's read timeout, if it differs from the current one.
    fn set_timeout(&mut self, limit: Duration) -> io::Result<()> {
        if *self.timeout != Some(limit) {
            self.stream.set_read_timeout(Some(limit))?;
            *self.timeout = Some(limit);
        }
        Ok(())
    }

    fn fill_by(&mut self, end: Instant) -> Result<(), Fail> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(incomplete("the request did not arrive in time"));
        }
        let filled = self.set_timeout(left).and_then(|()| self.fill());
        match filled {
            Ok(0) => Err(incomplete("the request ended before its last byte")),
            Ok(_) => Ok(()),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(incomplete("the request did not arrive in time"))
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(incomplete(&format!("the connection failed: {e}"))),
        }
    }
}

/// Feeds the chunk decoder only the bytes that it asks for, so that it takes none past the last chunk.
struct Chunks<'a, 'b> {
    input: &'a mut Input<'b>,
    end: Instant,
    /// Bytes that the decoder may still take for the current piece of the body.
    left: &'a Cell<usize>,
    fail: &'a Cell<Option<Fail>>,
}

impl Chunks<'_, '_> {
    fn stop(&self, fail: Fail) -> io::Error {
        self.fail.set(Some(fail));
        ErrorKind::UnexpectedEof.into()
    }
}

impl Read for Chunks<'_, '_> {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        if self.left.get() == 0 {
            return Err(self.stop(bad_chunk("the size line has no end")));
        }
        while self.input.buffer.is_empty() {
            if let Err(fail) = self.input.fill_by(self.end) {
                return Err(self.stop(fail));
            }
        }
        let buffer = &mut self.input.buffer;
        let n = out.len().min(buffer.len()).min(self.left.get());
        out[..n].copy_from_slice(&buffer[..n]);
        buffer.drain(..n);
        self.left.set(self.left.get() - n);
        Ok(n)
    }
}

fn incomplete(text: &str) -> Fail {
    Fail::new(Kind::RequestCut, text)
}

fn bad_chunk(text: &str) -> Fail {
    Fail::new(Kind::BadRequest, format!("bad chunk in the body: {text}"))
}

fn body_too_large(limit: usize) -> Fail {
    let text = format!("the body is larger than {limit} bytes");
    Fail::new(Kind::TooLarge, text)
}

fn no_memory() -> Fail {
    let text = "this host's memory for the bodies of requests is used up; use another host";
    Fail::new(Kind::Overloaded, text)
}

fn head_too_large(limit: usize) -> Fail {
    let text = format!("the head is larger than {limit} bytes");
    Fail::new(Kind::HeadTooLarge, text)
}
