//! Enforces the rate and burst of each workspace across all hosts, by escrow (`docs/RATE.md`).
//!
//! The rate and burst are divided among slots. A claim in the log assigns each slot to one host,
//! which keeps its tokens in memory and lends them to other hosts for a short time.

mod account;
mod borrow;
mod bucket;
mod call;
mod fold;
mod lend;
mod own;
mod place;
mod proof;
mod silent;
mod split;
mod task;
mod tolerance;

pub use account::{Limits, Permit, retry_delay};
pub use borrow::{Ask, Balance, Step, Token};
pub use bucket::{Bucket, Loan, loan_span, refill};
pub use call::Borrow;
pub use fold::{Homes, Record, Shares, Slot};
pub use lend::{Lender, Lending, LoanRequest, Report};
pub use own::{Division, OwnPart, divide};
pub use place::{Place, misplaced, place};
pub use proof::Proof;
pub use silent::SilentLenders;
pub use split::{Share, share, slots};
pub use tolerance::Tolerance;

use std::time::Duration;

/// Longest validity of a loan, on the borrower's clock, counted from before the request.
pub const LOAN_MAX: Duration = Duration::from_secs(1);
/// Shortest validity of a loan.
pub const LOAN_MIN: Duration = Duration::from_millis(50);
/// Default age of the last `Proof` at which a holder stops lending; age of the last read of the log
/// at which a host stops claiming slots.
pub const PROOF_MAX: Duration = Duration::from_secs(3);
/// Time before a slot with `Slot::forced` lends after its claim. Longer than `PROOF_MAX` plus the
/// longest loan with its margin.
pub const CLAIM_WAIT: Duration = Duration::from_secs(5);
/// Delay before a larger share is used after the declared rate changes.
pub const GROW_WAIT: Duration = Duration::from_secs(4);
/// With `[limits] report_used`, longest wait for which a token is kept for the host that was told
/// it: a quarter of an objective of 300 ms, for which a request waits. One that is told more is
/// refused, and its caller returns to another host, so a token kept for longer would be idle (at
/// 250 ms, 0.992 of what one bucket admits instead of 0.996).
pub const RESERVED_MAX: Duration = Duration::from_millis(75);
/// With `[limits] report_used`, longest backlog of times told to refused requests. Later times are
/// mostly not taken up, and a longer backlog would outlast the overload.
pub const BACKLOG_MAX: Duration = Duration::from_secs(2);
/// Longest delay for lack of tokens that a lender tells, and that a borrower adds to space retries.
pub const WAIT_MAX: Duration = Duration::from_secs(20);
