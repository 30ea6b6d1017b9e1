//! Callers and servers that stop reading, on real sockets: the bytes that wait for them are bounded, and
//! those who read get everything.

use gooseberrytack::{
    http::{Bounds, Exchange, Server, SlowReaders},
    pass::Conn,
};
use socket2::{Domain, Socket, Type};
use standin::wait_for;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

const ANSWER_BYTES: usize = 1 << 20;
const STOPPED: usize = 5;
const LONG: Duration = Duration::from_secs(3600);
/// Time after which a reader is slow or silent, long enough for one whose thread is delayed.
const SLOW: Duration = Duration::from_secs(4);
const GET: &[u8] = b"GET /a HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\r\n";

fn start(readers: &SlowReaders, handler: impl Fn(&mut Exchange) + Send + Sync + 'static) -> Server {
    let bounds = Bounds {
        write: LONG,
        ..Bounds::default()
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    Server::start_with(addr, bounds, Some(readers.clone()), handler).expect("free port")
}

/// Sends a request on a connection that buffers little, and does not read.
fn ask(server: &Server) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(16 * 1024).expect("a buffer");
    socket.connect(&server.addr().into()).expect("connected");
    let mut conn = TcpStream::from(socket);
    conn.write_all(GET).expect("sent");
    conn
}

fn whole_answer(server: &Server) -> usize {
    let mut bytes = Vec::new();
    let _ = ask(server).read_to_end(&mut bytes);
    let head = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    head.map_or(0, |at| bytes.len() - at - 4)
}

#[test]
fn callers_that_stop_are_closed_for_bound() {
    let most = 2 * ANSWER_BYTES;
    let readers = SlowReaders::new(most, LONG);
    readers.set_slow_after(SLOW);
    let server = start(&readers, |exchange| {
        let _ = exchange.send(200, "text/plain", &vec![b'x'; ANSWER_BYTES]);
    });
    let stopped: Vec<TcpStream> = (0..STOPPED).map(|_| ask(&server)).collect();
    wait_for("the bound", || {
        readers.closed() > 0 && readers.held() <= most
    });
    for _ in 0..10 {
        assert_eq!(whole_answer(&server), ANSWER_BYTES);
    }
    assert!(readers.closed() as usize <= STOPPED);
    drop(stopped);
    wait_for("the writes to end", || readers.held() == 0);
    wait_for("the connections to end", || server.open() == 0);
}

#[test]
fn streams_of_callers_that_stop_are_closed_for_silence() {
    let readers = SlowReaders::new(1 << 30, SLOW);
    let server = start(&readers, |exchange| {
        let _ = exchange.begin(200, &[]);
        let piece = vec![b'x'; 8 * 1024];
        let count = ANSWER_BYTES / piece.len();
        let sent = (0..count).try_for_each(|_| exchange.write(&piece));
        if sent.is_ok() {
            let _ = exchange.end();
        }
    });
    let stopped: Vec<TcpStream> = (0..STOPPED).map(|_| ask(&server)).collect();
    wait_for("the silence", || readers.closed() as usize == STOPPED);
    assert!(whole_answer(&server) > ANSWER_BYTES);
    for mut conn in stopped {
        let mut bytes = Vec::new();
        let _ = conn.read_to_end(&mut bytes);
        assert!(
            !bytes.ends_with(b"0\r\n\r\n"),
            "the answer must not look complete"
        );
    }
    assert_eq!(readers.held(), 0);
}

/// Sends a request with a body of 8 MB to a server; whether it was sent whole.
fn upload(addr: SocketAddr, readers: &SlowReaders) -> bool {
    let mut conn = Conn::open(addr, LONG).expect("a connection");
    conn.bound(readers).expect("a socket");
    let body = vec![b'x'; 8 << 20];
    let head = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len());
    let is_sent = conn.send(&head, &body).is_ok();
    // Otherwise the end of the input would be taken for the server's own, and a part of an answer for the whole.
    assert_eq!(conn.closer().is_closed(), !is_sent, "closed by this host");
    is_sent
}

#[test]
fn server_that_stops_is_closed_for_bound() {
    let readers = SlowReaders::new(1 << 20, LONG);
    readers.set_slow_after(SLOW);
    let listen = || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let addr = listener.local_addr().expect("address");
        (listener, addr)
    };
    let (stopped, silent) = listen();
    let (reading, good) = listen();
    thread::spawn(move || {
        for mut conn in reading.incoming().flatten() {
            thread::spawn(move || std::io::copy(&mut conn, &mut std::io::sink()));
        }
    });
    thread::scope(|scope| {
        let slow = scope.spawn(|| upload(silent, &readers));
        wait_for("the first bytes", || {
            readers.held() > 0 || readers.closed() > 0
        });
        assert!(
            upload(good, &readers),
            "a server that reads gets everything"
        );
        assert!(
            !slow.join().expect("sent"),
            "a server that stops is cut off"
        );
    });
    assert_eq!((readers.closed(), readers.held()), (1, 0));
    drop(stopped);
}
