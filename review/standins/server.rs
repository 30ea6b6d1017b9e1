//! Model servers, which follow the users' pages, and their entries in the store.

use crate::{
    store::Store,
    util::{Message, Record, answer, listen, new_id, random},
};
use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Requests that a server runs at the same time.
const SLOTS: usize = 8;
const BEAT: Duration = Duration::from_millis(1200);

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
    /// Head as received.
    pub head: String,
    pub tenants: Vec<String>,
    pub ended: bool,
}

/// What all servers saw.
pub struct Seen {
    pub runs: Mutex<Vec<Run>>,
    pub running: AtomicUsize,
    record: Arc<Record>,
}

/// The servers of one service.
pub struct Servers {
    pub service: String,
    pub seen: Arc<Seen>,
}

/// How the servers make their answers.
#[derive(Clone, Copy)]
pub struct Making {
    /// Events of an answer.
    pub events: u32,
    pub pause: Duration,
    /// Whether the data of an item's first event is empty.
    pub begins_empty: bool,
}

/// Data of the event `n` of the request `id`, the same on each server.
pub fn data(id: &str, n: u32, making: Making) -> String {
    match making.begins_empty && n == 1 {
        true => String::new(),
        false => format!("{id}-{n}"),
    }
}

/// The whole output: the data of all events in order, separated by line feeds.
pub fn output(id: &str, making: Making) -> String {
    let all: Vec<String> = (1..=making.events).map(|n| data(id, n, making)).collect();
    all.join("\n")
}

impl Servers {
    /// Starts `count` servers and has them write to the store.
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, count: usize, making: Making) -> io::Result<Self> {
        let service = format!("dele{:04x}", random() & 0xffff);
        let seen = Arc::new(Seen { runs: Mutex::default(), running: AtomicUsize::new(0), record: record.clone() });
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let born = since.map_or(0, |d| d.as_millis());
        for n in 0..count {
            let id = format!("i-{}", &new_id()[..8]);
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let addr = listener.local_addr()?;
            let (running, own) = (AtomicUsize::new(0), id.clone());
            let seen_by = seen.clone();
            listen(listener, move |request, out| seen_by.serve(&own, &running, request, out, making));
            record.note(&format!("server {id} of {service} at {addr}"));
            let (store, service) = (store.clone(), service.clone());
            thread::spawn(move || {
                for seq in 1.. {
                    store.put("keyed.servers", &id, &entry(&service, addr, n, seq, born));
                    thread::sleep(BEAT);
                }
            });
        }
        Ok(Self { service, seen })
    }
}

fn entry(service: &str, addr: SocketAddr, n: usize, seq: u64, born: u128) -> String {
    format!(
        r#"{{"service":"{service}","addr":"{addr}","zone":"z{}","version":"v1","slots":{SLOTS},"state":"ready","cold_left_ms":0,"stage":"dual","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#,
        n % 3
    )
}

impl Seen {
    fn serve(
        &self,
        own: &str,
        running: &AtomicUsize,
        request: &Message,
        out: &mut TcpStream,
        making: Making,
    ) -> io::Result<bool> {
        let id = request.field("Request-Id").to_string();
        let load = format!("{},0,{SLOTS}", running.load(Ordering::SeqCst));
        if request.method() == "GET" {
            answer(out, 200, &[("Instance-Id", own), ("Server-Load", &load)], b"")?;
            return Ok(true);
        }
        if id.is_empty() {
            answer(out, 400, &[("Not-Run", "1")], b"")?;
            return Ok(true);
        }
        let expected = request.field("Expect-Instance");
        if !expected.is_empty() && expected != own {
            answer(out, 421, &[("Request-Id", &id), ("Not-Run", "1")], b"")?;
            return Ok(true);
        }
        if running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            running.fetch_sub(1, Ordering::SeqCst);
            answer(out, 503, &[("Request-Id", &id), ("Not-Run", "1"), ("Server-Load", &load)], b"")?;
            return Ok(true);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let after = request.field("Last-Event-Id").parse().unwrap_or(0);
        let tenants: Vec<String> = request.all("Tenant").iter().map(|t| t.to_string()).collect();
        self.record.note(&format!("run of {id} at {own}: {} after {after} tenant {tenants:?}", request.start));
        let at = {
            let mut runs = self.runs.lock().expect("runs");
            runs.push(Run {
                id: id.clone(),
                target: request.target().into(),
                head: request.raw.clone(),
                tenants,
                ended: false,
            });
            runs.len() - 1
        };
        let result = stream(out, &id, after, &load, making);
        running.fetch_sub(1, Ordering::SeqCst);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.runs.lock().expect("runs")[at].ended = result.is_ok();
        if result.is_err() {
            self.record.note(&format!("run of {id} at {own} was cut by its caller"));
        }
        result.map(|()| true)
    }
}

fn stream(out: &mut TcpStream, id: &str, after: u32, load: &str, making: Making) -> io::Result<()> {
    let seal = format!("3e1b.{:08x}", random() as u32);
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: {seal}\r\nServer-Load: {load}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    for n in after + 1..=making.events {
        thread::sleep(making.pause);
        let event = format!("id: {n}\ndata: {}\n\n", data(id, n, making));
        out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    out.write_all(b"0\r\n\r\n")
}
