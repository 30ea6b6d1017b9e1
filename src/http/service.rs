//! Serves the requests of connections: reads them, runs the handler, and answers if it fails.

use super::{
    conns::Admission,
    exchange::{Exchange, error_json},
    input::Input,
    output::Output,
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

/// Most bytes of a refused request that are read at once.
const READ_SIZE: usize = 8 * 1024;
/// Longest time for which the unread rest of a refused request is read and discarded.
const LINGER: Duration = Duration::from_millis(200);
/// Most bytes that are discarded.
const LINGER_BYTES: usize = 4 << 20;

/// What the threads of a server share.
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
    /// Adds a new connection, or refuses it if there is no room.
    pub(super) fn accept(self: &Arc<Self>, stream: TcpStream) {
        let (stream, read_closed) = (Arc::new(stream), Arc::default());
        let conns = &self.shared.conns;
        match conns.admit(&stream, &read_closed) {
            Admission::Drop => {}
            Admission::Serve(id) => {
                let bounds = &self.shared.bounds;
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let _ = self.shared.output(&stream).prepare();
                let conn = Idle {
                    id,
                    stream,
                    read_closed,
                    timeout: None,
                };
                self.park(conn, bounds.read.min(bounds.idle));
            }
            Admission::Refuse(id) => {
                let shared = self.shared.clone();
                let refused = self.pool.run(move || {
                    let _guard = RemoveOnDrop {
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

    /// Has `conn` wait for its next request, `limit` at most.
    fn park(&self, conn: Idle, limit: Duration) {
        let id = conn.id;
        if let Err(error) = self.watch.park(conn, limit) {
            tracing::warn!(id, %error, "connection_not_watched");
            self.shared.conns.remove(id);
        }
    }

    /// Serves a connection on which bytes arrived, on a pool thread.
    pub(super) fn serve(self: &Arc<Self>, conn: Idle) {
        let (service, id) = (self.clone(), conn.id);
        let started = self.pool.run(move || service.serve_and_park(conn));
        if let Err(error) = started {
            tracing::warn!(id, %error, "connection_not_served");
            self.shared.conns.remove(id);
        }
    }

    /// Serves the requests that arrived on a connection, and has it wait for more if it stays open.
    fn serve_and_park(&self, mut conn: Idle) {
        let guard = RemoveOnDrop {
            shared: &self.shared,
            id: conn.id,
        };
        if self.serve_all(&mut conn) {
            std::mem::forget(guard);
            self.park(conn, self.shared.bounds.idle);
        }
    }

    /// Serves requests, one after the other, until none is left in the buffer. Returns whether the
    /// connection stays open.
    fn serve_all(&self, conn: &mut Idle) -> bool {
        let Idle {
            id,
            stream,
            read_closed,
            timeout,
        } = conn;
        let bounds = &self.shared.bounds;
        let mut input = Input::new(stream, timeout);
        while matches!(input.wait(bounds.read), Ok(true)) {
            self.shared.conns.set_busy(*id, true);
            // Kept until the request is answered.
            let mut share = self.shared.bodies.share();
            let request = match input.request(bounds, &mut share) {
                Ok(request) => request,
                // The rest of the request cannot arrive after this host shut down the reading side.
                Err(_) if read_closed.load(Ordering::Acquire) => {
                    let text = "this host closed the connection; send the request again";
                    refuse(stream, &Fail::new(Kind::Stopping, text));
                    return false;
                }
                Err(fail) => {
                    refuse(stream, &fail);
                    return false;
                }
            };
            let stop = self.shared.stopping.clone();
            let output = self.shared.output(stream);
            let mut exchange = Exchange::new(request, output, read_closed.clone(), stop);
            answer(&mut exchange, &self.handler);
            if !exchange.is_reusable() {
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

impl Shared {
    fn output(&self, conn: &Arc<TcpStream>) -> Output {
        Output {
            conn: conn.clone(),
            readers: self.readers.clone(),
            limit: self.bounds.write,
        }
    }
}

/// Closes a connection and removes it from the list when its thread is done with it.
struct RemoveOnDrop<'a> {
    shared: &'a Shared,
    id: u64,
}

impl Drop for RemoveOnDrop<'_> {
    fn drop(&mut self) {
        self.shared.conns.remove(self.id);
    }
}

/// Runs the handler. If it sends nothing, answers with an internal error; if it panics in the middle of
/// an answer, closes the connection.
fn answer<H>(exchange: &mut Exchange, handler: &H)
where
    H: Fn(&mut Exchange),
{
    let ran = catch_unwind(AssertUnwindSafe(|| handler(exchange)));
    if !exchange.is_begun() {
        let fail = Fail::new(Kind::Internal, "the handler sent no answer");
        let _ = exchange.fail(&fail);
    } else if ran.is_err() {
        exchange.abort();
    }
}

/// Sends an error answer, then reads and discards the rest of the request: closing a socket with unread
/// bytes would reset the connection and lose the answer.
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
