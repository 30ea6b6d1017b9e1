//! What holders of slots tell the gates, and speeds that gates pass back, on whole hosts.

use gooseberrytack::{
    error::{Fail, Kind},
    gate::{CountsReply, Observed, Release, ReleaseObserved, ReleasedSlot, Sample, gate_key},
    kernel::{Call, Host},
    pass::LoadReport,
    settings::Settings,
    wire::{Name, Peer},
};
use standin::{EngineConfig, Harness, Plan, wait_for};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

fn harness(tune: fn(&mut Settings)) -> Harness {
    let engine = EngineConfig {
        token_us: 2_000,
        ..EngineConfig::default()
    };
    let harness = Harness::start(Plan {
        hosts: 3,
        engines: vec![engine; 2],
        tune,
        ..Plan::default()
    });
    harness.wait_listed();
    harness
}

/// Messages sent so far to tell gates of observations.
fn told(harness: &Harness) -> bool {
    let text = |host: &Host| host.meters.text().expect("metrics");
    let hosts = harness.hosts();
    hosts
        .iter()
        .any(|h| text(h).contains(ReleaseObserved::PATH))
}

/// Every host must learn the speed of every server, although each gate hears of its own server only.
#[test]
fn observe_speeds_reach_all_hosts() {
    let harness = harness(|s| s.learn = true);
    let mut count = 0;
    wait_for("all speeds on all hosts", || {
        for i in 0..3 {
            count += 1;
            harness.caller(i).ask(&format!("prompt {count}"), 12);
        }
        harness.hosts().iter().all(|host| {
            let known = |e: &str| host.routes.speeds.get(host.now(), &e.into()).is_some();
            known("e0") && known("e1")
        })
    });
    assert!(told(&harness));
    let host = &harness.hosts()[0];
    let (speed, _) = host
        .routes
        .speeds
        .get(host.now(), &"e0".into())
        .expect("a speed");
    assert!(speed.step > 0 && speed.limit > 0, "{speed:?}");
    let gates: usize = harness
        .hosts()
        .iter()
        .map(|h| h.gates.queues.speeds(h.now()).len())
        .sum();
    assert!(gates >= 2);
}

/// Fails if a host tells speeds of servers whose gates it does not own, or tells none of its own.
#[test]
fn owned_speed_is_known_to_owner_of_gate_alone() {
    let harness = harness(|s| s.learn = true);
    let server: Name = "e0".into();
    let owner = harness.host(0).members.owner(&gate_key(&server));
    let owner = owner.expect("a gate").name;
    let told = |host: &Host| host.gates.queues.owned_speed(host.now(), &server);
    let mut count = 0;
    wait_for("a speed at the gate", || {
        for i in 0..3 {
            count += 1;
            harness.caller(i).ask(&format!("prompt {count}"), 12);
        }
        harness.hosts().iter().any(|h| told(h).is_some())
    });
    for host in harness.hosts() {
        let is_owner = host.me.name == owner;
        let own = told(&host);
        assert_eq!(own.is_some(), is_owner, "{own:?}");
    }
}

/// Without the setting, hosts must send the messages that earlier builds send, and no others.
#[test]
fn observe_off_sends_nothing() {
    let harness = harness(|_| {});
    for count in 0..30 {
        harness
            .caller(count % 3)
            .ask(&format!("prompt {count}"), 12);
    }
    assert!(!told(&harness));
    assert!(
        harness
            .hosts()
            .iter()
            .all(|h| h.gates.queues.speeds(h.now()).is_empty())
    );
}

/// The message must survive its encoding, with odd reports and times.
#[test]
fn release_observed_is_read_back() {
    let load = LoadReport {
        running: u32::MAX,
        waiting: 0,
        slots: 8,
        percent: Some(250),
    };
    let observed = Observed {
        first: Some(Duration::MAX),
        gap: None,
        span: Duration::ZERO,
        at: Duration::from_secs(5),
        load: Some((load, Duration::from_secs(4))),
    };
    // The clock of a host that was suspended may be behind.
    let sample = observed.sample(Duration::from_secs(3));
    assert_eq!(
        (sample.age, sample.load),
        (Duration::ZERO, Some((load, Duration::ZERO)))
    );
    let call = ReleaseObserved {
        slots: vec![ReleasedSlot {
            server: "e0".into(),
            id: "a".into(),
            used: 3,
        }],
        samples: vec![(
            "e0".into(),
            Sample {
                load: None,
                ..sample
            },
        )],
    };
    let bytes = rmp_serde::to_vec(&call).expect("encoded");
    let again: ReleaseObserved = rmp_serde::from_slice(&bytes).expect("decoded");
    assert_eq!(again, call);
}

/// Answers releases as every build does, and other requests with `status` and `refusal`; collects the paths.
fn peer_refusing(status: u16, refusal: Vec<u8>) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("its address");
    let paths: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = paths.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut text = [0; 4096];
            let size = stream.read(&mut text).expect("a request");
            let text = String::from_utf8_lossy(&text[..size]);
            let path = text.split(' ').nth(1).unwrap_or_default().to_string();
            let (status, body) = match path == Release::PATH {
                true => (
                    200,
                    rmp_serde::to_vec(&CountsReply::default()).expect("a body"),
                ),
                false => (status, refusal.clone()),
            };
            seen.lock().expect("paths").push(path);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
            );
            let _ = stream.write_all(&[head.into_bytes(), body].concat());
        }
    });
    (addr, paths)
}

/// A host that runs an earlier build must get every release, and not the unknown message again and again.
#[test]
fn send_observed_to_earlier_build_falls_back_to_release() {
    let known = encoded(Kind::NotFound);
    for refusal in [Vec::new(), known] {
        let seen = paths_of_two_releases(404, refusal);
        assert_eq!(seen, [ReleaseObserved::PATH, Release::PATH, Release::PATH]);
    }
}

/// Fails if any error counts as an earlier build: one overload would stop observations for a minute.
#[test]
fn send_observed_after_other_failure_releases_once() {
    let seen = paths_of_two_releases(500, encoded(Kind::Internal));
    let once = [ReleaseObserved::PATH, Release::PATH];
    assert_eq!(seen, [once, once].concat());
}

fn encoded(kind: Kind) -> Vec<u8> {
    rmp_serde::to_vec(&Fail::new(kind, "refused")).expect("an error")
}

/// Paths of the messages of two releases with observations, the first of which is refused.
fn paths_of_two_releases(status: u16, refusal: Vec<u8>) -> Vec<String> {
    let harness = harness(|s| s.learn = true);
    let host = harness.host(0);
    let owner = |name: &Name| host.members.owner(&gate_key(name));
    let names: Vec<Name> = (0..100).map(|i| format!("x{i}").into()).collect();
    let is_other = |name: &&Name| owner(name).is_some_and(|o| o.name != host.me.name);
    let server = names.iter().find(is_other).expect("a gate elsewhere");
    let (addr, paths) = peer_refusing(status, refusal);
    let peer = Peer {
        addr,
        ..owner(server).expect("a gate")
    };
    for id in ["a", "b"] {
        let observed = Observed {
            first: None,
            gap: Some(Duration::from_millis(30)),
            span: Duration::ZERO,
            at: host.now(),
            load: None,
        };
        host.gates.held.observe(server, observed);
        let slot = ReleasedSlot {
            server: server.clone(),
            id: id.into(),
            used: 1,
        };
        host.gates.held.send_observed(host, &peer, vec![slot]);
    }
    paths.lock().expect("paths").clone()
}
