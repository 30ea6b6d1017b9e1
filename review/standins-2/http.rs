//! A small HTTP/1.1 server and client for the stand-ins, on the standard library alone.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request with its body; names of header fields in lower case.
pub struct Request {
    pub path: String,
    pub query: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", |v| v)
    }

    pub fn param(&self, name: &str) -> &str {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map_or("", |(_, v)| v)
    }
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_fields(input: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(bad("end in a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(fields);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("field"))?;
        fields.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

fn read_body(
    input: &mut impl BufRead,
    fields: &BTreeMap<String, String>,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(size) = fields.get("content-length") {
        body.resize(size.parse().map_err(|_| bad("length"))?, 0);
        input.read_exact(&mut body)?;
    } else if fields.get("transfer-encoding").is_some_and(|c| c == "chunked") {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad("chunk"))?;
            let start = body.len();
            body.resize(start + size, 0);
            input.read_exact(&mut body[start..])?;
            let mut end = String::new();
            input.read_line(&mut end)?;
            if size == 0 {
                break;
            }
        }
    } else if to_end {
        input.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Serves `addr` with a thread for each connection. `handle` writes the whole answer; the connection is kept if it
/// returns true.
pub fn serve<H>(addr: SocketAddr, handle: H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let started = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || drop(connection(stream, &*handle)));
            drop(started);
        }
    });
    Ok(())
}

fn connection<H>(mut stream: TcpStream, handle: &H) -> io::Result<()>
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let target = words.nth(1).ok_or_else(|| bad("target"))?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_string(), query.to_string());
        let fields = read_fields(&mut input)?;
        let body = read_body(&mut input, &fields, false)?;
        let request = Request {
            path,
            query,
            fields,
            body,
        };
        if !handle(&request, &mut stream)? {
            return Ok(());
        }
    }
}

/// Writes a whole answer.
pub fn answer(
    out: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (text + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// Sends a request on a new connection and reads the whole answer, within `limit`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = end.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    let mut bytes = (text + "Connection: close\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    input.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| bad("no status"))?;
    let fields = read_fields(&mut input)?;
    let body = read_body(&mut input, &fields, true)?;
    Ok((status, body))
}
