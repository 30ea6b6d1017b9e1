//! The external services of a host: the log, the host list, and an outside system if there is one.

use super::Handler;
use crate::{
    http::Client,
    pass::Dialect,
    settings::Settings,
    store::{HttpHosts, HttpLog, SharedHosts, SharedLog},
};
use std::sync::Arc;

/// The external services of a host.
#[derive(Debug, Clone)]
pub struct Edges {
    /// Log of all streams.
    pub log: SharedLog,
    /// The platform's list of hosts.
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
    /// This product's own log and host list, over HTTP at the addresses in `settings`.
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
