//! Parsing of answers that are passed back unchanged: the ends of bodies and of events.

use gooseberrytack::pass::{Body, Events, Framing};
use proptest::prelude::*;

fn chunked(parts: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for part in parts.iter().filter(|p| !p.is_empty()) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Feeds `bytes` in parts of the given sizes, in turn.
fn take(framing: Framing, bytes: &[u8], sizes: &[usize]) -> (Body, Vec<u8>) {
    let (mut body, mut out) = (Body::new(framing), Vec::new());
    let (mut rest, mut turn) = (bytes, 0);
    while !rest.is_empty() {
        let size = sizes[turn % sizes.len()].clamp(1, rest.len());
        body.feed(&rest[..size], &mut out).expect("valid");
        rest = &rest[size..];
        turn += 1;
    }
    (body, out)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn body_chunked_any_cut(
        parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        sizes in prop::collection::vec(1usize..9, 1..5),
        extra in prop::collection::vec(any::<u8>(), 0..20),
    ) {
        let mut bytes = chunked(&parts);
        let whole = bytes.len();
        bytes.extend_from_slice(&extra);
        let (body, out) = take(Framing::Chunked, &bytes, &sizes);
        prop_assert!(body.is_complete());
        prop_assert_eq!(out, parts.concat());
        // With one byte missing the body is incomplete, even at the end of the connection.
        let (mut cut, _) = take(Framing::Chunked, &bytes[..whole - 1], &sizes);
        prop_assert!(!cut.end());
    }

    #[test]
    fn body_length_any_cut(
        bytes in prop::collection::vec(any::<u8>(), 1..60),
        sizes in prop::collection::vec(1usize..9, 1..5),
    ) {
        let framing = Framing::Length(bytes.len() as u64 - 1);
        let (body, out) = take(framing, &bytes, &sizes);
        prop_assert!(body.is_complete());
        prop_assert_eq!(&out[..], &bytes[..bytes.len() - 1]);
        let (mut cut, _) = take(Framing::Length(bytes.len() as u64 + 1), &bytes, &sizes);
        prop_assert!(!cut.end());
    }

    #[test]
    fn body_any_bytes_no_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let (mut body, mut out) = (Body::new(Framing::Chunked), Vec::new());
        let _ = body.feed(&bytes, &mut out);
        let mut events = Events::default();
        events.buffer().extend_from_slice(&bytes);
        while let Ok(Some(_)) = events.pop() {}
    }

    #[test]
    fn events_any_cut(count in 1u32..8, sizes in prop::collection::vec(1usize..9, 1..5)) {
        let texts: Vec<String> = (1..=count).map(|n| format!("id: {n}\ndata: a {n}\ndata: b\n\n")).collect();
        let bytes = texts.concat().into_bytes();
        let (mut events, mut found) = (Events::default(), Vec::new());
        let (mut rest, mut turn) = (&bytes[..], 0);
        while !rest.is_empty() {
            let size = sizes[turn % sizes.len()].clamp(1, rest.len());
            events.buffer().extend_from_slice(&rest[..size]);
            while let Some(event) = events.pop().expect("valid") {
                found.push(event);
            }
            rest = &rest[size..];
            turn += 1;
        }
        prop_assert!(!events.is_partial());
        prop_assert_eq!(found.len(), count as usize);
        for (event, n) in found.iter().zip(1..) {
            prop_assert_eq!(event.id, Some(n));
            prop_assert_eq!(&event.data, &format!("a {n}\nb"));
            prop_assert_eq!(&event.raw[..], texts[n as usize - 1].as_bytes());
        }
    }
}

#[test]
fn body_without_length_ends_with_connection() {
    let (mut body, out) = take(Framing::Close, b"all of it", &[3]);
    assert!(!body.is_complete());
    assert!(body.end());
    assert_eq!(out, b"all of it");
}

#[test]
fn events_torn_is_told() {
    let mut events = Events::default();
    events
        .buffer()
        .extend_from_slice(b"id: 1\ndata: x\n\nid: 2\nda");
    assert!(events.pop().expect("valid").is_some());
    assert_eq!(events.pop(), Ok(None));
    assert!(events.is_partial());
}
