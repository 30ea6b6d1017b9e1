//! Servers that answer without reading the request's body, and servers whose status is no HTTP status.
//! A part of an answer without a length must not be taken for the whole.

use gooseberrytack::{
    http::{Client, Timeouts},
    pass::{Conn, RESET_WAIT, ReadError},
};
use socket2::SockRef;
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(30);
/// A body that fits the buffers of both sockets, and one that does not.
const SIZES: [usize; 2] = [64 * 1024, 32 << 20];
const ENDINGS: [Ending; 3] = [Ending::Reset, Ending::Close, Ending::EndThenClose];

/// How a server ends its connection, of whose input it has read only the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// By a reset.
    Reset,
    /// By a close while unread bytes are in its buffer.
    Close,
    /// By an orderly end of its output, followed by such a close.
    EndThenClose,
    /// By an orderly end after it has read the whole request.
    Whole,
}

/// A server that sends `text` once it has the head of a request.
fn serve(text: String, ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let addr = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut conn in listener.incoming().flatten() {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && conn.read_exact(&mut byte).is_ok() {
                head.push(byte[0]);
            }
            let _ = conn.write_all(text.as_bytes());
            thread::sleep(Duration::from_millis(20));
            end(&conn, ending, &String::from_utf8_lossy(&head));
        }
    });
    addr
}

fn end(mut conn: &TcpStream, ending: Ending, head: &str) {
    match ending {
        Ending::Reset => drop(SockRef::from(conn).set_linger(Some(Duration::ZERO))),
        Ending::Close => {}
        Ending::EndThenClose => drop(conn.shutdown(Shutdown::Write)),
        Ending::Whole => {
            let lines = head.lines().filter_map(|l| l.split_once(": "));
            let mut sizes = lines.filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
            let size = sizes.next().map_or(0, |(_, v)| v.parse().expect("a size"));
            let _ = conn.read_exact(&mut vec![0; size]);
        }
    }
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\na part";

/// Body of the answer to a request with a body of `size` bytes, read as for a caller. A server whose thread is
/// delayed between the end of its output and its close needs a long `reset_wait`.
fn passed(addr: SocketAddr, size: usize, reset_wait: Duration) -> Result<Vec<u8>, String> {
    let mut conn = Conn::open(addr, LIMIT).expect("a connection");
    conn.set_reset_wait(reset_wait);
    let head = format!("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n");
    conn.send(&head, &vec![b'x'; size])
        .map_err(|e| e.to_string())?;
    conn.head(LIMIT).map_err(|e| format!("{e:?}"))?;
    let mut body = Vec::new();
    loop {
        match conn.read(LIMIT, &mut body) {
            Ok(true) => {}
            Ok(false) => return Ok(body),
            Err(e) => return Err(format!("{e:?}")),
        }
    }
}

#[test]
fn passed_answer_unread_upload_is_not_complete() {
    for ending in ENDINGS {
        let addr = serve(UNFRAMED.into(), ending);
        for size in SIZES {
            let got = passed(addr, size, LIMIT);
            assert!(got.is_err(), "{ending:?}, {size} bytes: {got:?}");
        }
    }
}

#[test]
fn passed_answer_read_upload_is_complete() {
    let addr = serve(UNFRAMED.into(), Ending::Whole);
    for size in [0, SIZES[0]] {
        assert_eq!(
            passed(addr, size, RESET_WAIT).as_deref(),
            Ok(&b"a part"[..])
        );
    }
}

#[test]
fn call_unread_upload_is_error() {
    for ending in [Ending::Reset, Ending::Close] {
        let url = format!("http://{}/a", serve(UNFRAMED.into(), ending));
        for size in SIZES {
            let body = vec![b'x'; size];
            let limits = Timeouts::within(LIMIT);
            let got = Client::new().call_fresh("POST", &url, &[], &body, limits);
            let is_sent = got.as_ref().is_err_and(|e| e.sent);
            assert!(is_sent, "{ending:?}, {size} bytes: {got:?}");
        }
    }
}

/// Codes of three digits that are no HTTP status.
const NO_STATUSES: [&str; 5] = ["000", "001", "099", "600", "999"];

fn answer_with(status: &str) -> SocketAddr {
    let text = format!("HTTP/1.1 {status} Odd\r\nnot-run: 1\r\ncontent-length: 2\r\n\r\nno");
    serve(text, Ending::Whole)
}

#[test]
fn passed_status_out_of_range_is_broken() {
    for status in NO_STATUSES {
        let mut conn = Conn::open(answer_with(status), LIMIT).expect("a connection");
        conn.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", b"")
            .expect("sent");
        let got = conn.head(LIMIT);
        assert!(
            matches!(got, Err(ReadError::Broken(_))),
            "{status}: {got:?}"
        );
    }
}

#[test]
fn call_status_out_of_range_may_be_sent() {
    for status in NO_STATUSES {
        let url = format!("http://{}/a", answer_with(status));
        let limits = Timeouts::within(LIMIT);
        let got = Client::new().call("GET", &url, &[], &[], limits);
        assert!(got.as_ref().is_err_and(|e| e.sent), "{status}: {got:?}");
        let got = Client::new().stream("GET", &url, &[], &[], limits);
        assert!(got.as_ref().is_err_and(|e| e.sent), "{status}: {got:?}");
    }
}
