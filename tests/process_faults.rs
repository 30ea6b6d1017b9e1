//! Faults of real processes: each host, each engine, the log and the host list is its own process.

use gooseberrytack::{entry::auth::hash_key, member::reach_span};
use serde_json::json;
use standin::{
    Caller, Got, Process, answer_to, call_control, declare, ini, item_answer, job_lines, wait_for,
};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

const ITEMS: usize = 200;
const TOKENS: u32 = 8;
const HOSTS: usize = 3;

struct Host {
    process: Process,
    caller: SocketAddr,
    control: String,
}

struct Fleet {
    log: Process,
    _list: Process,
    engines: Vec<Process>,
    hosts: Vec<Host>,
    key: String,
}

fn daemon() -> PathBuf {
    env!("CARGO_BIN_EXE_gooseberrytackd").into()
}

fn standin(kind: &str) -> (Process, SocketAddr) {
    let config = match kind {
        "engine" => json!({"token_us": 4000}),
        _ => json!({}),
    };
    Process::standin(&daemon().with_file_name("standin"), kind, &config)
}

impl Fleet {
    fn start() -> Self {
        let (log, log_addr) = standin("log");
        let (list, list_addr) = standin("list");
        let (engines, addrs): (Vec<_>, Vec<_>) = (0..2).map(|_| standin("engine")).unzip();
        let urls = (format!("http://{log_addr}"), format!("http://{list_addr}"));
        let hosts: Vec<Host> = (0..HOSTS)
            .map(|i| start_host(&daemon(), i, &urls.0, &urls.1))
            .collect();
        for host in &hosts {
            let caller = Caller::new(format!("http://{}", host.caller), "");
            wait_for("host ready", || is_ready(&caller));
        }
        let servers: Vec<_> = addrs.into_iter().map(|a| (a, "a".to_string())).collect();
        let (key, revision) = declare(&hosts[0].control, &servers);
        wait_for("configuration everywhere", || {
            hosts.iter().all(|h| {
                let state = call_control(&h.control, "GET", "state", &json!(null));
                state["revision"].as_u64() >= Some(revision)
            })
        });
        Self {
            log,
            _list: list,
            engines,
            hosts,
            key,
        }
    }

    fn caller(&self, i: usize) -> Caller {
        Caller::new(format!("http://{}", self.hosts[i].caller), &self.key)
    }

    /// Submits a job and waits until some of its items are done.
    fn begin_job(&self, i: usize) -> String {
        let caller = self.caller(i);
        let job = caller.submit_job("digest", &job_lines("digest", ITEMS, TOKENS));
        wait_for("the job to be in progress", || {
            let view = caller.job(&job).unwrap_or_default();
            view["request_counts"]["completed"].as_u64() >= Some(10)
        });
        job
    }

    fn assert_job_whole(&self, i: usize, job: &str) {
        let caller = self.caller(i);
        caller.wait_job(job);
        let lines = caller.job_results(job).expect("results");
        assert_eq!(lines.len(), ITEMS);
        for (n, line) in lines.iter().enumerate() {
            assert_eq!(line.id, format!("i{n}"));
            assert_eq!(line.text, item_answer("digest", n, TOKENS));
        }
    }
}

fn start_host(bin: &Path, i: usize, log: &str, list: &str) -> Host {
    let text = ini(&format!("h{i}"), "a", log, list).replace("linger_ms = 200", "linger_ms = 2000")
        + "[limits]\ndeadline_ms = 60000\n";
    let (process, caller, control) = Process::host(bin, &text);
    Host {
        process,
        caller,
        control: format!("http://{control}"),
    }
}

fn is_ready(caller: &Caller) -> bool {
    let reply = caller.call("GET", "/readyz", &[]);
    reply.is_ok_and(|r| r.status == 200)
}

/// Streams answers until `over`; panics on one that is complete but wrong. Returns the number of complete
/// answers.
fn stream_until(caller: &Caller, name: &str, over: &AtomicBool) -> usize {
    let mut whole = 0;
    for n in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let content = format!("{name} {n}");
        if let Got::Whole(text) = caller.stream(&content, TOKENS, |_| {}) {
            assert_eq!(text, answer_to(&content, TOKENS));
            whole += 1;
        }
    }
    whole
}

/// Streams answers and runs a job during `fault`; the job must complete, and each caller gets answers.
fn work_through(fleet: &mut Fleet, fault: impl FnOnce(&mut Fleet)) {
    let callers: Vec<_> = (0..HOSTS).map(|i| fleet.caller(i)).collect();
    let over = AtomicBool::new(false);
    thread::scope(|s| {
        let streams: Vec<_> = callers
            .iter()
            .map(|c| s.spawn(|| stream_until(c, "yam", &over)))
            .collect();
        let job = fleet.begin_job(0);
        fault(fleet);
        fleet.assert_job_whole(1, &job);
        over.store(true, Ordering::Relaxed);
        for stream in streams {
            assert!(stream.join().expect("caller") > 0);
        }
    });
}

#[test]
fn host_killed_work_goes_on() {
    let mut fleet = Fleet::start();
    work_through(&mut fleet, |fleet| fleet.hosts[0].process.kill());
    let got = fleet.caller(2).ask("after", TOKENS);
    assert_eq!(got, Got::Whole(answer_to("after", TOKENS)));
}

#[test]
fn engine_killed_work_goes_on() {
    let mut fleet = Fleet::start();
    work_through(&mut fleet, |fleet| fleet.engines[0].kill());
    wait_for("answers by the engine that is left", || {
        fleet.caller(2).ask("after", TOKENS) == Got::Whole(answer_to("after", TOKENS))
    });
}

#[test]
fn log_killed_online_goes_on() {
    let mut fleet = Fleet::start();
    fleet.begin_job(0);
    fleet.log.kill();
    for i in 0..HOSTS {
        for n in 0..10 {
            let content = format!("without log {i} {n}");
            let got = fleet.caller(i).ask(&content, TOKENS);
            assert_eq!(got, Got::Whole(answer_to(&content, TOKENS)));
        }
    }
    let lines = job_lines("late", 3, TOKENS);
    let reply = fleet.caller(1).send_job("late", &lines).expect("answered");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    assert_eq!(reply.status, 503, "{text}");
    assert!(text.contains("\"retry_after_ms\""), "{text}");
    assert!(
        text.contains("\"code\":\"log_down\"") || text.contains("\"code\":\"unsettled\""),
        "{text}"
    );
}

#[test]
fn sigterm_cuts_no_request() {
    let mut fleet = Fleet::start();
    let callers: Vec<_> = (0..8).map(|_| fleet.caller(1)).collect();
    let (whole, under_way) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|s| {
        for (n, caller) in callers.iter().enumerate() {
            let (whole, under_way) = (&whole, &under_way);
            // Like the load balancer, a caller sends nothing to a host that is not ready.
            s.spawn(move || {
                while is_ready(caller) {
                    under_way.fetch_add(1, Ordering::Relaxed);
                    let content = format!("caller {n}");
                    let got = caller.stream(&content, 64, |_| {});
                    assert_eq!(got, Got::Whole(answer_to(&content, 64)));
                    whole.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        wait_for("load", || whole.load(Ordering::Relaxed) > 16);
        fleet.hosts[1].process.terminate();
    });
    assert_eq!(fleet.hosts[1].process.wait(), Some(0), "exit code");
    assert_eq!(whole.into_inner(), under_way.into_inner());
}

fn revision(control: &str) -> u64 {
    let state = call_control(control, "GET", "state", &json!(null));
    state["revision"].as_u64().expect("a revision")
}

#[test]
fn paused_over_changes_comes_up_right() {
    let fleet = Fleet::start();
    let (first, paused) = (&fleet.hosts[0], &fleet.hosts[2]);
    let caller = fleet.caller(2);
    let body = json!({"version": "1", "tokens": 4096});
    let path = "models/small?reason=long-streams";
    let done = call_control(&first.control, "PUT", path, &body);
    wait_for("the limit of tokens", || {
        Some(revision(&paused.control)) >= done["revision"].as_u64()
    });
    assert_eq!(
        caller.ask("before", TOKENS),
        Got::Whole(answer_to("before", TOKENS))
    );
    let pieces = AtomicUsize::new(0);
    thread::scope(|s| {
        let stream = s.spawn(|| {
            caller.stream("under way", 4096, |_| {
                pieces.fetch_add(1, Ordering::Relaxed);
            })
        });
        wait_for("tokens", || pieces.load(Ordering::Relaxed) > 10);
        let before = revision(&paused.control);
        paused.process.pause();
        let began = Instant::now();
        for n in 0..4 {
            let body = json!({"version": format!("{n}")});
            call_control(&first.control, "PUT", "models/other", &body);
        }
        let hash = hash_key(&fleet.key);
        let path = format!("keys/{hash}?reason=leak");
        call_control(&first.control, "DELETE", &path, &json!(null));
        let body = json!({"workspace": "price-desk", "label": "next"});
        let issued = call_control(&first.control, "POST", "keys", &body);
        let top = issued["revision"].as_u64().expect("a revision");
        // These requests wait in the sockets of the paused process until it has been cut off for long.
        let early: Vec<_> = (0..4)
            .map(|_| s.spawn(|| caller.ask("early", TOKENS)))
            .collect();
        wait_for("the time after which a host counts as cut off", || {
            began.elapsed() > reach_span(HOSTS) + Duration::from_secs(1)
        });
        paused.process.resume();
        let mut last = before;
        wait_for("the revision", || {
            let now = revision(&paused.control);
            assert!(now >= last, "revision {now} after {last}");
            last = now;
            now >= top
        });
        for got in early {
            let got = got.join().expect("caller");
            assert!(matches!(got, Got::Refused(401 | 503, _)), "{got:?}");
        }
        wait_for("the key known as withdrawn", || {
            let got = caller.ask("late", TOKENS);
            assert!(matches!(got, Got::Refused(401 | 503, _)), "{got:?}");
            matches!(got, Got::Refused(401, _))
        });
        let got = stream.join().expect("caller");
        assert!(matches!(got, Got::Cut(_)), "{got:?}");
        let next = issued["key"].as_str().expect("a key");
        let caller = Caller::new(format!("http://{}", paused.caller), next);
        assert_eq!(
            caller.ask("after", TOKENS),
            Got::Whole(answer_to("after", TOKENS))
        );
        let other = call_control(&paused.control, "GET", "models/other", &json!(null));
        assert_eq!(other["declared"]["model"]["version"], "3", "{other}");
    });
}

#[test]
fn daemon_checks_settings() {
    let file = std::env::temp_dir().join(format!("gbt-check-{}.ini", std::process::id()));
    let run = |text: &str| {
        std::fs::write(&file, text).expect("written");
        let mut command = std::process::Command::new(daemon());
        let out = command.arg("--check").arg(&file).output().expect("run");
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        (out.status.code(), text)
    };
    let good = ini("h", "a", "http://127.0.0.1:1", "http://127.0.0.1:2");
    assert_eq!(run(&good), (Some(0), String::new()));
    let (code, text) = run(&good.replace("lease_ms = 1500", "lease_ms = soon"));
    assert_eq!(code, Some(2));
    assert!(text.contains("section=batch key=lease_ms value=\"soon\""));
    let _ = std::fs::remove_file(&file);
}
