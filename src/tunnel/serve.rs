//! Serves tunnels for peers.

use super::{
    TunnelCall, TunnelRefusal,
    frames::{End, FRAME_MAX_BYTES, LENGTH_BYTES, frame_head},
};
use crate::{
    clock::Time,
    error::{Fail, Kind, Res},
    http::Exchange,
    kernel::{Host, decode_call, encode},
    pass::is_reset,
    wire::Class,
};
use std::{
    io::{self, ErrorKind, Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Most tunnels that a host serves at the same time, and how many of them may be for batch work.
const SERVED_MAX: usize = 128;
const SERVED_BATCH_MAX: usize = 48;
/// Timeout of a connection to a server; shorter than the wait of the peer that asks.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which an idle tunnel checks whether its time is over.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that one write may block.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time by which a tunnel may outlast the deadline of its request.
const LIMIT_MARGIN: Duration = Duration::from_secs(1);
/// Bytes of the caller that are passed on at once.
const READ_BYTES: usize = 8 * 1024;
/// Stack size of the thread for the caller's bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Number of tunnels that are being served.
#[derive(Debug, Default)]
pub(super) struct Served {
    all: AtomicUsize,
    batch: AtomicUsize,
}

/// A place among the tunnels that a host serves, given back on drop.
struct Place<'a> {
    served: &'a Served,
    class: Class,
}

impl Served {
    fn take(&self, class: Class) -> Option<Place<'_>> {
        let all = self.all.fetch_add(1, Ordering::Relaxed);
        let batch = match class {
            Class::Online => 0,
            Class::Batch => self.batch.fetch_add(1, Ordering::Relaxed),
        };
        let place = Place {
            served: self,
            class,
        };
        (all < SERVED_MAX && batch < SERVED_BATCH_MAX).then_some(place)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.served.all.fetch_sub(1, Ordering::Relaxed);
        if self.class == Class::Batch {
            self.served.batch.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

pub(super) fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    let connected = decode_call::<TunnelCall>(host, exchange).and_then(|call| {
        let place = check(host, &call)?;
        connect(host, &call).map(|server| (call, place, server))
    });
    let (call, _place, server) = match connected {
        Ok(connected) => connected,
        Err(fail) => {
            let status = fail.kind.row().status;
            let others = match fail.kind {
                Kind::NotReady => host.tunnels.peers().preferred().to_vec(),
                _ => Vec::new(),
            };
            let body = encode(&TunnelRefusal { fail, others }).unwrap_or_default();
            return exchange.send_with(status, &[], &body);
        }
    };
    let caller = exchange.upgrade()?;
    host.meters.tunnel_served();
    Tunnel {
        host: host.clone(),
        caller,
        server: Arc::new(server),
        end: host.now() + call.limit + LIMIT_MARGIN,
    }
    .run()
}

/// Checks that this host may serve another tunnel.
fn check<'a>(host: &'a Host, call: &TunnelCall) -> Res<Place<'a>> {
    if host.is_stopping() || host.is_dead() {
        return Err(Fail::new(Kind::Stopping, "this host stops"));
    }
    if host.tunnels.is_cut() {
        return Err(cut_off());
    }
    let place = host.tunnels.served.take(call.class);
    place.ok_or_else(|| Fail::new(Kind::Overloaded, "this host serves too many tunnels"))
}

/// Connects to the server, as for a request of this host.
fn connect(host: &Host, call: &TunnelCall) -> Res<TcpStream> {
    let server = host.config.view(|s| s.server(&call.server).cloned());
    let server = server.filter(|s| !host.routes.departures.has(s));
    let server = server.ok_or_else(|| {
        let text = format!("the server {} takes no new work", call.server);
        Fail::new(Kind::Unreachable, text)
    })?;
    let connected = host.passing.connect(server.addr, CONNECT_TIMEOUT);
    match connected {
        Ok(stream) => {
            host.note_server_reached();
            prepare(host, &stream)
                .map_err(|e| Fail::new(Kind::NotReady, format!("connection: {e}")))?;
            Ok(stream)
        }
        // A path that may be cut says nothing of the server.
        Err(_) if host.note_server_failed(&server.name) => Err(cut_off()),
        Err(e) => Err(Fail::new(Kind::Unreachable, format!("backend server: {e}"))),
    }
}

fn prepare(host: &Host, server: &TcpStream) -> io::Result<()> {
    if let Some(readers) = host.passing.readers() {
        readers.prepare(server)?;
    }
    server.set_nodelay(true)?;
    server.set_read_timeout(Some(CHECK_INTERVAL))?;
    server.set_write_timeout(Some(WRITE_TIMEOUT))
}

fn cut_off() -> Fail {
    Fail::new(Kind::NotReady, "this host reaches no backend server")
}

/// A tunnel that is being served.
#[derive(Clone)]
struct Tunnel {
    host: Arc<Host>,
    caller: Arc<TcpStream>,
    server: Arc<TcpStream>,
    /// Time at which it is closed.
    end: Time,
}

impl Tunnel {
    /// Passes bytes in both directions until one side ends.
    fn run(self) -> io::Result<()> {
        self.caller.set_read_timeout(Some(CHECK_INTERVAL))?;
        self.caller.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let other = self.clone();
        let requests = thread::Builder::new()
            .name("tunnel".into())
            .stack_size(STACK_BYTES)
            .spawn(move || other.pass_requests());
        let result = requests.and_then(|_| self.pass_answers());
        self.close();
        result
    }

    /// Passes the caller's bytes on. Closes both connections when the caller closes its own, so that the server cancels
    /// the request.
    fn pass_requests(&self) {
        let mut bytes = [0; READ_BYTES];
        while !self.is_over() {
            match (&*self.caller).read(&mut bytes) {
                Ok(0) => break,
                Ok(n) if (&*self.server).write_all(&bytes[..n]).is_ok() => {}
                Err(e) if is_timeout(&e) => {}
                Ok(_) => return,
                Err(_) => break,
            }
        }
        self.close();
    }

    /// Passes the server's bytes back, and how its connection ends.
    fn pass_answers(&self) -> io::Result<()> {
        let mut frame = vec![0; LENGTH_BYTES + FRAME_MAX_BYTES];
        while !self.is_over() {
            match (&*self.server).read(&mut frame[LENGTH_BYTES..]) {
                Ok(0) => {
                    let wait = self.host.settings.reset_wait;
                    let end = match is_reset(&self.server, wait) {
                        true => End::Reset,
                        false => End::Closed,
                    };
                    return (&*self.caller).write_all(&end.bytes());
                }
                Ok(n) => {
                    frame[..LENGTH_BYTES].copy_from_slice(&frame_head(n));
                    (&*self.caller).write_all(&frame[..LENGTH_BYTES + n])?;
                }
                Err(e) if is_timeout(&e) => {}
                Err(_) => return (&*self.caller).write_all(&End::Reset.bytes()),
            }
        }
        Ok(())
    }

    fn is_over(&self) -> bool {
        self.host.is_dead() || self.host.now() >= self.end
    }

    fn close(&self) {
        // A side that is closed already needs no shutdown.
        let _ = self.server.shutdown(Shutdown::Both);
        let _ = self.caller.shutdown(Shutdown::Both);
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
