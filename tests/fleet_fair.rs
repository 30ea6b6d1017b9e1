//! Fair shares of workspaces over a fleet: schedulers and gates in one loop on a simulated clock.

#[path = "fleet_fair/flight.rs"]
mod flight;
#[path = "fleet_fair/sim.rs"]
mod sim;

use sim::Sim;

/// Time for batch work to reach a steady state.
const WARMUP_MS: u64 = 1_600;
/// Time over which shares are counted.
const WINDOW_MS: u64 = 8_000;
/// Least ratio of the service of a workspace to its fair share.
const SHARE_MIN: f64 = 0.9;

#[test]
fn fleet_beside_online_serves_worst_its_share() {
    for seed in 1..=6 {
        let mut sim = Sim::new(seed);
        sim.add_jobs(60);
        sim.run(WARMUP_MS);
        let shares = sim.window(WINDOW_MS);
        let worst = shares.iter().copied().fold(f64::INFINITY, f64::min);
        assert!(worst >= SHARE_MIN, "seed {seed}: {shares:.2?}");
        assert_eq!(
            sim.idle, 0,
            "seed {seed}: slots were idle while work was open"
        );
    }
}
