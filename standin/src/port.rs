//! The HTTP port of a stand-in, with the paths that order faults from outside.

use crate::{FaultSwitch, Faults};
use gooseberrytack::http::{Bounds, Exchange, Server};
use serde::{Deserialize, Serialize};
use std::{io, net::SocketAddr, process, time::Duration};

/// Bounds that do not get in the way of a test.
const BOUNDS: Bounds = Bounds {
    conns: 20_000,
    head: 64 * 1024,
    body: 256 * 1024 * 1024,
    read: Duration::from_secs(60),
    idle: Duration::from_secs(600),
    write: Duration::from_secs(60),
};

/// A listening stand-in.
#[derive(Debug)]
pub(crate) struct Port {
    server: Server,
    pub(crate) faults: FaultSwitch,
}

/// Orders to a stand-in that runs as a process, sent as JSON to `POST /standin/order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Puts these faults in force in place of those before.
    Faults(Faults),
    /// Ends the process at once.
    Die,
}

impl Port {
    /// Listens on `addr`; `handle` gets the requests that no fault took.
    pub(crate) fn start<H>(addr: SocketAddr, faults: FaultSwitch, handle: H) -> io::Result<Self>
    where
        H: Fn(&mut Exchange) -> io::Result<()> + Send + Sync + 'static,
    {
        let switch = faults.clone();
        let server = Server::start(addr, BOUNDS, move |exchange| {
            if exchange.request.head.path == "/standin/order" {
                let _ = obey(&switch, exchange);
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

    /// Closes every connection, as a lost process would.
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

fn obey(switch: &FaultSwitch, exchange: &mut Exchange) -> io::Result<()> {
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

            /// Closes every connection at once, as a lost process would.
            pub fn kill(&self) {
                self.port.kill();
            }
        }
    };
}

pub(crate) use port_methods;
