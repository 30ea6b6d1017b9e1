//! Stand-in for the platform's host list.

use crate::{
    FaultSwitch,
    port::{Port, port_methods},
};
use gooseberrytack::{http::Exchange, store::Listed};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// How a list behaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ListConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Milliseconds until an announcement shows in the list.
    pub lag_ms: u64,
    /// Milliseconds without an announcement after which a host is removed.
    pub expiry_ms: u64,
}

impl Default for ListConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            lag_ms: 0,
            expiry_ms: 3_000,
        }
    }
}

/// A running list.
#[derive(Debug)]
pub struct ListServer {
    port: Port,
    registry: Arc<Mutex<Registry>>,
}

#[derive(Debug)]
struct Registry {
    config: ListConfig,
    /// What each host announced, oldest first.
    announced: BTreeMap<String, VecDeque<(Instant, Listed)>>,
    /// Entries shown in place of what a host announced; `None` keeps it off the list.
    forced: BTreeMap<String, Option<Listed>>,
}

port_methods!(ListServer);

impl ListServer {
    /// Starts a list.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(config: ListConfig) -> Self {
        let addr = config.addr;
        let registry = Arc::new(Mutex::new(Registry {
            config,
            announced: BTreeMap::new(),
            forced: BTreeMap::new(),
        }));
        let shared = registry.clone();
        let faults = FaultSwitch::default();
        let switch = faults.clone();
        let port = Port::start(addr, faults, move |exchange| {
            serve(&shared, &switch, exchange)
        });
        let port = port.expect("the list's address is free");
        Self { port, registry }
    }

    /// What the list shows now.
    pub fn shown(&self) -> Vec<Listed> {
        self.registry.lock().expect("list").shown(Instant::now())
    }

    /// Shows `listed` regardless of what its host announces.
    pub fn force(&self, listed: Listed) {
        let name = listed.peer.name.to_string();
        let mut registry = self.registry.lock().expect("list");
        registry.forced.insert(name, Some(listed));
    }

    /// Keeps the host `name` off the list.
    pub fn hide(&self, name: &str) {
        let mut registry = self.registry.lock().expect("list");
        registry.forced.insert(name.into(), None);
    }

    /// Shows what the host `name` announces again, after `force` or `hide`.
    pub fn unforce(&self, name: &str) {
        self.registry.lock().expect("list").forced.remove(name);
    }
}

impl Registry {
    fn announce(&mut self, listed: Listed) {
        let retention = Duration::from_millis(self.config.lag_ms + self.config.expiry_ms);
        let name = listed.peer.name.to_string();
        let past = self.announced.entry(name).or_default();
        past.push_back((Instant::now(), listed));
        while past.len() > 1 && past.front().is_some_and(|(at, _)| at.elapsed() > retention) {
            past.pop_front();
        }
    }

    fn shown(&self, now: Instant) -> Vec<Listed> {
        let lag = Duration::from_millis(self.config.lag_ms);
        let expiry = Duration::from_millis(self.config.expiry_ms);
        let known = self
            .announced
            .iter()
            .filter(|(n, _)| !self.forced.contains_key(*n));
        let announced = known.filter_map(|(_, past)| {
            let age = |at: &Instant| now.saturating_duration_since(*at);
            let (at, listed) = past.iter().rev().find(|(at, _)| age(at) >= lag)?;
            (age(at) <= lag + expiry).then(|| listed.clone())
        });
        let mut all: Vec<_> = announced
            .chain(self.forced.values().flatten().cloned())
            .collect();
        all.sort_by(|a, b| a.peer.name.cmp(&b.peer.name));
        all
    }
}

fn serve(list: &Mutex<Registry>, faults: &FaultSwitch, exchange: &mut Exchange) -> io::Result<()> {
    let body = match exchange.request.head.path.as_str() {
        "/announce" => {
            let Ok(listed) = rmp_serde::from_slice(&exchange.request.body) else {
                return exchange.send(400, "text/plain", b"not an announcement");
            };
            list.lock().expect("list").announce(listed);
            Vec::new()
        }
        "/hosts" => {
            let shown = list.lock().expect("list").shown(Instant::now());
            rmp_serde::to_vec(&shown).map_err(io::Error::other)?
        }
        _ => return exchange.send(404, "text/plain", b"no such path"),
    };
    if faults.allow_answer(exchange) {
        exchange.send(200, "application/msgpack", &body)?;
    }
    Ok(())
}
