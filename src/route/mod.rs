//! Chooses backend servers for a piece of work and runs it there, with retries and health checks.

mod acquire;
mod assess;
mod attempt;
mod choose;
mod dispatch;
mod ending;
mod events;
mod expected;
mod free;
mod health;
mod leaving;
mod limits;
mod model_servers;
mod pace;
mod passing;
mod refused;
mod regions;
mod silence;
mod speeds;
mod state;
mod throttled;
mod wait;

pub use choose::{Candidate, SUBSET, fan_out, order, rendezvous, subset};
pub use dispatch::{Sink, dispatch};
pub use expected::{Expected, Load, assume, expected};
pub use health::{Availability, EJECTION_FAILURES, EJECTION_MAX, EJECTION_MIN, Health, Outcome};
pub use leaving::Departures;
pub use limits::{Noted, ServerLimits};
pub use model_servers::used_servers;
pub use passing::connect_suggests_restart;
pub use refused::{RefusalCause, RefusalLog, logged_fields, resend_pause};
pub use speeds::Speeds;
pub use state::Routes;
pub use throttled::Throttled;
