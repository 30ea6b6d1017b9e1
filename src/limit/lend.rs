//! The lender's side: slots that this host holds.

use super::{
    Bucket, CLAIM_WAIT, GROW_WAIT, LOAN_MAX, Proof, Record, Share, Slot, Tolerance, loan_span,
    refill,
};
use crate::{
    clock::Time,
    fold::{AppendOutcome, Pos},
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which a release that the log does not show is written again.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// A borrower's report of one loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the loan at the borrowing host.
    pub seq: u64,
    /// Tokens used so far.
    pub used: u32,
    /// Tokens returned so far.
    pub back: u32,
}

/// The content of a `Borrow` call, for the lender.
#[derive(Debug, Clone)]
pub struct LoanRequest<'a> {
    /// Workspace whose tokens are lent.
    pub workspace: &'a Name,
    /// Number of the slot.
    pub slot: u32,
    /// Borrowing host.
    pub host: &'a Name,
    /// Number of the loan at the borrowing host.
    pub seq: u64,
    /// Tokens that waiting requests need now.
    pub need: u32,
    /// Tokens wanted: `need`, and those borrowed ahead of demand.
    pub want: u32,
    /// Reports of the earlier loans from the slot.
    pub reports: &'a [Report],
}

/// Answer to a `Borrow` call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lending {
    /// Number of tokens (zero if none were wanted), and their validity from `Ask::at` on.
    Lent(u32, Duration),
    /// No tokens now; ask again after this delay.
    Empty(Duration),
    /// The answering host does not hold the slot, or has no valid `Proof` that it does.
    NotHeld,
}

#[derive(Debug, Clone)]
struct HeldSlot {
    workspace: Name,
    slot: u32,
    epoch: Pos,
    bucket: Bucket,
    /// Time from which it lends.
    open: Time,
    /// Declared share, and since when this host knows it.
    declared: (Share, Time),
}

/// A slot whose release the log does not show yet.
#[derive(Debug, Clone)]
struct ReleasedSlot {
    held: HeldSlot,
    /// The record that releases it.
    record: Record,
    /// When the record was last written; zero if it was not.
    written: Time,
    /// Whether the log may have taken the record.
    is_uncertain: bool,
}

/// The slots that one host holds.
#[derive(Debug, Clone, Default)]
pub struct Lender {
    /// Sorted by workspace and slot.
    held: Vec<HeldSlot>,
    /// Whether this host has released all slots and takes no others.
    is_closed: bool,
    /// Slots released by `release_one`, until the log shows the release.
    released: Vec<ReleasedSlot>,
    /// Proof of still holding the slots.
    pub proof: Proof,
    /// Bounds the tokens with which a restarted holder starts.
    pub tolerance: Tolerance,
    /// Whether an empty slot reserves its next token for the host that asked and bounds the times
    /// told to refused requests (`[limits] report_used`).
    pub report_used: bool,
}

impl Lender {
    /// Applies the log's state of a slot, which this host holds if `is_mine`, and its declared
    /// share. Called at each use. Returns whether this host has just taken the slot.
    pub fn sync(
        &mut self,
        workspace: &Name,
        number: u32,
        slot: &Slot,
        is_mine: bool,
        share: Share,
        now: Time,
    ) -> bool {
        let is_mine =
            is_mine && !self.is_closed && !self.released.iter().any(|g| g.held.epoch == slot.epoch);
        match self.find(workspace, number) {
            Ok(i) if !is_mine => {
                self.held.remove(i);
                false
            }
            Ok(i) if self.held[i].epoch == slot.epoch => {
                self.held[i].declare(share, now);
                false
            }
            Ok(i) => {
                self.held[i] = HeldSlot::new(workspace, number, slot, (share, self.tolerance), now);
                true
            }
            Err(i) if is_mine => {
                let held = HeldSlot::new(workspace, number, slot, (share, self.tolerance), now);
                self.held.insert(i, held);
                true
            }
            Err(_) => false,
        }
    }

    /// Answers a loan request, after applying its reports.
    pub fn lend(&mut self, request: &LoanRequest, now: Time) -> Lending {
        let Ok(i) = self.find(request.workspace, request.slot) else {
            return Lending::NotHeld;
        };
        if !self.proof.is_valid(now) {
            return Lending::NotHeld;
        }
        let bucket = &mut self.held[i].bucket;
        for r in request.reports {
            bucket.report(request.host, r.seq, r.used, r.back, now);
        }
        if request.want == 0 {
            return Lending::Lent(0, Duration::ZERO);
        }
        match bucket.lend(request.host, request.seq, (request.need, request.want), now) {
            (0, _) if self.report_used => Lending::Empty(bucket.reserve_next(request.host, now)),
            (0, _) => Lending::Empty(bucket.wait(now)),
            (count, valid) => Lending::Lent(count, valid),
        }
    }

    /// Stops lending for good and returns the records that release the slots. A slot that does
    /// not lend yet is not released; its next holder waits anew.
    pub fn release_all(&mut self, now: Time) -> Vec<Record> {
        self.is_closed = true;
        let held = std::mem::take(&mut self.held);
        let open = held.into_iter().filter(|h| h.open <= now);
        open.map(|h| h.release(now)).collect()
    }

    /// Stops lending from one slot, if it lends yet; `releases_due` then returns its release.
    pub fn release_one(&mut self, workspace: &str, slot: u32, now: Time) {
        let Ok(i) = self.find(workspace, slot) else {
            return;
        };
        if self.held[i].open > now {
            return;
        }
        let held = self.held.remove(i);
        self.released.push(ReleasedSlot {
            record: held.clone().release(now),
            held,
            written: Time::ZERO,
            is_uncertain: false,
        });
    }

    /// Release records to be written now; `is_pending` tells whether the log still has the slot
    /// under the epoch of the record.
    pub fn releases_due(&mut self, now: Time, is_pending: impl Fn(&Record) -> bool) -> Vec<Record> {
        self.released.retain(|g| is_pending(&g.record));
        let due = self
            .released
            .iter_mut()
            .filter(|g| g.written.is_zero() || g.written + WRITE_RETRY <= now);
        due.map(|g| {
            g.written = now;
            g.record.clone()
        })
        .collect()
    }

    /// Applies the outcome of a release. If the log certainly took none, the slot lends again.
    pub fn note_written(&mut self, record: &Record, outcome: &AppendOutcome) {
        let Some(i) = self.released.iter().position(|g| g.record == *record) else {
            return;
        };
        self.released[i].is_uncertain |= *outcome != AppendOutcome::NotTaken;
        if self.released[i].is_uncertain || self.is_closed {
            return;
        }
        let held = self.released.remove(i).held;
        if let Err(at) = self.find(&held.workspace, held.slot) {
            self.held.insert(at, held);
        }
    }

    /// Number of slots held, including those that do not lend yet.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    fn find(&self, workspace: &str, slot: u32) -> Result<usize, usize> {
        self.held
            .binary_search_by(|h| (&*h.workspace, h.slot).cmp(&(workspace, slot)))
    }
}

impl HeldSlot {
    /// A newly held slot: full if nobody held it before, with the remaining tokens if it was
    /// released, otherwise empty and lending only after the wait.
    fn new(
        workspace: &Name,
        number: u32,
        slot: &Slot,
        (share, tolerance): (Share, Tolerance),
        now: Time,
    ) -> Self {
        let open = match (slot.forced, slot.succeeded) {
            (true, _) => Some(now + CLAIM_WAIT),
            // The previous process of this host ended before this one's clock started.
            (false, true) => Some(now.max(loan_span(share))),
            (false, false) => None,
        };
        let left = match (slot.forced, slot.succeeded) {
            (true, _) => 0,
            // Nobody spent what the rate added since this start; the tolerance allows some more.
            (false, true) => refill(share, open.unwrap_or(now)) + tolerance.initial_tokens(share),
            (false, false) => slot.left,
        };
        let settled = open.unwrap_or(now + LOAN_MAX + LOAN_MAX / 4);
        let bucket = Bucket::new(share, left, now, settled);
        let open = open.unwrap_or(now);
        Self {
            workspace: workspace.clone(),
            slot: number,
            epoch: slot.epoch,
            bucket,
            open,
            declared: (share, now),
        }
    }

    fn release(mut self, now: Time) -> Record {
        Record::Release {
            left: self.bucket.left(now),
            workspace: self.workspace,
            slot: self.slot,
            epoch: self.epoch,
        }
    }

    /// Applies a smaller share at once, and a larger one after `GROW_WAIT`, when every other holder
    /// must know the change.
    fn declare(&mut self, share: Share, now: Time) {
        if self.declared.0 != share {
            self.declared = (share, now);
            let small = self.bucket.share().min(share);
            self.bucket.set_share(small, now);
        }
        let known = now.saturating_sub(self.declared.1) >= GROW_WAIT;
        if known && self.bucket.share() != share {
            self.bucket.set_share(share, now);
        }
    }
}
