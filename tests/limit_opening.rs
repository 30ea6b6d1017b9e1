//! After a restart of all hosts, slots lend at once, and no window exceeds the rate and its
//! tolerance.

use gooseberrytack::{
    config::Workspace,
    limit::{Lender, Lending, LoanRequest, Report, Slot, Tolerance, share, slots},
    wire::Name,
};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    excess: 0.1,
    slack: 20,
};
/// Time at which all hosts stop.
const STOP: Duration = Duration::from_secs(12);
/// Time until they are back.
const AWAY: Duration = Duration::from_millis(500);

fn workspace(rate: u32, burst: u32) -> Workspace {
    Workspace {
        name: "w".into(),
        weight: 1,
        rate,
        burst,
    }
}

/// The holders of a workspace's slots, one process each, and a borrower that takes all tokens.
struct Fleet {
    workspace: Workspace,
    lenders: Vec<Lender>,
    seq: u64,
}

impl Fleet {
    /// Starts a holder for each slot, with the state `slot` in the log.
    fn start(workspace: &Workspace, slot: &Slot, tolerance: Tolerance) -> Self {
        let name: Name = "w".into();
        let lender = |number| {
            let mut lender = Lender::default();
            lender.tolerance = tolerance;
            lender.proof.note_log_read(Duration::ZERO);
            let share = share(workspace, number);
            lender.sync(&name, number, slot, true, share, Duration::ZERO);
            lender
        };
        Self {
            workspace: workspace.clone(),
            lenders: (0..slots(workspace.burst)).map(lender).collect(),
            seq: 0,
        }
    }

    /// Borrows and uses all tokens available at `now` on the lenders' clocks.
    fn take_all(&mut self, now: Duration) -> u32 {
        let (name, host): (Name, Name) = ("w".into(), "b".into());
        let most = self.workspace.burst;
        let mut sum = 0;
        for (number, lender) in self.lenders.iter_mut().enumerate() {
            lender.proof.note_log_read(now);
            self.seq += 1;
            let mut request = LoanRequest {
                workspace: &name,
                slot: number as u32,
                host: &host,
                seq: self.seq,
                need: most,
                want: most,
                reports: &[],
            };
            if let Lending::Lent(count, _) = lender.lend(&request, now) {
                sum += count;
                let used = Report {
                    seq: self.seq,
                    used: count,
                    back: 0,
                };
                request.want = 0;
                request.reports = std::slice::from_ref(&used);
                lender.lend(&request, now);
            }
        }
        sum
    }
}

fn claimed(succeeded: bool) -> Slot {
    Slot {
        host: Some("h".into()),
        epoch: if succeeded { 2 } else { 1 },
        left: u32::MAX,
        succeeded,
        ..Slot::default()
    }
}

/// Requests over time of a workspace that takes all tokens, before and after a restart of all
/// hosts.
fn requests_around_restart(workspace: &Workspace, tolerance: Tolerance) -> Vec<(Duration, u32)> {
    let mut taken = Vec::new();
    let mut before = Fleet::start(workspace, &claimed(false), tolerance);
    let mut now = Duration::ZERO;
    // Idle at first, so that the burst is full; then busy for less than a window before the stop.
    while now < STOP {
        if now >= STOP - Duration::from_secs(1) {
            taken.push((now, before.take_all(now)));
        }
        now += STEP;
    }
    let back = STOP + AWAY;
    let mut after = Fleet::start(workspace, &claimed(true), tolerance);
    now = back;
    while now < back + 2 * WINDOW {
        taken.push((now, after.take_all(now - back)));
        now += STEP;
    }
    taken
}

/// Most requests in a window.
fn most_in_window(taken: &[(Duration, u32)]) -> u32 {
    let sum_from = |start: Duration| {
        let within = taken
            .iter()
            .filter(|(t, _)| *t >= start && *t < start + WINDOW);
        within.map(|(_, n)| n).sum()
    };
    taken.iter().map(|(t, _)| sum_from(*t)).max().unwrap_or(0)
}

#[test]
fn opening_windows_keep_promise() {
    for (rate, burst) in [(60, 1), (600, 10), (2_160, 36), (8_820, 147), (30_000, 100)] {
        let workspace = workspace(rate, burst);
        let most = most_in_window(&requests_around_restart(&workspace, TOLERANCE));
        let allowed = f64::from(rate) / 60.0 * 5.0 + f64::from(burst);
        let limit = allowed * 1.1 + 20.0;
        assert!(
            f64::from(most) <= limit,
            "{most} in a window, {limit} allowed, rate {rate} burst {burst}"
        );
    }
}

#[test]
fn opening_serves_wave_after_start() {
    // 36 requests a second, and twice that in the second after the restart.
    let workspace = workspace(2_160, 36);
    let served = |tolerance| -> u32 {
        let after = requests_around_restart(&workspace, tolerance);
        let from = STOP + AWAY;
        let first = after
            .iter()
            .filter(|(t, _)| *t >= from && *t < from + Duration::from_secs(1));
        first.map(|(_, n)| n).sum()
    };
    let (with, without) = (served(TOLERANCE), served(Tolerance::default()));
    assert!(with >= without + 16, "{with} with, {without} without");
    // Tokens added in that second and during the longest loan before the restart.
    let rate = 36 + 36 * 5 / 8 + 1;
    assert!(without <= rate, "{without} without tolerance");
}

#[test]
fn opening_at_most_half_of_tolerance() {
    for (rate, burst) in [(60, 8), (2_160, 36), (8_820, 147), (600_000, 4_000)] {
        let workspace = workspace(rate, burst);
        let parts = (0..slots(burst)).map(|n| TOLERANCE.initial_tokens(share(&workspace, n)));
        let sum = f64::from(parts.sum::<u32>());
        let spare = (f64::from(rate) / 60.0 * 5.0 + f64::from(burst)) * 0.1 + 20.0;
        assert!(sum <= spare / 2.0, "{sum} of {spare}");
    }
}
