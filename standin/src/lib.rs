//! Stand-ins (test doubles) for the platform, the model engines and plain services, and a harness
//! that runs hosts against them.
//!
//! Each stand-in is an HTTP server in the test's process or in one of its own (`standin log`, ...).
//! Faults are injected by [`FaultSwitch`] in the process or `POST /standin/order` from outside.

mod batch;
mod caller;
mod cuts;
mod engine;
mod faults;
mod harness;
mod list;
mod log;
mod port;
mod process;
mod sample;
mod seed;
mod seen;
mod service;

pub use batch::{JobLine, item_answer, item_line, item_prompt, job_lines, mixed_lines};
pub use caller::{Caller, Got, answer_to};
pub use cuts::Side;
pub use engine::{Engine, EngineConfig, Run, expected};
pub use faults::{FaultSwitch, Faults};
pub use harness::{Harness, MODEL, Plan, SetOnDrop, ini, job_streams, wait_for};
pub use list::{ListConfig, ListServer};
pub use log::{Endpoint, LogConfig, LogServer};
pub use port::Command;
pub use process::Process;
pub use sample::{candidate, slot_request};
pub use seed::{call_control, declare, default_workspaces, key_of, seed_change};
pub use seen::{Received, Seen};
pub use service::{Call, Service, ServiceConfig};
