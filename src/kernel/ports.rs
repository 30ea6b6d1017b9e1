//! The ports of a host and the dispatch of their requests to handlers.

use super::{Handler, Host, Port, Router};
use crate::{
    control,
    error::{Fail, Kind},
    http::{Bounds, Exchange, Server, SlowReaders},
};
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, OnceLock},
};

/// A client that pushes metrics to the StatsD collector at `addr`; without an address they are dropped.
///
/// # Errors
/// No socket can be opened.
pub(super) fn collector(addr: Option<SocketAddr>) -> io::Result<StatsdClient> {
    let Some(addr) = addr else {
        return Ok(StatsdClient::from_sink("gooseberrytack", NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(
        "gooseberrytack",
        QueuingMetricSink::from(sink),
    ))
}

/// Listens on `addr` for requests to `port`; `handler` answers them in place of the plug-ins' routes.
///
/// # Errors
/// The address cannot be bound.
pub(super) fn listen(
    addr: SocketAddr,
    bounds: Bounds,
    port: Port,
    slot: &Arc<OnceLock<Arc<Host>>>,
    readers: Option<&SlowReaders>,
    handler: Option<Handler>,
) -> io::Result<Server> {
    let router = Router::new(port);
    let slot = slot.clone();
    Server::start_with(addr, bounds, readers.cloned(), move |exchange| {
        let _ = match (handler, slot.get()) {
            (Some(handler), Some(host)) => handler(host, exchange),
            (_, host) => dispatch(host, port, &router, exchange),
        };
    })
}

fn dispatch(
    host: Option<&Arc<Host>>,
    port: Port,
    router: &Router,
    exchange: &mut Exchange,
) -> io::Result<()> {
    let Some(host) = host else {
        return exchange.fail(&Fail::new(Kind::NotReady, "the host is starting"));
    };
    if port == Port::Control
        && let Err(fail) = control::admit(&host.settings, &exchange.request)
    {
        return exchange.fail(&fail);
    }
    let head = &exchange.request.head;
    match router.find(&head.method, &head.path) {
        Ok(handle) => handle(host, exchange),
        Err(fail) => exchange.fail(&fail),
    }
}
