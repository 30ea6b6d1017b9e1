//! The HTTP port of a stand-in, with the path that takes commands from outside.

use crate::{FaultSwitch, Faults};
use gooseberrytack::http::{Bounds, Exchange, Server};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, process, time::Duration};

/// Bounds too wide for a test to reach.
const BOUNDS: Bounds = Bounds {
    conns: 20_000,
    head: 64 * 1024,
    body: 256 * 1024 * 1024,
    bodies: usize::MAX,
    read: Duration::from_secs(60),
    idle: Duration::from_secs(600),
    write: Duration::from_secs(60),
};

/// HTTP server of a stand-in, with its faults.
#[derive(Debug)]
pub(crate) struct Port {
    server: Server,
    pub(crate) faults: FaultSwitch,
}

/// Command to a stand-in that runs as a process, sent as JSON to `POST /standin/order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Replaces the faults in force.
    Faults(Faults),
    /// Aborts the process.
    Die,
}

impl Port {
    /// Listens on `addr`; `handle` gets the requests that the faults let through.
    pub(crate) fn start<H>(addr: SocketAddr, faults: FaultSwitch, handle: H) -> io::Result<Self>
    where
        H: Fn(&mut Exchange) -> io::Result<()> + Send + Sync + 'static,
    {
        let switch = faults.clone();
        let server = Server::start(addr, BOUNDS, move |exchange| {
            if exchange.request.head.path == "/standin/order" {
                let _ = execute(&switch, exchange);
            } else if switch.admit(exchange) {
                let _ = handle(exchange);
            }
        })?;
        Ok(Self { server, faults })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Closes every connection, as if the process had crashed.
    pub(crate) fn kill(&self) {
        self.faults.close();
        self.server.kill();
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        self.kill();
    }
}

fn execute(switch: &FaultSwitch, exchange: &mut Exchange) -> io::Result<()> {
    match serde_json::from_slice(&exchange.request.body) {
        Ok(Command::Faults(faults)) => switch.set(|f| *f = faults),
        Ok(Command::Die) => process::abort(),
        Err(e) => return exchange.send(400, "text/plain", e.to_string().as_bytes()),
    }
    exchange.send(200, "text/plain", b"done\n")
}

/// Gives a stand-in with a field `port` the methods that all of them have.
macro_rules! port_methods {
    ($name:ident) => {
        impl $name {
            /// Address listened on.
            pub fn addr(&self) -> std::net::SocketAddr {
                self.port.addr()
            }

            /// Base URL.
            pub fn url(&self) -> String {
                self.port.url()
            }

            /// The faults in force.
            pub fn faults(&self) -> &$crate::FaultSwitch {
                &self.port.faults
            }

            /// Closes every connection at once, as if the process had crashed.
            pub fn kill(&self) {
                self.port.kill();
            }
        }
    };
}

pub(crate) use port_methods;
