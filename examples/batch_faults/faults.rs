//! Injects a random schedule of faults.

use crate::{ENGINES, FAULT_TIME, HOSTS, jobs::Shared, share_callers};
use gooseberrytack::kernel::Host;
use rand::{Rng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use standin::Harness;
use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Injects faults until `FAULT_TIME` is over, and clears them all.
pub fn inject_faults(harness: &mut Harness, shared: &Shared, rng: &mut ChaCha8Rng, verbose: bool) {
    let end = Instant::now() + FAULT_TIME;
    let mut stopping: Vec<(usize, JoinHandle<usize>)> = Vec::new();
    while Instant::now() < end {
        let span = Duration::from_millis(rng.random_range(100..2500));
        for _ in 0..rng.random_range(1..=3) {
            let fault = Fault::draw(rng);
            if verbose {
                println!("{fault:?} span_ms={}", span.as_millis());
            }
            let is_stopping = stopping.iter().any(|(i, _)| *i == fault.host);
            match fault.what {
                FaultKind::Replace if !is_stopping => {
                    harness.replace(fault.host);
                    share_callers(harness, shared);
                }
                FaultKind::Stop if !is_stopping => {
                    let leaving: Arc<Host> = harness.host(fault.host).clone();
                    stopping.push((fault.host, thread::spawn(move || leaving.stop())));
                }
                _ => fault.inject(harness),
            }
        }
        thread::sleep(span);
        clear(harness);
        let (done, rest) = stopping.into_iter().partition(|(_, t)| t.is_finished());
        stopping = rest;
        replace_stopped(harness, shared, done);
        thread::sleep(Duration::from_millis(rng.random_range(0..400)));
    }
    replace_stopped(harness, shared, stopping);
}

/// What fails. `Door` is one host's endpoint of the log.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    LogDown,
    LogFrozen,
    DoorRefuses,
    DoorLoses,
    DoorFrozen,
    ListDown,
    EngineCuts,
    EngineCrosses,
    EngineSilent,
    EngineErrs,
    EngineFrozen,
    EngineDown,
    Replace,
    Stop,
}

const FAULTS: [FaultKind; 14] = [
    FaultKind::LogDown,
    FaultKind::LogFrozen,
    FaultKind::DoorRefuses,
    FaultKind::DoorLoses,
    FaultKind::DoorFrozen,
    FaultKind::ListDown,
    FaultKind::EngineCuts,
    FaultKind::EngineCrosses,
    FaultKind::EngineSilent,
    FaultKind::EngineErrs,
    FaultKind::EngineFrozen,
    FaultKind::EngineDown,
    FaultKind::Replace,
    FaultKind::Stop,
];

/// One fault, with the host and the engine that it affects.
#[derive(Debug)]
struct Fault {
    what: FaultKind,
    host: usize,
    engine: usize,
}

impl Fault {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            what: *FAULTS.choose(rng).expect("a fault"),
            host: rng.random_range(0..HOSTS),
            engine: rng.random_range(0..ENGINES),
        }
    }

    /// Sets the fault at the stand-in.
    fn inject(&self, harness: &Harness) {
        let endpoint = harness.endpoint(self.host).faults();
        let engine = harness.engines[self.engine].faults();
        let endpoints = || (0..HOSTS).map(|i| harness.endpoint(i).faults());
        match self.what {
            FaultKind::LogDown => endpoints().for_each(|d| d.set(|f| f.down = true)),
            FaultKind::LogFrozen => endpoints().for_each(|d| d.set(|f| f.freeze = true)),
            FaultKind::DoorRefuses => endpoint.set(|f| f.refuse = true),
            FaultKind::DoorLoses => endpoint.set(|f| f.lose = 3),
            FaultKind::DoorFrozen => endpoint.set(|f| f.freeze = true),
            FaultKind::ListDown => harness.list.faults().set(|f| f.down = true),
            FaultKind::EngineCuts => engine.set(|f| (f.cut, f.cut_at) = (5, 3)),
            FaultKind::EngineCrosses => engine.set(|f| f.cross = 5),
            FaultKind::EngineSilent => engine.set(|f| f.silent = 3),
            FaultKind::EngineErrs => engine.set(|f| f.error = 5),
            FaultKind::EngineFrozen => engine.set(|f| f.freeze = true),
            FaultKind::EngineDown => engine.set(|f| f.down = true),
            FaultKind::Replace | FaultKind::Stop => {}
        }
    }
}

fn replace_stopped(
    harness: &mut Harness,
    shared: &Shared,
    stopped: Vec<(usize, JoinHandle<usize>)>,
) {
    for (i, thread) in stopped {
        thread.join().expect("a planned stop");
        harness.replace(i);
        share_callers(harness, shared);
    }
}

fn clear(harness: &Harness) {
    harness.list.faults().clear();
    (0..HOSTS).for_each(|i| harness.endpoint(i).faults().clear());
    harness.engines.iter().for_each(|e| e.faults().clear());
}
