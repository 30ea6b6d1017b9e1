//! Measures what users care about: batch throughput, latency of online requests beside batch work,
//! fairness among workspaces, and refusals within the rate, at today's size.
//!
//! Runs both deployments one after the other against stand-ins, each with two baselines: first
//! come, first served without priority, and a static split of servers and rates. Ends with lines of
//! key=value; each figure is the worse of the two deployments.

mod baseline;
mod batch;
mod deployment;
mod figures;
mod online;
mod progress;
mod schedule;
mod stages;
mod system;

use argh::FromArgs;
use deployment::{KIGALI, PRICE_DESK};
use figures::Figures;
use std::time::Instant;
use tracing_subscriber::{layer::SubscriberExt, util::SubscriberInitExt};

/// Measures batch throughput, online latency, fairness and refusals.
#[derive(FromArgs)]
struct Args {
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// leave the baselines out
    #[argh(switch)]
    own: bool,
    /// write the events of all hosts to standard error
    #[argh(switch)]
    log: bool,
    /// print the stages of the time to first token, and the slowest requests event by event
    #[argh(switch)]
    stages: bool,
}

fn main() {
    let args: Args = argh::from_env();
    let log = args.log.then(|| {
        tracing_subscriber::fmt::layer()
            .with_writer(std::io::stderr)
            .with_timer(tracing_subscriber::fmt::time::uptime())
            .with_ansi(false)
    });
    if args.log || args.stages {
        tracing_subscriber::registry()
            .with(log)
            .with(args.stages.then_some(stages::Recorder))
            .init();
    }
    let began = Instant::now();
    let mut worst: Vec<(&str, Figures)> = Vec::new();
    for (i, deployment) in [PRICE_DESK, KIGALI].iter().enumerate() {
        let systems = deployment.measure(args.seed * 2 + i as u64, args.own, args.stages);
        for (prefix, figures) in &systems {
            println!("# {} {prefix}{}", deployment.name, figures.line());
        }
        if worst.is_empty() {
            worst = systems;
            continue;
        }
        for (before, (_, figures)) in worst.iter_mut().zip(&systems) {
            before.1 = before.1.worse(figures);
        }
    }
    println!("seed={}", args.seed);
    println!("seconds={:.1}", began.elapsed().as_secs_f64());
    for (prefix, figures) in &worst {
        figures.print(prefix);
    }
}
