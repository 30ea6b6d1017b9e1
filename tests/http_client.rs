//! The client tells whether a request may have been sent, and never takes a truncated answer for a
//! complete one.

use gooseberrytack::http::{Bounds, Client, Exchange, Server, Timeouts};
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const LIMITS: Timeouts = Timeouts {
    connect: Duration::from_secs(30),
    quiet: Duration::from_secs(30),
    total: Duration::from_secs(30),
    body: u64::MAX,
};

fn start(handler: impl Fn(&mut Exchange) + Send + Sync + 'static) -> (Server, String) {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let bounds = Bounds {
        idle: Duration::from_secs(3600),
        ..Bounds::default()
    };
    let server = Server::start(addr, bounds, handler).expect("free port");
    let url = format!("http://{}/a", server.addr());
    (server, url)
}

#[test]
fn call_refused_not_sent() {
    let addr = TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("a port that nobody listens on");
    let error = Client::new()
        .call("POST", &format!("http://{addr}/a"), &[], b"x", LIMITS)
        .expect_err("nobody listens");
    assert!(!error.sent, "{error:?}");
}

#[test]
fn call_name_not_sent() {
    let error = Client::new()
        .call("GET", "http://localhost:1/a", &[], &[], LIMITS)
        .expect_err("only IP addresses");
    assert!(!error.sent, "{error:?}");
}

#[test]
fn call_dropped_may_be_sent() {
    let (_server, url) = start(Exchange::abort);
    let error = Client::new()
        .call("POST", &url, &[], b"x", LIMITS)
        .expect_err("no answer");
    assert!(error.sent, "{error:?}");
}

#[test]
fn call_cut_answer_is_error() {
    let (_server, url) = start(|exchange| {
        let _ = exchange.begin(200, &[]);
        let _ = exchange.write(b"half of it");
        exchange.abort();
    });
    let error = Client::new().call("GET", &url, &[], &[], LIMITS);
    assert!(error.expect_err("cut").sent);
}

#[test]
fn call_fresh_never_reuses() {
    let (server, url) = start(|exchange| {
        let _ = exchange.send(200, "text/plain", b"x");
    });
    let client = Client::new();
    for _ in 0..5 {
        let reply = client.call("GET", &url, &[], &[], LIMITS);
        assert_eq!(reply.expect("answered").status, 200);
        assert_eq!(server.open(), 1, "calls share a connection");
    }
    drop(client);
    standin::wait_for("no connection kept", || server.open() == 0);
    let client = Client::new();
    let reply = client.call_fresh("GET", &url, &[], &[], LIMITS);
    assert_eq!(reply.expect("answered").status, 200);
    standin::wait_for("the fresh connection to end", || server.open() == 0);
}

#[test]
fn stream_line_bounds() {
    let (_server, url) = start(|exchange| {
        let _ = exchange.begin(200, &[]);
        let _ = exchange.write(b"short\n");
        let _ = exchange.write(&[b'x'; 100]);
        let _ = exchange.end();
    });
    let open = || {
        let stream = Client::new().stream("GET", &url, &[], &[], LIMITS);
        let mut stream = stream.expect("answered");
        let first = stream.line(64).expect("a line");
        assert_eq!(first.as_deref(), Some("short"));
        stream
    };
    let error = open().line(64).expect_err("too long");
    assert_eq!(error.kind(), std::io::ErrorKind::InvalidData);
    let error = open().line(200).expect_err("no line end");
    assert_eq!(error.kind(), std::io::ErrorKind::UnexpectedEof);
}

#[test]
fn call_to_cut_address_not_sent() {
    let (server, url) = start(|exchange| {
        let _ = exchange.send(200, "text/plain", b"whole");
    });
    let client = Client::new();
    client.block(server.addr());
    let short = Timeouts {
        connect: Duration::from_millis(20),
        ..LIMITS
    };
    let error = client
        .call("POST", &url, &[], b"x", short)
        .expect_err("the address is blocked");
    assert!(!error.sent, "{error:?}");
    // Other clients get through, and so does this one once the address is unblocked.
    assert!(Client::new().call("GET", &url, &[], &[], LIMITS).is_ok());
    client.unblock(server.addr());
    assert!(client.call("GET", &url, &[], &[], LIMITS).is_ok());
}

#[test]
fn answer_from_cut_address_is_lost() {
    let client = Client::new();
    let other = client.clone();
    let (_server, url) = start(move |exchange| {
        let addr = exchange.request.field("host").and_then(|h| h.parse().ok());
        other.block(addr.expect("the address asked for"));
        let _ = exchange.send(200, "text/plain", b"whole");
    });
    let error = client
        .call("POST", &url, &[], b"x", LIMITS)
        .expect_err("the address was blocked meanwhile");
    assert!(error.sent, "{error:?}");
}

#[test]
fn call_addresses_keep_own_connections() {
    let answer = |exchange: &mut Exchange| {
        let _ = exchange.send(200, "text/plain", b"x");
    };
    let (first, second) = (start(answer), start(answer));
    let client = Client::new();
    for _ in 0..5 {
        for (server, url) in [&first, &second] {
            let reply = client.call("GET", url, &[], &[], LIMITS);
            assert_eq!(reply.expect("answered").status, 200);
            assert_eq!(server.open(), 1, "calls share a connection");
        }
    }
    drop(client);
    for (server, _) in [&first, &second] {
        standin::wait_for("no connection kept", || server.open() == 0);
    }
}

/// A server whose connections go silent; those accepted later answer.
struct SilencingServer {
    addr: SocketAddr,
    /// Connections accepted so far; those with a number below `silent` give no answers.
    accepted: Arc<AtomicUsize>,
    silent: Arc<AtomicUsize>,
}

impl SilencingServer {
    /// Starts a server that answers nobody before `least` connections are open.
    fn start(least: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let server = Self {
            addr: listener.local_addr().expect("address"),
            accepted: Arc::default(),
            silent: Arc::default(),
        };
        let (accepted, silent) = (server.accepted.clone(), server.silent.clone());
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let (accepted, silent) = (accepted.clone(), silent.clone());
                thread::spawn(move || {
                    let mut lines = BufReader::new(&conn).lines();
                    while lines.by_ref().flatten().any(|line| line.is_empty()) {
                        while accepted.load(Ordering::SeqCst) < least
                            || number < silent.load(Ordering::SeqCst)
                        {
                            thread::sleep(Duration::from_millis(1));
                        }
                        let _ = (&conn).write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    }
                });
            }
        });
        server
    }

    fn url(&self) -> String {
        format!("http://{}/a", self.addr)
    }
}

/// CONFIG: after a connection had gone silent, each further call waited on another kept one that was silent too.
#[test]
fn call_after_timeout_uses_new_connection() {
    const CONNS: usize = 3;
    let server = SilencingServer::start(CONNS);
    let client = Client::new();
    thread::scope(|scope| {
        for _ in 0..CONNS {
            scope.spawn(|| client.call("GET", &server.url(), &[], &[], LIMITS));
        }
    });
    server.silent.store(CONNS, Ordering::SeqCst);
    let limits = Timeouts::within(Duration::from_secs(1));
    let error = client.call("GET", &server.url(), &[], &[], limits);
    assert!(error.is_err(), "{error:?}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNS);
    let reply = client.call("GET", &server.url(), &[], &[], LIMITS);
    assert_eq!(reply.map(|r| r.status), Ok(200));
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNS + 1);
}
