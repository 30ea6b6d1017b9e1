//! Chooses a backend server for a request and carries the request out.

mod acquire;
mod attempt;
mod choose;
mod dispatch;
mod health;
mod leaving;
mod passing;
mod state;
mod wait;

pub use choose::{Candidate, SUBSET, asked, order, rendezvous, subset};
pub use dispatch::{Sink, dispatch};
pub use health::{ASIDE_MAX, ASIDE_MIN, Availability, FAILS, Health, Outcome};
pub use leaving::Departures;
pub use state::Routes;
