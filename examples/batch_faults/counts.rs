//! Counts what was lost or doubled, at the engines and at the callers.

use crate::{
    HOSTS, TOKENS,
    jobs::{IMPOSSIBLE, Job, Shared},
};
use standin::{Harness, JobLine, answer_to};
use std::{collections::BTreeMap, sync::atomic::Ordering};

/// Outcomes of all items.
#[derive(Debug, Default)]
pub struct Counts {
    /// Items of accepted jobs.
    pub items: u64,
    /// Items with an outcome that their caller expects.
    pub done: u64,
    /// Items without the right outcome.
    pub lost: u64,
    /// Items that ran or ended twice.
    pub doubled: u64,
    /// Items that are not repeatable and whose outcome is unknown.
    pub unknown: u64,
    /// Answers from a lower offset than an earlier one.
    pub lower: u64,
}

/// Counts over all jobs.
pub fn count(harness: &Harness, jobs: &[Job], shared: &Shared) -> Counts {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for run in harness.engines.iter().flat_map(|e| e.runs()) {
        *runs.entry(run.prompt.to_string()).or_default() += 1;
    }
    let mut counts = Counts {
        doubled: shared.changed.load(Ordering::Relaxed),
        lower: shared.lower.load(Ordering::Relaxed),
        ..Counts::default()
    };
    for job in jobs {
        let Some(id) = job.id.lock().expect("job id").clone() else {
            println!("never accepted: {}", job.name);
            counts.lost += job.items.len() as u64;
            continue;
        };
        for i in 0..HOSTS {
            let lines = harness.caller(i).job_results(&id).unwrap_or_default();
            if i == 0 {
                counts.items += job.items.len() as u64;
                count_job(job, &lines, &runs, &mut counts);
            } else if Some(&lines) != harness.caller(0).job_results(&id).as_ref() {
                println!("hosts disagree on {}", job.name);
                counts.lost += 1;
            }
        }
    }
    counts
}

fn count_job(job: &Job, lines: &[JobLine], runs: &BTreeMap<String, u64>, counts: &mut Counts) {
    if lines.len() > job.items.len() {
        counts.doubled += (lines.len() - job.items.len()) as u64;
    }
    for (i, item) in job.items.iter().enumerate() {
        let Some(line) = lines.get(i).filter(|l| l.id == item.id) else {
            counts.lost += 1;
            continue;
        };
        let answer = answer_to(&item.prompt, TOKENS);
        let is_bad = item.prompt.contains(IMPOSSIBLE);
        match line.status.as_str() {
            "completed" if !is_bad && line.text == answer => counts.done += 1,
            "failed" if is_bad => counts.done += 1,
            "cancelled" if job.cancel => counts.done += 1,
            "unknown" if !item.repeatable => counts.unknown += 1,
            _ => {
                println!("lost: {} {line:?}", job.name);
                counts.lost += 1;
            }
        }
        let ran = runs.get(&format!("user: {}\n", item.prompt)).copied();
        if !item.repeatable && ran.unwrap_or(0) > 1 {
            println!("ran {ran:?} times: {} {line:?}", job.name);
            counts.doubled += 1;
        }
    }
}
