//! The part of a workspace's rate that each host may spend without borrowing.
//!
//! It serves requests while the log is down when hosts start, while a slot has no holder, and on
//! hosts that cannot reach any lender. It starts empty and holds at most one token, so that all
//! hosts together spend at most their part of the rate plus one token each, which is subtracted
//! from the burst that is lent.

use crate::{clock::Time, config::Workspace};

/// Tokens of burst needed per host for hosts to have an own part. With a smaller burst, the whole
/// rate is lent.
const BURST_PER_HOST: u32 = 2;

/// Division of a rate into the own part of each host and the rest, which is lent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Division {
    /// Rate of one host's own part, in thousandths of a request a minute; zero if there is none.
    pub own: u64,
    /// The workspace with its rate and burst less the own parts; this rest is lent.
    pub lent: Workspace,
}

/// Divides the rate and burst of `workspace`: `percent` of the rate and one token of the burst for
/// each host go to the own parts of `hosts` hosts.
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
    /// At most one token, in fractions.
    tokens: f64,
    /// When `tokens` was last updated; `None` before the first call.
    at: Option<Time>,
}

impl OwnPart {
    /// Takes a token if there is one; `rate` is in thousandths of a request a minute.
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

    /// Returns an unused token; dropped if there is a whole one already.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(1.0);
    }
}
