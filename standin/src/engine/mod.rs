//! Stand-in for a model engine with continuous batching.

mod core;
mod stream;
mod text;

pub use core::Run;
pub use text::expected;

use crate::{
    FaultSwitch, Seen,
    port::{Port, port_methods},
};
use core::Core;
use gooseberrytack::{
    engine::{Cancelled, End, Exported, Load, Loaded, LoadedModel, Order, Target},
    http::Exchange,
    wire::Name,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// How an engine behaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Models loaded at start.
    pub models: Vec<LoadedModel>,
    /// Generations that run at full speed; more than that share it.
    pub slots: u32,
    /// Most generations that run at a time; further ones wait in order of arrival.
    pub room: u32,
    /// Microseconds to the first token.
    pub first_us: u64,
    /// Microseconds to the first token on a hit in the prefix cache.
    pub cached_us: u64,
    /// Microseconds between tokens while at most `slots` run; grows in proportion above that.
    pub token_us: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub prefixes: usize,
    /// Delay of cache events in milliseconds.
    pub event_ms: u64,
    /// Every cache event with this number or a multiple is not published; zero for none.
    pub gap: u64,
    /// Delay of load reports in milliseconds.
    pub load_ms: u64,
    /// Whether orders with a stale fencing token are refused.
    pub fenced: bool,
    /// Milliseconds that loading a model takes.
    pub model_ms: u64,
    /// Whether requests are recorded.
    pub record: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: vec![LoadedModel {
                name: crate::MODEL.into(),
                version: "1".into(),
                adapters: Vec::new(),
            }],
            slots: 8,
            room: 1024,
            first_us: 5_000,
            cached_us: 2_000,
            token_us: 1_000,
            prefixes: 64,
            event_ms: 50,
            gap: 10,
            load_ms: 100,
            fenced: true,
            model_ms: 50,
            record: true,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    port: Port,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: EngineConfig,
    core: Mutex<Core>,
    freed: std::sync::Condvar,
    faults: FaultSwitch,
    seen: Seen,
}

port_methods!(Engine);

impl Engine {
    /// Starts an engine.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(config: EngineConfig) -> Self {
        let addr = config.addr;
        let shared = Arc::new(Shared {
            core: Mutex::new(Core::new(&config)),
            freed: std::sync::Condvar::new(),
            faults: FaultSwitch::default(),
            seen: Seen::default(),
            config,
        });
        let serving = shared.clone();
        let port = Port::start(addr, shared.faults.clone(), move |exchange| {
            serving.serve(exchange)
        });
        let port = port.expect("the engine's address is free");
        Self { port, shared }
    }

    /// The requests received, if they are recorded.
    pub fn seen(&self) -> &Seen {
        &self.shared.seen
    }

    /// Every generation that was started, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.core().runs.clone()
    }

    /// Load at this moment.
    pub fn load(&self) -> Load {
        self.shared.core().load()
    }

    /// What is loaded at this moment.
    pub fn loaded(&self) -> Loaded {
        self.shared.core().loaded()
    }

    /// Every order received, with whether it was carried out.
    pub fn orders(&self) -> Vec<(Order, bool)> {
        self.shared.core().orders.clone()
    }
}

impl Shared {
    fn core(&self) -> std::sync::MutexGuard<'_, Core> {
        self.core.lock().expect("engine")
    }

    fn serve(&self, exchange: &mut Exchange) -> io::Result<()> {
        if self.config.record {
            self.seen.record(&exchange.request);
        }
        let head = &exchange.request.head;
        match (head.method.as_str(), head.path.as_str()) {
            ("POST", "/v1/generate") => stream::generate(self, exchange),
            ("POST", "/v1/cancel") => self.cancel(exchange),
            ("POST", "/v1/export") => self.export(exchange),
            ("POST", "/v1/orders") => self.order(exchange),
            ("GET", "/v1/load") => {
                let load = self
                    .core()
                    .delayed_load(Duration::from_millis(self.config.load_ms));
                self.reply(exchange, 200, &load)
            }
            ("GET", "/v1/cache") => {
                let from = head.param("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let delay = Duration::from_millis(self.config.event_ms);
                let events = self.core().events(from, delay);
                self.reply(exchange, 200, &events)
            }
            ("GET", "/v1/state") => {
                let loaded = self.core().loaded();
                self.reply(exchange, 200, &loaded)
            }
            ("GET", "/standin/runs") => {
                let runs = self.core().runs.clone();
                exchange.json(200, &runs)
            }
            _ => exchange.send(404, "text/plain", b"no such path"),
        }
    }

    fn cancel(&self, exchange: &mut Exchange) -> io::Result<()> {
        let Some(target) = parse_body::<Target>(exchange)? else {
            return Ok(());
        };
        let found = self.core().signal_end(&target.id, End::Cancelled).is_some();
        self.reply(exchange, 200, &Cancelled { found })
    }

    fn export(&self, exchange: &mut Exchange) -> io::Result<()> {
        let Some(target) = parse_body::<Target>(exchange)? else {
            return Ok(());
        };
        let pos = self.core().signal_end(&target.id, End::Exported);
        let cache: Name = match pos {
            Some(pos) => format!("kv/{}/{pos}", target.id).into(),
            None => "".into(),
        };
        let pos = pos.unwrap_or(0);
        self.reply(exchange, 200, &Exported { cache, pos })
    }

    fn order(&self, exchange: &mut Exchange) -> io::Result<()> {
        let Some(order) = parse_body::<Order>(exchange)? else {
            return Ok(());
        };
        let fails = self.faults.take(|f| &mut f.bad_loads);
        let (accepted, loaded) = self.core().order(&order, &self.config, fails);
        self.reply(exchange, if accepted { 200 } else { 409 }, &loaded)
    }

    fn reply<T: Serialize>(
        &self,
        exchange: &mut Exchange,
        status: u16,
        value: &T,
    ) -> io::Result<()> {
        if self.faults.allow_answer(exchange) {
            exchange.json(status, value)?;
        }
        Ok(())
    }
}

/// Parses a request's body; answers with status 400 and returns `None` if it is not a `T`.
fn parse_body<T: DeserializeOwned>(exchange: &mut Exchange) -> io::Result<Option<T>> {
    match serde_json::from_slice(&exchange.request.body) {
        Ok(value) => Ok(Some(value)),
        Err(e) => {
            exchange.send(400, "text/plain", e.to_string().as_bytes())?;
            Ok(None)
        }
    }
}
