//! Client and server end a call after a bounded number of bytes when the other side sends without end.

use gooseberrytack::http::{Bounds, Client, Server, Timeouts};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time limits of a call; a test that reaches them has failed.
const LIMITS: Timeouts = Timeouts {
    connect: Duration::from_secs(30),
    quiet: Duration::from_secs(30),
    total: Duration::from_secs(30),
    body: u64::MAX,
};
/// Most bytes that a call may take, including those in socket buffers.
const MOST: usize = 16 << 20;
/// Most bytes of an answer that the client takes.
const REPLY: u64 = 4 << 20;
/// Bytes after which the server stops sending.
const GIVE_UP: usize = 512 << 20;
/// Least number of bytes of one write.
const WRITE_SIZE: usize = 4 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Endless answers: name, first bytes, bytes repeated without end.
const KINDS: [(&str, &str, &str); 12] = [
    ("bytes", "", "x"),
    ("status line", "HTTP/1.1 200 OK", "x"),
    ("field", "HTTP/1.1 200 OK\r\nf: ", "x"),
    ("fields", "HTTP/1.1 200 OK\r\n", "f: x\r\n"),
    ("interim answers", "", "HTTP/1.1 103 C\r\n\r\n"),
    ("continue answers", "", "HTTP/1.1 100 C\r\n\r\n"),
    ("empty lines", "", "\r\n"),
    ("chunks", CHUNKED, "1\r\nx\r\n"),
    ("size line", CHUNKED, "0"),
    (
        "chunk extension",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "x",
    ),
    (
        "trailers",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "f: x\r\n",
    ),
    ("no length", "HTTP/1.1 200 OK\r\n\r\n", "x"),
];

/// Starts a server that answers with `first` and then `again` without end. Returns its address and the
/// number of bytes that it could send.
fn start(first: &'static str, again: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("address");
    let sent: Arc<AtomicUsize> = Arc::default();
    let count = sent.clone();
    thread::spawn(move || {
        for conn in listener.incoming().flatten() {
            let count = count.clone();
            thread::spawn(move || answer(conn, first, again, &count));
        }
    });
    (addr, sent)
}

fn answer(mut conn: TcpStream, first: &str, again: &str, sent: &AtomicUsize) {
    let mut piece = [0; WRITE_SIZE];
    if !matches!(conn.read(&mut piece), Ok(n) if n > 0) {
        return;
    }
    let again = again.repeat(WRITE_SIZE.div_ceil(again.len()));
    let _ = conn.write_all(first.as_bytes());
    while sent.load(Ordering::Relaxed) < GIVE_UP {
        match conn.write(again.as_bytes()) {
            Ok(size) => sent.fetch_add(size, Ordering::Relaxed),
            Err(_) => return,
        };
    }
}

#[test]
fn call_endless_is_cut() {
    for (kind, first, again) in KINDS {
        let (addr, sent) = start(first, again);
        let url = format!("http://{addr}/a");
        let client = Client::bounded(REPLY, usize::MAX);
        let result = client.call("GET", &url, &[], &[], LIMITS);
        drop(client);
        let error = result.expect_err(kind);
        assert!(error.sent, "{kind}: {error:?}");
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MOST, "{kind}: {sent} bytes, {error:?}");
    }
}

#[test]
fn stream_endless_is_cut() {
    for (kind, first, again) in KINDS {
        let (addr, sent) = start(first, again);
        let url = format!("http://{addr}/a");
        let stream = Client::bounded(REPLY, usize::MAX).stream("GET", &url, &[], &[], LIMITS);
        if let Ok(mut stream) = stream {
            stream.line(64).expect_err(kind);
        }
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent < MOST, "{kind}: {sent} bytes");
    }
}

/// The bound holds for each answer on a connection, not for all together.
#[test]
fn answers_in_turn_have_room_each() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(addr, Bounds::default(), |exchange| {
        let _ = exchange.send(200, "text/plain", &[b'x'; 700]);
    });
    let server = server.expect("free port");
    let url = format!("http://{}/a", server.addr());
    let client = Client::bounded(1000, usize::MAX);
    for _ in 0..5 {
        let reply = client
            .call("GET", &url, &[], &[], LIMITS)
            .expect("answered");
        assert_eq!(reply.body.len(), 700);
    }
    let client = Client::bounded(700, usize::MAX);
    let error = client.call("GET", &url, &[], &[], LIMITS);
    assert!(error.expect_err("too long").sent);
}

const POST: &str = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";

/// Endless requests: name, first bytes, bytes repeated without end.
const REQUESTS: [(&str, &str, &str); 9] = [
    ("bytes", "", "x"),
    ("request line", "GET /", "x"),
    ("field", "GET / HTTP/1.1\r\nf: ", "x"),
    ("fields", "GET / HTTP/1.1\r\n", "f: x\r\n"),
    ("empty lines", "", "\r\n"),
    ("chunks", POST, "1\r\nx\r\n"),
    ("size line", POST, "0"),
    (
        "chunk extension",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1;",
        "x",
    ),
    (
        "trailers",
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
        "f: x\r\n",
    ),
];

/// The server ends an endless request after a bounded number of bytes, and still serves others.
#[test]
fn request_endless_is_refused() {
    let bounds = Bounds {
        read: Duration::from_secs(30),
        body: 64 * 1024,
        ..Bounds::default()
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(addr, bounds, |exchange| {
        let _ = exchange.send(200, "text/plain", b"x");
    });
    let server = server.expect("free port");
    for (kind, first, again) in REQUESTS {
        let mut conn = TcpStream::connect(server.addr()).expect("a server");
        let again = again.repeat(WRITE_SIZE.div_ceil(again.len()));
        let mut sent = 0;
        let _ = conn.write_all(first.as_bytes());
        while let Ok(size) = conn.write(again.as_bytes()) {
            sent += size;
            assert!(sent < MOST, "{kind}: {sent} bytes");
        }
    }
    let url = format!("http://{}/a", server.addr());
    let reply = Client::new().call("GET", &url, &[], &[], LIMITS);
    assert_eq!(reply.expect("answered").status, 200);
}
