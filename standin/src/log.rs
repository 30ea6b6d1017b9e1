//! Stand-in for the platform's append-only log.

use crate::{
    FaultSwitch,
    port::{Port, port_methods},
};
use gooseberrytack::{
    http::Exchange,
    store::{Entry, Page},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Most bytes of records in one page.
const PAGE_BYTES: usize = 4 * 1024 * 1024;
/// Longest wait of a reader between two checks of the faults.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How a log behaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Most appends a second; further ones are refused with status 429.
    pub appends: u32,
    /// Most records kept in a stream.
    pub records: usize,
    /// Milliseconds for which a record is kept.
    pub age_ms: u64,
    /// Milliseconds that each append takes.
    pub append_ms: u64,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            appends: 400,
            records: usize::MAX,
            age_ms: u64::MAX,
            append_ms: 0,
        }
    }
}

/// A running log.
#[derive(Debug)]
pub struct LogServer {
    port: Port,
    store: Arc<Store>,
}

/// Another address of the same log with its own faults, so that one caller can be cut off alone.
#[derive(Debug)]
pub struct Endpoint(Port);

#[derive(Debug)]
struct Store {
    config: LogConfig,
    inner: Mutex<Inner>,
    grown: Condvar,
}

#[derive(Debug)]
struct Inner {
    streams: BTreeMap<String, Stream>,
    /// Appends that may still be taken now.
    tokens: f64,
    refilled: Instant,
    appends: u64,
}

#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest record kept.
    first: u64,
    kept: VecDeque<(Instant, Vec<u8>)>,
}

port_methods!(LogServer);

impl LogServer {
    /// Starts a log.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(config: LogConfig) -> Self {
        let addr = config.addr;
        let store = Arc::new(Store {
            inner: Mutex::new(Inner {
                streams: BTreeMap::new(),
                tokens: f64::from(config.appends),
                refilled: Instant::now(),
                appends: 0,
            }),
            config,
            grown: Condvar::new(),
        });
        let port = listen(addr, &store);
        Self { port, store }
    }

    /// Opens another address of the same log.
    pub fn endpoint(&self) -> Endpoint {
        Endpoint(listen(SocketAddr::from(([127, 0, 0, 1], 0)), &self.store))
    }

    /// Appends taken so far, over all streams.
    pub fn appends(&self) -> u64 {
        self.store.lock().appends
    }

    /// The records of `stream` that are kept.
    pub fn records(&self, stream: &str) -> Vec<Entry> {
        self.store.lock().page(stream, 0, usize::MAX).entries
    }

    /// Appends a record regardless of faults and of the append limit; returns its offset.
    pub fn put(&self, stream: &str, bytes: &[u8]) -> u64 {
        self.store.append(stream, bytes, false).unwrap_or_default()
    }

    /// Drops the records of `stream` below `offset`, as retention would.
    pub fn forget(&self, stream: &str, offset: u64) {
        let mut inner = self.store.lock();
        let stream = inner.streams.entry(stream.into()).or_default();
        while stream.first < offset && stream.kept.pop_front().is_some() {
            stream.first += 1;
        }
    }
}

impl Endpoint {
    /// Address listened on.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Base URL.
    pub fn url(&self) -> String {
        self.0.url()
    }

    /// The faults of this address.
    pub fn faults(&self) -> &FaultSwitch {
        &self.0.faults
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("log")
    }

    /// Appends a record; `None` if `limited` and over the append limit.
    fn append(&self, stream: &str, bytes: &[u8], limited: bool) -> Option<u64> {
        let mut inner = self.lock();
        if limited && !inner.take_token(f64::from(self.config.appends)) {
            return None;
        }
        inner.appends += 1;
        let stream = inner.streams.entry(stream.into()).or_default();
        stream.kept.push_back((Instant::now(), bytes.to_vec()));
        let offset = stream.first + stream.kept.len() as u64 - 1;
        stream.trim(&self.config);
        drop(inner);
        self.grown.notify_all();
        Some(offset)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration, faults: &FaultSwitch) -> Page {
        let end = Instant::now() + wait;
        let mut inner = self.lock();
        loop {
            if let Some(stream) = inner.streams.get_mut(stream) {
                stream.trim(&self.config);
            }
            let page = inner.page(stream, from, PAGE_BYTES);
            let left = end.saturating_duration_since(Instant::now());
            if !page.entries.is_empty() || left.is_zero() {
                return page;
            }
            let now = faults.get();
            if now.down || now.refuse || now.freeze {
                return page;
            }
            let waited = self.grown.wait_timeout(inner, left.min(CHECK_INTERVAL));
            inner = waited.expect("log").0;
        }
    }
}

impl Inner {
    fn take_token(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        let gained = (now - self.refilled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(rate);
        self.refilled = now;
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    fn page(&self, stream: &str, from: u64, limit: usize) -> Page {
        let Some(stream) = self.streams.get(stream) else {
            return Page::default();
        };
        let start = from.max(stream.first);
        let mut size = 0;
        let entries = stream
            .kept
            .iter()
            .enumerate()
            .skip((start - stream.first) as usize)
            .take_while(|(_, (_, bytes))| {
                let fits = size == 0 || size + bytes.len() <= limit;
                size += bytes.len();
                fits
            })
            .map(|(i, (_, bytes))| Entry {
                offset: stream.first + i as u64,
                bytes: bytes.clone(),
            })
            .collect();
        Page {
            first: stream.first,
            head: stream.first + stream.kept.len() as u64,
            entries,
        }
    }
}

impl Stream {
    fn trim(&mut self, config: &LogConfig) {
        let age = Duration::from_millis(config.age_ms);
        while let Some((at, _)) = self.kept.front() {
            if self.kept.len() <= config.records && at.elapsed() <= age {
                return;
            }
            self.kept.pop_front();
            self.first += 1;
        }
    }
}

fn listen(addr: SocketAddr, store: &Arc<Store>) -> Port {
    let store = store.clone();
    let faults = FaultSwitch::default();
    let switch = faults.clone();
    Port::start(addr, faults, move |exchange| {
        serve(&store, &switch, exchange)
    })
    .expect("the log's address is free")
}

fn serve(store: &Store, faults: &FaultSwitch, exchange: &mut Exchange) -> io::Result<()> {
    let head = &exchange.request.head;
    let stream = head.param("stream").unwrap_or_default();
    let number = |name| head.param(name).and_then(|v| v.parse::<u64>().ok());
    let body = match head.path.as_str() {
        "/append" => {
            std::thread::sleep(Duration::from_millis(store.config.append_ms));
            match store.append(&stream, &exchange.request.body, true) {
                Some(offset) => rmp_serde::to_vec(&offset),
                None => return exchange.send(429, "text/plain", b"over the append limit"),
            }
        }
        "/read" => {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let page = store.read(&stream, from, wait, faults);
            if !faults.admit(exchange) {
                return Ok(());
            }
            rmp_serde::to_vec(&page)
        }
        _ => return exchange.send(404, "text/plain", b"no such path"),
    };
    let body = body.map_err(io::Error::other)?;
    if faults.allow_answer(exchange) {
        exchange.send(200, "application/msgpack", &body)?;
    }
    Ok(())
}
