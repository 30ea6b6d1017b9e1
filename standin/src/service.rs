//! Stand-in for a plain HTTP service.

use crate::{
    FaultSwitch, Seen,
    port::{Port, port_methods},
};
use gooseberrytack::http::Exchange;
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// How a service behaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceConfig {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Milliseconds that each call takes.
    pub work_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            work_ms: 0,
        }
    }
}

/// A call that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Call {
    /// Header field `x-call-id`, empty if there was none.
    pub id: String,
    /// Body; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// A running service, which echoes the body of each call.
#[derive(Debug)]
pub struct Service {
    port: Port,
    seen: Seen,
    calls: Arc<Mutex<Vec<Call>>>,
}

port_methods!(Service);

impl Service {
    /// Starts a service.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(config: ServiceConfig) -> Self {
        let seen = Seen::default();
        let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
        let faults = FaultSwitch::default();
        let (switch, record, made) = (faults.clone(), seen.clone(), calls.clone());
        let port = Port::start(config.addr, faults, move |exchange| {
            record.record(&exchange.request);
            std::thread::sleep(Duration::from_millis(config.work_ms));
            serve(&made, &switch, exchange)
        });
        let port = port.expect("the service's address is free");
        Self { port, seen, calls }
    }

    /// The requests received.
    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// The calls that took effect, in order.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().expect("calls").clone()
    }

    /// How often the call `id` took effect.
    pub fn count(&self, id: &str) -> usize {
        let calls = self.calls.lock().expect("calls");
        calls.iter().filter(|c| c.id == id).count()
    }
}

fn serve(
    calls: &Mutex<Vec<Call>>,
    faults: &FaultSwitch,
    exchange: &mut Exchange,
) -> io::Result<()> {
    if exchange.request.head.path == "/standin/calls" {
        let all = calls.lock().expect("calls").clone();
        return exchange.json(200, &all);
    }
    let body = exchange.request.body.clone();
    let call = Call {
        id: exchange.request.field("x-call-id").unwrap_or("").into(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    calls.lock().expect("calls").push(call);
    if !faults.allow_answer(exchange) {
        return Ok(());
    }
    if faults.take(|f| &mut f.error) {
        return exchange.send(500, "text/plain", b"the service failed");
    }
    exchange.send(200, "application/octet-stream", &body)
}
