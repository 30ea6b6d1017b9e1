//! A server that sends without end is cut off after a bounded number of bytes and reads.

use gooseberrytack::pass::{AttemptRegistry, Conn, ReadError};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

/// Time limit of one read; far longer than a server needs to send its bytes.
const READ_TIMEOUT: Duration = Duration::from_millis(100);
/// Reads after which a test has failed.
const READS: usize = 600;
/// Least bytes per write of a fast server.
const WRITE_SIZE: usize = 4 * 1024;
/// Pause of a slow server between two bytes.
const BYTE_PAUSE: Duration = Duration::from_micros(200);

/// A server that sends `first`, then `again` without end; if slow, the first byte of `again` only.
fn start(first: &'static str, again: &'static str, slow: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        let (mut conn, _) = listener.accept().expect("a connection");
        conn.set_nodelay(true).expect("a connection");
        let mut bytes = [0; WRITE_SIZE];
        let _ = conn.read(&mut bytes);
        let mut sent = conn.write_all(first.as_bytes());
        let many = again.repeat(WRITE_SIZE.div_ceil(again.len()));
        while sent.is_ok() {
            sent = if slow {
                thread::sleep(BYTE_PAUSE);
                conn.write_all(&again.as_bytes()[..1])
            } else {
                conn.write_all(many.as_bytes())
            };
        }
    });
    addr
}

fn open(addr: SocketAddr) -> Conn {
    let mut conn = Conn::open(addr, Duration::from_secs(30)).expect("a server");
    conn.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n", b"")
        .expect("sent");
    conn
}

/// Reads a head until it fails, on a thread with a stack as small as a host's.
fn head_fails(first: &'static str, again: &'static str) -> String {
    let reads = move || {
        let mut conn = open(start(first, again, false));
        for _ in 0..READS {
            match conn.head(READ_TIMEOUT) {
                Err(ReadError::TimedOut) => {}
                Err(ReadError::Broken(text)) => return text,
                Ok(head) => panic!("a head: {head:?}"),
            }
        }
        panic!("still not cut off");
    };
    let thread = thread::Builder::new().stack_size(512 * 1024).spawn(reads);
    thread.expect("a thread").join().expect("the reads fail")
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

/// A read ends in time although bytes keep coming: otherwise a caller that disconnected, or a deadline,
/// goes unnoticed.
#[test]
fn head_slow_look_ends() {
    let mut conn = open(start("HTTP/1.1 200 OK\r\nf: ", "x", true));
    for _ in 0..3 {
        assert!(matches!(conn.head(READ_TIMEOUT), Err(ReadError::TimedOut)));
    }
}

#[test]
fn trailers_endless_are_broken() {
    let first = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    let mut conn = open(start(first, "f: x\r\n", false));
    conn.head(Duration::from_secs(30)).expect("a head");
    let mut out = Vec::new();
    let broken = (0..READS).any(|_| {
        let read = conn.read(READ_TIMEOUT, &mut out);
        matches!(read, Err(ReadError::Broken(_)))
    });
    assert!(broken, "still not cut off");
}

/// Buffered answers share the memory limit of a host; small ones are always admitted.
#[test]
fn held_answers_share_room() {
    let (registry, mut held) = (AttemptRegistry::default(), Vec::new());
    let mut size = 0;
    for _ in 0..64 {
        let mut one = registry.share();
        if one.grow(1 << 20) {
            size += 1 << 20;
        }
        held.push(one);
    }
    assert_eq!(size, 8 << 20);
    assert!(registry.share().grow(1024));
    assert!(!registry.share().grow(1 << 20));
    drop(held);
    assert!(registry.share().grow(4 << 20));
}
