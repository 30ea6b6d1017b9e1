//! What a host talks to beside callers and peers.

use super::Handler;
use crate::{
    http::Client,
    pass::Dialect,
    settings::Settings,
    store::{HttpHosts, HttpLog, SharedHosts, SharedLog},
};
use std::sync::Arc;

/// What a host talks to beside callers and peers.
#[derive(Debug, Clone)]
pub struct Edges {
    /// The log.
    pub log: SharedLog,
    /// The host list.
    pub list: SharedHosts,
    /// The outside system that declares the configuration, if one does.
    pub outside: Option<Outside>,
}

/// An outside system whose requests are passed on unchanged.
#[derive(Debug, Clone, Copy)]
pub struct Outside {
    /// Answers every request on the callers' port.
    pub handler: Handler,
    /// Names of its servers' protocol.
    pub dialect: &'static Dialect,
}

impl Edges {
    /// This product's own interfaces, by HTTP at the addresses in `settings`.
    pub fn own(settings: &Settings, client: &Client) -> Self {
        let log = HttpLog::new(settings.log.clone(), client.clone());
        let list = HttpHosts::new(settings.list.clone(), client.clone());
        Self {
            log: SharedLog(Arc::new(log)),
            list: SharedHosts(Arc::new(list)),
            outside: None,
        }
    }
}
