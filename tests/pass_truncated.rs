//! Which ends of a connection count as a truncated response of the server.

use gooseberrytack::pass::{Conn, ReadError};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(30);

/// A server that answers one request with `answer` and closes the connection.
fn start(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a connection");
        let _ = conn.read(&mut [0; 1024]);
        let _ = conn.write_all(answer.as_bytes());
    });
    addr
}

/// Reads the whole answer; returns the connection and whether the answer ended well.
fn read(answer: &'static str, is_closed: bool) -> (Conn, bool) {
    let mut conn = Conn::open(start(answer), LIMIT).expect("a server");
    conn.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"")
        .expect("sent");
    if is_closed {
        conn.closer().close();
    }
    let mut read = conn.head(LIMIT).map(|_| true);
    while matches!(read, Ok(true)) {
        read = conn.read(LIMIT, &mut Vec::new());
    }
    assert!(!matches!(read, Err(ReadError::TimedOut)));
    (conn, read.is_ok())
}

#[test]
fn is_truncated_if_the_server_ends_early() {
    // Guards against a server that crashed and gets its full rate when it is back.
    for answer in [
        "",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
    ] {
        let (conn, is_whole) = read(answer, false);
        assert!(conn.is_truncated() && !is_whole, "{answer:?}");
    }
}

#[test]
fn is_not_truncated_if_whole_or_invalid_or_closed_by_this_host() {
    // Guards against limits on a sound server.
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\nab",
    ] {
        assert!(!read(answer, false).0.is_truncated(), "{answer:?}");
    }
    assert!(!read("", true).0.is_truncated());
}
