//! Idle connections hold no thread. The only test of its process, since it counts the threads.

use gooseberrytack::http::{Bounds, Exchange, Server};
use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Open connections of one server.
const CONNS: usize = 300;
/// Most threads of an idle host.
const THREADS: usize = 16;
/// Longest wait for threads or connections to end; a test that reaches it has failed.
const TIMEOUT: Duration = Duration::from_secs(30);

fn threads() -> usize {
    fs::read_dir("/proc/self/task").expect("threads").count()
}

fn ask(mut conn: &TcpStream) {
    conn.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        .expect("request");
    let mut got = Vec::new();
    let mut piece = [0; 512];
    while !got.ends_with(b"answer") {
        let n = conn.read(&mut piece).expect("answer");
        assert!(n > 0, "the connection ended");
        got.extend_from_slice(&piece[..n]);
    }
}

#[test]
fn conns_idle_hold_no_thread() {
    let addr: SocketAddr = "127.0.0.1:0".parse().expect("address");
    let handler = |exchange: &mut Exchange| {
        let _ = exchange.send(200, "text/plain", b"answer");
    };
    let server = Server::start(addr, Bounds::default(), handler).expect("server");
    let conns: Vec<TcpStream> = (0..CONNS)
        .map(|_| TcpStream::connect(server.addr()).expect("connect"))
        .collect();
    for _ in 0..2 {
        conns.iter().for_each(ask);
    }
    let end = Instant::now() + TIMEOUT;
    while threads() > THREADS {
        assert!(Instant::now() < end, "{} threads", threads());
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(server.open(), CONNS);
    // All still serve, and at the same time.
    thread::scope(|scope| {
        for conn in &conns {
            scope.spawn(|| ask(conn));
        }
    });
    assert_eq!(server.open(), CONNS);
    drop(conns);
    let end = Instant::now() + TIMEOUT;
    while server.open() > 0 {
        assert!(Instant::now() < end, "{} connections", server.open());
        thread::sleep(Duration::from_millis(20));
    }
}
