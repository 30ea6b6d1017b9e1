//! The borrower's side: tokens of one workspace that a host has on loan.

use super::{BACKLOG_MAX, Lending, RESERVED_MAX, Report, WAIT_MAX, slots};
use crate::{clock::Time, config::Workspace};
use std::time::Duration;

/// Seconds of recent demand that are borrowed ahead.
const AHEAD_SECONDS: f64 = 0.25;
/// Most tokens borrowed ahead.
const AHEAD_MAX: f64 = 10_000.0;
/// Delay before asking a slot again whose host did not hold it or did not answer.
const RETRY: Duration = Duration::from_millis(100);
/// Time for which a slot without tokens that reserved none is not asked, with `report_used`.
/// Tokens of refused requests that do not return are lent to whoever asks.
const EMPTY_RETRY: Duration = Duration::from_millis(100);
/// Longest wait, from arrival, for a token that a lender said is due.
const WAIT_LIMIT: Duration = Duration::from_millis(250);
/// Time for which an expired loan is kept, to report its unused tokens.
const REPORT_KEEP: Duration = Duration::from_millis(300);

/// A token taken from a loan, or from the host's own part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// Number of the loan; `u64::MAX` for the own part.
    pub seq: u64,
    /// Time from which the token can no longer be used.
    pub until: Time,
}

/// A request for a loan, before it is sent as a `Borrow` call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Slot to borrow from.
    pub slot: u32,
    /// Number of the loan at this host.
    pub seq: u64,
    /// Tokens that waiting requests need now.
    pub need: u32,
    /// Tokens wanted: `need`, and those borrowed ahead of demand.
    pub want: u32,
    /// Reports of the earlier loans from the slot.
    pub reports: Vec<Report>,
    /// Time of the request, from which the loan's validity counts.
    pub at: Time,
}

/// What a request that needs a token does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Proceed with the token.
    Spend(Token),
    /// Borrow, then step again.
    Ask(Ask),
    /// Another request is borrowing; wait for it, then step again.
    Wait,
    /// A token is due after this delay; wait, then step again.
    Later(Duration),
    /// No token is due soon enough; refuse the request or try again later.
    Refuse {
        /// Retry delay.
        after: Duration,
        /// Whether every slot's lender answered that it has no tokens.
        sure: bool,
    },
}

#[derive(Debug, Clone)]
struct Loan {
    slot: u32,
    seq: u64,
    /// Tokens not taken by a request.
    free: u32,
    /// Tokens confirmed as used.
    used: u32,
    /// `used` as last reported.
    reported: u32,
    /// Tokens returned to the lender.
    back: u32,
    /// Time from which `report_used` returns the free tokens.
    idle: Time,
    until: Time,
}

/// A slot as its lender answered last.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// Time until which the slot is not asked.
    blocked: Time,
    /// Time at which its lender said that it has a token.
    due: Time,
    /// Whether the lender answered that the slot has no tokens.
    is_empty: bool,
}

/// The borrowed tokens of one workspace on one host.
#[derive(Debug, Clone, Default)]
pub struct Balance {
    loans: Vec<Loan>,
    sources: Vec<Source>,
    is_asking: bool,
    seq: u64,
    next: u32,
    /// Recent requests a second, as of `last_arrival`.
    demand: f64,
    last_arrival: Time,
    /// Requests refused since the last token or, with `report_used`, since a lender last told a
    /// time.
    refused: u32,
    /// Whether used tokens are reported right away and empty slots are asked again early
    /// (`[limits] report_used`).
    report_used: bool,
}

impl Balance {
    /// Starts without tokens; the first loan comes from slot `first`, modulo the number of slots.
    /// Hosts that start at different slots spread their loans over the holders.
    pub fn starting(first: u32) -> Self {
        Self {
            next: first,
            ..Self::default()
        }
    }

    /// This balance with `[limits] report_used` on or off; it is off at first.
    pub fn with_report_used(mut self, is_on: bool) -> Self {
        self.report_used = is_on;
        self
    }

    /// Counts a new request towards the demand.
    pub fn arrive(&mut self, now: Time) {
        let span = now.saturating_sub(self.last_arrival).as_secs_f64();
        self.demand = self.demand * (-span).exp() + 1.0;
        self.last_arrival = now;
    }

    /// Next step of a request that arrived at `since`, while `waiting` others wait.
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

    /// Delays a request if a token for it and the others waiting is due within `WAIT_LIMIT` of its
    /// arrival; otherwise refuses it.
    fn delay(&mut self, rate: u32, waiting: u32, since: Time, now: Time) -> Step {
        let after = self.first_due().saturating_sub(now);
        let queue = Duration::from_secs(60) / rate.max(1) * waiting;
        let sure = self.sources.iter().all(|s| s.is_empty);
        if sure && now + after + queue <= since + WAIT_LIMIT {
            return Step::Later(after.max(Duration::from_millis(1)));
        }
        self.refuse(rate, now)
    }

    /// Applies the answer to `ask`; `None` if no answer came. Answers to an `ask` of `report_used` are
    /// ignored.
    pub fn answer(&mut self, ask: &Ask, lending: Option<Lending>, now: Time) {
        if ask.want == 0 {
            return;
        }
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
                    reported: 0,
                    back: 0,
                    idle: now + Duration::from_secs_f64(AHEAD_SECONDS),
                    until: ask.at + valid,
                });
            }
            Some(Lending::Empty(after)) => {
                source.due = now + after;
                let is_kept = after <= RESERVED_MAX || !self.report_used;
                source.blocked = now + if is_kept { after } else { EMPTY_RETRY };
                source.is_empty = true;
                if self.report_used {
                    // The lender spaced this time already.
                    self.refused = 0;
                }
            }
            Some(Lending::NotHeld) | None => source.blocked = now + RETRY,
        }
    }

    /// Marks the token as used, right before the request is sent; `false` if it expired.
    pub fn confirm(&mut self, token: Token, now: Time) -> bool {
        if now >= token.until {
            return false;
        }
        if let Some(loan) = self.loans.iter_mut().find(|l| l.seq == token.seq) {
            loan.used += 1;
        }
        true
    }

    /// Returns an unused token.
    pub fn put_back(&mut self, token: Token) {
        if let Some(loan) = self.loans.iter_mut().find(|l| l.seq == token.seq) {
            loan.free += 1;
            // Ask its lender next: it takes back an expired token and can lend a new one.
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

    /// Earliest time at which some slot has a token or may be asked again.
    fn first_due(&self) -> Time {
        let due = self.sources.iter().map(|s| s.due.max(s.blocked));
        due.min().unwrap_or_default()
    }

    fn next_slot(&mut self, now: Time) -> Option<u32> {
        let count = self.sources.len() as u32;
        let open = |i: &u32| self.sources[*i as usize].blocked <= now;
        // A slot whose token is due keeps it for this host.
        let is_due = |s: &&u32| {
            let source = &self.sources[**s as usize];
            self.report_used && source.is_empty && source.due <= now
        };
        let slots: Vec<u32> = (0..count)
            .map(|i| (self.next % count + i) % count)
            .filter(open)
            .collect();
        let slot = *slots.iter().find(is_due).or(slots.first())?;
        self.next = (slot + 1) % count;
        Some(slot)
    }

    /// Slots with loans whose lender does not know all used or idle tokens.
    pub fn unreported(&self, now: Time) -> Vec<u32> {
        let changed = self.loans.iter().filter(|l| l.is_changed(now));
        let mut slots: Vec<u32> = changed.map(|l| l.slot).collect();
        slots.sort_unstable();
        slots.dedup();
        slots
    }

    /// Reports to the lender of `slot` the loans that changed since their last report, with nothing
    /// wanted. A lender keeps the room of a token until it is reported as used; tokens that were
    /// borrowed ahead and not needed in time are returned before they expire.
    pub fn report_used(&mut self, slot: u32, now: Time) -> Ask {
        let loans = self.loans.iter_mut();
        let changed = loans.filter(|l| l.slot == slot && l.is_changed(now));
        let reports = changed.map(|l| {
            if l.idle <= now {
                l.give_back();
            }
            l.report(now)
        });
        Ask {
            slot,
            seq: 0,
            need: 0,
            want: 0,
            reports: reports.collect(),
            at: now,
        }
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

    /// Spaces the retry delays of refused requests at the rate, so that they do not all return for
    /// the same token. With `report_used` the lender spaces the times that it tells, and only
    /// requests refused between two of its answers are spaced here.
    fn refuse(&mut self, rate: u32, now: Time) -> Step {
        let gap = Duration::from_secs(60) / rate.max(1);
        let most = if self.report_used {
            BACKLOG_MAX
        } else {
            WAIT_MAX
        };
        let queue = (gap * self.refused).min(most);
        self.refused = (self.refused + 1).min(rate);
        let after = self.first_due().saturating_sub(now) + queue;
        Step::Refuse {
            after: after.max(Duration::from_millis(1)),
            sure: self.sources.iter().all(|s| s.is_empty && s.blocked > now),
        }
    }
}

impl Loan {
    /// Whether tokens were used since the last report, or are to be returned.
    fn is_changed(&self, now: Time) -> bool {
        self.used > self.reported || (self.free > 0 && self.idle.min(self.until) <= now)
    }

    /// Reports the used tokens and those returned, among them the untaken ones once they expired.
    fn report(&mut self, now: Time) -> Report {
        if now >= self.until {
            self.give_back();
        }
        self.reported = self.used;
        Report {
            seq: self.seq,
            used: self.used,
            back: self.back,
        }
    }

    fn give_back(&mut self) {
        self.back += self.free;
        self.free = 0;
    }
}
