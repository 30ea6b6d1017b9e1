//! Writes to connections whose readers may be slow.

use super::readers::{Closed, Readers};
use crate::pass::Closer;
use socket2::SockRef;
use std::{
    io::{self, ErrorKind, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest time that the first write blocks before the bound is checked; doubled by each write that the reader
/// takes nothing of, so that many slow readers cost little processor time.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
const WRITE_TIMEOUT_MAX: Duration = Duration::from_millis(250);
/// Size of the system's send buffer, whose bytes are not counted.
const SEND_BUFFER: usize = 64 * 1024;

/// Bounds the bytes that wait for slow readers on all connections of a host; clones share the bound.
#[derive(Debug, Clone)]
pub struct SlowReaders(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    silence: Duration,
    state: Mutex<State>,
    /// Number of connections closed.
    closed: AtomicU64,
}

#[derive(Debug)]
struct State {
    readers: Readers,
    /// Connections of the writes that wait, sorted by id.
    conns: Vec<(u64, Connection)>,
}

/// A connection that can be closed while a write to it waits.
#[derive(Debug)]
struct Connection {
    stream: Arc<TcpStream>,
    /// Closes a connection to a server.
    closer: Option<Closer>,
}

/// The sending side of a connection.
#[derive(Debug, Clone)]
pub(super) struct Output {
    pub(super) conn: Arc<TcpStream>,
    /// The bound for slow readers, if there is one.
    pub(super) readers: Option<SlowReaders>,
    /// Longest time for which a write may make no progress.
    pub(super) limit: Duration,
}

impl Output {
    /// Sets the socket up for writes.
    pub(super) fn prepare(&self) -> io::Result<()> {
        match &self.readers {
            Some(readers) => readers.prepare(&self.conn),
            None => self.conn.set_write_timeout(Some(self.limit)),
        }
    }
}

impl Write for Output {
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        match &self.readers {
            Some(readers) => readers
                .write_all(&self.conn, None, data, self.limit)
                .map(|()| data.len()),
            None => (&*self.conn).write(data),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A write that waits; it ends on drop.
struct Waiting<'a> {
    all: &'a SlowReaders,
    id: u64,
}

impl SlowReaders {
    /// A bound of `bytes`, for readers that take a byte within `silence`.
    pub fn new(bytes: usize, silence: Duration) -> Self {
        Self(Arc::new(Inner {
            silence,
            state: Mutex::new(State {
                readers: Readers::new(bytes),
                conns: Vec::new(),
            }),
            closed: AtomicU64::new(0),
        }))
    }

    /// Sets the waiting time up to which a reader is not slow, 300 ms unless set.
    pub fn set_slow_after(&self, time: Duration) {
        self.lock().readers.set_slow_after(time);
    }

    /// Bytes that wait.
    pub fn held(&self) -> usize {
        self.lock().readers.held()
    }

    /// Number of connections closed since the start.
    pub fn closed(&self) -> u64 {
        self.0.closed.load(Ordering::Relaxed)
    }

    /// Prepares a connection for [`write_all`](Self::write_all).
    pub(crate) fn prepare(&self, conn: &TcpStream) -> io::Result<()> {
        conn.set_write_timeout(Some(WRITE_TIMEOUT))?;
        SockRef::from(conn).set_send_buffer_size(SEND_BUFFER)
    }

    /// Writes `bytes`. The reader must take a byte within `limit` and within the silence allowed. A slow server's
    /// connection is closed by `closer`.
    ///
    /// # Errors
    /// The connection failed or was closed because its reader is slow.
    pub(crate) fn write_all(
        &self,
        conn: &Arc<TcpStream>,
        closer: Option<&Closer>,
        bytes: &[u8],
        limit: Duration,
    ) -> io::Result<()> {
        let mut timeout = WRITE_TIMEOUT;
        let result = self.write_waiting(conn, closer, bytes, limit, &mut timeout);
        if timeout != WRITE_TIMEOUT && result.is_ok() {
            conn.set_write_timeout(Some(WRITE_TIMEOUT))?;
        }
        result
    }

    fn write_waiting(
        &self,
        conn: &Arc<TcpStream>,
        closer: Option<&Closer>,
        bytes: &[u8],
        limit: Duration,
        timeout: &mut Duration,
    ) -> io::Result<()> {
        let mut rest = bytes;
        let mut waiting: Option<Waiting<'_>> = None;
        while !rest.is_empty() {
            let start = Instant::now();
            let taken = match (&**conn).write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => n,
                Err(e) => match e.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => 0,
                    _ => return Err(e),
                },
            };
            // A write that seems to last longer than its timeout was delayed by this host, not by the reader.
            let waited = start.elapsed().min(*timeout);
            rest = &rest[taken..];
            if rest.is_empty() {
                break;
            }
            let write =
                waiting.get_or_insert_with(|| self.wait(conn, closer, rest.len() + taken, limit));
            write.take(taken, waited)?;
            let next = match taken {
                0 => (*timeout * 2).min(WRITE_TIMEOUT_MAX),
                _ => WRITE_TIMEOUT,
            };
            if next != *timeout {
                conn.set_write_timeout(Some(next))?;
                *timeout = next;
            }
        }
        // The last bytes may have been accepted just before another thread closed the connection.
        waiting.map_or(Ok(()), |write| write.check(&self.lock()))
    }

    fn wait(
        &self,
        conn: &Arc<TcpStream>,
        closer: Option<&Closer>,
        bytes: usize,
        limit: Duration,
    ) -> Waiting<'_> {
        let limit = limit.min(self.0.silence);
        let mut state = self.lock();
        let id = state.readers.add(bytes, limit);
        let conn = Connection {
            stream: conn.clone(),
            closer: closer.cloned(),
        };
        state.conns.push((id, conn));
        Waiting { all: self, id }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("slow readers")
    }
}

impl Connection {
    /// Closes the connection and returns its address. It is reset, which frees what the system has buffered.
    fn close(&self) -> Option<SocketAddr> {
        let addr = self.stream.peer_addr().ok();
        let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        match &self.closer {
            Some(closer) => closer.close(),
            None => drop(self.stream.shutdown(Shutdown::Both)),
        }
        addr
    }
}

fn log(addr: Option<SocketAddr>, closed: &Closed) {
    let Closed {
        bytes,
        waited,
        cause,
        ..
    } = closed;
    let waited_ms = waited.as_millis();
    tracing::warn!(?addr, bytes, waited_ms, ?cause, "slow_reader_closed");
}

impl State {
    fn remove(&mut self, id: u64) -> Option<Connection> {
        let at = self.conns.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(self.conns.remove(at).1)
    }
}

impl Waiting<'_> {
    /// Records that the reader took `bytes` while the write waited for `waited`, and closes the connections that
    /// are to be closed.
    fn take(&self, bytes: usize, waited: Duration) -> io::Result<()> {
        let mut state = self.all.lock();
        state.readers.take(self.id, bytes, waited);
        let mut logged = Vec::new();
        // Closed under the lock: a writer whose entry is gone finds its connection closed.
        for closed in state.readers.close(self.id) {
            if let Some(conn) = state.remove(closed.id) {
                logged.push((conn.close(), closed));
                self.all.0.closed.fetch_add(1, Ordering::Relaxed);
            }
        }
        let result = self.check(&state);
        drop(state);
        logged.iter().for_each(|(addr, closed)| log(*addr, closed));
        result
    }

    /// Fails if the connection was closed.
    fn check(&self, state: &State) -> io::Result<()> {
        match state.conns.binary_search_by_key(&self.id, |(id, _)| *id) {
            Ok(_) => Ok(()),
            Err(_) => {
                let text = "the connection was closed because its reader is slow";
                Err(io::Error::new(ErrorKind::ConnectionAborted, text))
            }
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.all.lock();
        state.readers.remove(self.id);
        state.remove(self.id);
    }
}
