//! HTTP/1.1 client connection for one request to one server.
//!
//! Connections are not reused: the server cannot have closed a new one in the meantime, and surplus
//! bytes after an answer cannot be taken for part of the next one.

use super::{
    Body, Framing, Head,
    head::{ReadError, broken, framing, parse},
};
use crate::{
    http::SlowReaders,
    tunnel::{End, Frames},
};
use socket2::SockRef;
use std::{
    cell::Cell,
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const READ_BYTES: usize = 8 * 1024;
/// Most bytes before the body of an answer, interim (1xx) answers included.
const HEAD_MAX_BYTES: usize = 32 * 1024;
/// Largest body that is copied behind its head.
const COPY_MAX_BYTES: usize = 64 * 1024;
/// Longest time that one write may block.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the end of an answer without a length in which a reset shows that the server did not read the
/// whole body of the request. It follows within a round trip, of about 1 ms between failure domains.
pub const RESET_WAIT: Duration = Duration::from_millis(10);
/// Interval at which that time is checked for a reset.
const RESET_CHECK_EVERY: Duration = Duration::from_millis(1);

/// A connection to a server for one request. Dropping it closes the connection, which makes the server
/// cancel the request.
#[derive(Debug)]
pub struct Conn {
    stream: Arc<TcpStream>,
    /// Whether a [`Closer`] closed it.
    is_closed: Arc<AtomicBool>,
    /// Read timeout that is set on the socket.
    read_timeout: Duration,
    buffer: Vec<u8>,
    /// Bytes of interim answers that were removed from `buffer`.
    interim: usize,
    /// Bytes received so far.
    received: u64,
    body: Option<Body>,
    is_unframed: bool,
    is_truncated: bool,
    /// Whether the request has a body.
    has_body: Cell<bool>,
    /// Time for which a reset is waited for at the end of an answer without a length.
    reset_wait: Duration,
    /// The host's bound for slow readers, if there is one.
    readers: Option<SlowReaders>,
    /// Decoder of what a peer passes back, if the connection is a tunnel.
    frames: Option<Frames>,
}

/// Closes a connection from another thread.
#[derive(Debug, Clone)]
pub struct Closer {
    stream: Arc<TcpStream>,
    is_closed: Arc<AtomicBool>,
}

impl Closer {
    /// Closes the connection; an answer that has not ended by then is incomplete.
    pub fn close(&self) {
        // Before the shutdown, which the reading thread sees as the end of the input.
        self.is_closed.store(true, Ordering::SeqCst);
        // A socket that is already closed needs no shutdown.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether `close` was called.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }
}

impl Conn {
    /// Connects within `limit`.
    ///
    /// # Errors
    /// The connection could not be opened; nothing was sent.
    pub fn open(addr: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&addr, limit)?)
    }

    /// Uses the new connection `stream`.
    ///
    /// # Errors
    /// The socket cannot be set up.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        Ok(Self {
            stream: Arc::new(stream),
            is_closed: Arc::default(),
            read_timeout: Duration::ZERO,
            buffer: Vec::new(),
            interim: 0,
            received: 0,
            body: None,
            is_unframed: false,
            is_truncated: false,
            has_body: Cell::new(false),
            reset_wait: RESET_WAIT,
            readers: None,
            frames: None,
        })
    }

    /// Has the connection carry the request and its answer through a tunnel, after the head with which a peer opened
    /// it. What arrives from now on is in frames.
    pub fn begin_tunnel(&mut self) {
        let early = std::mem::take(&mut self.buffer);
        let mut frames = Frames::default();
        frames.feed(&early, &mut self.buffer);
        self.received = self.buffer.len() as u64;
        self.interim = 0;
        self.body = None;
        self.is_unframed = false;
        self.frames = Some(frames);
    }

    /// Counts the bytes of the request against the host's bound for slow readers.
    ///
    /// # Errors
    /// The socket cannot be set up.
    pub fn bound(&mut self, readers: &SlowReaders) -> io::Result<()> {
        self.readers = Some(readers.clone());
        readers.prepare(&self.stream)
    }

    /// Sets the time for which a reset is waited for at the end of an answer without a length, [`RESET_WAIT`]
    /// unless set.
    pub fn set_reset_wait(&mut self, wait: Duration) {
        self.reset_wait = wait;
    }

    /// A handle by which another thread can close the connection.
    pub fn closer(&self) -> Closer {
        Closer {
            stream: self.stream.clone(),
            is_closed: self.is_closed.clone(),
        }
    }

    /// Whether the answer ends with its connection.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Whether the server closed or reset the connection before the end of the answer.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Bytes of the answer received so far, head and framing included.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Sends the request: its head as text, then its body.
    ///
    /// # Errors
    /// The connection failed; the server may have the request.
    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        self.has_body.set(!body.is_empty());
        // One segment for a small request, and no copy of a large one.
        let sent = match body.len() > COPY_MAX_BYTES {
            true => self
                .write_all(head.as_bytes())
                .and_then(|()| self.write_all(body)),
            false => self.write_all(&[head.as_bytes(), body].concat()),
        };
        if let Err(e) = &sent {
            self.note_failed(e.kind());
        }
        sent
    }

    fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        match &self.readers {
            Some(readers) => {
                readers.write_all(&self.stream, Some(&self.closer()), bytes, WRITE_TIMEOUT)
            }
            None => (&*self.stream).write_all(bytes),
        }
    }

    /// Reads the head of the answer, waiting for `limit` at most.
    ///
    /// # Errors
    /// It is not complete yet, or there will be no valid one.
    pub fn head(&mut self, limit: Duration) -> Result<Head, ReadError> {
        let end = Instant::now() + limit;
        loop {
            if let Some(head) = self.parse_head()? {
                return Ok(head);
            }
            let left = end.saturating_duration_since(Instant::now());
            // A server that sends byte by byte must not keep the caller from checking its deadline.
            if left.is_zero() {
                return Err(ReadError::TimedOut);
            }
            if self.fill(left)? == 0 {
                self.is_truncated = !self.is_closed.load(Ordering::SeqCst);
                return Err(broken("the connection was closed before the answer"));
            }
        }
    }

    /// Appends received bytes of the body to `out`, waiting for `limit` at most; `false` at its end.
    ///
    /// # Errors
    /// Nothing arrived in time, or the body is incomplete or invalid.
    pub fn read(&mut self, limit: Duration, out: &mut Vec<u8>) -> Result<bool, ReadError> {
        let Some(body) = &mut self.body else {
            return Err(broken("the head of the answer was not read"));
        };
        if body.is_complete() {
            return Ok(false);
        }
        if self.buffer.is_empty() && self.fill(limit)? == 0 {
            // The end of the input is the server's only if this host did not close the connection.
            let is_servers = !self.is_closed.load(Ordering::SeqCst);
            let whole = is_servers && self.body.as_mut().is_some_and(Body::end);
            if whole && self.is_unframed && self.is_reset() {
                return Err(broken("the server did not read the whole request"));
            }
            return match whole {
                true => Ok(false),
                false => {
                    self.is_truncated = is_servers;
                    Err(broken("the answer ended early"))
                }
            };
        }
        let bytes = std::mem::take(&mut self.buffer);
        match &mut self.body {
            Some(body) => body
                .feed(&bytes, out)
                .map(|()| true)
                .map_err(|_| broken("the answer has an invalid chunk")),
            None => Ok(false),
        }
    }

    /// Whether the connection is reset at the end of its input. A server that closes a connection with
    /// unread bytes resets it, also if it ended its output before.
    fn is_reset(&self) -> bool {
        // The peer of a tunnel tells so.
        let is_tunnel = self.frames.is_some();
        let wait = match self.has_body.get() {
            true => self.reset_wait,
            false => Duration::ZERO,
        };
        !is_tunnel && is_reset(&self.stream, wait)
    }

    /// Takes the bytes of the body that were already received, without reading from the connection; none if they are
    /// invalid.
    pub fn buffered(&mut self) -> Vec<u8> {
        let mut out = Vec::new();
        let bytes = std::mem::take(&mut self.buffer);
        match self.body.as_mut().map(|body| body.feed(&bytes, &mut out)) {
            Some(Ok(_)) => out,
            Some(Err(_)) | None => Vec::new(),
        }
    }

    fn fill(&mut self, limit: Duration) -> Result<usize, ReadError> {
        let end = Instant::now() + limit;
        loop {
            if let Some(end) = self.frames.as_ref().and_then(Frames::end) {
                return match end {
                    End::Closed => Ok(0),
                    End::Reset => {
                        self.note_failed(ErrorKind::ConnectionReset);
                        Err(broken("the server reset the connection"))
                    }
                };
            }
            let read = self.fill_raw(end.saturating_duration_since(Instant::now()))?;
            match &mut self.frames {
                None => return Ok(read),
                Some(_) if read == 0 => return Err(broken("the peer closed the tunnel")),
                Some(frames) => {
                    let raw = self.buffer.split_off(self.buffer.len() - read);
                    let before = self.buffer.len();
                    frames.feed(&raw, &mut self.buffer);
                    let size = self.buffer.len() - before;
                    if size > 0 {
                        return Ok(size);
                    }
                }
            }
        }
    }

    /// Appends what arrives on the connection to the buffer; returns the number of bytes, zero at its end.
    fn fill_raw(&mut self, limit: Duration) -> Result<usize, ReadError> {
        let limit = limit.max(Duration::from_millis(1));
        let mut bytes = [0; READ_BYTES];
        let read = self
            .set_read_timeout(limit)
            .and_then(|()| (&*self.stream).read(&mut bytes));
        match read {
            Ok(n) => {
                self.buffer.extend_from_slice(&bytes[..n]);
                self.received += n as u64;
                Ok(n)
            }
            Err(e) => match e.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => {
                    Err(ReadError::TimedOut)
                }
                kind => {
                    self.note_failed(kind);
                    Err(broken(&format!("the connection failed: {e}")))
                }
            },
        }
    }

    fn note_failed(&mut self, kind: ErrorKind) {
        let is_reset = matches!(
            kind,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe
        );
        self.is_truncated = is_reset && !self.is_closed.load(Ordering::SeqCst);
    }

    /// Sets the socket's read timeout, only if it changes, to save the system call.
    fn set_read_timeout(&mut self, limit: Duration) -> io::Result<()> {
        if self.read_timeout != limit {
            self.stream.set_read_timeout(Some(limit))?;
            self.read_timeout = limit;
        }
        Ok(())
    }

    fn parse_head(&mut self) -> Result<Option<Head>, ReadError> {
        loop {
            let Some((head, size)) = parse(&self.buffer)? else {
                return match self.interim + self.buffer.len() > HEAD_MAX_BYTES {
                    true => Err(broken("the head of the answer is too long")),
                    false => Ok(None),
                };
            };
            self.buffer.drain(..size);
            if !(100..200).contains(&head.status) {
                let framing = framing(&head)?;
                self.is_unframed = framing == Framing::Close;
                self.body = Some(Body::new(framing));
                return Ok(Some(head));
            }
            self.interim += size;
        }
    }
}

/// Whether `stream` is reset within `wait` after the end of its input.
pub fn is_reset(stream: &TcpStream, wait: Duration) -> bool {
    let socket = SockRef::from(stream);
    let end = Instant::now() + wait;
    loop {
        if !matches!(socket.take_error(), Ok(None)) {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(RESET_CHECK_EVERY);
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
