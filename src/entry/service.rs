//! Calls of plain services by their declared routes.

use super::{
    auth::{self, Caller},
    forward::Forward,
    repeat,
};
use crate::{
    config::Route as Declared,
    error::{Fail, Kind, Res},
    http::{Exchange, Reply},
    kernel::{Host, Plugin, Port, Route},
    limit::Permit,
    timeline::Happening,
};
use std::{io, sync::Arc};

inventory::submit! {
    Plugin {
        name: "service",
        routes: &[Route { port: Port::Caller, method: "*", path: "/*", handle: serve }],
        tasks: &[],
        stop: |_| {},
    }
}

/// Header fields of an answer that are forwarded to callers.
const ANSWER_FIELDS: [&str; 7] = [
    "content-type",
    "content-language",
    "cache-control",
    "etag",
    "last-modified",
    "location",
    "x-call-id",
];

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    match run(host, exchange) {
        Ok(reply) => forward_reply(exchange, &reply),
        Err(fail) => {
            let code = fail.kind.row().code;
            let path = exchange.request.head.path.clone();
            host.timeline.note(Happening::Failed, &path, None, code);
            exchange.fail(&fail)
        }
    }
}

fn run(host: &Arc<Host>, exchange: &Exchange) -> Res<Reply> {
    let request = &exchange.request;
    let path = &request.head.path;
    let route = host
        .config
        .view(|s| find_route(&s.routes, path).cloned())
        .ok_or_else(|| {
            let fail = Fail::new(Kind::NotFound, format!("no path \"{path}\""));
            host.absent(fail)
        })?;
    let mut admission = admit(host, &route, exchange)?;
    let call = Forward::new(host, &route, request);
    let once = request
        .field("idempotency-key")
        .filter(|_| !route.repeatable);
    let Some(key) = once else {
        confirm(host, &mut admission)?;
        return call.send();
    };
    let workspace = admission.as_ref().map_or("", |(c, _)| &c.workspace);
    let id = repeat::id(workspace, key)?;
    repeat::run(host, &id, &call, || confirm(host, &mut admission))
}

type Admission = Option<(Caller, Permit)>;

/// Checks the key and reserves a rate token, unless the route is open to all.
fn admit(host: &Arc<Host>, route: &Declared, exchange: &Exchange) -> Res<Admission> {
    if route.open {
        auth::check_leak(&exchange.request)?;
        return Ok(None);
    }
    let caller = auth::admit(host, &exchange.request)?;
    let permit = auth::reserve(host, &caller)?;
    Ok(Some((caller, permit)))
}

fn confirm(host: &Arc<Host>, admission: &mut Admission) -> Res<()> {
    match admission {
        Some((_, permit)) => permit.confirm(host),
        None => Ok(()),
    }
}

/// The route with the longest path that is `path` or a parent of it.
fn find_route<'a>(routes: &'a [Declared], path: &str) -> Option<&'a Declared> {
    let covers = |r: &&Declared| {
        path.strip_prefix(r.path.trim_end_matches('/'))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    routes.iter().filter(covers).max_by_key(|r| r.path.len())
}

fn forward_reply(exchange: &mut Exchange, reply: &Reply) -> io::Result<()> {
    let allowed = |name: &str| ANSWER_FIELDS.contains(&name);
    let fields: Vec<(&str, &str)> = reply
        .fields
        .iter()
        .filter(|(n, _)| allowed(n))
        .map(|(n, v)| (n.as_str(), v.as_str()))
        .collect();
    exchange.send_with(reply.status, &fields, &reply.body)
}
