//! The callers' HTTP interface.

mod ask;
pub mod auth;
mod chat;
mod forward;
mod health;
mod models;
mod repeat;
mod reply;
mod service;
pub mod withdraw;

pub use ask::ChatRequest;
