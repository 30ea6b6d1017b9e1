//! Batch jobs on daemon processes that are killed, paused or stopped between accept and result.

use standin::{
    Caller, EngineConfig, Harness, Plan, Process, job_streams, key_of, mixed_lines, wait_for,
};

const ITEMS: usize = 60;
const TOKENS: u32 = 40;

/// A daemon process.
struct Daemon {
    process: Process,
    caller: Caller,
}

impl Daemon {
    fn start(harness: &Harness, name: &str) -> Self {
        let text = format!(
            "[host]\nname = {name}\ndomain = b\n\
             [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\
             [platform]\nlog = {}\nlist = {}\n\
             [stop]\nlinger_ms = 200\ndrain_ms = 30000\n\
             [log]\ninterval_ms = 5\n{}\
             [batch]\nlease_ms = 1500\nparallel = 8\n",
            harness.log.url(),
            harness.list.url(),
            job_streams(),
        );
        let bin = env!("CARGO_BIN_EXE_gooseberrytackd").as_ref();
        let (process, addr, _) = Process::host(bin, &text);
        let caller = Caller::new(format!("http://{addr}"), &key_of("w0"));
        wait_for("the daemon is ready", || {
            let reply = caller.call("GET", "/readyz", b"");
            reply.is_ok_and(|r| r.status == 200)
        });
        Self { process, caller }
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
        owner.process.kill();
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
        owner.process.pause();
        other.caller.wait_job(&job);
        owner.process.resume();
        check(&harness, &other.caller, &name, &job);
        let before = other.caller.job_results(&job).expect("results");
        owner.caller.wait_job(&job);
        wait_for("the paused host reads on", || {
            owner.caller.job_results(&job).as_ref() == Some(&before)
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
    owner.process.terminate();
    assert_eq!(owner.process.wait(), Some(0), "no request was cut");
    let view = other.caller.wait_job(&job);
    assert_eq!(view["request_counts"]["completed"], ITEMS, "{view}");
    check(&harness, &other.caller, "hand-over", &job);
}
