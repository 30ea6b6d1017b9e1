//! The platform's store: a log with keyed topics. It has one address for each machine, so that it can turn
//! single machines away.

use crate::util::{Message, answer, base64, listen, quote, random};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    ops::Bound,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const HISTORY: Duration = Duration::from_secs(20);
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Topic {
    first: u64,
    /// The history: when each record came, and its bytes.
    records: VecDeque<(Instant, Arc<[u8]>)>,
    /// Newest record of each key: its offset and its bytes, key included.
    newest: BTreeMap<Vec<u8>, (u64, Arc<[u8]>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Bytes of all records that are in the history or the newest of their key.
    stored: u64,
}

/// The store. `limit` is the size from which on appends receive 507.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    limit: u64,
    /// Machines that get 503 to each call.
    turned_away: Vec<AtomicBool>,
    /// Part of the appends, in percent, that get no answer and are carried out 1 to 6 s later.
    pub lost_percent: AtomicU64,
    pub lost: AtomicU64,
    pub refused_full: AtomicU64,
    pub refused_away: AtomicU64,
}

fn key_of(record: &[u8]) -> Option<(&[u8], &[u8])> {
    let (size, rest) = record.split_first()?;
    (rest.len() >= usize::from(*size)).then(|| rest.split_at(usize::from(*size)))
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

impl State {
    fn append(&mut self, name: &str, records: Vec<Arc<[u8]>>) -> (u64, u64) {
        let topic = self.topics.entry(name.into()).or_default();
        let offset = topic.end();
        for record in records {
            self.stored += record.len() as u64;
            if name.starts_with("keyed.") && let Some((key, value)) = key_of(&record) {
                let old = match value.is_empty() {
                    true => topic.newest.remove(key),
                    false => topic.newest.insert(key.to_vec(), (topic.end(), record.clone())),
                };
                // What has left the history is dropped with its key.
                if let Some((at, old)) = old && at < topic.first {
                    self.stored -= old.len() as u64;
                }
            }
            topic.records.push_back((Instant::now(), record));
        }
        (offset, topic.end())
    }

    /// Deletes the records that are older than the history.
    fn expire(&mut self) {
        for (name, topic) in &mut self.topics {
            while topic.records.front().is_some_and(|(at, _)| at.elapsed() > HISTORY) {
                let Some((_, record)) = topic.records.pop_front() else { break };
                let offset = topic.first;
                topic.first += 1;
                let is_newest = name.starts_with("keyed.")
                    && key_of(&record).is_some_and(|(k, _)| topic.newest.get(k).is_some_and(|n| n.0 == offset));
                if !is_newest {
                    self.stored -= record.len() as u64;
                }
            }
        }
    }
}

impl Store {
    /// Starts the store for `machines` machines; returns an address for each.
    pub fn start(machines: usize, limit: u64) -> io::Result<(Arc<Self>, Vec<SocketAddr>)> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            limit,
            turned_away: (0..machines).map(|_| AtomicBool::new(false)).collect(),
            lost_percent: AtomicU64::new(0),
            lost: AtomicU64::new(0),
            refused_full: AtomicU64::new(0),
            refused_away: AtomicU64::new(0),
        });
        let mut addrs = Vec::new();
        for machine in 0..machines {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addrs.push(listener.local_addr()?);
            let store = store.clone();
            listen(listener, move |request, out| store.answer(machine, request, out));
        }
        Ok((store, addrs))
    }

    /// Sets whether a machine gets 503 to each call.
    pub fn turn_away(&self, machine: usize, is_away: bool) {
        self.turned_away[machine].store(is_away, Ordering::Relaxed);
    }

    pub fn stored(&self) -> u64 {
        self.state.lock().expect("store").stored
    }

    /// Bytes and number of the newest records of each topic.
    pub fn sizes(&self) -> Vec<(String, u64, usize)> {
        let state = self.state.lock().expect("store");
        let size = |t: &Topic| t.newest.values().map(|(_, r)| r.len() as u64).sum();
        let mut all: Vec<_> = state.topics.iter().map(|(n, t)| (n.clone(), size(t), t.newest.len())).collect();
        all.sort();
        all
    }

    /// Writes a record of the operator or of a server.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.state.lock().expect("store").append(topic, vec![record.into()]);
        self.changed.notify_all();
    }

    fn answer(self: &Arc<Self>, machine: usize, request: &Message, out: &mut TcpStream) -> io::Result<bool> {
        if self.turned_away[machine].load(Ordering::Relaxed) {
            self.refused_away.fetch_add(1, Ordering::Relaxed);
            answer(out, 503, &[], b"")?;
            return Ok(true);
        }
        let topic = request.query("topic");
        match (request.method(), request.path()) {
            ("POST", "/gooseberrytack/log-append") => return self.append(&topic, &request.body, out),
            ("GET", "/gooseberrytack/log-read") => self.read(machine, &topic, request, out)?,
            ("GET", "/gooseberrytack/log-newest") => self.newest(&topic, &request.query("after"), out)?,
            _ => answer(out, 400, &[], b"not known to this stand-in")?,
        }
        Ok(true)
    }

    /// Answers an append; returns whether the connection stays open.
    fn append(self: &Arc<Self>, topic: &str, mut body: &[u8], out: &mut TcpStream) -> io::Result<bool> {
        if matches!(topic, "keyed.op" | "keyed.servers") {
            answer(out, 403, &[], b"")?;
            return Ok(true);
        }
        let mut records: Vec<Arc<[u8]>> = Vec::new();
        let mut total = 0;
        while let Some((size, rest)) = body.split_first_chunk::<4>() {
            let size = u32::from_be_bytes(*size) as usize;
            total += size;
            if size > RECORD_BYTES || total > CALL_BYTES || rest.len() < size {
                answer(out, 413, &[], b"")?;
                return Ok(true);
            }
            records.push(rest[..size].into());
            body = &rest[size..];
        }
        if random() % 100 < self.lost_percent.load(Ordering::Relaxed) {
            self.lost.fetch_add(1, Ordering::Relaxed);
            let (store, topic) = (self.clone(), topic.to_string());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(1000 + random() % 5000));
                store.state.lock().expect("store").append(&topic, records);
                store.changed.notify_all();
            });
            return Ok(false);
        }
        let mut state = self.state.lock().expect("store");
        state.expire();
        if state.stored >= self.limit {
            drop(state);
            self.refused_full.fetch_add(1, Ordering::Relaxed);
            answer(out, 507, &[], b"")?;
            return Ok(true);
        }
        let (offset, end) = state.append(topic, records);
        drop(state);
        self.changed.notify_all();
        let text = format!("{{\"offset\":{offset},\"end\":{end}}}");
        answer(out, 200, &[("Content-Type", "application/json")], text.as_bytes())?;
        Ok(true)
    }

    fn read(&self, machine: usize, topic: &str, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let from: u64 = request.query("from").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("wait_ms").parse().unwrap_or(0));
        let most = 1024 * request.query("max_kb").parse().unwrap_or(1024usize);
        let until = Instant::now() + wait;
        let mut state = self.state.lock().expect("store");
        loop {
            state.expire();
            let end = state.topics.get(topic).map_or(0, Topic::end);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
        let empty = Topic::default();
        let found = state.topics.get(topic).unwrap_or(&empty);
        if from < found.first {
            let text = format!("{{\"first\":{}}}", found.first);
            drop(state);
            return answer(out, 410, &[], text.as_bytes());
        }
        let mut body = found.end().to_be_bytes().to_vec();
        body.extend_from_slice(&found.first.to_be_bytes());
        for (_, record) in found.records.iter().skip((from - found.first) as usize) {
            if body.len() > 16 && body.len() + record.len() > most {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        drop(state);
        // A call that was waiting is turned away too.
        if self.turned_away[machine].load(Ordering::Relaxed) {
            return answer(out, 503, &[], b"");
        }
        answer(out, 200, &[], &body)
    }

    fn newest(&self, topic: &str, after: &str, out: &mut TcpStream) -> io::Result<()> {
        let state = self.state.lock().expect("store");
        let empty = Topic::default();
        let found = state.topics.get(topic).unwrap_or(&empty);
        let from = match after.is_empty() {
            true => Bound::Unbounded,
            false => Bound::Excluded(decode(after)),
        };
        let mut rest = found.newest.range((from, Bound::Unbounded)).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, (offset, record))) = rest.peek() {
            if items.len() >= PAGE_KEYS || (bytes > 0 && bytes + record.len() > PAGE_BYTES) {
                break;
            }
            bytes += record.len();
            let value = key_of(record).map_or(&[][..], |(_, v)| v);
            let key = quote(&String::from_utf8_lossy(key));
            items.push(format!("{{\"key\":{key},\"value\":\"{}\",\"offset\":{offset}}}", base64(value)));
            rest.next();
        }
        let has_more = rest.peek().is_some();
        let text = format!("{{\"items\":[{}],\"has_more\":{has_more},\"end\":{}}}", items.join(","), found.end());
        drop(state);
        answer(out, 200, &[("Content-Type", "application/json")], text.as_bytes())
    }
}

fn decode(text: &str) -> Vec<u8> {
    let (bytes, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[i], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (byte, _) => {
                out.push(byte);
                i += 1;
            }
        }
    }
    out
}
