//! Rate and burst of each workspace over all hosts together, by escrow.
//!
//! The rate and burst of a workspace are divided among slots; each slot belongs to one host by a
//! claim in the log, and its tokens exist only in that host's memory. Other hosts borrow tokens
//! for a short time. See `docs/RATE.md`.

mod account;
mod borrow;
mod bucket;
mod call;
mod fold;
mod lend;
mod own;
mod place;
mod proof;
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
pub use split::{Share, share, slots};
pub use tolerance::Tolerance;

use std::time::Duration;

/// Longest validity of a loan, by the borrower's clock from before it asked.
pub const LOAN_MAX: Duration = Duration::from_secs(1);
/// Shortest validity of a loan.
pub const LOAN_MIN: Duration = Duration::from_millis(50);
/// Age of the last proof of holding a slot after which its holder stops lending.
pub const PROOF_MAX: Duration = Duration::from_secs(3);
/// Time from the accepted claim of a slot that was not released to the first token; longer than
/// `PROOF_MAX` and the longest loan with its margin.
pub const CLAIM_WAIT: Duration = Duration::from_secs(5);
/// Time from a change of the declared rate to the use of a larger share.
pub const GROW_WAIT: Duration = Duration::from_secs(4);
/// Longest time to come back that a refused request is told.
pub const WAIT_MAX: Duration = Duration::from_secs(20);
