//! Computes the figures from what callers and engines saw.

use crate::{
    online::{Done, End},
    progress::Gain,
    schedule::{NOISY, WORKSPACES, burst, factor, rate},
};
use std::time::Duration;

/// The figures of one system.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Batch throughput beside online load, over what is left of the throughput alone.
    pub batch_share: f64,
    /// p99 time to first token with batch work over without.
    pub online_harm: f64,
    /// The least that a workspace was served over its fair share.
    pub worst_workspace: f64,
    /// Share of the requests within the rate that were refused because of it.
    pub refused_within: f64,
    /// Most requests above rate and burst in any window.
    pub over_admitted: u64,
    /// Whole answers that were not the one to the question.
    pub crossed: u64,
    /// Answers that were cut, or refused for another reason than the rate.
    pub failed: u64,
    /// Engines that received a key.
    pub key_seen: u64,
    /// p99 time to first token without batch work, in milliseconds.
    pub first_ms: f64,
}

impl Figures {
    /// The worse of two, figure by figure.
    pub fn worse(&self, other: &Self) -> Self {
        Self {
            batch_share: self.batch_share.min(other.batch_share),
            online_harm: self.online_harm.max(other.online_harm),
            worst_workspace: self.worst_workspace.min(other.worst_workspace),
            refused_within: self.refused_within.max(other.refused_within),
            over_admitted: self.over_admitted.max(other.over_admitted),
            crossed: self.crossed + other.crossed,
            failed: self.failed + other.failed,
            key_seen: self.key_seen + other.key_seen,
            first_ms: self.first_ms.max(other.first_ms),
        }
    }

    /// Prints one line for each figure.
    pub fn print(&self, prefix: &str) {
        println!("{prefix}batch_share={:.3}", self.batch_share);
        println!("{prefix}online_harm={:.3}", self.online_harm);
        println!("{prefix}worst_workspace={:.3}", self.worst_workspace);
        println!("{prefix}refused_within={:.4}", self.refused_within);
        println!("{prefix}over_admitted={}", self.over_admitted);
        println!("{prefix}crossed={}", self.crossed);
        println!("{prefix}failed={}", self.failed);
        println!("{prefix}key_seen={}", self.key_seen);
    }

    /// All figures in one line.
    pub fn line(&self) -> String {
        format!("{self:?}")
    }
}

/// Results of the windows of one kind.
#[derive(Default)]
pub struct Windows {
    /// Online requests of each window.
    pub online: Vec<Vec<Done>>,
    /// Batch tokens of all windows.
    pub batch: Gain,
    /// Length of all windows.
    pub span: Duration,
}

impl Windows {
    /// Adds a window.
    pub fn add(&mut self, online: Vec<Done>, batch: Gain, span: Duration) {
        self.online.push(online);
        self.batch = self.batch.plus(&batch);
        self.span += span;
    }

    /// Online requests of all windows.
    pub fn all(&self) -> Vec<Done> {
        self.online.concat()
    }

    /// Most requests over a rate in a window.
    pub fn over_admitted(&self) -> u64 {
        let most = self.online.iter().map(|window| over_admitted(window));
        most.max().unwrap_or(0)
    }
}

/// A quantile of the time to first token of whole answers, in seconds. The noisy workspace is left
/// out: what is above its rate waits for a token, with and without batch work.
pub fn first(all: &[Done], part: f64) -> f64 {
    let whole = all
        .iter()
        .filter(|d| d.end == End::Whole && d.workspace != NOISY);
    let mut waits: Vec<f64> = whole
        .filter_map(|d| Some((d.first? - d.sent).as_secs_f64()))
        .collect();
    waits.sort_by(f64::total_cmp);
    let at = (waits.len() as f64 * part) as usize;
    let at = at.min(waits.len().saturating_sub(1));
    waits.get(at).copied().unwrap_or(f64::NAN)
}

/// Least served over fair share: of the requests within the rate, and of the batch tokens by
/// weight.
pub fn worst_workspace(mixed: &Windows) -> f64 {
    let all = mixed.all();
    let online = (0..WORKSPACES).map(|w| {
        let own = || all.iter().filter(|d| d.workspace == w);
        let due = own().filter(|d| d.within).count() as f64;
        let served = own().filter(|d| d.end == End::Whole).count() as f64;
        (served / due).min(1.0)
    });
    let tokens = mixed.batch.total();
    let weights: u32 = (0..WORKSPACES).map(factor).sum();
    let batch = (0..WORKSPACES).map(|w| {
        let fair = tokens as f64 * f64::from(factor(w)) / f64::from(weights);
        (mixed.batch.tokens[w] as f64 / fair).min(1.0)
    });
    online.chain(batch).fold(1.0, f64::min)
}

/// Share of the requests within the rate that were refused because of it. The noisy workspace is
/// left out: which of its requests are the ones within is not defined.
pub fn refused_within(all: &[Done]) -> f64 {
    let within = || all.iter().filter(|d| d.within && d.workspace != NOISY);
    let refused = within().filter(|d| d.end == End::RateLimited).count();
    refused as f64 / within().count().max(1) as f64
}

/// Most requests that were certainly admitted in some window above what the rate and the burst
/// allow in it.
fn over_admitted(all: &[Done]) -> u64 {
    let most = (0..WORKSPACES).map(|w| over(all, w));
    most.max().unwrap_or(0)
}

fn over(all: &[Done], workspace: usize) -> u64 {
    let own = all.iter().filter(|d| d.workspace == workspace);
    let mut spans: Vec<(f64, f64)> = own
        .filter_map(|d| Some((d.sent.as_secs_f64(), d.first?.as_secs_f64())))
        .collect();
    spans.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut most = 0.0_f64;
    for start in spans.iter().map(|s| s.0) {
        let inside = spans.iter().filter(|s| s.0 >= start);
        for (count, span) in inside.enumerate() {
            let allowed = burst(workspace) + rate(workspace) * (span.1 - start);
            most = most.max((count + 1) as f64 - allowed);
        }
    }
    most.floor().max(0.0) as u64
}

/// Whole answers that were crossed.
pub fn crossed(all: &[Done]) -> u64 {
    all.iter().filter(|d| d.end == End::Crossed).count() as u64
}

/// Requests without a whole answer that were not over the rate.
pub fn failed(all: &[Done]) -> u64 {
    let bad = all
        .iter()
        .filter(|d| matches!(d.end, End::Cut | End::Refused));
    bad.count() as u64
}
