//! The HTTP server, with a bounded number of connections. A connection that waits for a request holds
//! no thread; each request in progress has one.

use super::{
    budget::Budget,
    conns::Conns,
    exchange::Exchange,
    output::SlowReaders,
    service::Service,
    watch::{Found, Poller, Watch},
};
use crate::threads::Pool;
use socket2::{Domain, Socket, Type};
use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 4096;
/// Longest wait of one poll, after which the server checks whether it was closed and which connections
/// were idle for too long.
const POLL_MAX: Duration = Duration::from_secs(1);
/// Idle time after which a stop closes a connection. A caller that sends more often gets
/// `connection: close` with its next answer instead.
const STOP_IDLE: Duration = Duration::from_millis(500);
/// Interval at which a stop checks its progress; also the pause after a failed poll or accept.
const STOP_CHECK_EVERY: Duration = Duration::from_millis(5);

/// Longest wait of a kill for the listener to close.
const KILL_LIMIT: Duration = Duration::from_secs(1);
/// Interval at which a kill checks whether it is closed.
const KILL_CHECK_EVERY: Duration = Duration::from_millis(1);

/// Bounds of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most open connections; one more is refused.
    pub conns: usize,
    /// Most bytes in the head of a request.
    pub head: usize,
    /// Most bytes in the body of a request.
    pub body: usize,
    /// Most bytes in the bodies of all requests in progress.
    pub bodies: usize,
    /// Longest time from a request's first byte to its last.
    pub read: Duration,
    /// Longest time that a connection may be idle between two requests.
    pub idle: Duration,
    /// Longest time that one write may block on a slow caller.
    pub write: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            conns: 4096,
            head: 16 * 1024,
            body: 64 * 1024 * 1024,
            bodies: 256 * 1024 * 1024,
            read: Duration::from_secs(20),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(10),
        }
    }
}

/// A running server; dropping it closes everything at once.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) bounds: Bounds,
    pub(super) conns: Conns,
    /// Memory for the bodies of requests.
    pub(super) bodies: Budget,
    /// The host's bound for slow readers, if there is one.
    pub(super) readers: Option<SlowReaders>,
    /// Whether each connection ends after its current request.
    pub(super) stopping: Arc<AtomicBool>,
    /// Whether new connections are refused.
    closed: AtomicBool,
    /// Whether the listener is closed.
    unbound: AtomicBool,
}

impl Server {
    /// Listens on `addr` and passes every request to `handler`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start<H>(addr: SocketAddr, bounds: Bounds, handler: H) -> io::Result<Self>
    where
        H: Fn(&mut Exchange) + Send + Sync + 'static,
    {
        Self::start_with(addr, bounds, None, handler)
    }

    /// Like `start`, with the host's bound for slow readers.
    ///
    /// # Errors
    /// As for `start`.
    pub fn start_with<H>(
        addr: SocketAddr,
        bounds: Bounds,
        readers: Option<SlowReaders>,
        handler: H,
    ) -> io::Result<Self>
    where
        H: Fn(&mut Exchange) + Send + Sync + 'static,
    {
        let listener = listen(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            bounds,
            conns: Conns::new(bounds.conns),
            bodies: Budget::new(bounds.bodies),
            readers,
            stopping: Arc::default(),
            closed: AtomicBool::new(false),
            unbound: AtomicBool::new(false),
        });
        let (watch, poller) = Watch::new(&listener)?;
        let service = Arc::new(Service {
            shared: shared.clone(),
            watch,
            pool: Pool::new("conn"),
            handler,
        });
        thread::Builder::new()
            .name(format!("port-{}", addr.port()))
            .spawn(move || run(listener, poller, &service))?;
        Ok(Self { addr, shared })
    }

    /// Address that it listens on, with the port that the system chose if it was 0.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.shared.conns.open()
    }

    /// Number of requests in progress.
    pub fn busy(&self) -> usize {
        self.shared.conns.busy()
    }

    /// Ends keep-alive: each answer from now on closes its connection.
    pub fn disable_keep_alive(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }

    /// Stops gracefully: refuses new connections, closes idle ones and waits, `limit` at most, until all
    /// are closed. Connections that were already established are served. Returns the number of requests
    /// that were aborted at the limit.
    pub fn stop(&self, limit: Duration) -> usize {
        self.disable_keep_alive();
        self.close_listener();
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let unbound = self.shared.unbound.load(Ordering::Acquire);
            self.shared.conns.close_idle(STOP_IDLE);
            if unbound && self.open() == 0 {
                return 0;
            }
            thread::sleep(STOP_CHECK_EVERY);
        }
        let aborted = self.busy();
        self.kill();
        aborted
    }

    /// Closes everything at once, as a crash would. Afterwards connects are refused.
    pub fn kill(&self) {
        self.disable_keep_alive();
        self.close_listener();
        self.shared.conns.kill();
        let end = Instant::now() + KILL_LIMIT;
        while !self.shared.unbound.load(Ordering::Acquire) && Instant::now() < end {
            thread::sleep(KILL_CHECK_EVERY);
        }
    }

    fn close_listener(&self) {
        if !self.shared.closed.swap(true, Ordering::AcqRel) {
            // This connection wakes the polling thread, which then drops the listener.
            let _ = TcpStream::connect_timeout(&self.addr, Duration::from_secs(1));
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts connections and hands those on which a request arrives to a thread, until the server is
/// closed and every connection has ended.
fn run<H>(listener: TcpListener, mut poller: Poller, server: &Arc<Service<H>>)
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    let shared = &server.shared;
    let mut listener = Some(listener);
    while listener.is_some() || shared.conns.open() > 0 {
        let limit = match listener {
            Some(_) => POLL_MAX,
            None => STOP_CHECK_EVERY,
        };
        let found = poller.poll(&server.watch, limit).unwrap_or_else(|error| {
            tracing::error!(%error, "connections_not_polled");
            thread::sleep(STOP_CHECK_EVERY);
            Found::default()
        });
        found
            .expired
            .iter()
            .for_each(|conn| shared.conns.remove(conn.id));
        found.ready.into_iter().for_each(|conn| server.serve(conn));
        if let Some(open) = &listener {
            // Dropping the listener would reset connections that the kernel already established.
            let is_closed = shared.closed.load(Ordering::Acquire);
            if found.accept || is_closed {
                accept_all(open, server);
            }
            if is_closed {
                listener = None;
                shared.unbound.store(true, Ordering::Release);
            }
        }
    }
}

fn accept_all<H>(listener: &TcpListener, server: &Arc<Service<H>>)
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    loop {
        match listener.accept() {
            Ok((stream, _)) => server.accept(stream),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                tracing::warn!(%error, "connection_not_accepted");
                return thread::sleep(STOP_CHECK_EVERY);
            }
        }
    }
}
