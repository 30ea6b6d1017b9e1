//! Liveness and readiness endpoints for the load balancer.

use crate::{
    error::{Fail, Kind},
    http::Exchange,
    kernel::{Host, Plugin, Port, Route},
};
use std::{io, sync::Arc};

inventory::submit! {
    Plugin {
        name: "health",
        routes: &[
            Route { port: Port::Caller, method: "GET", path: "/healthz", handle: live },
            Route { port: Port::Caller, method: "GET", path: "/readyz", handle: ready },
        ],
        tasks: &[],
        stop: |_| {},
    }
}

fn live(_: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    exchange.send(200, "text/plain", b"live\n")
}

fn ready(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    if host.is_ready() {
        return exchange.send(200, "text/plain", b"ready\n");
    }
    let (kind, text) = if host.is_stopping() {
        (Kind::Stopping, "the host is stopping; use another host")
    } else {
        (
            Kind::NotReady,
            "the host has not read the configuration yet or is cut off; use another host",
        )
    };
    exchange.fail(&Fail::new(kind, text))
}
