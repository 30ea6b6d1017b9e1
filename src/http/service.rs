//! Serves the requests of connections: reads them, runs the handler, and answers for it where it fails.

use super::{
    conns::Room,
    exchange::{Exchange, error_json},
    input::Input,
    server::Shared,
    watch::{Idle, Watch},
};
use crate::{
    error::{Fail, Kind},
    threads::Pool,
};
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

/// Bytes of a refused request that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// How long an unread rest of a refused request is taken off the socket.
const LINGER: Duration = Duration::from_millis(200);
/// Most bytes of such a rest.
const LINGER_BYTES: usize = 4 << 20;

/// A server at work.
pub(super) struct Service<H> {
    pub(super) shared: Arc<Shared>,
    pub(super) watch: Watch,
    pub(super) pool: Pool,
    pub(super) handler: H,
}

impl<H> Service<H>
where
    H: Fn(&mut Exchange) + Send + Sync + 'static,
{
    /// Takes a new connection in, if there is room.
    pub(super) fn take_in(self: &Arc<Self>, stream: TcpStream) {
        let (stream, deaf) = (Arc::new(stream), Arc::default());
        let conns = &self.shared.conns;
        match conns.admit(&stream, &deaf) {
            Room::Drop => {}
            Room::Serve(id) => {
                let bounds = &self.shared.bounds;
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let _ = stream.set_write_timeout(Some(bounds.write));
                let conn = Idle {
                    id,
                    stream,
                    deaf,
                    limit: None,
                };
                self.park(conn, bounds.read.min(bounds.idle));
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
    pub(super) fn serve(self: &Arc<Self>, conn: Idle) {
        let (service, id) = (self.clone(), conn.id);
        let started = self.pool.run(move || service.requests(conn));
        if let Err(error) = started {
            tracing::warn!(id, %error, "connection_not_served");
            self.shared.conns.remove(id);
        }
    }

    /// Serves what arrived on a connection, and has it wait for more if it may go on.
    fn requests(&self, mut conn: Idle) {
        let forget = Forget {
            shared: &self.shared,
            id: conn.id,
        };
        if self.serve_all(&mut conn) {
            std::mem::forget(forget);
            self.park(conn, self.shared.bounds.idle);
        }
    }

    /// Serves requests, one after the other, until none has arrived; whether the connection may carry
    /// more.
    fn serve_all(&self, conn: &mut Idle) -> bool {
        let Idle {
            id,
            stream,
            deaf,
            limit,
        } = conn;
        let bounds = &self.shared.bounds;
        let mut input = Input::new(stream, limit);
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
        exchange.abort();
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
    if let Some(after) = fail.retry_delay() {
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
    let mut left = LINGER_BYTES;
    while Instant::now() < end && left > 0 {
        match (&*stream).read(&mut sink) {
            Ok(n) if n > 0 => left = left.saturating_sub(n),
            _ => return,
        }
    }
}
