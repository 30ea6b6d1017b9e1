//! JSON, base64, HTTP messages and small helpers, with the standard library alone.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(t) => t.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(t) => t,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(n) => *n,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(l) => l,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let mut p = Parser { bytes: text.as_bytes(), at: 0 };
        let value = p.value()?;
        p.space();
        (p.at == p.bytes.len()).then_some(value)
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.eat("null").map(|()| Json::Null),
            b't' => self.eat("true").map(|()| Json::Bool(true)),
            b'f' => self.eat("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    self.space();
                    if self.eat("]").is_some() {
                        return Some(Json::List(list));
                    }
                    if !list.is_empty() {
                        self.eat(",")?;
                    }
                    list.push(self.value()?);
                }
            }
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                loop {
                    self.space();
                    if self.eat("}").is_some() {
                        return Some(Json::Table(table));
                    }
                    if !table.is_empty() {
                        self.eat(",")?;
                        self.space();
                    }
                    let key = self.string()?;
                    self.space();
                    self.eat(":")?;
                    table.insert(key, self.value()?);
                }
            }
            _ => {
                let from = self.at;
                while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat("\"")?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let kind = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match kind {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend_from_slice(c.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                _ => out.push(byte),
            }
        }
    }
}

/// A JSON string literal.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out += "\\\"",
            '\\' => out += "\\\\",
            c if (c as u32) < 32 => out += &format!("\\u{:04x}", c as u32),
            c => out.push(c),
        }
    }
    out + "\""
}

pub fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = Vec::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let n = group.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - group.len()));
        for i in 0..4 {
            out.push(match i <= group.len() {
                true => SET[(n >> (18 - 6 * i) & 63) as usize],
                false => b'=',
            });
        }
    }
    String::from_utf8(out).unwrap_or_default()
}

/// A request or an answer. Names of fields keep their case; `raw` has the head as received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub raw: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn all(&self, name: &str) -> Vec<&str> {
        let named = self.fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.as_str()).collect()
    }

    pub fn field(&self, name: &str) -> &str {
        self.all(name).first().copied().unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, q)| q);
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let found = pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_string()).next();
        found.unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = Vec::new();
    from.read_until(b'\n', &mut bytes)?;
    if bytes.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    String::from_utf8(bytes).map_err(io::Error::other)
}

/// Reads a message; `None` at an orderly end before its first byte. `InvalidData` if it is framed twice.
pub fn read_message(from: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    if from.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = Message { start: line(from)?, ..Message::default() };
    message.raw = message.start.clone() + "\n";
    loop {
        let text = line(from)?;
        if text.is_empty() {
            break;
        }
        message.raw += &format!("{text}\n");
        let (name, value) = text.split_once(':').ok_or(io::ErrorKind::InvalidInput)?;
        message.fields.push((name.to_string(), value.trim().to_string()));
    }
    let mut lengths: Vec<String> = message.all("content-length").iter().map(|l| l.to_string()).collect();
    lengths.dedup();
    let is_chunked = message.field("transfer-encoding").eq_ignore_ascii_case("chunked");
    if lengths.len() > 1 || (is_chunked && !lengths.is_empty()) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if is_chunked {
        loop {
            let size = line(from)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16).map_err(io::Error::other)?;
            let at = message.body.len();
            message.body.resize(at + size, 0);
            from.read_exact(&mut message.body[at..])?;
            line(from)?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = lengths.first() {
        message.body = vec![0; length.parse().map_err(io::Error::other)?];
        from.read_exact(&mut message.body)?;
    } else if is_answer {
        from.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn answer(to: &mut TcpStream, status: u16, fields: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        out += &format!("{name}: {value}\r\n");
    }
    let mut out = (out + "\r\n").into_bytes();
    out.extend_from_slice(body);
    to.write_all(&out)
}

/// Serves each connection by a thread. `serve` returns whether the connection stays open.
pub fn listen<F>(listener: TcpListener, serve: F)
where
    F: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let _ = conn.set_nodelay(true);
                let Ok(mut out) = conn.try_clone() else { return };
                let mut input = BufReader::new(conn);
                loop {
                    match read_message(&mut input, false) {
                        Ok(Some(request)) => {
                            let stays = serve(&request, &mut out).unwrap_or(false);
                            if !stays || request.field("connection").eq_ignore_ascii_case("close") {
                                let _ = out.shutdown(std::net::Shutdown::Both);
                                return;
                            }
                        }
                        Ok(None) => return,
                        Err(e) => {
                            if e.kind() == io::ErrorKind::InvalidData {
                                let _ = answer(&mut out, 400, &[("Connection", "close")], b"framed twice");
                            }
                            let _ = out.shutdown(std::net::Shutdown::Both);
                            return;
                        }
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let conn = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    conn.set_nodelay(true)?;
    conn.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    (&conn).write_all(head.as_bytes())?;
    (&conn).write_all(body)?;
    let got = read_message(&mut BufReader::new(&conn), true)?;
    got.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Pseudo-random numbers; the seed differs between runs.
pub fn random() -> u64 {
    static STATE: Mutex<u64> = Mutex::new(0);
    let mut state = STATE.lock().expect("random");
    if *state == 0 {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        *state = since.map_or(1, |d| d.as_nanos() as u64) ^ u64::from(std::process::id()) << 32;
    }
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// An id as clients and servers have them.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// The lines of `record.txt`, also shown on standard output.
pub struct Record {
    file: Mutex<std::fs::File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(std::fs::File::create(path)?), start: Instant::now() })
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes what was sent, answered or run, with the seconds since the start.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }

    /// Notes and prints a line.
    pub fn say(&self, text: &str) {
        // Nobody may be reading.
        let _ = writeln!(io::stdout(), "{text}");
        self.note(text);
    }
}

