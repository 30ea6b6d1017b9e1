//! Compares ways to keep a workspace's rate over all hosts, on the pure cores and a simulated
//! clock: `cargo run --release --example limit_compare -- [SEED]`.

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{Fault, Fleet, Policy, SECOND, ideal, over};
use gooseberrytack::config::Workspace;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time in which the slots are claimed, before the first request.
const WARM_UP: u64 = 15 * SECOND;
/// Time in which requests arrive.
const SPAN: u64 = 60 * SECOND;
/// Requests a minute of the small workspaces, and of the large ones.
const RATES: [u32; 8] = [120, 120, 300, 300, 300, 600, 6000, 12_000];
/// The workspace that sends several times its rate.
const NOISY: usize = 5;

struct Case {
    hosts: usize,
    even: bool,
    faults: bool,
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    println!("seed={seed}; arrivals for {} s", SPAN / SECOND);
    println!(
        "| hosts | arrival | faults | way | over-admitted | refused within rate | of the noisy one | messages/s a host |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for hosts in [10, 100] {
        for (even, faults) in [(true, false), (false, false), (false, true)] {
            let case = Case {
                hosts,
                even,
                faults,
            };
            for policy in [Policy::Escrow, Policy::Static, Policy::Owner] {
                run(policy, &case, seed);
            }
        }
    }
}

fn run(policy: Policy, case: &Case, seed: u64) {
    let workspaces: Vec<Workspace> = RATES
        .iter()
        .enumerate()
        .map(|(i, rate)| Workspace {
            name: format!("workspace-{i}").into(),
            weight: 1,
            rate: *rate,
            burst: rate / 10,
        })
        .collect();
    let mut fleet = Fleet::new(policy, case.hosts, workspaces.clone(), seed);
    fleet.hold_max = 5_000;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for (w, workspace) in workspaces.iter().enumerate() {
        arrivals(&mut fleet, &mut rng, case, w, workspace);
    }
    if case.faults {
        fleet.fault(Fault::Lose(0), WARM_UP + 10 * SECOND, WARM_UP + 12 * SECOND);
        fleet.fault(Fault::Stop(1), WARM_UP + 20 * SECOND, WARM_UP + 22 * SECOND);
        fleet.fault(Fault::LogDown, WARM_UP + 30 * SECOND, WARM_UP + 50 * SECOND);
    }
    fleet.run(WARM_UP + SPAN + 5 * SECOND);
    report(policy, case, &mut fleet, &workspaces);
}

/// Requests with random gaps: 80 in 100 of the rate, four times the rate for the noisy one. Where
/// they are uneven, six of ten come to one host.
fn arrivals(fleet: &mut Fleet, rng: &mut ChaCha8Rng, case: &Case, w: usize, workspace: &Workspace) {
    let load = if w == NOISY { 4.0 } else { 0.8 };
    let gap = 60e6 / (f64::from(workspace.rate) * load);
    let mut at = WARM_UP as f64;
    loop {
        at += -gap * (1.0 - rng.random::<f64>()).ln();
        if at > (WARM_UP + SPAN) as f64 {
            return;
        }
        let host = if !case.even && rng.random_range(0..10) < 6 {
            (w + 2) % case.hosts
        } else {
            rng.random_range(0..case.hosts)
        };
        fleet.arrive(at as u64, host, w);
    }
}

fn report(policy: Policy, case: &Case, fleet: &mut Fleet, workspaces: &[Workspace]) {
    let mut worst = f64::NEG_INFINITY;
    let (mut within, mut missing) = (0, 0);
    let mut noisy = 0.0;
    for (w, workspace) in workspaces.iter().enumerate() {
        let tally = &mut fleet.tallies[w];
        tally.sent.sort_unstable();
        worst = worst.max(over(&tally.sent, workspace.rate, workspace.burst));
        let due = ideal(&tally.arrived, workspace.rate, workspace.burst);
        let lost = due.saturating_sub(tally.sent.len() as u64);
        if w == NOISY {
            noisy = lost as f64 / due as f64;
        } else {
            within += due;
            missing += lost;
        }
    }
    println!(
        "| {} | {} | {} | {policy:?} | {:.0} | {:.4} | {noisy:.4} | {:.1} |",
        case.hosts,
        if case.even { "even" } else { "uneven" },
        if case.faults { "yes" } else { "no" },
        worst.max(0.0).ceil(),
        missing as f64 / within as f64,
        fleet.messages as f64 / ((WARM_UP + SPAN) / SECOND) as f64 / case.hosts as f64,
    );
}
