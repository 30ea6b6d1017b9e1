//! Waits for many connections in one thread, so that one on which nothing arrives holds none.

use mio::{Events, Interest, Poll, Registry, Token, unix::SourceFd};
use std::{
    io::{self, ErrorKind},
    net::{TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::{Duration, Instant},
};

/// Events taken at once.
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
    /// Whether its reading side was closed from here.
    pub(super) deaf: Arc<AtomicBool>,
    /// Longest wait for bytes that its socket was last given, if any.
    pub(super) limit: Option<Duration>,
}

/// Connections that wait for their next request. The thread that polls is another one than those that
/// hand connections over.
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

/// What a poll found.
#[derive(Debug, Default)]
pub(super) struct Found {
    /// Whether there are connections to accept.
    pub(super) accept: bool,
    /// Connections on which something arrived, or that ended.
    pub(super) ready: Vec<Idle>,
    /// Connections that were idle for too long.
    pub(super) late: Vec<Idle>,
}

/// The polling side of a [`Watch`].
#[derive(Debug)]
pub(super) struct Poller {
    poll: Poll,
    events: Events,
}

impl Watch {
    /// Watches `listener`, which is put into non-blocking mode, and no connection yet.
    ///
    /// # Errors
    /// The system has no room for it.
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

    /// Waits for the next request on `conn`, `limit` at most.
    ///
    /// # Errors
    /// The connection cannot be watched; it is not kept.
    pub(super) fn park(&self, conn: Idle, limit: Duration) -> io::Result<()> {
        let (fd, id) = (conn.stream.as_raw_fd(), conn.id);
        let until = Instant::now() + limit;
        let mut idle = self.lock();
        let at = idle.partition_point(|w| w.conn.id < id);
        idle.insert(at, Waiting { conn, until });
        // What arrived before shows as an event at once.
        let token = Token(id as usize);
        let result = self
            .registry
            .register(&mut SourceFd(&fd), token, Interest::READABLE);
        if result.is_err() {
            idle.remove(at);
        }
        result
    }

    /// Takes a connection that waits back.
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

    fn take_late(&self, now: Instant) -> Vec<Idle> {
        let mut idle = self.lock();
        let late = idle.extract_if(.., |w| w.until <= now);
        let late: Vec<Idle> = late.map(|w| w.conn).collect();
        late.iter().for_each(|conn| self.release(conn));
        late
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.idle.lock().expect("idle connections")
    }
}

impl Poller {
    /// Waits until something arrives on a connection of `watch`, `limit` at most.
    ///
    /// # Errors
    /// The system cannot tell.
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
        found.late = watch.take_late(Instant::now());
        Ok(found)
    }
}
