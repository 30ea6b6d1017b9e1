//! Jobs whose stream has a reader that accepts calls and never answers.

use gooseberrytack::{
    batch::job_id,
    http::{Bounds, Reply, Server},
    kernel::Host,
    store::{HostStatus, Listed},
    wire::Peer,
};
use serde_json::Value;
use standin::{Harness, Plan, item_answer, job_lines, wait_for};
use std::time::Duration;

const TOKENS: u32 = 4;
/// Number of streams; large enough that placement assigns some to each host.
const MANY: usize = 24;

/// A listed host that cuts every connection once the request has arrived whole.
fn mute_host(harness: &Harness, name: &str) -> Server {
    let addr = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(addr, Bounds::default(), |exchange| exchange.abort());
    let server = server.expect("a port");
    harness.list.force(Listed {
        peer: Peer {
            name: name.into(),
            addr: server.addr(),
            domain: "z".into(),
        },
        status: HostStatus::Live,
        announced: 0,
    });
    server
}

/// Names of jobs whose stream has the reader `reader`, as `host` places it.
fn names_read_by(host: &Host, reader: &str) -> Vec<String> {
    let names = (0..40).map(|n| format!("mute{n}"));
    let is_read = |name: &String| {
        let streams = &host.batch.streams;
        let slot = streams.slot_of(&job_id("w0", &format!("id:{name}")));
        streams.readers(host, slot).peer(reader).is_some()
    };
    names.filter(is_read).collect()
}

#[test]
fn upload_whose_forwarded_answer_is_lost_is_unsettled() {
    let harness = Harness::start(Plan {
        hosts: 1,
        tune: |s| (s.streams, s.readers, s.wait) = (MANY, 1, Duration::from_secs(2)),
        ..Plan::default()
    });
    let mute = mute_host(&harness, "mute");
    let mut names = Vec::new();
    wait_for("streams whose reader is mute", || {
        let host = harness.host(0);
        names = names_read_by(host, "mute");
        let slot = |name: &String| {
            host.batch
                .streams
                .slot_of(&job_id("w0", &format!("id:{name}")))
        };
        // A stream that this host follows but has not read yet may be read by the time of the call.
        names.retain(|n| slot(n).followed().is_none());
        names.len() > 1
    });
    let answer = |reply: Reply| -> Value { serde_json::from_slice(&reply.body).expect("JSON") };
    let caller = harness.caller(0);
    let reply = caller.send_job(&names[0], &job_lines(&names[0], 5, TOKENS));
    let value = answer(reply.expect("an answer"));
    assert_eq!(value["error"]["code"], "unsettled", "{value}");
    assert_eq!(value["error"]["ran"], "unknown");
    let path = format!("/v1/batches/{}", job_id("w0", &format!("id:{}", names[0])));
    let value = answer(caller.call("GET", &path, b"").expect("an answer"));
    assert_eq!(value["error"]["code"], "not_ready", "{value}");
    mute.kill();
    // The reader may have accepted the first job; nothing has reached it of the second.
    for (name, code, ran) in [
        (&names[0], "unsettled", "unknown"),
        (&names[1], "not_ready", "no"),
    ] {
        let reply = caller.send_job(name, &job_lines(name, 5, TOKENS));
        let value = answer(reply.expect("an answer"));
        assert_eq!(value["error"]["code"], code, "{name}: {value}");
        assert_eq!(value["error"]["ran"], ran);
    }
}

#[test]
fn next_reader_answers_for_a_mute_one() {
    let harness = Harness::start(Plan {
        hosts: 3,
        tune: |s| (s.streams, s.readers) = (MANY, 2),
        ..Plan::default()
    });
    let _mute = mute_host(&harness, "mute");
    let mut pairs = Vec::new();
    wait_for("a stream with a mute and a real reader", || {
        let hosts = harness.hosts();
        let all = hosts.iter().enumerate();
        let far = |host: &Host, name: &str| {
            let streams = &host.batch.streams;
            let slot = streams.slot_of(&job_id("w0", &format!("id:{name}")));
            streams.enter(slot).is_none()
        };
        let named =
            all.flat_map(|(i, h)| names_read_by(h, "mute").into_iter().map(move |n| (i, n)));
        pairs = named.filter(|(i, n)| far(&hosts[*i], n)).collect();
        pairs.len() > 2
    });
    for (host, name) in pairs.iter().take(6) {
        let lines = job_lines(name, 5, TOKENS);
        let job = harness.caller(*host).submit_job(name, &lines);
        let caller = harness.caller(*host);
        caller.wait_job(&job);
        let results = caller.job_results(&job).expect("results");
        assert_eq!(results.len(), 5);
        let mut answers = results.iter().enumerate();
        assert!(answers.all(|(n, l)| l.text == item_answer(name, n, TOKENS)));
    }
}
