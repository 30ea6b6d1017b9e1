//! The server: a bounded number of connections, one thread each.

use super::{
    conns::{Conns, Room},
    exchange::{Exchange, error_json},
    input::Input,
};
use crate::error::{Fail, Kind};
use socket2::{Domain, Socket, Type};
use std::{
    io::{self, Read, Write},
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
/// Stack of a connection's thread in bytes.
const STACK: usize = 512 * 1024;
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
        let accept = shared.clone();
        thread::Builder::new()
            .name(format!("accept-{}", addr.port()))
            .spawn(move || accept_all(listener, &accept, &Arc::new(handler)))?;
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
            // The accepting thread wakes for this connection and drops the listener.
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

fn accept_all<H>(listener: TcpListener, shared: &Arc<Shared>, handler: &Arc<H>)
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    while !shared.closed.load(Ordering::Acquire) {
        match listener.accept() {
            Ok((stream, _)) => take_in(stream, shared, handler),
            Err(_) => thread::sleep(STOP_LOOK),
        }
    }
    // Connections that the kernel established already would be reset with the listener.
    if listener.set_nonblocking(true).is_ok() {
        while let Ok((stream, _)) = listener.accept() {
            take_in(stream, shared, handler);
        }
    }
    drop(listener);
    shared.deaf.store(true, Ordering::Release);
}

fn take_in<H>(stream: TcpStream, shared: &Arc<Shared>, handler: &Arc<H>)
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    let stream = Arc::new(stream);
    let deaf = Arc::default();
    let room = shared.conns.admit(&stream, &deaf);
    let (Room::Serve(id) | Room::Refuse(id)) = room else {
        return;
    };
    let (all, handler) = (shared.clone(), handler.clone());
    let run = move || {
        let _forget = Forget { shared: &all, id };
        if room == Room::Serve(id) {
            serve(&stream, &deaf, &all, id, &*handler);
        } else {
            let text = "too many connections; try another host";
            refuse(&stream, &Fail::new(Kind::Overloaded, text));
        }
    };
    let thread = thread::Builder::new().name("conn".into()).stack_size(STACK);
    if thread.spawn(run).is_err() {
        shared.conns.remove(id);
    }
}

/// Takes a connection off the list when its thread ends.
struct Forget<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.shared.conns.remove(self.id);
    }
}

/// Serves the requests of one connection, one after the other.
fn serve<H>(stream: &Arc<TcpStream>, deaf: &Arc<AtomicBool>, shared: &Shared, id: u64, handler: &H)
where
    H: Fn(&mut Exchange),
{
    let bounds = &shared.bounds;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(bounds.write));
    let mut input = Input::new(stream);
    let mut wait = bounds.read.min(bounds.idle);
    while matches!(input.wait(wait), Ok(true)) {
        shared.conns.set_busy(id, true);
        let request = match input.request(bounds) {
            Ok(request) => request,
            // The rest could not arrive any more.
            Err(_) if deaf.load(Ordering::Acquire) => {
                let text = "the connection ends; send the request again";
                return refuse(stream, &Fail::new(Kind::Stopping, text));
            }
            Err(fail) => return refuse(stream, &fail),
        };
        let mut exchange = Exchange::new(
            request,
            stream.clone(),
            deaf.clone(),
            shared.stopping.clone(),
        );
        answer(&mut exchange, handler);
        if !exchange.may_continue() {
            return;
        }
        shared.conns.set_busy(id, false);
        wait = bounds.idle;
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
