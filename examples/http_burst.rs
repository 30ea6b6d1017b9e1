//! Compares HTTP servers when all callers connect at once.
//!
//! `http_burst SERVER CALLERS` with SERVER out of `own`, `touche` and `tiny_http`: the callers
//! connect at the same moment; each reads a stream of 50 events, 64 ms apart, over two hops of that
//! server. Then idle keep-alive connections are opened and one more request is sent. All of it runs
//! in one process; `docs/HTTP.md` tells how each hop gets a process of its own.

use gooseberrytack::http::{Bounds, Client, Exchange, Server, Stream, Timeouts};
use socket2::{Domain, Socket, Type};
use std::{
    env, fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::ExitCode,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

/// Events in one stream.
const EVENTS: usize = 50;
/// Time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(64);
/// Idle connections kept open while one more request is sent.
const IDLE_CONNECTIONS: usize = 256;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Stack of a caller's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Pending connections of each listener.
const BACKLOG: i32 = 4096;
/// Threads of touche's pool.
const POOL_THREADS: usize = 4096;

/// Produces the events of one stream: the engine itself or a hop that relays them.
#[derive(Clone)]
enum Source {
    Engine,
    Hop(Client, SocketAddr),
}

/// Iterator over the events of one stream.
enum Events {
    Generated(usize),
    Relayed(Box<Stream>),
}

impl Source {
    fn open(&self) -> Events {
        let (client, addr) = match self {
            Source::Engine => return Events::Generated(0),
            Source::Hop(client, addr) => (client, addr),
        };
        let limits = Timeouts::within(TIMEOUT);
        let url = format!("http://{addr}/stream");
        let stream = client.stream("GET", &url, &[], &[], limits);
        Events::Relayed(Box::new(stream.expect("the inner hop answers")))
    }
}

impl Iterator for Events {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        match self {
            Events::Generated(EVENTS) => None,
            Events::Generated(made) => {
                if *made > 0 {
                    thread::sleep(EVENT_INTERVAL);
                }
                *made += 1;
                Some(format!("data: event {made}\n").into_bytes())
            }
            Events::Relayed(stream) => {
                let line = stream.line(1024).ok()??;
                Some((line + "\n").into_bytes())
            }
        }
    }
}

fn listener() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&addr.into()).expect("free port");
    socket.listen(BACKLOG).expect("listener");
    socket.into()
}

fn start_own(source: Source) -> SocketAddr {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(addr, Bounds::default(), move |exchange| {
        let _ = answer_own(&source, exchange);
    });
    let server = Box::leak(Box::new(server.expect("free port")));
    server.addr()
}

fn answer_own(source: &Source, exchange: &mut Exchange) -> io::Result<()> {
    if exchange.request.head.path == "/ping" {
        return exchange.send(200, "text/plain", b"pong");
    }
    exchange.begin(200, &[])?;
    for event in source.open() {
        exchange.write(&event)?;
    }
    exchange.end()
}

fn start_touche(source: Source) -> SocketAddr {
    let listener = listener();
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let accept = || listener.accept().map(|(conn, _)| conn);
        let conns = std::iter::from_fn(|| accept().ok());
        let server = touche::Server::builder()
            .max_threads(POOL_THREADS)
            .nodelay(true)
            .from_connections(conns);
        let _ = server.serve(move |request: touche::Request<touche::Body>| {
            let body = if request.uri().path() == "/ping" {
                touche::Body::from("pong")
            } else {
                touche::Body::from_iter(source.open())
            };
            touche::Response::builder().status(200).body(body)
        });
    });
    addr
}

fn start_tiny(source: Source) -> SocketAddr {
    let server = tiny_http::Server::from_listener(listener(), None).expect("server");
    let addr = server.server_addr().to_ip().expect("address");
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let source = source.clone();
            thread::spawn(move || answer_tiny(&source, request));
        }
    });
    addr
}

fn answer_tiny(source: &Source, request: tiny_http::Request) -> io::Result<()> {
    if request.url() == "/ping" {
        return request.respond(tiny_http::Response::from_string("pong"));
    }
    let mut out = request.into_writer();
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    for event in source.open() {
        write!(out, "{:x}\r\n", event.len())?;
        out.write_all(&event)?;
        out.write_all(b"\r\n")?;
        out.flush()?;
    }
    out.write_all(b"0\r\n\r\n")?;
    out.flush()
}

/// One caller: time to the first event, and whether all events came.
fn call(addr: SocketAddr) -> io::Result<(Duration, bool)> {
    let began = Instant::now();
    let mut conn = TcpStream::connect(addr)?;
    conn.set_read_timeout(Some(TIMEOUT))?;
    conn.write_all(b"GET /stream HTTP/1.1\r\nhost: burst\r\n\r\n")?;
    let mut first = None;
    let mut count = 0;
    for line in BufReader::with_capacity(1024, &conn).lines() {
        let line = line?;
        if line.starts_with("data:") {
            first.get_or_insert_with(|| began.elapsed());
            count += 1;
        }
        if line == "0" {
            break;
        }
    }
    Ok((first.unwrap_or(TIMEOUT), count == EVENTS))
}

fn ping(addr: SocketAddr) -> io::Result<TcpStream> {
    let mut conn = TcpStream::connect(addr)?;
    conn.set_read_timeout(Some(TIMEOUT))?;
    conn.write_all(b"GET /ping HTTP/1.1\r\nhost: burst\r\n\r\n")?;
    let mut got = [0; 512];
    let mut text = Vec::new();
    while !text.ends_with(b"pong") {
        let n = conn.read(&mut got)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        text.extend_from_slice(&got[..n]);
    }
    Ok(conn)
}

/// Opens connections that stay idle; returns how many were answered, and the time of one more
/// request, `TIMEOUT` if it was not answered.
fn idle(addr: SocketAddr) -> (usize, Duration) {
    let kept: Vec<_> = (0..IDLE_CONNECTIONS)
        .map_while(|_| ping(addr).ok())
        .collect();
    let began = Instant::now();
    let answered = ping(addr).is_ok();
    (kept.len(), if answered { began.elapsed() } else { TIMEOUT })
}

/// Highest resident memory of this process so far in MB.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1024
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["hop", server] => serve(server, Source::Engine),
        ["hop", server, inner] => {
            let inner = inner.parse().expect("IP:PORT of the inner hop");
            serve(server, Source::Hop(Client::new(), inner))
        }
        ["call", server, callers, addr] => {
            let addr = addr.parse().expect("IP:PORT of the outer hop");
            measure(server, callers.parse().expect("a number"), addr)
        }
        [server, callers] => {
            let engine = start(server, Source::Engine);
            let entry = start(server, Source::Hop(Client::new(), engine));
            measure(server, callers.parse().expect("a number"), entry)
        }
        _ => {
            eprintln!(
                "usage: http_burst SERVER CALLERS | hop SERVER [ADDR] | call SERVER CALLERS ADDR"
            );
            ExitCode::from(2)
        }
    }
}

fn start(server: &str, source: Source) -> SocketAddr {
    match server {
        "touche" => start_touche(source),
        "tiny_http" => start_tiny(source),
        _ => start_own(source),
    }
}

fn serve(server: &str, source: Source) -> ExitCode {
    println!("{}", start(server, source));
    let mut line = String::new();
    let _ = io::stdin().read_line(&mut line);
    println!("server={server} memory_mb={}", peak_memory());
    ExitCode::SUCCESS
}

fn measure(server: &str, callers: usize, entry: SocketAddr) -> ExitCode {
    let results = burst(entry, callers);
    let memory = peak_memory();
    let (kept, extra) = idle(entry);
    report(server, callers, &results, memory, kept, extra);
    ExitCode::SUCCESS
}

fn burst(addr: SocketAddr, callers: usize) -> Vec<io::Result<(Duration, bool)>> {
    let barrier = Arc::new(Barrier::new(callers));
    let threads: Vec<_> = (0..callers)
        .map(|_| {
            let barrier = barrier.clone();
            let run = move || {
                barrier.wait();
                call(addr)
            };
            thread::Builder::new().stack_size(STACK_BYTES).spawn(run)
        })
        .collect();
    let joined = threads.into_iter().map(|t| t.expect("thread").join());
    joined.map(|r| r.expect("caller")).collect()
}

fn report(
    server: &str,
    callers: usize,
    results: &[io::Result<(Duration, bool)>],
    memory: u64,
    kept: usize,
    extra: Duration,
) {
    let whole = results
        .iter()
        .filter(|r| matches!(r, Ok((_, true))))
        .count();
    let mut first: Vec<Duration> = results
        .iter()
        .map(|r| r.as_ref().map_or(TIMEOUT, |(first, _)| *first))
        .collect();
    first.sort();
    let at = |percent: usize| first[(first.len() - 1) * percent / 100].as_millis();
    let over = |ms| first.iter().filter(|f| f.as_millis() > ms).count();
    println!(
        "server={server} callers={callers} whole={whole} first_p50_ms={} first_p99_ms={} \
         first_max_ms={} over_100ms={} over_1s={} memory_mb={memory} idle_kept={kept} \
         next_ms={}",
        at(50),
        at(99),
        at(100),
        over(100),
        over(1000),
        extra.as_millis()
    );
}
