//! The borrowing side: tokens of one workspace that a host has on loan.

use super::{Lending, Report, WAIT_MAX, slots};
use crate::{clock::Time, config::Workspace};
use std::time::Duration;

/// Part of a second of the recent demand that is borrowed ahead.
const AHEAD_SECONDS: f64 = 0.25;
/// Most tokens borrowed ahead.
const AHEAD_MAX: f64 = 10_000.0;
/// Time after which a slot whose holder gave no answer is asked again.
const RETRY: Duration = Duration::from_millis(100);
/// Longest time for which a request waits for a token that a slot said will be there by then.
const WAIT_LIMIT: Duration = Duration::from_millis(250);
/// Time for which a loan is remembered after its end, for the report of what was not used.
const REPORT_KEEP: Duration = Duration::from_millis(300);

/// A token taken from a loan, to be used before `until`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// Number of the loan.
    pub seq: u64,
    /// End of its validity.
    pub until: Time,
}

/// A request for a loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Slot to borrow from.
    pub slot: u32,
    /// Number of the loan.
    pub seq: u64,
    /// Tokens needed now.
    pub need: u32,
    /// Tokens wanted, those ahead of demand included.
    pub want: u32,
    /// What became of earlier loans from the slot.
    pub reports: Vec<Report>,
    /// When the request was made.
    pub at: Time,
}

/// What a request that needs a token does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Go on with the token.
    Spend(Token),
    /// Borrow, then step again.
    Ask(Ask),
    /// Another request is borrowing; wait for it, then step again.
    Wait,
    /// There will be a token after a short time; wait that long, then step again.
    Later(Duration),
    /// There is no token now. `sure` unless some slot gave no answer.
    Refuse {
        /// Time until it is worth is_asking again.
        after: Duration,
        /// Whether every slot said that it has none.
        sure: bool,
    },
}

#[derive(Debug, Clone)]
struct Loan {
    slot: u32,
    seq: u64,
    /// Tokens not taken.
    free: u32,
    /// Tokens used.
    used: u32,
    until: Time,
}

/// What is known of one slot.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// Time before which it is not asked.
    blocked: Time,
    /// Whether it said that it has no tokens.
    is_empty: bool,
}

/// The tokens of one workspace on one host.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    loans: Vec<Loan>,
    sources: Vec<Source>,
    is_asking: bool,
    seq: u64,
    next: u32,
    /// Requests a second, as of `seen`.
    demand: f64,
    last_arrival: Time,
    /// Requests refused since the last token.
    refused: u32,
}

impl Balance {
    /// No tokens yet; the first loan is asked of the slot `first`, counted round. Hosts that begin
    /// with different slots spread their loans over the holders from their first request on.
    pub fn starting(first: u32) -> Self {
        Self {
            next: first,
            ..Self::default()
        }
    }

    /// Counts a new request.
    pub fn arrive(&mut self, now: Time) {
        let span = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.demand = self.demand * (-span).exp() + 1.0;
        self.last_arrival = now;
    }

    /// What a request for `workspace` that came in at `since` does next, with `waiting` others behind
    /// it.
    pub fn step(&mut self, workspace: &Workspace, waiting: u32, since: Time, now: Time) -> Step {
        self.loans.retain(|l| l.until + REPORT_KEEP > now);
        let count = slots(workspace.burst) as usize;
        self.sources.resize(count, Source::default());
        if let Some(token) = self.take(now) {
            return Step::Spend(token);
        }
        if self.is_asking {
            return Step::Wait;
        }
        match self.next_slot(now) {
            Some(slot) => Step::Ask(self.ask(slot, waiting, now)),
            None => self.delay(workspace.rate, waiting, since, now),
        }
    }

    /// Has a request wait if a slot said that it will have enough tokens for it and the others before
    /// the request has waited for long; otherwise refuses it.
    fn delay(&mut self, rate: u32, waiting: u32, since: Time, now: Time) -> Step {
        let first = self.sources.iter().map(|s| s.blocked).min();
        let after = first.unwrap_or_default().saturating_sub(now);
        let turn = Duration::from_secs(60) / rate.max(1) * waiting;
        let sure = self.sources.iter().all(|s| s.is_empty);
        if sure && now + after + turn <= since + WAIT_LIMIT {
            return Step::Later(after.max(Duration::from_millis(1)));
        }
        self.refuse(rate, now)
    }

    /// Takes in the answer to `ask`; none if it was lost.
    pub fn answer(&mut self, ask: &Ask, lending: Option<Lending>, now: Time) {
        self.is_asking = false;
        let Some(source) = self.sources.get_mut(ask.slot as usize) else {
            return;
        };
        *source = Source::default();
        match lending {
            Some(Lending::Lent(count, valid)) => {
                self.refused = 0;
                self.loans.push(Loan {
                    slot: ask.slot,
                    seq: ask.seq,
                    free: count,
                    used: 0,
                    until: ask.at + valid,
                });
            }
            Some(Lending::Empty(after)) => {
                source.blocked = now + after;
                source.is_empty = true;
            }
            Some(Lending::NotHeld) | None => source.blocked = now + RETRY,
        }
    }

    /// Marks the token as used, right before the request is sent; `false` if its time is over.
    pub fn confirm(&mut self, token: Token, now: Time) -> bool {
        if now >= token.until {
            return false;
        }
        if let Some(loan) = self.loans.iter_mut().find(|l| l.seq == token.seq) {
            loan.used += 1;
        }
        true
    }

    /// Puts an unused token back.
    pub fn put_back(&mut self, token: Token) {
        if let Some(loan) = self.loans.iter_mut().find(|l| l.seq == token.seq) {
            loan.free += 1;
            // Its lender is asked next, and takes an expired token back in exchange for a new one.
            self.next = loan.slot;
        }
    }

    fn take(&mut self, now: Time) -> Option<Token> {
        let usable = self.loans.iter_mut();
        let loan = usable
            .filter(|l| l.free > 0 && l.until > now)
            .min_by_key(|l| l.until)?;
        loan.free -= 1;
        Some(Token {
            seq: loan.seq,
            until: loan.until,
        })
    }

    fn next_slot(&mut self, now: Time) -> Option<u32> {
        let count = self.sources.len() as u32;
        let open = |i: &u32| self.sources[*i as usize].blocked <= now;
        let slot = (0..count)
            .map(|i| (self.next % count + i) % count)
            .find(open)?;
        self.next = (slot + 1) % count;
        Some(slot)
    }

    fn ask(&mut self, slot: u32, waiting: u32, now: Time) -> Ask {
        self.is_asking = true;
        self.seq += 1;
        let need = waiting + 1;
        let reports = self.loans.iter_mut().filter(|l| l.slot == slot);
        Ask {
            slot,
            seq: self.seq,
            need,
            want: need + (self.demand * AHEAD_SECONDS).min(AHEAD_MAX) as u32,
            reports: reports.map(|l| l.report(now)).collect(),
            at: now,
        }
    }

    /// Refused requests are told times that lie apart as the rate allows, so that they do not all
    /// come back for the same token.
    fn refuse(&mut self, rate: u32, now: Time) -> Step {
        let gap = Duration::from_secs(60) / rate.max(1);
        let queue = (gap * self.refused).min(WAIT_MAX);
        self.refused = (self.refused + 1).min(rate);
        let first = self.sources.iter().map(|s| s.blocked).min();
        let after = first.unwrap_or_default().saturating_sub(now) + queue;
        Step::Refuse {
            after: after.max(Duration::from_millis(1)),
            sure: self.sources.iter().all(|s| s.is_empty && s.blocked > now),
        }
    }
}

impl Loan {
    /// Tokens that were not taken in time are given back; none of them can be used any more.
    fn report(&mut self, now: Time) -> Report {
        let back = if now >= self.until { self.free } else { 0 };
        Report {
            seq: self.seq,
            used: self.used,
            back,
        }
    }
}
