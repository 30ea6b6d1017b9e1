//! Writes to connections whose readers may be slow.

use super::readers::{Closed, Readers};
use socket2::SockRef;
use std::{
    io::{self, ErrorKind, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Longest time that one write blocks before the bound is checked.
const WRITE_TIMEOUT: Duration = Duration::from_millis(20);
/// Size of the system's send buffer, whose bytes are not counted.
const SEND_BUFFER: usize = 64 * 1024;

/// Bounds the bytes that wait for slow readers on all connections of a host; clones share the bound.
#[derive(Debug, Clone)]
pub struct SlowReaders(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    start: Instant,
    silence: Duration,
    state: Mutex<State>,
    /// Number of connections closed.
    closed: AtomicU64,
}

#[derive(Debug)]
struct State {
    readers: Readers,
    /// Connections of the writes that wait, sorted by id.
    conns: Vec<(u64, Arc<TcpStream>)>,
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
                .write_all(&self.conn, data, self.limit)
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
            start: Instant::now(),
            silence,
            state: Mutex::new(State {
                readers: Readers::new(bytes),
                conns: Vec::new(),
            }),
            closed: AtomicU64::new(0),
        }))
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

    /// Writes `bytes`. The reader must take a byte within `limit` and within the silence allowed.
    ///
    /// # Errors
    /// The connection failed or was closed because its reader is slow.
    pub(crate) fn write_all(
        &self,
        conn: &Arc<TcpStream>,
        bytes: &[u8],
        limit: Duration,
    ) -> io::Result<()> {
        let mut rest = bytes;
        let mut waiting = None;
        while !rest.is_empty() {
            let taken = match (&**conn).write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => n,
                Err(e) => match e.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted => 0,
                    _ => return Err(e),
                },
            };
            rest = &rest[taken..];
            if rest.is_empty() {
                break;
            }
            let write = waiting.get_or_insert_with(|| self.wait(conn, rest.len() + taken, limit));
            write.take(taken)?;
        }
        Ok(())
    }

    fn wait(&self, conn: &Arc<TcpStream>, bytes: usize, limit: Duration) -> Waiting<'_> {
        let limit = limit.min(self.0.silence);
        let mut state = self.lock();
        let id = state.readers.add(bytes, limit, self.0.start.elapsed());
        state.conns.push((id, conn.clone()));
        Waiting { all: self, id }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().expect("slow readers")
    }

    fn close(&self, conn: &TcpStream, closed: &Closed) {
        self.0.closed.fetch_add(1, Ordering::Relaxed);
        let Closed {
            bytes,
            waited,
            cause,
            ..
        } = closed;
        let (waited_ms, addr) = (waited.as_millis(), conn.peer_addr().ok());
        tracing::warn!(?addr, bytes, waited_ms, ?cause, "slow_reader_closed");
        // A reset frees what the system has buffered.
        let _ = SockRef::from(conn).set_linger(Some(Duration::ZERO));
        let _ = conn.shutdown(Shutdown::Both);
    }
}

impl State {
    fn remove(&mut self, id: u64) -> Option<Arc<TcpStream>> {
        let at = self.conns.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(self.conns.remove(at).1)
    }
}

impl Waiting<'_> {
    /// Records that the reader took `bytes`, and closes the connections that are to be closed.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let now = self.all.0.start.elapsed();
        let mut state = self.all.lock();
        state.readers.take(self.id, bytes, now);
        let closed = state.readers.close(now);
        let conns = closed.iter().map(|c| (state.remove(c.id), *c));
        let conns: Vec<_> = conns.collect();
        let is_open = (state.conns)
            .binary_search_by_key(&self.id, |(id, _)| *id)
            .is_ok();
        drop(state);
        for (conn, closed) in conns {
            if let Some(conn) = conn {
                self.all.close(&conn, &closed);
            }
        }
        match is_open {
            true => Ok(()),
            false => {
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
