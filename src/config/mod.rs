//! The fleet's configuration: changes in the log, the state folded from them, and declarations.

mod apply;
mod change;
mod check;
mod declare;
mod ends;
mod fields;
mod fold;
mod peer_state;
mod plan;
mod record;
mod review;
mod types;

pub use apply::{apply, error_of, result_of};
pub use change::*;
pub use check::exception_target;
pub use declare::{describe, fields, plan, read_file};
pub use ends::{expirations, median_clock};
pub use fields::{Declaration, parse_declaration};
pub use fold::digest;
pub use plan::{edits_for, edits_to_withdraw};
pub use record::*;
pub use review::{Finding, review, review_state};
pub use types::*;
