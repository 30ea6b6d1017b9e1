//! A connection to a server that sends without end is given up after a bounded number of bytes and
//! looks.

use gooseberrytack::pass::{AttemptRegistry, Conn, ReadError};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

/// Time for one look; far longer than a server needs for its bytes.
const LOOK: Duration = Duration::from_millis(100);
/// Looks after which a test has failed.
const LOOKS: usize = 600;
/// Bytes written at once, at least.
const WRITE_SIZE: usize = 4 * 1024;
/// Pause between two bytes of a slow server.
const STEP: Duration = Duration::from_micros(200);

/// A server that answers with `first` and then `again` without end, or byte by byte.
fn start(first: &'static str, again: &'static str, slow: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a connection");
        conn.set_nodelay(true).expect("a connection");
        let mut piece = [0; WRITE_SIZE];
        let _ = conn.read(&mut piece);
        let mut sent = conn.write_all(first.as_bytes());
        let many = again.repeat(WRITE_SIZE.div_ceil(again.len()));
        while sent.is_ok() {
            sent = if slow {
                thread::sleep(STEP);
                conn.write_all(&again.as_bytes()[..1])
            } else {
                conn.write_all(many.as_bytes())
            };
        }
    });
    addr
}

fn open(addr: SocketAddr) -> Conn {
    let conn = Conn::open(addr, Duration::from_secs(30)).expect("a server");
    conn.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"")
        .expect("sent");
    conn
}

/// Looks for a head until the connection is given up, on a thread as small as a host's.
fn head_fails(first: &'static str, again: &'static str) -> String {
    let looks = move || {
        let mut conn = open(start(first, again, false));
        for _ in 0..LOOKS {
            match conn.head(LOOK) {
                Err(ReadError::Quiet) => {}
                Err(ReadError::Broken(text)) => return text,
                Ok(head) => panic!("a head: {head:?}"),
            }
        }
        panic!("never given up");
    };
    let thread = thread::Builder::new().stack_size(512 * 1024).spawn(looks);
    thread.expect("a thread").join().expect("given up")
}

#[test]
fn head_endless_is_broken() {
    head_fails("", "x");
    head_fails("HTTP/1.1 200 OK", "x");
    head_fails("HTTP/1.1 200 OK\r\nf: ", "x");
    head_fails("HTTP/1.1 200 OK\r\n", "f: x\r\n");
    head_fails("", "\r\n");
}

#[test]
fn interim_endless_is_broken() {
    head_fails("", "HTTP/1.1 100 C\r\n\r\n");
    head_fails("", "HTTP/1.1 103 C\r\nlink: x\r\n\r\n");
}

/// A look ends although bytes keep coming, so that a caller who left or a deadline is noticed.
#[test]
fn head_slow_look_ends() {
    let mut conn = open(start("HTTP/1.1 200 OK\r\nf: ", "x", true));
    for _ in 0..3 {
        assert!(matches!(conn.head(LOOK), Err(ReadError::Quiet)));
    }
}

#[test]
fn trailers_endless_are_broken() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    let mut conn = open(start(first, "f: x\r\n", false));
    conn.head(Duration::from_secs(30)).expect("a head");
    let mut out = Vec::new();
    let broken = (0..LOOKS).any(|_| {
        let read = conn.read(LOOK, &mut out);
        matches!(read, Err(ReadError::Broken(_)))
    });
    assert!(broken, "never given up");
}

/// Answers that are kept until they are whole share the room of a host; small ones always have some.
#[test]
fn held_answers_share_room() {
    let (registry, mut held) = (AttemptRegistry::default(), Vec::new());
    let mut size = 0;
    for _ in 0..64 {
        let mut one = registry.hold();
        if one.grow(1 << 20) {
            size += 1 << 20;
        }
        held.push(one);
    }
    assert_eq!(size, 8 << 20);
    assert!(registry.hold().grow(1024));
    assert!(!registry.hold().grow(1 << 20));
    drop(held);
    assert!(registry.hold().grow(4 << 20));
}
