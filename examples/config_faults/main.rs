//! Puts the configuration under random changes, host losses and faults, while an observer compares
//! all hosts.

mod observer;
mod operators;

use argh::FromArgs;
use gooseberrytack::{
    config::{Outcome, Record, State, Verdict},
    engine::{Action, LoadedModel, Order},
    fold::{Fold, Pos, decode_frame, pos},
    http::{Client, Timeouts},
    kernel::Host,
    order::Placement,
    settings::Settings,
    wire::Name,
};
use observer::observe;
use operators::run_operator;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::{EngineConfig, Harness, MODEL, Plan};
use std::{
    collections::BTreeMap,
    process::ExitCode,
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const HOSTS: usize = 5;
const OPERATORS: usize = 4;
/// Time within which an accepted change is to be in force on every host.
const IN_FORCE: Duration = Duration::from_secs(5);
/// Longest wait of an operator for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the hosts to agree once all faults are cleared.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs random operators, hosts and faults and ends with one line of counts.
#[derive(FromArgs)]
struct Args {
    /// seed of all random choices
    #[argh(option)]
    seed: u64,
    /// seconds of faults, 12 by default, 25 at most
    #[argh(option, default = "12")]
    seconds: u64,
}

/// What the parts of a run share.
#[derive(Default)]
struct Shared {
    hosts: RwLock<Vec<Arc<Host>>>,
    ended: AtomicBool,
    /// What operators were answered, by change.
    answers: Mutex<Vec<(Name, Answer)>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Accepted(Pos),
    Rejected,
    Unknown,
}

#[derive(Debug, Default)]
struct Counts {
    reverted: usize,
    diverged: usize,
    late: usize,
    doubled: usize,
    stale: usize,
    /// Times in milliseconds from a revision's first sight on any host to another's.
    spans: Vec<u128>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut harness = Harness::start(Plan {
        hosts: HOSTS,
        engines: (0..4).map(engine).collect(),
        tune,
        ..Plan::default()
    });
    let shared = Shared::default();
    *shared.hosts.write().expect("hosts") = harness.hosts();
    let counts = thread::scope(|scope| {
        let observer = scope.spawn(|| observe(&shared));
        let operators: Vec<_> = (0..OPERATORS)
            .map(|i| {
                let shared = &shared;
                scope.spawn(move || run_operator(shared, i, args.seed))
            })
            .collect();
        let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
        let end = Instant::now() + Duration::from_secs(args.seconds.min(25));
        while Instant::now() < end {
            let fault = inject_fault(&mut harness, &shared, &mut rng);
            println!("fault {fault}");
            thread::sleep(Duration::from_millis(rng.random_range(50..900)));
        }
        clear_faults(&harness);
        shared.ended.store(true, Ordering::Relaxed);
        operators
            .into_iter()
            .for_each(|o| o.join().expect("operator"));
        settle(&harness);
        observer.join().expect("observer")
    });
    report(args.seed, &harness, &shared, counts)
}

fn engine(i: usize) -> EngineConfig {
    EngineConfig {
        fenced: i.is_multiple_of(2),
        ..EngineConfig::default()
    }
}

fn tune(settings: &mut Settings) {
    settings.loads = 60_000;
    settings.load = Duration::from_secs(1);
}

/// Injects one fault; returns its description.
fn inject_fault(harness: &mut Harness, shared: &Shared, rng: &mut ChaCha8Rng) -> String {
    let i = rng.random_range(0..HOSTS);
    match rng.random_range(0..10) {
        0 => {
            harness.endpoint(i).faults().set(|f| f.down = true);
            format!("log down for host {i}")
        }
        1 => {
            harness.endpoint(i).faults().set(|f| f.freeze = true);
            format!("log frozen for host {i}")
        }
        2 => {
            let lose = rng.random_range(1..4);
            harness.endpoint(i).faults().set(|f| f.lose = lose);
            format!("{lose} answers lost for host {i}")
        }
        3 => {
            let slow = rng.random_range(50..400);
            harness.endpoint(i).faults().set(|f| f.slow_ms = slow);
            format!("log slow by {slow} ms for host {i}")
        }
        4 => {
            (0..HOSTS).for_each(|i| harness.endpoint(i).faults().set(|f| f.refuse = true));
            "log out of order".into()
        }
        5 => {
            harness.replace(i);
            *shared.hosts.write().expect("hosts") = harness.hosts();
            format!("host {i} lost and replaced")
        }
        6 => {
            let name = harness.host(i).me.name.clone();
            harness.list.hide(&name);
            format!("host {i} not on the list")
        }
        7 => {
            send_stale_orders(harness, rng);
            "late orders of an earlier issuer".into()
        }
        _ => {
            clear_faults(harness);
            "none any more".into()
        }
    }
}

fn clear_faults(harness: &Harness) {
    (0..HOSTS).for_each(|i| harness.endpoint(i).faults().clear());
    for host in harness.hosts() {
        harness.list.unforce(&host.me.name);
    }
}

/// Sends orders with a stale fencing token, as an issuer does that was suspended.
fn send_stale_orders(harness: &Harness, rng: &mut ChaCha8Rng) {
    let action = Action::Load(LoadedModel {
        name: MODEL.into(),
        version: format!("late{}", rng.random_range(0..100)).into(),
        adapters: vec![],
    });
    let body = serde_json::to_vec(&Order { fence: 1, action }).expect("JSON");
    for engine in &harness.engines {
        let url = format!("{}/v1/orders", engine.url());
        let _ = Client::new().call("POST", &url, &[], &body, Timeouts::within(ANSWER_TIMEOUT));
    }
}

/// Waits until all hosts are at the head of the log and the engines have what was declared.
fn settle(harness: &Harness) {
    let end = Instant::now() + SETTLE_TIMEOUT;
    while Instant::now() < end && (!all_at_head(harness) || stale_engines(harness) > 0) {
        thread::sleep(POLL_INTERVAL);
    }
}

fn all_at_head(harness: &Harness) -> bool {
    let head = harness.log.records("config").last().map(|e| e.offset + 1);
    let hosts = harness.hosts();
    hosts.iter().all(|h| Some(h.config.progress().next) == head)
}

/// Engines that do not have what was declared.
fn stale_engines(harness: &Harness) -> usize {
    let host = &harness.hosts()[0];
    let engines = harness.engines.iter().enumerate();
    engines
        .filter(|(i, engine)| {
            let wanted = host
                .config
                .view(|s| Placement::of(s, &format!("e{i}")))
                .unwrap_or_default();
            engine.loaded().models != wanted.models
        })
        .count()
}

/// Replays the log record by record and counts the changes that altered the state twice.
fn replay(harness: &Harness) -> (State, usize) {
    let mut state = State::default();
    let mut altered: BTreeMap<Name, usize> = BTreeMap::new();
    for entry in harness.log.records("config") {
        for (i, record) in decode_frame::<Record>(&entry.bytes) {
            let before = state.objects.clone();
            state.apply(pos(entry.offset, i), &record);
            if let Record::Change(change) = &record
                && state.objects != before
            {
                *altered.entry(change.id.clone()).or_default() += 1;
            }
        }
    }
    (state, altered.values().filter(|n| **n > 1).count())
}

/// Compares the answers to operators with the replayed log, and prints the last line.
fn report(seed: u64, harness: &Harness, shared: &Shared, mut counts: Counts) -> ExitCode {
    let (state, doubled) = replay(harness);
    counts.doubled = doubled;
    counts.stale = stale_engines(harness);
    let differ = |h: &Arc<Host>| h.config.view(|s| *s != state);
    counts.diverged += harness.hosts().iter().filter(|h| differ(h)).count();
    let answers = shared.answers.lock().expect("answers");
    for (id, answer) in answers.iter() {
        let outcome = state.outcome(id);
        let accepted = outcome.is_some_and(|o| o.verdict == Verdict::Accepted);
        let at = outcome.map(|o: &Outcome| o.at);
        match answer {
            Answer::Accepted(pos) if !accepted || at != Some(*pos) => counts.reverted += 1,
            Answer::Rejected if accepted => counts.diverged += 1,
            _ => {}
        }
    }
    let accepted = answers
        .iter()
        .filter(|(_, t)| matches!(t, Answer::Accepted(_)))
        .count();
    let unknown = answers
        .iter()
        .filter(|(_, t)| *t == Answer::Unknown)
        .count();
    println!(
        "unknown={unknown} orders={} {}",
        orders(harness),
        percentiles(&mut counts.spans)
    );
    let Counts {
        reverted,
        diverged,
        late,
        doubled,
        stale,
        ..
    } = counts;
    println!(
        "config_faults seed={seed} changes={} accepted={accepted} reverted={reverted} diverged={diverged} late={late} double_applied={doubled} stale_orders_in_force={stale}",
        answers.len()
    );
    ExitCode::from(u8::from(reverted + diverged + late + doubled + stale > 0))
}

fn percentiles(spans: &mut [u128]) -> String {
    spans.sort_unstable();
    let at = |part: usize| spans.get(spans.len().saturating_sub(1) * part / 100);
    format!(
        "in_force_ms p50={} p99={} max={}",
        at(50).unwrap_or(&0),
        at(99).unwrap_or(&0),
        at(100).unwrap_or(&0)
    )
}

fn orders(harness: &Harness) -> usize {
    harness.engines.iter().map(|e| e.orders().len()).sum()
}
