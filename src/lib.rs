//! Serves online and batch language-model inference from one fleet of model engines.
//!
//! Every host runs the same daemon. Decision code takes the time as an argument and does no I/O; the
//! modules `http`, `store` and `engine` do I/O and make no decisions.

pub mod batch;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod daemon;
pub mod declared;
pub mod engine;
pub mod entry;
pub mod error;
pub mod fold;
pub mod gate;
pub mod http;
pub mod job;
pub mod kernel;
pub mod lease;
pub mod limit;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod once;
pub mod order;
pub mod pass;
pub mod quarantine;
pub mod region;
pub mod resume;
pub mod retry;
pub mod route;
pub mod settings;
pub mod share;
pub mod snapshot;
pub mod store;
pub mod threads;
pub mod timeline;
pub mod tunnel;
pub mod wire;
