//! Batch jobs on daemon processes that are killed, paused or stopped between accept and result.

use standin::{Caller, EngineConfig, Harness, Plan, job_streams, key_of, mixed_lines, wait_for};
use std::{
    env, fs,
    net::TcpListener,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

const ITEMS: usize = 60;
const TOKENS: u32 = 40;

static FILES: AtomicU32 = AtomicU32::new(0);

/// A daemon process.
struct Daemon {
    child: Child,
    caller: Caller,
    file: PathBuf,
}

impl Daemon {
    fn start(harness: &Harness, name: &str) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = free.local_addr().expect("its address").port();
        drop(free);
        let text = format!(
            "[host]\nname = {name}\ndomain = b\n\
             [listen]\ncaller = 127.0.0.1:{port}\npeer = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\
             [platform]\nlog = {}\nlist = {}\n\
             [stop]\nlinger_ms = 200\ndrain_ms = 30000\n\
             [log]\ninterval_ms = 5\n{}\
             [batch]\nlease_ms = 1500\nparallel = 8\n",
            harness.log.url(),
            harness.list.url(),
            job_streams(),
        );
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = env::temp_dir().join(format!("gt-{}-{number}.ini", std::process::id()));
        fs::write(&file, text).expect("the settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_gooseberrytackd"))
            .arg(&file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let caller = Caller::new(format!("http://127.0.0.1:{port}"), &key_of("w0"));
        let daemon = Self {
            child,
            caller,
            file,
        };
        wait_for("the daemon is ready", || {
            let reply = daemon.caller.call("GET", "/readyz", b"");
            reply.is_ok_and(|r| r.status == 200)
        });
        daemon
    }

    fn signal(&self, name: &str) {
        let order = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &order]).status();
        assert!(status.expect("sh").success(), "{order}");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Progress of the job at which the fault happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Accepted,
    Running,
    PartlyDone,
    Done,
}

const STEPS: [Step; 4] = [Step::Accepted, Step::Running, Step::PartlyDone, Step::Done];

/// A harness whose own host sets up the configuration and answers calls, but runs no batch items.
fn observer() -> Harness {
    Harness::start(Plan {
        hosts: 1,
        engines: vec![EngineConfig::default(); 2],
        tune: |s| s.parallel = 0,
        ..Plan::default()
    })
}

/// Every third item may not be repeated.
fn lines(name: &str) -> String {
    mixed_lines(name, ITEMS, TOKENS)
}

fn wait_step(harness: &Harness, job: &str, step: Step) {
    let done = || {
        let view = harness.caller(0).job(job);
        view.map_or(0, |v| {
            v["request_counts"]["completed"].as_u64().unwrap_or(0)
        })
    };
    match step {
        Step::Accepted => {}
        Step::Running => wait_for("items under way", || {
            harness.engines.iter().any(|e| e.load().running > 0)
        }),
        Step::PartlyDone => wait_for("some items done", || done() > 0),
        Step::Done => {
            harness.caller(0).wait_job(job);
        }
    }
}

fn check(harness: &Harness, caller: &Caller, name: &str, job: &str) {
    harness.check_mixed(caller, name, job, ITEMS, TOKENS);
}

#[test]
fn killed_owner_loses_and_doubles_nothing() {
    let harness = observer();
    let other = Daemon::start(&harness, "other");
    for step in STEPS {
        let name = format!("kill-{step:?}");
        let mut owner = Daemon::start(&harness, "owner");
        let job = owner.caller.submit_job(&name, &lines(&name));
        wait_step(&harness, &job, step);
        owner.child.kill().expect("SIGKILL");
        let again = other.caller.submit_job(&name, &lines(&name));
        assert_eq!(again, job, "a resend finds the job of the lost host");
        other.caller.wait_job(&job);
        check(&harness, &other.caller, &name, &job);
    }
}

#[test]
fn paused_owner_loses_and_doubles_nothing() {
    let harness = observer();
    let other = Daemon::start(&harness, "other");
    for step in STEPS {
        let name = format!("stop-{step:?}");
        let owner = Daemon::start(&harness, "owner");
        let job = owner.caller.submit_job(&name, &lines(&name));
        wait_step(&harness, &job, step);
        owner.signal("STOP");
        other.caller.wait_job(&job);
        owner.signal("CONT");
        check(&harness, &other.caller, &name, &job);
        let before = other.caller.job_results(&job);
        owner.caller.wait_job(&job);
        wait_for("the paused host reads on", || {
            owner.caller.job_results(&job) == before
        });
        check(&harness, &owner.caller, &name, &job);
    }
}

#[test]
fn planned_stop_hands_over() {
    let harness = observer();
    let mut owner = Daemon::start(&harness, "owner");
    let job = owner.caller.submit_job("hand-over", &lines("hand-over"));
    wait_step(&harness, &job, Step::PartlyDone);
    let other = Daemon::start(&harness, "other");
    owner.signal("TERM");
    let status = owner.child.wait().expect("the end of the daemon");
    assert!(status.success(), "no request was cut");
    let view = other.caller.wait_job(&job);
    assert_eq!(view["request_counts"]["completed"], ITEMS, "{view}");
    check(&harness, &other.caller, "hand-over", &job);
}
