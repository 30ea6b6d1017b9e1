//! A token bucket that lends.
//!
//! Tokens in the bucket and on loan together never exceed the burst: a lent token occupies its room
//! until it is reported as used or must have expired. So the tokens used in any window are at most
//! the burst, in the bucket or on loan at its start, plus those that the rate added since.

use super::{BACKLOG_MAX, LOAN_MAX, LOAN_MIN, RESERVED_MAX, Share, WAIT_MAX};
use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Fixed-point units of one token: nanoseconds of a minute times millionths of a request.
const TOKEN_UNITS: u128 = 60_000_000_000 * 1_000_000;
/// Time for which a due token is kept for its host, which asks again over the network. Meanwhile
/// the token is idle if the host does not need it any more.
const RESERVATION_KEEP: Duration = Duration::from_millis(20);

/// Tokens on loan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loan {
    /// Borrowing host.
    pub host: Name,
    /// Number of the loan at the borrowing host.
    pub seq: u64,
    /// Tokens lent.
    pub count: u32,
    /// Tokens that the borrower reported as used.
    pub used: u32,
    /// Tokens that the borrower gave back.
    pub back: u32,
    /// Validity told to the borrower.
    pub valid: Duration,
    /// Time on the lender's clock from which no token of the loan can be used.
    pub end: Time,
}

impl Loan {
    fn outstanding(&self) -> u32 {
        self.count.saturating_sub(self.used + self.back)
    }
}

/// The next token, promised to a host that found none.
#[derive(Debug, Clone)]
struct Reservation {
    host: Name,
    due: Time,
}

/// The tokens of one slot.
#[derive(Debug, Clone)]
pub struct Bucket {
    share: Share,
    /// Units in the bucket.
    level: u128,
    /// Time up to which the rate has been added.
    at: Time,
    loans: Vec<Loan>,
    /// Room kept empty, in tokens, and until when.
    reserved: (u32, Time),
    /// Promises to hosts whose requests wait, in the order of their times.
    reservations: Vec<Reservation>,
    /// Units promised to refused requests whose retry delay is not over.
    promised: u128,
}

/// Validity of a loan: half the time to fill the bucket, so that at the full rate outstanding loans
/// occupy half of the room.
fn validity(share: Share) -> Duration {
    if share.rate == 0 {
        return LOAN_MIN;
    }
    let fill = u128::from(share.burst) * TOKEN_UNITS / u128::from(share.rate);
    let half = u64::try_from(fill / 2).unwrap_or(u64::MAX);
    Duration::from_nanos(half).clamp(LOAN_MIN, LOAN_MAX)
}

/// Longest time from a loan of a bucket with `share` to its last use, on the lender's clock.
pub fn loan_span(share: Share) -> Duration {
    let valid = validity(share);
    valid + valid / 4
}

/// Whole tokens that the rate of `share` adds in `span`, at most its burst.
pub fn refill(share: Share, span: Duration) -> u32 {
    let tokens = u128::from(share.rate) * span.as_nanos() / TOKEN_UNITS;
    u32::try_from(tokens).unwrap_or(u32::MAX).min(share.burst)
}

impl Bucket {
    /// A bucket with `left` tokens, at most the burst. The rest of its room is reserved until
    /// `open` for loans of an earlier holder; with no tokens left it stays empty until then.
    pub fn new(share: Share, left: u32, now: Time, open: Time) -> Self {
        let left = left.min(share.burst);
        Self {
            share,
            level: u128::from(left) * TOKEN_UNITS,
            at: now,
            loans: Vec::new(),
            reserved: (
                if left == 0 {
                    u32::MAX
                } else {
                    share.burst - left
                },
                open,
            ),
            reservations: Vec::new(),
            promised: 0,
        }
    }

    /// Changes the share from `now` on; tokens beyond the new burst are dropped.
    pub fn set_share(&mut self, share: Share, now: Time) {
        self.advance(now);
        self.share = share;
        self.level = self.level.min(self.room(now));
    }

    /// Share that the bucket uses now; the declared one may differ.
    pub fn share(&self) -> Share {
        self.share
    }

    /// Lends up to `need` tokens, or up to `want` from half of the bucket if that is more. Returns
    /// the count and its validity. A repeated request gets the earlier loan again.
    pub fn lend(
        &mut self,
        host: &Name,
        seq: u64,
        (need, want): (u32, u32),
        now: Time,
    ) -> (u32, Duration) {
        self.advance(now);
        let found = self.loans.iter().find(|l| l.seq == seq && l.host == *host);
        if let Some(loan) = found {
            return (loan.count, loan.valid);
        }
        let valid = validity(self.share);
        let whole = u32::try_from(self.level / TOKEN_UNITS).unwrap_or(u32::MAX);
        let whole = whole.saturating_sub(self.kept_from(host, now));
        let count = need.min(whole).max(want.min(whole / 2));
        if count == 0 {
            return (0, valid);
        }
        self.level -= u128::from(count) * TOKEN_UNITS;
        self.reservations.retain(|r| r.host != *host);
        self.loans.push(Loan {
            host: host.clone(),
            seq,
            count,
            used: 0,
            back: 0,
            valid,
            end: now + loan_span(self.share),
        });
        (count, valid)
    }

    /// Applies a borrower's report of the tokens of a loan used and returned so far.
    pub fn report(&mut self, host: &Name, seq: u64, used: u32, back: u32, now: Time) {
        self.advance(now);
        let mut found = self.loans.iter_mut();
        let Some(loan) = found.find(|l| l.seq == seq && l.host == *host) else {
            return;
        };
        let back = back.min(loan.count).max(loan.back);
        let more = back - loan.back;
        loan.back = back;
        loan.used = used.min(loan.count - back).max(loan.used);
        self.level = (self.level + u128::from(more) * TOKEN_UNITS).min(self.room(now));
        self.loans.retain(|l| l.outstanding() > 0);
    }

    /// Promises the next free whole token to a refused request; returns the time until it is there.
    pub fn wait(&mut self, now: Time) -> Duration {
        self.advance(now);
        if self.share.rate == 0 || self.share.burst == 0 {
            return WAIT_MAX;
        }
        let most = u128::from(self.share.rate) * WAIT_MAX.as_nanos();
        self.promised = (self.promised + TOKEN_UNITS).min(most + self.level);
        let span = self.time_for(self.promised.saturating_sub(self.level));
        if self.level > 0 {
            return span;
        }
        span.max(self.reserved.1.saturating_sub(now))
    }

    /// Promises the next free token to a request at `host` and returns the time until it is there.
    /// Up to `RESERVED_MAX`, the token is kept for the host; a longer time is for a request that is
    /// refused, and follows those told to the refused requests before it.
    pub fn reserve_next(&mut self, host: &Name, now: Time) -> Duration {
        self.advance(now);
        if self.share.rate == 0 || self.share.burst == 0 {
            return WAIT_MAX;
        }
        self.reservations.retain(|r| r.due + RESERVATION_KEEP > now);
        let earlier = self
            .reservations
            .iter()
            .find(|r| r.host == *host && r.due > now);
        if let Some(reservation) = earlier {
            return reservation.due - now;
        }
        self.reservations.retain(|r| r.host != *host);
        let owed = (self.reservations.len() as u128 + 1) * TOKEN_UNITS;
        let closed = match self.level {
            0 => self.reserved.1.saturating_sub(now),
            _ => Duration::ZERO,
        };
        let span = self.time_for(owed.saturating_sub(self.level)).max(closed);
        if span <= RESERVED_MAX {
            self.reservations.push(Reservation {
                host: host.clone(),
                due: now + span,
            });
            return span;
        }
        let most = u128::from(self.share.rate) * BACKLOG_MAX.as_nanos();
        let delay = self.time_for(self.promised);
        self.promised = (self.promised + TOKEN_UNITS).min(most);
        (span + delay).min(WAIT_MAX)
    }

    /// Time in which the rate adds `units`.
    fn time_for(&self, units: u128) -> Duration {
        let nanos = units / u128::from(self.share.rate) + 1;
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Tokens that are due to other hosts than `host`.
    fn kept_from(&self, host: &Name, now: Time) -> u32 {
        let due =
            |r: &&Reservation| r.due <= now && now < r.due + RESERVATION_KEEP && r.host != *host;
        self.reservations.iter().filter(due).count() as u32
    }

    /// Whole tokens in the bucket, without those on loan.
    pub fn left(&mut self, now: Time) -> u32 {
        self.advance(now);
        u32::try_from(self.level / TOKEN_UNITS).unwrap_or(u32::MAX)
    }

    fn room(&self, now: Time) -> u128 {
        let reserved = if now < self.reserved.1 {
            self.reserved.0
        } else {
            0
        };
        let out: u32 = self.loans.iter().map(Loan::outstanding).sum();
        let taken = out.saturating_add(reserved);
        u128::from(self.share.burst.saturating_sub(taken)) * TOKEN_UNITS
    }

    /// Adds tokens up to `now`, one loan end at a time: the room of a loan is refilled only after
    /// its end.
    fn advance(&mut self, now: Time) {
        while self.at < now {
            let ends = self.loans.iter().map(|l| l.end).chain([self.reserved.1]);
            let next = ends.filter(|e| *e > self.at).min();
            let to = next.unwrap_or(now).min(now);
            let gain = u128::from(self.share.rate) * (to - self.at).as_nanos();
            self.level = (self.level + gain).min(self.room(self.at));
            self.promised = self.promised.saturating_sub(gain);
            self.at = to;
            self.loans.retain(|l| l.end > to);
        }
    }
}
