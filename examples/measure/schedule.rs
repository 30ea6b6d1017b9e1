//! The online load: who asks what and when, drawn from a seed.

use gooseberrytack::config::Workspace;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Number of hosts.
pub const HOSTS: usize = 10;
/// Number of backend servers.
pub const SERVERS: usize = 12;
/// Number of workspaces.
pub const WORKSPACES: usize = 8;
/// Workspaces that are large.
const LARGE: usize = 2;
/// The workspace that sends several times its rate.
pub const NOISY: usize = 4;
/// How many times its rate the noisy workspace sends.
const NOISE: f64 = 3.0;
/// Requests a second of a small workspace.
const SMALL_RATE: f64 = 8.0;
/// Times that a large workspace is larger.
const LARGE_FACTOR: u32 = 4;
/// Requests of a small workspace that arrive at once in a burst.
const SMALL_BURST: u32 = 3;
/// Time between two bursts of all workspaces.
const BURST_EVERY: Duration = Duration::from_millis(1_500);
/// Rate that a workspace has over what it sends.
const HEADROOM: f64 = 1.5;
/// Different prefixes of the prompts of one workspace.
const PREFIXES: usize = 3;

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time from the start of the phase.
    pub at: Duration,
    /// Workspace.
    pub workspace: usize,
    /// Host that the balancer picks.
    pub host: usize,
    /// Tokens to generate.
    pub tokens: u32,
    /// Content of the message.
    pub content: String,
    /// Whether the workspace is within its rate with this request.
    pub within: bool,
}

/// How many times larger a workspace is than a small one.
pub fn factor(workspace: usize) -> u32 {
    if workspace < LARGE { LARGE_FACTOR } else { 1 }
}

/// Name of a workspace.
pub fn name(workspace: usize) -> String {
    format!("w{workspace}")
}

/// Requests a second that a workspace may send.
pub fn rate(workspace: usize) -> f64 {
    let burst = f64::from(SMALL_BURST) / BURST_EVERY.as_secs_f64();
    (SMALL_RATE + burst) * f64::from(factor(workspace)) * HEADROOM
}

/// Requests that a workspace may send at once.
pub fn burst(workspace: usize) -> f64 {
    f64::from(SMALL_BURST * 4 * factor(workspace))
}

/// The workspaces as they are declared.
pub fn workspaces() -> Vec<Workspace> {
    let declared = (0..WORKSPACES).map(|w| Workspace {
        name: name(w).into(),
        weight: factor(w),
        rate: (rate(w) * 60.0) as u32,
        burst: burst(w) as u32,
    });
    declared.collect()
}

/// A prompt that shares its prefix with others of its workspace.
pub fn content(workspace: usize, prefix: usize, unique: &str) -> String {
    let part = format!("instructions {prefix} of workspace {workspace}. ");
    format!("{} {unique}", part.repeat(260 / part.len() + 1))
}

/// The workspace that a prompt made of [`content`] belongs to.
///
/// # Panics
/// The prompt is another one.
pub fn workspace_of(prompt: &str) -> usize {
    let rest = prompt.split_once("of workspace ").map(|(_, rest)| rest);
    let number = rest.and_then(|r| r.split_once('.')).map(|(n, _)| n);
    let number = number.and_then(|n| n.parse().ok());
    number.expect("a prompt of the measure")
}

/// Requests over `span`, sorted by time.
pub fn draw(seed: u64, label: &str, span: Duration) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all = Vec::new();
    for workspace in 0..WORKSPACES {
        let mut times = poisson(&mut rng, workspace, span);
        times.extend(bursts(workspace, span));
        times.sort();
        let mut level = burst(workspace);
        let mut last = Duration::ZERO;
        for (i, at) in times.into_iter().enumerate() {
            level = (level + rate(workspace) * (at - last).as_secs_f64()).min(burst(workspace));
            last = at;
            let within = level >= 1.0;
            if within {
                level -= 1.0;
            }
            let unique = format!("{label} {workspace} {i}");
            let prefix = rng.random_range(0..PREFIXES);
            all.push(Arrival {
                at,
                workspace,
                host: rng.random_range(0..HOSTS),
                tokens: rng.random_range(6..=18),
                content: content(workspace, prefix, &unique),
                within,
            });
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn poisson(rng: &mut ChaCha8Rng, workspace: usize, span: Duration) -> Vec<Duration> {
    let noise = if workspace == NOISY {
        NOISE * HEADROOM
    } else {
        1.0
    };
    let rate = SMALL_RATE * f64::from(factor(workspace)) * noise;
    let mut times = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= span.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at));
    }
}

/// Arrivals of the bursts, each all at once.
fn bursts(workspace: usize, span: Duration) -> Vec<Duration> {
    let count = (SMALL_BURST * factor(workspace)) as usize;
    let mut times = Vec::new();
    let mut at = BURST_EVERY / 2;
    while at < span {
        times.extend(std::iter::repeat_n(at, count));
        at += BURST_EVERY;
    }
    times
}
