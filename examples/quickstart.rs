//! The whole system in one process: stand-ins for the platform, two engines and three hosts.
//!
//! An operator declares a workspace and its key, callers stream answers while a batch job runs, and
//! one host is lost on the way. The last line counts what callers and engines saw.

use gooseberrytack::engine::End;
use standin::{
    Caller, EngineConfig, Got, Harness, JobLine, MODEL, Plan, answer_to, declare, item_answer,
    item_prompt, job_lines, wait_for,
};
use std::{
    collections::BTreeSet,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Name of the batch job.
const JOB: &str = "digest";
/// Items of the batch job.
const ITEMS: usize = 1_000;
/// Tokens of an item's answer.
const ITEM_TOKENS: u32 = 8;
/// Tokens of an online answer.
const TOKENS: u32 = 24;
/// Callers that stream answers one after the other.
const CALLERS: usize = 6;
/// Completed items after which a host is lost.
const LOSE_AT: u64 = 400;
/// The host that is lost.
const LOST: usize = 1;
/// Time between two progress lines.
const PROGRESS: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// What the callers saw.
#[derive(Default)]
struct Tally {
    ok: AtomicUsize,
    wrong: AtomicUsize,
    retried: AtomicUsize,
    first: Mutex<Vec<Duration>>,
}

fn main() {
    println!("starting a log, a host list, two engines and three hosts");
    let harness = Harness::bare(Plan {
        hosts: 3,
        engines: vec![
            EngineConfig {
                token_us: 5_000,
                ..EngineConfig::default()
            };
            2
        ],
        ..Plan::default()
    });
    let key = declare_all(&harness);
    let callers: Vec<Caller> = (0..3).map(|i| Caller::new(harness.url(i), &key)).collect();
    let job = callers[0].submit_job(JOB, &job_lines(JOB, ITEMS, ITEM_TOKENS));
    println!("accepted the batch job {job} of {ITEMS} items");
    let (tally, over) = (Tally::default(), AtomicBool::new(false));
    thread::scope(|s| {
        for n in 0..CALLERS {
            let (callers, tally, over) = (&callers, &tally, &over);
            s.spawn(move || ask_in_turn(n, callers, tally, over));
        }
        watch(&harness, &callers[0], &job, &tally);
        over.store(true, Ordering::Relaxed);
    });
    let lines = callers[2].job_results(&job).expect("results");
    report(&harness, &lines, &tally);
}

/// Declares the model, the engines and a workspace; returns the workspace's key.
fn declare_all(harness: &Harness) -> String {
    let engines = harness.engines.iter().enumerate();
    let servers: Vec<_> = engines
        .map(|(i, e)| (e.addr(), harness.domain(i).to_string()))
        .collect();
    let (key, revision) = declare(&harness.control(0), &servers);
    wait_for("the configuration on all hosts", || {
        let mut hosts = harness.hosts().into_iter();
        hosts.all(|h| h.config.view(|s| s.revision >= revision))
    });
    println!("declared model {MODEL}, two servers, workspace price-desk and its key");
    key
}

/// Streams answers one after the other; after a lost or refused one, asks another host.
fn ask_in_turn(n: usize, callers: &[Caller], tally: &Tally, over: &AtomicBool) {
    let mut at = n;
    let mut question = 0;
    while !over.load(Ordering::Relaxed) {
        let content = format!("caller {n} asks for the price of yam, question {question}");
        let began = Instant::now();
        let mut first = None;
        let got = callers[at % callers.len()].stream(&content, TOKENS, |_| {
            first.get_or_insert_with(|| began.elapsed());
        });
        match got {
            Got::Whole(text) if text == answer_to(&content, TOKENS) => {
                tally.ok.fetch_add(1, Ordering::Relaxed);
                let mut all = tally.first.lock().expect("first tokens");
                all.extend(first);
                question += 1;
            }
            Got::Whole(_) => {
                tally.wrong.fetch_add(1, Ordering::Relaxed);
                question += 1;
            }
            Got::Refused(..) | Got::Cut(_) => {
                tally.retried.fetch_add(1, Ordering::Relaxed);
                at += 1;
            }
        }
        thread::sleep(PAUSE);
    }
}

/// Prints progress until the job is complete, and loses a host in the middle.
fn watch(harness: &Harness, caller: &Caller, job: &str, tally: &Tally) {
    let mut printed = Instant::now();
    let mut lost = false;
    loop {
        let view = caller.job(job).unwrap_or_default();
        let done = view["request_counts"]["completed"].as_u64().unwrap_or(0);
        if !lost && done >= LOSE_AT {
            harness.kill(LOST);
            lost = true;
            println!("lost host h{LOST} at {done} of {ITEMS} items");
        }
        if printed.elapsed() >= PROGRESS {
            printed = Instant::now();
            let ok = tally.ok.load(Ordering::Relaxed);
            println!("batch {done} of {ITEMS} items, {ok} online answers");
        }
        if view["request_counts"]["open"] == 0 {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn report(harness: &Harness, lines: &[JobLine], tally: &Tally) {
    let runs: Vec<_> = harness.engines.iter().flat_map(|e| e.runs()).collect();
    let finished = |end| runs.iter().filter(|r| r.end == Some(end)).count();
    let generated: BTreeSet<&str> = runs
        .iter()
        .filter(|r| r.end == Some(End::Stop))
        .map(|r| &*r.prompt)
        .collect();
    let right = |i: usize, line: &JobLine| {
        line.text == item_answer(JOB, i, ITEM_TOKENS)
            && generated.contains(&*format!("user: {}\n", item_prompt(JOB, i)))
    };
    let done: BTreeSet<usize> = (0..ITEMS)
        .filter(|i| {
            let id = format!("i{i}");
            lines.iter().any(|l| l.id == id && right(*i, l))
        })
        .collect();
    let ids: BTreeSet<&str> = lines.iter().map(|l| &*l.id).collect();
    let mut first = tally.first.lock().expect("first tokens").clone();
    first.sort();
    let ms = |percent: usize| first.get((first.len().max(1) - 1) * percent / 100);
    let count = |n: &AtomicUsize| n.load(Ordering::Relaxed);
    println!();
    println!("online answers whole and right     {:>6}", count(&tally.ok));
    println!(
        "online answers whole but wrong     {:>6}",
        count(&tally.wrong)
    );
    println!(
        "online questions asked again       {:>6}",
        count(&tally.retried)
    );
    println!(
        "first token p50, p99               {:>6.0?} {:.0?}",
        ms(50).copied().unwrap_or_default(),
        ms(99).copied().unwrap_or_default()
    );
    println!(
        "generations finished by engines    {:>6}",
        finished(End::Stop)
    );
    println!(
        "generations cancelled for others   {:>6}",
        finished(End::Cancelled)
    );
    println!(
        "appends to the log                 {:>6}",
        harness.log.appends()
    );
    println!();
    println!(
        "quickstart online_ok={} batch_done={} batch_lost={} batch_doubled={}",
        count(&tally.ok),
        done.len(),
        ITEMS - done.len(),
        lines.len() - ids.len()
    );
}
