//! Requests within the rate are rarely refused and cost few messages.

mod fleet;

#[allow(dead_code)]
#[path = "../examples/measure/schedule.rs"]
mod schedule;

use fleet::{Fleet, Policy, SECOND, ideal};
use gooseberrytack::{
    config::Workspace,
    limit::{Balance, Lending, Step},
};
use schedule::{HOSTS, NOISY, draw, workspaces};
use std::time::Duration;

/// Time for slots to be claimed.
const WARM_UP: u64 = 15 * SECOND;
/// Time during which requests arrive.
const SPAN: Duration = Duration::from_secs(60);

fn workspace(rate: u32, burst: u32) -> Workspace {
    Workspace {
        name: "workspace-0".into(),
        weight: 1,
        rate,
        burst,
    }
}

/// Each request of a workspace arrives at a different host, as in a fleet of the design size. If
/// all hosts asked the same slot first, it would be empty and most would have to ask twice.
#[test]
fn thin_demand_asks_once() {
    const REQUESTS: u64 = 120;
    let mut fleet = Fleet::new(Policy::Escrow, 40, vec![workspace(225, 22)], 3);
    for n in 0..REQUESTS {
        fleet.arrive(WARM_UP + n * 300_000, (n * 7 % 40) as usize, 0);
    }
    fleet.run(WARM_UP + 45 * SECOND);
    let tally = &fleet.tallies[0];
    assert_eq!(ideal(&tally.arrived, 225, 22), REQUESTS);
    assert_eq!(tally.refused, 0);
    let pairs = fleet.messages / 2;
    assert!(pairs <= REQUESTS, "{pairs} loans for {REQUESTS} requests");
}

/// Runs the schedule of `examples/measure` for a minute with five seeds, each request held up to
/// `hold` microseconds before it is sent. Returns the requests within the rate and how many of them
/// were refused.
fn run_seeds(hold: u64) -> (usize, usize) {
    let runs = (1..6).map(|seed| run_seed(seed, hold));
    runs.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

fn run_seed(seed: u64, hold: u64) -> (usize, usize) {
    let mut fleet = Fleet::new(Policy::Escrow, HOSTS, workspaces(), seed);
    fleet.hold_max = hold;
    let arrivals = draw(seed, "within", SPAN);
    for a in &arrivals {
        fleet.arrive(WARM_UP + a.at.as_micros() as u64, a.host, a.workspace);
    }
    fleet.run(WARM_UP + SPAN.as_micros() as u64 + 5 * SECOND);
    let (mut within, mut refused) = (0, 0);
    for a in arrivals.iter().filter(|a| a.within && a.workspace != NOISY) {
        within += 1;
        let at = WARM_UP + a.at.as_micros() as u64;
        let late = &mut fleet.tallies[a.workspace].refused_at;
        if let Some(i) = late.iter().position(|l| *l == at) {
            late.swap_remove(i);
            refused += 1;
        }
    }
    println!(
        "seed {seed} hold {hold}: {refused} of {within} refused, {} messages",
        fleet.messages
    );
    (within, refused)
}

/// Used tokens occupy their room until they are reported or their loan ends, so a slot can be empty
/// when a single bucket would not be. It has a token again within milliseconds.
#[test]
fn within_rate_waits_for_a_token() {
    let (within, refused) = run_seeds(5_000);
    assert!(refused * 1000 <= within, "{refused} of {within} refused");
}

/// Requests that wait for a server for longer than their token is valid take a new one. The lender
/// takes the expired one back if asked in time.
#[test]
fn within_rate_exchanges_old_tokens() {
    let (within, refused) = run_seeds(600_000);
    assert!(refused * 200 <= within, "{refused} of {within} refused");
}

#[test]
fn balance_waits_only_shortly() {
    let (millis, of) = (Duration::from_millis, workspace(600, 4));
    let after = |empty: u64, since: u64| {
        let mut balance = Balance::default();
        let Step::Ask(ask) = balance.step(&of, 0, millis(since), millis(1000)) else {
            panic!("nothing to spend yet");
        };
        balance.answer(&ask, Some(Lending::Empty(millis(empty))), millis(1000));
        balance.step(&of, 0, millis(since), millis(1000))
    };
    assert_eq!(after(100, 1000), Step::Later(millis(100)));
    assert!(matches!(after(300, 1000), Step::Refuse { sure: true, .. }));
    let waited = after(100, 800);
    assert!(
        matches!(waited, Step::Refuse { sure: true, .. }),
        "{waited:?}"
    );
}
