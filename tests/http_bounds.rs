//! Bounds of the HTTP server: each keeps one caller from using up what the others need.

use gooseberrytack::http::{Bounds, Exchange, Server};
use standin::wait_for;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(60);
const GET: &str = "GET /a HTTP/1.1\r\nhost: t\r\n\r\n";
const GET_CLOSE: &str = "GET /a HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

fn start(bounds: Bounds, handler: impl Fn(&mut Exchange) + Send + Sync + 'static) -> Server {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start(addr, bounds, handler).expect("free port")
}

/// Starts a server that answers with the body of the request.
fn echo(bounds: Bounds) -> Server {
    start(bounds, |exchange| {
        let body = exchange.request.body.clone();
        let _ = exchange.send(200, "text/plain", &body);
    })
}

fn connect(server: &Server) -> TcpStream {
    let conn = TcpStream::connect(server.addr()).expect("connected");
    conn.set_read_timeout(Some(TIMEOUT)).expect("timeout set");
    conn
}

/// Sends `bytes` and reads until the server closes the connection.
fn talk(server: &Server, bytes: impl AsRef<[u8]>) -> String {
    let mut conn = connect(server);
    let _ = conn.write_all(bytes.as_ref());
    rest(&mut conn)
}

fn rest(conn: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let _ = conn.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads up to and including `end`.
fn until(conn: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) && conn.read(&mut byte).is_ok_and(|n| n > 0) {
        text.push(byte[0]);
    }
    String::from_utf8_lossy(&text).into_owned()
}

#[track_caller]
fn assert_refused(answer: &str, status: u16, code: &str) {
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
}

/// Starts a server whose requests wait until the flag is set.
fn waiting(bounds: Bounds) -> (Server, Arc<AtomicBool>) {
    let open = Arc::new(AtomicBool::new(false));
    let flag = open.clone();
    let server = start(bounds, move |exchange| {
        while !flag.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(1));
        }
        let _ = exchange.send(200, "text/plain", b"late");
    });
    (server, open)
}

#[test]
fn conns_busy_refused() {
    let (server, open) = waiting(Bounds {
        conns: 2,
        ..Bounds::default()
    });
    let mut busy = [connect(&server), connect(&server)];
    for conn in &mut busy {
        conn.write_all(GET_CLOSE.as_bytes()).expect("sent");
    }
    wait_for("both busy", || server.busy() == 2);
    let answer = talk(&server, GET_CLOSE);
    assert_refused(&answer, 503, "overloaded");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    open.store(true, Ordering::Relaxed);
    for conn in &mut busy {
        assert!(rest(conn).ends_with("late"));
    }
}

#[test]
fn conns_idle_make_room() {
    let server = echo(Bounds {
        conns: 3,
        ..Bounds::default()
    });
    let mut idle = [connect(&server), connect(&server), connect(&server)];
    for conn in &mut idle {
        conn.write_all(GET.as_bytes()).expect("sent");
        until(conn, "\r\n\r\n");
    }
    wait_for("a place of an idle connection", || {
        talk(&server, GET_CLOSE).starts_with("HTTP/1.1 200")
    });
    assert!(server.open() <= 3);
}

#[test]
fn head_too_large() {
    let server = echo(Bounds {
        head: 2048,
        ..Bounds::default()
    });
    let long = "a".repeat(4096);
    let answer = talk(&server, format!("GET /a HTTP/1.1\r\nhost: t\r\nx: {long}"));
    assert_refused(&answer, 431, "head_too_large");
    let many = "x: y\r\n".repeat(100);
    let answer = talk(&server, format!("GET /a HTTP/1.1\r\nhost: t\r\n{many}\r\n"));
    assert_refused(&answer, 431, "head_too_large");
}

#[test]
fn body_too_large() {
    let server = echo(Bounds {
        body: 1024,
        ..Bounds::default()
    });
    let head = "POST /a HTTP/1.1\r\nhost: t\r\n";
    let sized = format!("{head}content-length: 1025\r\nexpect: 100-continue\r\n\r\n");
    assert_refused(&talk(&server, sized), 413, "too_large");
    let chunk = format!("200\r\n{}\r\n", "b".repeat(512));
    let chunked = format!(
        "{head}transfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(3)
    );
    assert_refused(&talk(&server, chunked), 413, "too_large");
}

#[test]
fn read_no_end() {
    let server = echo(Bounds {
        read: Duration::from_millis(200),
        ..Bounds::default()
    });
    let answer = talk(&server, "GET /a HTTP/1.1\r\nhost: t\r\n");
    assert_refused(&answer, 408, "request_cut");
    let body = "POST /a HTTP/1.1\r\nhost: t\r\ncontent-length: 9\r\n\r\nabc";
    assert_refused(&talk(&server, body), 408, "request_cut");
    assert_eq!(talk(&server, ""), "", "a connection that sends nothing");
}

#[test]
fn read_no_end_on_kept_connection() {
    let server = echo(Bounds {
        read: Duration::from_millis(500),
        ..Bounds::default()
    });
    let mut conn = connect(&server);
    let head = "POST /a HTTP/1.1\r\nhost: t\r\ncontent-length: 3\r\n\r\n";
    for pieces in [["", "abc"], ["a", "bc"], ["", "abc"]] {
        for piece in [head, pieces[0], pieces[1]] {
            conn.write_all(piece.as_bytes()).expect("written");
            thread::sleep(Duration::from_millis(10));
        }
        until(&mut conn, "abc");
    }
    conn.write_all(head.as_bytes()).expect("written");
    assert_refused(&rest(&mut conn), 408, "request_cut");
}

#[test]
fn read_chunk_size_without_end() {
    let server = echo(Bounds {
        read: TIMEOUT,
        ..Bounds::default()
    });
    let head = "POST /a HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n";
    let line = format!("{head}5;{}", "e".repeat(64 * 1024));
    assert_refused(&talk(&server, line), 400, "bad_request");
    let digits = format!("{head}{}", "0".repeat(64 * 1024));
    assert_refused(&talk(&server, digits), 400, "bad_request");
}

#[test]
fn write_slow_caller() {
    let gave_up = Arc::new(AtomicBool::new(false));
    let flag = gave_up.clone();
    let bounds = Bounds {
        write: Duration::from_millis(200),
        ..Bounds::default()
    };
    let server = start(bounds, move |exchange| {
        let piece = vec![b'x'; 64 * 1024];
        let _ = exchange.begin(200, &[]);
        while exchange.write(&piece).is_ok() {}
        flag.store(true, Ordering::Relaxed);
    });
    let mut conn = connect(&server);
    conn.write_all(GET.as_bytes()).expect("sent");
    wait_for("the write to end", || gave_up.load(Ordering::Relaxed));
    let answer = rest(&mut conn);
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "a cut answer has no end mark"
    );
}

#[test]
fn parse_not_http() {
    let server = echo(Bounds::default());
    for bytes in [
        "\x16\x03\x01\x02 hello",
        "GET\r\n\r\n",
        "GET /a HTTP/9.9\r\n\r\n",
    ] {
        assert_refused(&talk(&server, bytes), 400, "bad_request");
    }
}

#[test]
fn parse_framed_twice() {
    let server = echo(Bounds::default());
    let fields = [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 3\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n",
        "transfer-encoding: gzip\r\n",
        "content-length: +3\r\n",
        "content-length: +0\r\n",
        "host: u\r\n",
    ];
    for field in fields {
        let bytes = format!("POST /a HTTP/1.1\r\nhost: t\r\n{field}\r\nabc");
        assert_refused(&talk(&server, bytes), 400, "bad_request");
    }
    assert_refused(
        &talk(&server, "GET /a HTTP/1.1\r\n\r\n"),
        400,
        "bad_request",
    );
}

#[test]
fn serve_pipelined_in_order() {
    let server = echo(Bounds::default());
    let post = |body: &str, more| {
        format!("POST /a HTTP/1.1\r\nhost: t\r\n{more}content-length: 3\r\n\r\n{body}")
    };
    let bytes = post("one", "") + &post("two", "") + &post("end", "connection: close\r\n");
    let answer = talk(&server, bytes);
    let at = |body| answer.find(body).expect("answered");
    assert!(at("one") < at("two") && at("two") < at("end"));
    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 3);
}

#[test]
fn serve_expect_and_head() {
    let server = echo(Bounds::default());
    let mut conn = connect(&server);
    let head = "POST /a HTTP/1.1\r\nhost: t\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    conn.write_all(head.as_bytes()).expect("sent");
    assert_eq!(
        until(&mut conn, "\r\n\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n"
    );
    conn.write_all(b"ok").expect("sent");
    assert!(until(&mut conn, "ok").ends_with("\r\n\r\nok"));
    let head = "HEAD /a HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    conn.write_all(head.as_bytes()).expect("sent");
    let answer = rest(&mut conn);
    assert!(answer.contains("content-length: 2"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

#[test]
fn serve_old_version_no_chunks() {
    let server = start(Bounds::default(), |exchange| {
        if exchange.begin(200, &[]).is_ok() {
            let _ = exchange.write(b"piece");
            let _ = exchange.end();
        }
    });
    assert_refused(&talk(&server, "GET /a HTTP/1.0\r\n\r\n"), 500, "internal");
    let answer = talk(&server, GET_CLOSE);
    assert!(answer.ends_with("5\r\npiece\r\n0\r\n\r\n"), "{answer}");
    let head = talk(&server, GET_CLOSE.replace("GET", "HEAD"));
    assert!(head.ends_with("\r\n\r\n") && !head.contains("piece"));
}

#[test]
fn serve_panic_is_answered() {
    let server = start(Bounds::default(), |exchange| {
        assert_ne!(exchange.request.head.path, "/panic", "ordered by the test");
        let _ = exchange.send(200, "text/plain", b"fine");
    });
    let bad = "GET /panic HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";
    assert_refused(&talk(&server, bad), 500, "internal");
    assert!(talk(&server, GET_CLOSE).ends_with("fine"));
    wait_for("no connection left", || server.open() == 0);
}

#[test]
fn stop_answers_what_arrived() {
    let server = echo(Bounds::default());
    let mut conns: Vec<_> = (0..200).map(|_| connect(&server)).collect();
    for conn in &mut conns {
        conn.write_all(GET.as_bytes()).expect("sent");
    }
    assert_eq!(server.stop(TIMEOUT), 0, "aborted requests");
    for conn in &mut conns {
        let answer = rest(conn);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(
        TcpStream::connect(server.addr()).is_err(),
        "still listening"
    );
}

#[test]
fn stop_waits_for_answers() {
    let (server, open) = waiting(Bounds::default());
    let mut conn = connect(&server);
    conn.write_all(GET.as_bytes()).expect("sent");
    wait_for("busy", || server.busy() == 1);
    let aborted = thread::scope(|s| {
        let stopping = s.spawn(|| server.stop(TIMEOUT));
        wait_for("not listening", || {
            TcpStream::connect(server.addr()).is_err()
        });
        open.store(true, Ordering::Relaxed);
        stopping.join().expect("stopped")
    });
    assert_eq!(aborted, 0);
    let answer = rest(&mut conn);
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("late"), "{answer}");
}

#[test]
fn stop_takes_no_caller_for_gone_that_just_asked() {
    const CONNS: usize = 400;
    for _ in 0..3 {
        // The handler checks, as a long answer does, whether its caller closed the connection.
        let gone = Arc::new(AtomicBool::new(false));
        let seen = gone.clone();
        let server = start(Bounds::default(), move |exchange| {
            thread::sleep(Duration::from_millis(5));
            seen.fetch_or(exchange.is_gone(), Ordering::Relaxed);
            let _ = exchange.send(200, "text/plain", b"done");
        });
        let mut conns: Vec<TcpStream> = (0..CONNS).map(|_| connect(&server)).collect();
        // Longer than the idle time after which a stop closes a connection.
        thread::sleep(Duration::from_millis(700));
        thread::scope(|scope| {
            scope.spawn(|| server.stop(TIMEOUT));
            for conn in conns.iter_mut().rev() {
                let _ = conn.write_all(GET.as_bytes());
            }
        });
        drop(conns);
        let gone = gone.load(Ordering::Relaxed);
        assert!(!gone, "a waiting caller was taken for gone");
    }
}
