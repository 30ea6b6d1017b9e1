//! Arbitrary bytes to each parser: no panic, bounded memory, a clear error. Seeds are fixed.

use gooseberrytack::{
    config,
    fold::decode_frame,
    http::{Bounds, HeadError, Server, parse_head},
    settings::Settings,
};
use proptest::{
    collection::vec,
    prelude::{Just, Strategy, any, prop_oneof},
    sample::select,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

/// A runner whose cases are the same in every run.
fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Arbitrary bytes, or bytes that begin like a request.
fn requests() -> impl Strategy<Value = Vec<u8>> {
    let pieces = select(vec![
        "GET ",
        "POST ",
        "HEAD ",
        "/a",
        "/a?b=%4",
        " HTTP/1.1\r\n",
        " HTTP/1.0\r\n",
        "host: t\r\n",
        "content-length: 3\r\n",
        "content-length: 99999999999999999999\r\n",
        "\r\n",
        "\n",
        "\r",
        "transfer-encoding: chunked\r\n",
        "expect: 100-continue\r\n",
        "connection: close\r\n",
        "connection: keep-alive\r\n",
        "3\r\nabc\r\n",
        "0\r\n\r\n",
        "ffffffffffffffffff\r\n",
        "x: ",
        "abc",
        "5;e",
        "\u{e9}",
        "\0",
    ]);
    let piece = prop_oneof![
        4 => pieces.prop_map(|p| p.as_bytes().to_vec()),
        1 => vec(any::<u8>(), 0..16),
    ];
    prop_oneof![
        vec(piece, 0..16).prop_map(|p| p.concat()),
        vec(any::<u8>(), 0..256),
    ]
}

#[test]
fn parse_head_any_bytes() {
    let checked = runner(4096).run(&requests(), |bytes| {
        match parse_head(&bytes) {
            Ok((head, size)) => {
                assert!(size <= bytes.len());
                assert!(head.path.starts_with('/') || !head.path.is_empty());
                let _ = head.param("b");
            }
            Err(HeadError::Bad(fail)) => assert!(!fail.text.is_empty()),
            Err(HeadError::Partial) => {}
        }
        Ok(())
    });
    checked.expect("every head is parsed or refused");
}

#[test]
fn serve_any_bytes() {
    let bounds = Bounds {
        head: 2048,
        body: 1024,
        read: Duration::from_secs(60),
        ..Bounds::default()
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::start(addr, bounds, |exchange| {
        let _ = exchange.send(200, "text/plain", b"ok");
    });
    let server = server.expect("free port");
    let checked = runner(512).run(&requests(), |bytes| {
        let mut conn = TcpStream::connect(server.addr()).expect("connected");
        conn.set_read_timeout(Some(Duration::from_secs(60)))
            .expect("timeout set");
        let _ = conn.write_all(&bytes);
        let _ = conn.shutdown(Shutdown::Write);
        let mut answer = Vec::new();
        let _ = conn.read_to_end(&mut answer);
        let text = String::from_utf8_lossy(&answer);
        assert!(text.is_empty() || text.starts_with("HTTP/1.1 "), "{text}");
        assert!(!text.contains("\"code\":\"internal\""), "{text}");
        Ok(())
    });
    checked.expect("every connection is answered or closed");
    standin::wait_for("no connection left", || server.open() == 0);
}

#[test]
fn settings_any_text() {
    let pieces = select(vec![
        "[host]",
        "[limits]",
        "[listen]",
        "[nope]",
        "name",
        "body_bytes",
        "caller",
        "=",
        ":",
        "\n",
        "127.0.0.1:0",
        "-1",
        "99999999999999999999",
        "\"",
        "#",
        ";",
        "\\",
        "]",
        "[",
        " ",
        "\u{e9}",
    ]);
    let text = vec(pieces, 0..40).prop_map(|p| p.concat());
    let any_text = prop_oneof![text, any::<String>()];
    let checked = runner(2048).run(&any_text, |text| {
        let problems = Settings::parse("f.ini", &text).expect_err("names are missing");
        for problem in &problems {
            assert!(!problem.allowed.is_empty(), "{problem}");
            assert!(problem.line <= text.lines().count().max(1), "{problem}");
        }
        Ok(())
    });
    checked.expect("every text is read or refused");
}

#[test]
fn decode_frame_any_bytes() {
    // Lengths far beyond the bytes that follow: they must not be allocated.
    let lengths = Just(vec![
        0xdd, 0xff, 0xff, 0xff, 0xff, 0xc6, 0xff, 0xff, 0xff, 0xff,
    ]);
    let bytes = prop_oneof![vec(any::<u8>(), 0..512), lengths];
    let checked = runner(4096).run(&bytes, |bytes| {
        let recs: Vec<(usize, config::Record)> = decode_frame(&bytes);
        assert!(recs.len() <= bytes.len());
        Ok(())
    });
    checked.expect("every frame is decoded or left out");
}
