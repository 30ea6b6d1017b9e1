//! The platform's store: a log with keyed topics, by PROTOCOL.md. Kinder than the page: no limit of calls.

use crate::http::{self, Request, answer};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items and bytes in an answer of `log-newest`.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Default)]
struct Topic {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    /// Offset and value of the newest record of each key.
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    /// Bytes of the newest records of all keys, which are retained for good.
    stored: usize,
    /// Appends that were answered with 507.
    full: u64,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    history: Duration,
    /// Bytes from which appends are answered with 507.
    most: usize,
    /// How many in a hundred appends get no answer and are done 1 to 6 s later.
    lost: AtomicU64,
    /// Such appends so far, and state of the numbers drawn for them.
    late: AtomicU64,
    drawn: AtomicU64,
}

impl Store {
    pub fn start(addr: SocketAddr, history: Duration, most: usize) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            history,
            most,
            lost: AtomicU64::new(0),
            late: AtomicU64::new(0),
            drawn: AtomicU64::new(0x2545_F491_4F6C_DD1D),
        });
        let inner = store.clone();
        http::serve(addr, move |request, out| Self::serve(&inner, request, out))?;
        let inner = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(200));
                inner.expire();
            }
        });
        Ok(store)
    }

    /// Bytes that are retained for good, and the number of appends that were answered with 507.
    pub fn stored(&self) -> (usize, u64) {
        let state = self.state.lock().unwrap();
        (state.stored, state.full)
    }

    /// Loses the answers of so many in a hundred appends, which are done 1 to 6 s later.
    pub fn lose(&self, percent: u64) {
        self.lost.store(percent, Ordering::Relaxed);
    }

    /// Number of appends whose answers were lost.
    pub fn late(&self) -> u64 {
        self.late.load(Ordering::Relaxed)
    }

    /// A drawn number below `end` (xorshift).
    fn draw(&self, end: u64) -> u64 {
        let mut x = self.drawn.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.drawn.store(x, Ordering::Relaxed);
        x % end
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> u64 {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let mut stored = state.stored as isize;
        let topic = state.topics.entry(topic.into()).or_default();
        let offset = topic.first + topic.records.len() as u64;
        for (record, at) in records.into_iter().zip(offset..) {
            let size = usize::from(record[0]);
            let (key, value) = (record[1..=size].to_vec(), record[1 + size..].to_vec());
            stored += (key.len() + value.len()) as isize;
            let old = match value.is_empty() {
                true => topic.newest.remove(&key),
                false => topic.newest.insert(key.clone(), (at, value)),
            };
            stored -= old.map_or(0, |(_, v)| (v.len() + key.len()) as isize);
            topic.records.push_back((now, record));
        }
        state.stored = stored.max(0) as usize;
        self.changed.notify_all();
        offset
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        for topic in state.topics.values_mut() {
            while topic.records.front().is_some_and(|(at, _)| at.elapsed() > self.history) {
                topic.records.pop_front();
                topic.first += 1;
            }
        }
    }

    fn serve(self: &Arc<Self>, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        thread::sleep(ANSWER_TIME);
        let topic = request.param("topic");
        match request.path.rsplit('/').next().unwrap_or("") {
            "log-append" if self.draw(100) < self.lost.load(Ordering::Relaxed) => {
                return self.append_late(topic, &request.body);
            }
            "log-append" => self.serve_append(topic, &request.body, out)?,
            "log-read" => self.serve_read(topic, request, out)?,
            "log-newest" => self.serve_newest(topic, request.param("after"), out)?,
            _ => answer(out, 404, &[], b"")?,
        }
        Ok(true)
    }

    /// Appends 1 to 6 s later. The connection returns nothing further.
    fn append_late(self: &Arc<Self>, topic: &str, body: &[u8]) -> io::Result<bool> {
        self.late.fetch_add(1, Ordering::Relaxed);
        let wait = Duration::from_millis(1000 + self.draw(5000));
        if let Some(records) = split(body) {
            let (store, topic) = (self.clone(), topic.to_string());
            thread::spawn(move || {
                thread::sleep(wait);
                store.append(&topic, records);
            });
        }
        thread::sleep(Duration::from_secs(10));
        Ok(false)
    }

    fn serve_append(&self, topic: &str, body: &[u8], out: &mut TcpStream) -> io::Result<()> {
        let Some(records) = split(body) else {
            return answer(out, 400, &[], b"record");
        };
        if body.len() > 2_097_152 {
            return answer(out, 413, &[], b"call");
        }
        {
            let mut state = self.state.lock().unwrap();
            if state.stored + body.len() > self.most {
                state.full += 1;
                return answer(out, 507, &[], b"full");
            }
        }
        let count = records.len() as u64;
        let offset = self.append(topic, records);
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", offset + count);
        answer(out, 200, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn serve_read(&self, name: &str, request: &Request, out: &mut TcpStream) -> io::Result<()> {
        let from: u64 = request.param("from").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.param("wait_ms").parse().unwrap_or(0));
        let most = 1024 * request.param("max_kb").parse().unwrap_or(1024);
        let is_empty = |state: &mut State| {
            let topic = state.topics.get(name);
            topic.is_none_or(|t| t.first + t.records.len() as u64 <= from && t.first <= from)
        };
        let state = self.state.lock().unwrap();
        let (state, _) = self.changed.wait_timeout_while(state, wait, is_empty).unwrap();
        let Some(topic) = state.topics.get(name) else {
            drop(state);
            return answer(out, 200, &[], &[0; 16]);
        };
        if from < topic.first {
            let body = format!("{{\"first\":{}}}", topic.first);
            drop(state);
            return answer(out, 410, &[], body.as_bytes());
        }
        let end = topic.first + topic.records.len() as u64;
        let mut body = end.to_be_bytes().to_vec();
        body.extend_from_slice(&topic.first.to_be_bytes());
        for (_, record) in topic.records.iter().skip((from - topic.first) as usize) {
            if body.len() > 16 && body.len() + record.len() > most {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        drop(state);
        answer(out, 200, &[("Content-Type", "application/octet-stream")], &body)
    }

    fn serve_newest(&self, name: &str, after: &str, out: &mut TcpStream) -> io::Result<()> {
        let after = after.as_bytes();
        let (mut body, mut count, mut has_more, mut end) = (String::new(), 0, false, 0);
        {
            let state = self.state.lock().unwrap();
            if let Some(topic) = state.topics.get(name) {
                end = topic.first + topic.records.len() as u64;
                for (key, (offset, value)) in topic.newest.range(after.to_vec()..) {
                    if key == after {
                        continue;
                    }
                    if count == PAGE_ITEMS || body.len() > PAGE_BYTES {
                        has_more = true;
                        break;
                    }
                    let key = String::from_utf8_lossy(key);
                    let comma = if count > 0 { "," } else { "" };
                    let value = base64(value);
                    body += &format!(
                        "{comma}{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
                    );
                    count += 1;
                }
            }
        }
        let body = format!("{{\"items\":[{body}],\"has_more\":{has_more},\"end\":{end}}}");
        answer(out, 200, &[("Content-Type", "application/json")], body.as_bytes())
    }
}

/// The records of an append; none if one of them is invalid.
fn split(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut rest = body;
    while let Some((size, tail)) = rest.split_first_chunk::<4>() {
        let size = u32::from_be_bytes(*size) as usize;
        if size > 262_144 || size > tail.len() {
            return None;
        }
        records.push(tail[..size].to_vec());
        rest = &tail[size..];
    }
    Some(records)
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for i in 0..4 {
            let letter = LETTERS[(n >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= part.len() { letter.into() } else { '=' });
        }
    }
    text
}
