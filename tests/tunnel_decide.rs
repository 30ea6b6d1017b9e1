//! When a host counts as cut off from the servers, which peers it asks for tunnels, and the framing of tunnels.

use gooseberrytack::{
    error::Kind,
    tunnel::{End, FRAME_MAX_BYTES, Frames, ServerReach, TunnelPeers, frame_head},
    wire::{Name, Peer},
};
use rand::{SeedableRng, rngs::StdRng};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const LATER: Duration = Duration::from_secs(11);

fn server(n: usize) -> Name {
    format!("s{n}").into()
}

#[test]
fn reach_one_failure_is_server_of_host_that_reaches_others() {
    let mut reach = ServerReach::default();
    reach.note_reached(NOW);
    reach.note_failed(&server(1));
    reach.note_failed(&server(1));
    assert!(!reach.is_doubtful(NOW));
    assert!(reach.is_doubtful(LATER));
    reach.note_failed(&server(2));
    assert!(reach.is_doubtful(NOW));
}

#[test]
fn reach_cut_only_by_word_of_peer() {
    let mut reach = ServerReach::default();
    (1..9).for_each(|n| reach.note_failed(&server(n)));
    assert!(!reach.is_cut());
    assert!(reach.note_tunnel(NOW));
    assert!(!reach.note_tunnel(NOW));
    assert!(reach.is_cut());
    assert_eq!(reach.note_reached(LATER), Some(LATER - NOW));
    assert!(!reach.is_cut() && !reach.is_doubtful(LATER));
}

fn peers(count: usize) -> Vec<Peer> {
    let peer = |n: usize| Peer {
        name: format!("h{n}").into(),
        addr: ([127, 0, 0, 1], 1000 + n as u16).into(),
        domain: "z".into(),
    };
    (0..count).map(peer).collect()
}

/// The peers that are chosen; `h0` may not be used.
fn chosen(known: &TunnelPeers, live: &[Peer], now: Duration) -> Vec<Name> {
    let mut rng = StdRng::seed_from_u64(1);
    let chosen = (0..100).filter_map(|_| known.choose(live, now, &mut rng, |p| &*p.name != "h0"));
    let mut names: Vec<Name> = chosen.map(|p| p.name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

#[test]
fn choose_prefers_peers_that_serve_and_skips_those_that_refused() {
    let (mut known, live) = (TunnelPeers::default(), peers(6));
    assert_eq!(chosen(&known, &live, NOW).len(), 5);
    known.note_served(&"h3".into());
    known.note_served(&"h4".into());
    assert_eq!(chosen(&known, &live, NOW), ["h3", "h4"].map(Name::from));
    known.note_refused(&"h4".into(), Kind::Overloaded, NOW);
    assert_eq!(chosen(&known, &live, NOW), ["h3"].map(Name::from));
    known.note_refused(&"h3".into(), Kind::NotReady, NOW);
    assert_eq!(chosen(&known, &live, NOW).len(), 3);
    assert_eq!(chosen(&known, &live, LATER).len(), 4);
}

#[test]
fn choose_none_for_a_time_after_none_served() {
    let (mut known, live) = (TunnelPeers::default(), peers(3));
    known.note_none(NOW);
    assert!(chosen(&known, &live, NOW).is_empty());
    assert_eq!(chosen(&known, &live, LATER).len(), 2);
}

#[test]
fn denied_only_by_peer_that_is_cut_too() {
    let mut known = TunnelPeers::default();
    known.note_refused(&"h1".into(), Kind::Overloaded, NOW);
    known.note_refused(&"h2".into(), Kind::ServerLost, NOW);
    assert!(!known.is_denied(NOW));
    known.note_refused(&"h3".into(), Kind::NotReady, NOW);
    assert!(known.is_denied(LATER));
    assert!(!known.is_denied(2 * LATER));
}

#[test]
fn feed_split_anywhere_gives_same_bytes() {
    let data: Vec<u8> = (0..600u32).map(|n| n as u8).collect();
    let mut sent = Vec::new();
    for piece in data.chunks(250) {
        sent.extend_from_slice(&frame_head(piece.len()));
        sent.extend_from_slice(piece);
    }
    for end in [None, Some(End::Closed), Some(End::Reset)] {
        let mut sent = sent.clone();
        sent.extend(end.map(End::bytes).into_iter().flatten());
        for size in 1..sent.len() {
            let (mut frames, mut out) = (Frames::default(), Vec::new());
            sent.chunks(size)
                .for_each(|part| frames.feed(part, &mut out));
            assert_eq!(out, data);
            assert_eq!(frames.end(), end);
        }
    }
}

#[test]
fn feed_largest_frame_and_nothing_after_end() {
    let (mut frames, mut out) = (Frames::default(), Vec::new());
    frames.feed(&frame_head(FRAME_MAX_BYTES), &mut out);
    frames.feed(&vec![7; FRAME_MAX_BYTES], &mut out);
    frames.feed(&End::Closed.bytes(), &mut out);
    frames.feed(&[0, 1, 9], &mut out);
    assert_eq!(out.len(), FRAME_MAX_BYTES);
    assert_eq!(frames.end(), Some(End::Closed));
}
