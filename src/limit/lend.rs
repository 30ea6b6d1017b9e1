//! The lending side: slots that this host holds.

use super::{
    Bucket, CLAIM_WAIT, GROW_WAIT, LOAN_MAX, Proof, Record, Share, Slot, Tolerance, loan_span,
    refill,
};
use crate::{
    clock::Time,
    fold::{Appended, Pos},
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after which the release of a slot that the log does not show is written again.
const WRITE_RETRY: Duration = Duration::from_secs(1);

/// What a borrower tells of a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the loan.
    pub seq: u64,
    /// Tokens used so far.
    pub used: u32,
    /// Tokens given back so far.
    pub back: u32,
}

/// A request for tokens of one slot.
#[derive(Debug, Clone)]
pub struct LoanRequest<'a> {
    /// Workspace.
    pub workspace: &'a Name,
    /// Slot.
    pub slot: u32,
    /// Borrowing host.
    pub host: &'a Name,
    /// Number of the loan.
    pub seq: u64,
    /// Tokens needed now.
    pub need: u32,
    /// Tokens wanted, those ahead of demand included.
    pub want: u32,
    /// Reports of earlier loans.
    pub reports: &'a [Report],
}

/// Answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lending {
    /// So many tokens, valid so long from before the request.
    Lent(u32, Duration),
    /// None now; come back after the time.
    Empty(Duration),
    /// This host does not hold the slot, or cannot prove it.
    NotHeld,
}

#[derive(Debug, Clone)]
struct Held {
    workspace: Name,
    slot: u32,
    epoch: Pos,
    bucket: Bucket,
    /// Time from which it lends.
    open: Time,
    /// Share that is declared, and since when this host knows it.
    declared: (Share, Time),
}

/// A slot that was given up.
#[derive(Debug, Clone)]
struct Released {
    held: Held,
    /// The record that releases it.
    record: Record,
    /// When it was last written.
    written: Time,
    /// Whether the log may have the record.
    is_uncertain: bool,
}

/// The slots that one host holds.
#[derive(Debug, Clone, Default)]
pub struct Lender {
    /// Sorted by workspace and slot.
    held: Vec<Held>,
    /// Whether this host gave its slots up and takes no others.
    is_closed: bool,
    /// Slots given up one by one, until the log shows it.
    released: Vec<Released>,
    /// What is known of still holding them.
    pub proof: Proof,
    /// What a new start of a holder may begin with.
    pub tolerance: Tolerance,
}

impl Lender {
    /// Takes in what the folded log says of a slot, at each use: `slot` is held by this host if
    /// `is_mine`, with the share that the configuration declares. Returns whether that is news.
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
                self.held[i] = Held::new(workspace, number, slot, (share, self.tolerance), now);
                true
            }
            Err(i) if is_mine => {
                let held = Held::new(workspace, number, slot, (share, self.tolerance), now);
                self.held.insert(i, held);
                true
            }
            Err(_) => false,
        }
    }

    /// Answers a request for tokens.
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
            (0, _) => Lending::Empty(bucket.wait(now)),
            (count, valid) => Lending::Lent(count, valid),
        }
    }

    /// Ends the lending of all slots for good; returns the records that release them. A slot whose
    /// wait is not over is left to be claimed with a new wait.
    pub fn release_all(&mut self, now: Time) -> Vec<Record> {
        self.is_closed = true;
        let held = std::mem::take(&mut self.held);
        let open = held.into_iter().filter(|h| h.open <= now);
        open.map(|h| h.release(now)).collect()
    }

    /// Ends the lending of one slot; the record that releases it is written until the log shows it.
    pub fn release_one(&mut self, workspace: &str, slot: u32, now: Time) {
        let Ok(i) = self.find(workspace, slot) else {
            return;
        };
        if self.held[i].open > now {
            return;
        }
        let held = self.held.remove(i);
        self.released.push(Released {
            record: held.clone().release(now),
            held,
            written: Time::ZERO,
            is_uncertain: false,
        });
    }

    /// The records of slots given up that are to be written now; `is_pending` tells whether the log
    /// still has the slot under that epoch.
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

    /// Takes in what became of a written release. If the log certainly did not take any, the slot is
    /// lent from again.
    pub fn note_written(&mut self, record: &Record, outcome: &Appended) {
        let Some(i) = self.released.iter().position(|g| g.record == *record) else {
            return;
        };
        self.released[i].is_uncertain |= *outcome != Appended::NotTaken;
        if self.released[i].is_uncertain || self.is_closed {
            return;
        }
        let held = self.released.remove(i).held;
        if let Err(at) = self.find(&held.workspace, held.slot) {
            self.held.insert(at, held);
        }
    }

    /// Number of slots held.
    pub fn count(&self) -> usize {
        self.held.len()
    }

    fn find(&self, workspace: &str, slot: u32) -> Result<usize, usize> {
        self.held
            .binary_search_by(|h| (&*h.workspace, h.slot).cmp(&(workspace, slot)))
    }
}

impl Held {
    /// A slot as it begins: full if nobody held it before, with what was left if it was released,
    /// or empty and only after the wait.
    fn new(
        workspace: &Name,
        number: u32,
        slot: &Slot,
        (share, tolerance): (Share, Tolerance),
        now: Time,
    ) -> Self {
        let open = match (slot.forced, slot.succeeded) {
            (true, _) => Some(now + CLAIM_WAIT),
            // The earlier start of this host ended before this one's clock began to count.
            (false, true) => Some(now.max(loan_span(share))),
            (false, false) => None,
        };
        let left = match (slot.forced, slot.succeeded) {
            (true, _) => 0,
            // What the rate gave since this start, of which nobody spent, and what the tolerance allows.
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

    /// A smaller share is in force at once; a larger one when every other holder must know the
    /// change.
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
