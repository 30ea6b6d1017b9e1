//! The part of a workspace's rate that each host may spend without asking anybody.
//!
//! Loads it answers: hosts that start while the log is away, slots whose holder was lost, and hosts
//! that are cut off from every lender. Each gets its part of the rate at once and for as long as that
//! lasts. The part has no burst: it starts empty and never holds more than one token, so that all
//! hosts together spend at most their part of the rate and one token each, which is taken off the
//! burst that is lent.

use crate::{clock::Time, config::Workspace};

/// Hosts of a fleet, for each of which the burst must have this many tokens. Workspaces with a
/// smaller burst are lent their whole rate.
const BURST_PER_HOST: u32 = 2;

/// What each of several hosts may spend on its own, and what is left to be lent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Division {
    /// Rate of one host's own part, in thousandths of a request a minute; zero for none.
    pub own: u64,
    /// The workspace with the rate and burst that are lent.
    pub lent: Workspace,
}

/// Divides the rate and burst of `workspace` among `hosts` hosts, which have `percent` of the rate on
/// their own.
pub fn divide(workspace: &Workspace, hosts: usize, percent: u32) -> Division {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    let is_small = workspace.burst < hosts.saturating_mul(BURST_PER_HOST);
    if percent == 0 || is_small {
        return Division {
            own: 0,
            lent: workspace.clone(),
        };
    }
    let own = u64::from(workspace.rate) * u64::from(percent) / 100;
    Division {
        own: own * 1000 / u64::from(hosts),
        lent: Workspace {
            rate: workspace.rate - own as u32,
            burst: workspace.burst - hosts,
            ..workspace.clone()
        },
    }
}

/// One host's own part of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OwnPart {
    /// Tokens, one at most.
    tokens: f64,
    /// When they were last counted; none before the first time.
    at: Option<Time>,
}

impl OwnPart {
    /// Takes a token, if there is one; `rate` is in thousandths of a request a minute.
    pub fn take(&mut self, rate: u64, now: Time) -> bool {
        let span = now.saturating_sub(self.at.unwrap_or(now)).as_secs_f64();
        self.at = Some(now);
        self.tokens = (self.tokens + span * rate as f64 / 60_000.0).min(1.0);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Gives an unused token back.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(1.0);
    }
}
