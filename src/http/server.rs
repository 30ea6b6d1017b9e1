//! The server: a bounded number of connections. One that waits for a request holds no thread; each
//! request under way has one.

use super::{
    conns::{Conns, Room},
    exchange::{Exchange, error_json},
    input::Input,
    pool::Pool,
    watch::{Found, Idle, Poller, Watch},
};
use crate::error::{Fail, Kind};
use socket2::{Domain, Socket, Type};
use std::{
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 4096;
/// Longest time between two looks at whether the server was closed.
const LOOK: Duration = Duration::from_secs(1);
/// Bytes of a refused request that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// How long an unread rest of a refused request is taken off the socket.
const LINGER: Duration = Duration::from_millis(200);
/// How long a connection must be idle before a stop ends it; a caller that sends often is told to
/// leave by its next answer instead.
const STOP_IDLE: Duration = Duration::from_millis(500);
/// Pause between two looks at a stop's progress.
const STOP_LOOK: Duration = Duration::from_millis(5);

/// Longest wait for the listener to close when everything is closed at once.
const KILL_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two looks at whether it is closed.
const KILL_LOOK: Duration = Duration::from_millis(1);

/// Bounds of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most connections at once; one more is refused.
    pub conns: usize,
    /// Most bytes in the head of a request.
    pub head: usize,
    /// Most bytes in the body of a request.
    pub body: usize,
    /// Longest time from a request's first byte to its last.
    pub read: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle: Duration,
    /// Longest time that one write may wait for a slow caller.
    pub write: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            conns: 4096,
            head: 16 * 1024,
            body: 64 * 1024 * 1024,
            read: Duration::from_secs(20),
            idle: Duration::from_secs(60),
            write: Duration::from_secs(10),
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    bounds: Bounds,
    conns: Conns,
    /// No further request on a connection after the present one.
    stopping: Arc<AtomicBool>,
    /// No further connection.
    closed: AtomicBool,
    /// The listener is gone.
    deaf: AtomicBool,
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
        let listener = listen(addr)?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            bounds,
            conns: Conns::new(bounds.conns),
            stopping: Arc::default(),
            closed: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
        });
        let (watch, poller) = Watch::new(&listener)?;
        let service = Arc::new(Service {
            shared: shared.clone(),
            watch,
            pool: Pool::default(),
            handler,
        });
        thread::Builder::new()
            .name(format!("port-{}", addr.port()))
            .spawn(move || run(listener, poller, &service))?;
        Ok(Self { addr, shared })
    }

    /// The address listened on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.shared.conns.open()
    }

    /// Requests under way.
    pub fn busy(&self) -> usize {
        self.shared.conns.busy()
    }

    /// Asks callers to leave: each answer from now on closes its connection.
    pub fn ask_to_leave(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
    }

    /// Refuses new connections, ends idle ones and waits until no request is under way, `limit`
    /// at most. Connections that were established before are served. Returns the number of
    /// requests that were cut.
    pub fn stop(&self, limit: Duration) -> usize {
        self.ask_to_leave();
        self.close_listener();
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let deaf = self.shared.deaf.load(Ordering::Acquire);
            self.shared.conns.end_idle(STOP_IDLE);
            if deaf && self.open() == 0 {
                return 0;
            }
            thread::sleep(STOP_LOOK);
        }
        let cut = self.busy();
        self.kill();
        cut
    }

    /// Closes everything at once, as a lost host would. From then on connects are refused.
    pub fn kill(&self) {
        self.ask_to_leave();
        self.close_listener();
        self.shared.conns.kill();
        let end = Instant::now() + KILL_LIMIT;
        while !self.shared.deaf.load(Ordering::Acquire) && Instant::now() < end {
            thread::sleep(KILL_LOOK);
        }
    }

    fn close_listener(&self) {
        if !self.shared.closed.swap(true, Ordering::AcqRel) {
            // The polling thread wakes for this connection and drops the listener.
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
            Some(_) => LOOK,
            None => STOP_LOOK,
        };
        let found = poller.poll(&server.watch, limit).unwrap_or_else(|error| {
            tracing::error!(%error, "connections_not_polled");
            thread::sleep(STOP_LOOK);
            Found::default()
        });
        found
            .late
            .iter()
            .for_each(|conn| shared.conns.remove(conn.id));
        found.ready.into_iter().for_each(|conn| server.serve(conn));
        if let Some(open) = &listener {
            // Connections that the kernel established already would be reset with the listener.
            let is_closed = shared.closed.load(Ordering::Acquire);
            if found.accept || is_closed {
                accept_all(open, server);
            }
            if is_closed {
                listener = None;
                shared.deaf.store(true, Ordering::Release);
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
            Ok((stream, _)) => server.take_in(stream),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            Err(error) => {
                tracing::warn!(%error, "connection_not_accepted");
                return thread::sleep(STOP_LOOK);
            }
        }
    }
}

/// A server at work.
struct Service<H> {
    shared: Arc<Shared>,
    watch: Watch,
    pool: Pool,
    handler: H,
}

impl<H> Service<H>
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    fn take_in(self: &Arc<Self>, stream: TcpStream) {
        let (stream, deaf) = (Arc::new(stream), Arc::default());
        let conns = &self.shared.conns;
        match conns.admit(&stream, &deaf) {
            Room::Drop => {}
            Room::Serve(id) => {
                let bounds = &self.shared.bounds;
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(bounds.write));
                self.park(Idle { id, stream, deaf }, bounds.read.min(bounds.idle));
            }
            Room::Refuse(id) => {
                let shared = self.shared.clone();
                let refused = self.pool.run(move || {
                    let _forget = Forget {
                        shared: &shared,
                        id,
                    };
                    let text = "too many connections; try another host";
                    let _ = stream.set_nonblocking(false);
                    refuse(&stream, &Fail::new(Kind::Overloaded, text));
                });
                if refused.is_err() {
                    conns.remove(id);
                }
            }
        }
    }

    /// Has `conn` wait for its next request.
    fn park(&self, conn: Idle, limit: Duration) {
        let id = conn.id;
        if let Err(error) = self.watch.park(conn, limit) {
            tracing::warn!(id, %error, "connection_not_watched");
            self.shared.conns.remove(id);
        }
    }

    /// Serves a connection on which something arrived, on a thread of its own.
    fn serve(self: &Arc<Self>, conn: Idle) {
        let (service, id) = (self.clone(), conn.id);
        let started = self.pool.run(move || service.requests(conn));
        if let Err(error) = started {
            tracing::warn!(id, %error, "connection_not_served");
            self.shared.conns.remove(id);
        }
    }

    /// Serves what arrived on a connection, and has it wait for more if it may go on.
    fn requests(&self, conn: Idle) {
        let forget = Forget {
            shared: &self.shared,
            id: conn.id,
        };
        if self.serve_all(&conn) {
            std::mem::forget(forget);
            self.park(conn, self.shared.bounds.idle);
        }
    }

    /// Serves requests, one after the other, until none has arrived; whether the connection may carry
    /// more.
    fn serve_all(&self, conn: &Idle) -> bool {
        let Idle { id, stream, deaf } = conn;
        let bounds = &self.shared.bounds;
        let mut input = Input::new(stream);
        while matches!(input.wait(bounds.read), Ok(true)) {
            self.shared.conns.set_busy(*id, true);
            let request = match input.request(bounds) {
                Ok(request) => request,
                // The rest could not arrive any more.
                Err(_) if deaf.load(Ordering::Acquire) => {
                    let text = "the connection ends; send the request again";
                    refuse(stream, &Fail::new(Kind::Stopping, text));
                    return false;
                }
                Err(fail) => {
                    refuse(stream, &fail);
                    return false;
                }
            };
            let stopping = self.shared.stopping.clone();
            let mut exchange = Exchange::new(request, stream.clone(), deaf.clone(), stopping);
            answer(&mut exchange, &self.handler);
            if !exchange.may_continue() {
                return false;
            }
            self.shared.conns.set_busy(*id, false);
            if input.is_empty() {
                return true;
            }
        }
        false
    }
}

/// Takes a connection off the list when its thread ends with it.
struct Forget<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.shared.conns.remove(self.id);
    }
}

/// Runs the handler; one that panics or sends nothing is answered for.
fn answer<H>(exchange: &mut Exchange, handler: &H)
where
    H: Fn(&mut Exchange),
{
    let ran = catch_unwind(AssertUnwindSafe(|| handler(exchange)));
    if !exchange.is_begun() {
        let fail = Fail::new(Kind::Internal, "the request was not answered");
        let _ = exchange.fail(&fail);
    } else if ran.is_err() {
        exchange.cut();
    }
}

/// Sends an error and takes the rest of the request off the socket, so that the answer is not lost
/// with a reset.
fn refuse(stream: &TcpStream, fail: &Fail) {
    let row = fail.kind.row();
    let body = error_json(fail);
    let mut text = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\nconnection: close\r\n",
        row.status
    );
    if let Some(after) = fail.come_back() {
        text += &format!(
            "retry-after: {}\r\n",
            after.as_millis().div_ceil(1000).max(1)
        );
    }
    text += &format!("content-length: {}\r\n\r\n{body}", body.len());
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(LINGER));
    if (&*stream).write_all(text.as_bytes()).is_err() {
        return;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.set_read_timeout(Some(LINGER));
    let end = Instant::now() + LINGER;
    let mut sink = [0; READ_SIZE];
    while Instant::now() < end && matches!((&*stream).read(&mut sink), Ok(n) if n > 0) {}
}
