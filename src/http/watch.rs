//! Polls many connections in one thread, so that an idle connection holds none.

use mio::{Events, Interest, Poll, Registry, Token, unix::SourceFd};
use std::{
    io::{self, ErrorKind},
    net::{TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::{Duration, Instant},
};

/// Most events taken in one poll.
const EVENTS: usize = 256;
/// Token of the listener; connections have their ids, which begin at zero.
const LISTENER: Token = Token(usize::MAX);

/// A connection between two requests.
#[derive(Debug)]
pub(super) struct Idle {
    /// Its id among the open connections.
    pub(super) id: u64,
    /// Its socket, in blocking mode.
    pub(super) stream: Arc<TcpStream>,
    /// Whether this host shut down its reading side.
    pub(super) read_closed: Arc<AtomicBool>,
    /// Read timeout that its socket has; `None` if it was never set.
    pub(super) timeout: Option<Duration>,
}

/// Connections that wait for their next request. One thread polls them, others add to them.
#[derive(Debug)]
pub(super) struct Watch {
    registry: Registry,
    /// Sorted by id.
    idle: Mutex<Vec<Waiting>>,
}

#[derive(Debug)]
struct Waiting {
    conn: Idle,
    until: Instant,
}

/// Result of a poll.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// Whether there are connections to accept.
    pub(super) accept: bool,
    /// Connections on which bytes arrived, or that the caller closed.
    pub(super) ready: Vec<Idle>,
    /// Connections that waited longer than their limit.
    pub(super) expired: Vec<Idle>,
}

/// The polling side of a [`Watch`].
#[derive(Debug)]
pub(super) struct Poller {
    poll: Poll,
    events: Events,
}

impl Watch {
    /// Watches `listener`, which it puts into non-blocking mode, and no connection yet.
    ///
    /// # Errors
    /// The system cannot create a poll or register the listener.
    pub(super) fn new(listener: &TcpListener) -> io::Result<(Self, Poller)> {
        listener.set_nonblocking(true)?;
        let poll = Poll::new()?;
        let registry = poll.registry().try_clone()?;
        let fd = listener.as_raw_fd();
        registry.register(&mut SourceFd(&fd), LISTENER, Interest::READABLE)?;
        let watch = Self {
            registry,
            idle: Mutex::default(),
        };
        let events = Events::with_capacity(EVENTS);
        Ok((watch, Poller { poll, events }))
    }

    /// Has `conn` wait for its next request, `limit` at most.
    ///
    /// # Errors
    /// The connection cannot be watched; it is not kept.
    pub(super) fn park(&self, conn: Idle, limit: Duration) -> io::Result<()> {
        let (fd, id) = (conn.stream.as_raw_fd(), conn.id);
        let until = Instant::now() + limit;
        let mut idle = self.lock();
        let at = idle.partition_point(|w| w.conn.id < id);
        idle.insert(at, Waiting { conn, until });
        // Bytes that arrived before the registration cause an event at once.
        let token = Token(id as usize);
        let result = self
            .registry
            .register(&mut SourceFd(&fd), token, Interest::READABLE);
        if result.is_err() {
            idle.remove(at);
        }
        result
    }

    /// Removes the waiting connection `id` and returns it.
    fn take(&self, id: u64) -> Option<Idle> {
        let mut idle = self.lock();
        let at = idle.binary_search_by_key(&id, |w| w.conn.id).ok()?;
        let conn = idle.remove(at).conn;
        self.release(&conn);
        Some(conn)
    }

    fn release(&self, conn: &Idle) {
        let fd = conn.stream.as_raw_fd();
        if let Err(error) = self.registry.deregister(&mut SourceFd(&fd)) {
            tracing::warn!(id = conn.id, %error, "connection_not_released");
        }
    }

    fn take_expired(&self, now: Instant) -> Vec<Idle> {
        let mut idle = self.lock();
        let expired = idle.extract_if(.., |w| w.until <= now);
        let expired: Vec<Idle> = expired.map(|w| w.conn).collect();
        expired.iter().for_each(|conn| self.release(conn));
        expired
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.idle.lock().expect("idle connections")
    }
}

impl Poller {
    /// Waits, `limit` at most, until bytes arrive on a connection of `watch` or there is a new one.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(super) fn poll(&mut self, watch: &Watch, limit: Duration) -> io::Result<Found> {
        match self.poll.poll(&mut self.events, Some(limit)) {
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(Found::default()),
            result => result?,
        }
        let mut found = Found::default();
        for event in self.events.iter() {
            match event.token() {
                LISTENER => found.accept = true,
                Token(id) => found.ready.extend(watch.take(id as u64)),
            }
        }
        found.expired = watch.take_expired(Instant::now());
        Ok(found)
    }
}
