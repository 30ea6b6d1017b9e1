//! One deployment: its hosts and servers, and the phases of the measurement.

use crate::{
    baseline::{Baseline, Buckets, Pool},
    batch::BatchLoad,
    figures::{self, Figures, Windows},
    online::{self, Ask},
    progress::{Gain, Progress},
    schedule::{self, HOSTS, SERVERS, WORKSPACES},
    stages,
    system::System,
};
use standin::{Engine, EngineConfig, Harness, Plan, key_of};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Requests that an engine runs at full speed.
const SLOTS: u32 = 6;
/// Microseconds to the first token.
const FIRST_US: u64 = 24_000;
/// Microseconds to the first token on a hit in the prefix cache.
const CACHED_US: u64 = 12_000;
/// Microseconds between tokens.
const TOKEN_US: u64 = 16_000;
/// Prefixes that an engine caches.
const PREFIXES: usize = 16;
/// Windows of the system itself.
const OWN: Phases = Phases {
    quiets: 2,
    quiet: Duration::from_millis(1_500),
    mixed: Duration::from_millis(5_000),
};
/// Windows of the baselines.
const BASE: Phases = Phases {
    quiets: 1,
    quiet: Duration::from_millis(900),
    mixed: Duration::from_millis(900),
};
/// Time after a window beside batch work, in which the buckets of all workspaces refill.
const REFILL_TIME: Duration = Duration::from_millis(700);
/// Difference of the seeds of two windows.
const SEED_STEP: u64 = 1 << 32;
/// Length of the phase with batch work alone.
const ALONE_TIME: Duration = Duration::from_millis(1_000);
/// Time for the hosts to know of each other, for gates to settle and for rates to be shared out.
const WARM_UP: Duration = Duration::from_millis(2_500);
/// Servers that the static split gives to online requests.
const ONLINE_SERVERS: usize = SERVERS / 2;

/// Windows of online load.
struct Phases {
    /// Windows without batch work; the first is before the one beside it.
    quiets: u64,
    /// Length of a window without batch work.
    quiet: Duration,
    /// Length of a window beside batch work.
    mixed: Duration,
}

/// A deployment.
pub struct Deployment {
    /// Name in the output.
    pub name: &'static str,
    /// Failure domains.
    pub domains: &'static [&'static str],
}

/// The price desk.
pub const PRICE_DESK: Deployment = Deployment {
    name: "price_desk",
    domains: &["ibadan", "lagos", "abeokuta", "akure"],
};
/// Kigali.
pub const KIGALI: Deployment = Deployment {
    name: "kigali",
    domains: &["nyarugenge", "gasabo", "kicukiro"],
};

impl Deployment {
    /// Runs all phases; the figures of the system and of both baselines, each with the prefix of
    /// its names.
    pub fn measure(&self, seed: u64, own_only: bool, trace: bool) -> Vec<(&'static str, Figures)> {
        let harness = self.start();
        let began = Instant::now();
        let engines: Vec<&Engine> = harness.engines.iter().collect();
        let all = Pool::new(&engines, SLOTS);
        let (left, right) = engines.split_at(ONLINE_SERVERS);
        let (online, batch) = (Pool::new(left, SLOTS), Pool::new(right, SLOTS));
        let fcfs = Baseline::new(&all, &all, None);
        let split = Baseline::new(&online, &batch, Some(Buckets::new()));
        let system = System { harness: &harness };
        let served = &harness.engines;
        let alone = alone(&fcfs, served);
        let mut systems = Vec::new();
        if !own_only {
            systems.push(("fcfs_", phases(&fcfs, served, seed, "fcfs", &BASE, alone)));
            systems.push((
                "static_",
                phases(&split, served, seed, "static", &BASE, alone),
            ));
        }
        thread::sleep(WARM_UP.saturating_sub(began.elapsed()));
        let mut own = phases(&system, served, seed, "own", &OWN, alone);
        if trace {
            stages::print(&engines, &["own quiet", "own mixed"]);
        }
        let keys = (0..WORKSPACES).map(|w| key_of(&schedule::name(w)));
        let keys: Vec<String> = keys.collect();
        let seen = engines
            .iter()
            .filter(|e| keys.iter().any(|k| e.seen().contains(k)));
        own.key_seen = seen.count() as u64;
        systems.insert(0, ("", own));
        systems
    }

    fn start(&self) -> Harness {
        let engine = EngineConfig {
            slots: SLOTS,
            first_us: FIRST_US,
            cached_us: CACHED_US,
            token_us: TOKEN_US,
            prefixes: PREFIXES,
            ..EngineConfig::default()
        };
        Harness::start(Plan {
            hosts: HOSTS,
            engines: vec![engine; SERVERS],
            domains: self.domains.iter().map(|d| d.to_string()).collect(),
            workspaces: schedule::workspaces(),
            ..Plan::default()
        })
    }
}

/// Batch tokens a second without online load, with every slot taken again at once.
fn alone(pool: &Baseline<'_>, engines: &[Engine]) -> f64 {
    pool.with_batch("alone", || {
        let (before, began) = (Progress::read(engines), Instant::now());
        thread::sleep(ALONE_TIME);
        let gain = Progress::read(engines).since(&before);
        gain.total() as f64 / began.elapsed().as_secs_f64()
    })
}

/// Windows of online load, in turn without and with batch work.
fn phases<S: Ask + BatchLoad>(
    system: &S,
    engines: &[Engine],
    seed: u64,
    label: &str,
    plan: &Phases,
    alone: f64,
) -> Figures {
    let (mut quiet, mut mixed) = (Windows::default(), Windows::default());
    for round in 0..plan.quiets {
        let unique = format!("{label} quiet {round}");
        let schedule = schedule::draw(seed + SEED_STEP * round, &unique, plan.quiet);
        let online = online::play(&schedule, system, plan.quiet, || {});
        quiet.add(online, Gain::default(), plan.quiet);
        if round == 0 {
            mixed_window(system, engines, seed, (label, plan.mixed), &mut mixed);
        }
        if round + 1 < plan.quiets {
            thread::sleep(REFILL_TIME);
        }
    }
    figures(&quiet, &mixed, alone)
}

/// Online load beside batch work.
fn mixed_window<S: Ask + BatchLoad>(
    system: &S,
    engines: &[Engine],
    seed: u64,
    (label, span): (&str, Duration),
    mixed: &mut Windows,
) {
    let schedule = schedule::draw(seed, &format!("{label} mixed"), span);
    let (online, gain) = system.with_batch(label, || {
        let (before, mut gain) = (Progress::read(engines), Gain::default());
        let online = online::play(&schedule, system, span, || {
            gain = Progress::read(engines).since(&before);
        });
        (online, gain)
    });
    mixed.add(online, gain, span);
}

fn figures(quiet: &Windows, mixed: &Windows, alone: f64) -> Figures {
    println!("# batch {:?} of {alone:.0}/s alone", mixed.batch);
    let (calm, busy) = (quiet.all(), mixed.all());
    for (name, all) in [("quiet", &calm), ("mixed", &busy)] {
        let at = |part| figures::first(all, part) * 1_000.0;
        let (half, tail, last) = (at(0.5), at(0.99), at(1.0));
        println!("# {name}: first token p50={half:.1} p99={tail:.1} max={last:.1} ms");
    }
    let both = [calm.as_slice(), busy.as_slice()].concat();
    Figures {
        batch_share: batch_share(mixed, alone),
        online_harm: figures::first(&busy, 0.99) / figures::first(&calm, 0.99),
        worst_workspace: figures::worst_workspace(mixed),
        refused_within: figures::refused_within(&both),
        over_admitted: quiet.over_admitted().max(mixed.over_admitted()),
        crossed: figures::crossed(&both),
        failed: figures::failed(&both),
        key_seen: 0,
        first_ms: figures::first(&calm, 0.99) * 1_000.0,
    }
}

/// Batch tokens over those that the slots not used by online requests would have given. An online
/// request uses a slot for the time that the engine needs at least.
fn batch_share(mixed: &Windows, alone: f64) -> f64 {
    let window = mixed.span / mixed.online.len() as u32;
    let all = mixed.all();
    let served = all.iter().filter(|d| d.first.is_some_and(|f| f < window));
    let busy_us: u64 = served
        .map(|d| CACHED_US + TOKEN_US * u64::from(d.tokens - 1))
        .sum();
    let slots = (SERVERS as u32 * SLOTS) as f64;
    let seconds = mixed.span.as_secs_f64();
    let busy = busy_us as f64 / 1e6 / (slots * seconds);
    mixed.batch.total() as f64 / (alone * seconds * (1.0 - busy))
}
