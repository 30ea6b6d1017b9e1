//! The stand-ins follow the protocols that hosts speak with the platform and with engines.

use gooseberrytack::{
    engine::{Action, End, EngineClient, Generate, LoadedModel, Order},
    error::Kind,
    http::{Client, Timeouts},
    store::{AppendError, HostStatus, Hosts, HttpHosts, HttpLog, Listed, Log},
    wire::Peer,
};
use standin::{
    Engine, EngineConfig, ListConfig, ListServer, LogConfig, LogServer, MODEL, expected, wait_for,
};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(30);

fn log(config: LogConfig) -> (LogServer, HttpLog) {
    let server = LogServer::start(config);
    let log = HttpLog::new(server.url().into(), Client::new());
    (server, log)
}

fn ask(id: &str, tokens: u32) -> Generate {
    Generate {
        id: id.into(),
        model: MODEL.into(),
        adapter: None,
        prompt: "price of yam".into(),
        tokens,
        from: 0,
        cache: None,
    }
}

/// Reads a whole answer: its text and how it ended.
fn run(engine: &Engine, ask: &Generate) -> Result<(String, End), Kind> {
    let client = EngineClient::new(engine.addr(), Client::new(), LIMIT);
    let mut pieces = client.generate(ask, LIMIT).map_err(|e| e.kind)?;
    let mut text = String::new();
    loop {
        let piece = pieces.next().map_err(|e| e.kind)?;
        text += &piece.text;
        if let Some(end) = piece.end {
            return Ok((text, end));
        }
    }
}

#[test]
fn log_offsets_and_retention() {
    let (server, log) = log(LogConfig {
        records: 2,
        ..LogConfig::default()
    });
    for i in 0..3 {
        assert_eq!(log.append("jobs", &[i]), Ok(u64::from(i)));
    }
    let page = log.read("jobs", 0, Duration::ZERO).expect("readable");
    assert_eq!((page.first, page.head), (1, 3));
    assert_eq!(page.entries[0].bytes, [1]);
    assert_eq!(server.appends(), 3);
}

#[test]
fn log_lost_answer_took_effect() {
    let (server, log) = log(LogConfig::default());
    server.faults().set(|f| f.lose = 1);
    assert!(matches!(
        log.append("jobs", b"x"),
        Err(AppendError::Unknown(_))
    ));
    assert_eq!(server.records("jobs").len(), 1);
    server.faults().set(|f| f.refuse = true);
    assert!(matches!(
        log.append("jobs", b"x"),
        Err(AppendError::NotTaken(_))
    ));
    assert_eq!(server.records("jobs").len(), 1);
}

#[test]
fn log_over_limit_refused() {
    let (_server, log) = log(LogConfig {
        appends: 1,
        ..LogConfig::default()
    });
    let results: Vec<_> = (0..20).map(|_| log.append("jobs", b"x")).collect();
    assert!(
        results
            .iter()
            .any(|r| matches!(r, Err(AppendError::NotTaken(_))))
    );
}

#[test]
fn log_endpoint_cut_off_alone() {
    let (server, log) = log(LogConfig::default());
    let endpoint = server.endpoint();
    let other = HttpLog::new(endpoint.url().into(), Client::new());
    endpoint.faults().set(|f| f.down = true);
    assert!(other.append("jobs", b"x").is_err());
    assert_eq!(log.append("jobs", b"x"), Ok(0));
}

#[test]
fn list_expires_and_hides() {
    let server = ListServer::start(ListConfig {
        expiry_ms: 300,
        ..ListConfig::default()
    });
    let list = HttpHosts::new(server.url().into(), Client::new());
    let peer = Peer {
        name: "h".into(),
        addr: server.addr(),
        domain: "a".into(),
    };
    let listed = Listed {
        peer,
        status: HostStatus::Live,
        announced: 0,
    };
    wait_for("shown", || {
        list.announce(&listed).expect("announced");
        list.list().expect("list") == [listed.clone()]
    });
    wait_for("expired", || list.list().expect("list").is_empty());
    server.force(listed.clone());
    assert_eq!(list.list().expect("list"), [listed]);
    server.hide("h");
    assert!(list.list().expect("list").is_empty());
}

#[test]
fn engine_answer_is_expected() {
    let engine = Engine::start(EngineConfig::default());
    let whole = expected(MODEL, "price of yam", 6);
    assert_eq!(run(&engine, &ask("a", 6)), Ok((whole.clone(), End::Stop)));
    let rest = Generate {
        from: 4,
        ..ask("b", 6)
    };
    let (text, _) = run(&engine, &rest).expect("resumed");
    assert!(whole.ends_with(&text) && text.len() == 10);
    let hard = Generate {
        prompt: "[impossible]".into(),
        ..ask("c", 6)
    };
    assert_eq!(run(&engine, &hard), Ok((String::new(), End::Invalid)));
    assert_eq!(engine.runs().len(), 3);
    assert!(engine.seen().contains("price of yam"));
}

#[test]
fn engine_faults_are_caught() {
    let engine = Engine::start(EngineConfig::default());
    let faults = engine.faults();
    faults.set(|f| (f.cut, f.cut_at) = (1, 2));
    assert_eq!(run(&engine, &ask("a", 6)), Err(Kind::ServerLost));
    faults.set(|f| f.cross = 1);
    assert_eq!(run(&engine, &ask("b", 6)), Err(Kind::BrokenAnswer));
    faults.set(|f| f.double = 1);
    assert_eq!(run(&engine, &ask("c", 6)), Err(Kind::BrokenAnswer));
    faults.set(|f| f.overlong = 1);
    assert_eq!(run(&engine, &ask("d", 6)), Err(Kind::BrokenAnswer));
    faults.set(|f| f.error = 1);
    assert!(matches!(run(&engine, &ask("e", 6)), Ok((_, End::Error))));
    engine.kill();
    assert_eq!(run(&engine, &ask("f", 6)), Err(Kind::Unreachable));
}

#[test]
fn engine_cancel_ends_stream() {
    let engine = Engine::start(EngineConfig {
        token_us: 20_000_000,
        ..EngineConfig::default()
    });
    let result = std::thread::scope(|s| {
        let running = s.spawn(|| run(&engine, &ask("a", 6)));
        wait_for("running", || engine.load().running == 1);
        let url = format!("{}/v1/cancel", engine.url());
        let reply = Client::new()
            .call("POST", &url, &[], br#"{"id":"a"}"#, Timeouts::within(LIMIT))
            .expect("cancelled");
        assert_eq!(reply.body, br#"{"found":true}"#);
        running.join().expect("reader")
    });
    assert!(matches!(result, Ok((_, End::Cancelled))));
    wait_for("idle", || engine.load().running == 0);
}

#[test]
fn engine_old_fence_refused() {
    let engine = Engine::start(EngineConfig::default());
    let send = |fence, version: &str| {
        let order = Order {
            fence,
            action: Action::Load(LoadedModel {
                name: MODEL.into(),
                version: version.into(),
                adapters: Vec::new(),
            }),
        };
        let body = serde_json::to_vec(&order).expect("JSON");
        let url = format!("{}/v1/orders", engine.url());
        let reply = Client::new().call("POST", &url, &[], &body, Timeouts::within(LIMIT));
        reply.expect("answered").status
    };
    assert_eq!(send(5, "2"), 200);
    assert_eq!(send(4, "3"), 409);
    wait_for("loaded", || {
        engine.loaded().models.iter().any(|m| &*m.version == "2")
    });
}
