//! Model servers by PROTOCOL.md: sound ones, at the pace of the sheet.

use crate::{
    http::{self, Request, answer},
    store::Store,
};
use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SLOTS: usize = 8;
const QUEUE: usize = 24;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Tokens in an event (`stride`).
pub const STRIDE: u32 = 10;

/// What all servers share.
pub struct Shared {
    /// Time between two events.
    pub pace: Duration,
    /// Bytes of an event's data.
    pub event_bytes: usize,
    /// Runs that began, by request.
    pub runs: Mutex<BTreeMap<String, u32>>,
    /// Requests whose last event was written.
    pub done: AtomicUsize,
    /// When the last one was, in milliseconds since `began`.
    pub done_at: AtomicU64,
    pub running: AtomicUsize,
    pub began: Instant,
}

/// Data of the event `n` of the request `id`.
pub fn data(id: &str, n: u32, size: usize) -> String {
    let mut text = format!("{id}-{n}-");
    while text.len() < size {
        text.push(char::from(b'a' + (n % 26) as u8));
    }
    text
}

struct Server {
    id: String,
    /// Requests that run, and that wait for a slot.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    shared: Arc<Shared>,
}

/// Starts a server of `service` at `addr`, which announces itself in `store`.
pub fn start(
    id: &str,
    service: &str,
    zone: &str,
    addr: SocketAddr,
    store: Arc<Store>,
    shared: Arc<Shared>,
) -> io::Result<()> {
    let server = Arc::new(Server {
        id: id.into(),
        load: Mutex::default(),
        freed: Condvar::new(),
        shared,
    });
    http::serve(addr, move |request, out| server.serve(request, out))?;
    let (id, service, zone) = (id.to_string(), service.to_string(), zone.to_string());
    thread::spawn(move || {
        for seq in 1.. {
            let entry = format!(
                r#"{{"service":"{service}","addr":"{addr}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"stage":"dual","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq}}}"#
            );
            store.put("keyed.servers", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    Ok(())
}

impl Server {
    fn serve(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        if request.path == "/healthz" {
            answer(out, 200, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        let id = request.field("request-id");
        if request.field("expect-instance") != self.id {
            answer(out, 421, &[("Instance-Id", &self.id)], b"")?;
            return Ok(true);
        }
        if !self.enter() {
            let load = self.load_text();
            let fields = [("Request-Id", id), ("Not-Run", "1"), ("Server-Load", &load)];
            answer(out, 503, &fields, b"")?;
            return Ok(true);
        }
        let result = self.stream(request, id, out);
        self.leave();
        result.map(|()| false)
    }

    fn enter(&self) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.0 >= SLOTS {
            if load.1 >= QUEUE {
                return false;
            }
            load.1 += 1;
            load = self.freed.wait_while(load, |l| l.0 >= SLOTS).unwrap();
            load.1 -= 1;
        }
        load.0 += 1;
        self.shared.running.fetch_add(1, Ordering::Relaxed);
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().0 -= 1;
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        self.freed.notify_one();
    }

    fn load_text(&self) -> String {
        let (running, waiting) = *self.load.lock().unwrap();
        format!("{running},{waiting},{SLOTS}")
    }

    fn stream(&self, request: &Request, id: &str, out: &mut TcpStream) -> io::Result<()> {
        let shared = &self.shared;
        *shared.runs.lock().unwrap().entry(id.into()).or_default() += 1;
        let tokens = request.field("token-count").split_once(',');
        let most: u32 = tokens.and_then(|(_, t)| t.parse().ok()).unwrap_or(STRIDE);
        let count = most.div_ceil(STRIDE);
        let after: u32 = request.field("last-event-id").parse().unwrap_or(0);
        let deadline: u64 = request.field("deadline-ms").parse().unwrap_or(60_000);
        let began = Instant::now();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s.{id}\r\nServer-Load: {}\r\n\
             Content-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.load_text()
        );
        out.write_all(head.as_bytes())?;
        for n in after + 1..=count {
            let due = began + shared.pace * (n - after);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if began.elapsed() >= Duration::from_millis(deadline) {
                return Ok(());
            }
            let event = format!("id: {n}\ndata: {}\n\n", data(id, n, shared.event_bytes));
            out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        out.write_all(b"0\r\n\r\n")?;
        shared.done.fetch_add(1, Ordering::Relaxed);
        let at = shared.began.elapsed().as_millis() as u64;
        shared.done_at.store(at, Ordering::Relaxed);
        Ok(())
    }
}
