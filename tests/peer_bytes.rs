//! Overhead in bytes of a message between hosts.

use gooseberrytack::{
    limit::{Borrow, Lending},
    wire::Name,
};
use standin::{Harness, Plan};
use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

/// Most bytes of the HTTP head of a call to another host.
const REQUEST_HEAD: usize = 110;
/// Most bytes of the HTTP head of its answer.
const ANSWER_HEAD: usize = 60;

fn borrow() -> Borrow {
    Borrow {
        workspace: "workspace-00001".into(),
        slot: 1,
        host: Name::from("host-00001.00000000"),
        seq: 1,
        need: 1,
        want: 1,
        reports: Vec::new(),
    }
}

/// Reads up to the end of the head. Returns it and the part of the body that arrived with it.
fn read(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let mut bytes = Vec::new();
    loop {
        let mut some = [0; 4096];
        let count = stream.read(&mut some).unwrap();
        assert!(count > 0, "the connection ended within a head");
        bytes.extend_from_slice(&some[..count]);
        if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let body = bytes.split_off(at + 4);
            return (String::from_utf8(bytes).unwrap(), body);
        }
    }
}

#[test]
fn call_request_head_is_short() {
    let harness = Harness::start(Plan::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (head, _) = read(&mut stream);
        let body = rmp_serde::to_vec(&Lending::NotHeld).unwrap();
        let head_back = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head_back.as_bytes()).unwrap();
        stream.write_all(&body).unwrap();
        head
    });
    let reply = harness
        .host(0)
        .call(addr, &borrow(), Duration::from_secs(10));
    assert_eq!(reply.unwrap(), Lending::NotHeld);
    let head = server.join().unwrap();
    assert!(head.len() <= REQUEST_HEAD, "{} bytes: {head}", head.len());
}

#[test]
fn call_answer_head_is_short() {
    let harness = Harness::start(Plan::default());
    let mut stream = TcpStream::connect(harness.host(0).me.addr).unwrap();
    let body = rmp_serde::to_vec(&borrow()).unwrap();
    let head = format!(
        "POST /peer/limit/borrow HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&body).unwrap();
    let (head, _) = read(&mut stream);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    assert!(head.len() <= ANSWER_HEAD, "{} bytes: {head}", head.len());
}
