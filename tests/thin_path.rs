//! Single requests from a caller through a host to an engine and back.

use standin::{Got, Harness, Plan, answer_to, key_of};
use std::{
    io::{Read, Write},
    net::TcpStream,
};

#[test]
fn chat_whole_and_streamed() {
    let harness = Harness::start(Plan::default());
    let caller = harness.caller(0);
    assert_eq!(
        caller.ask("price of yam", 12),
        Got::Whole(answer_to("price of yam", 12))
    );
    let mut pieces = 0;
    let got = caller.stream("price of onion", 20, |_| pieces += 1);
    assert_eq!(got, Got::Whole(answer_to("price of onion", 20)));
    assert!(pieces >= 2, "the answer came in {pieces} pieces");
    let engine = &harness.engines[0];
    assert_eq!(engine.runs().len(), 2);
    assert!(!engine.seen().contains(&key_of("w0")));
}

#[test]
fn chat_unknown_key_not_run() {
    let harness = Harness::start(Plan::default());
    let caller = harness.caller_of(0, "nobody");
    assert!(matches!(
        caller.ask("price of yam", 12),
        Got::Refused(401, _)
    ));
    assert!(harness.engines[0].runs().is_empty());
}

#[test]
fn chat_old_version_stream_not_run() {
    let harness = Harness::start(Plan::default());
    let body = r#"{"model":"small","messages":[{"role":"user","content":"x"}],"stream":true}"#;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        key_of("w0"),
        body.len()
    );
    let mut conn = TcpStream::connect(harness.host(0).caller).expect("connected");
    conn.write_all((head + body).as_bytes()).expect("sent");
    let mut answer = String::new();
    conn.read_to_string(&mut answer).expect("answered");
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    assert!(harness.engines[0].runs().is_empty());
}
