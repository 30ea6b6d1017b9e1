//! Authorizes a request that is to be passed on, and runs it.

use super::{Request, sink::PassSink};
use crate::{
    clock::Time,
    config::{PassKind, PassRoute, pass_route},
    entry::auth::{self, Caller},
    error::{Fail, Kind, Ran, Res},
    http::Exchange,
    kernel::Host,
    route::dispatch,
    timeline::Happening,
    wire::{Class, Name, Software, Work},
};
use std::{io, sync::Arc, time::Duration};

/// Share of the route's objective (time to the first piece of an answer) that a request may wait for a
/// slot. After that it is refused while another host can still serve its caller in time.
const SLOT_WAIT_SHARE: f64 = 0.8;
/// Share of the objective that a request may wait for a rate token. A request refused by then can
/// still be served in time when its caller retries.
const TOKEN_WAIT_SHARE: f64 = 0.25;
const TOKEN_WAIT_MAX: Duration = Duration::from_millis(250);
/// Longest wait of a request that resumes a stream for a rate token, and for a slot. Its objective is past, and
/// what its caller has is of no use without the rest; callers disconnect after 2 s of silence.
const RESUMED_TOKEN_WAIT: Duration = Duration::from_millis(1200);
const RESUMED_SLOT_WAIT: Duration = Duration::from_millis(1500);
/// Longest wait for a slot on a route without an objective.
const SLOT_WAIT_DEFAULT: Duration = Duration::from_secs(1);

/// Retry-after time of a request that this host cannot serve but another host can.
pub const RETRY_ELSEWHERE: Duration = Duration::from_millis(20);

/// A request as received from the caller.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The request to pass on.
    pub request: Request,
    /// Longest time that the caller waits; the route's timeout if `None` or longer.
    pub limit: Option<Duration>,
    /// Prompt tokens plus the most output tokens.
    pub tokens: u32,
    /// Identifies the prompt prefix that other requests share; empty for none.
    pub prefix: Name,
    /// Id of the request that brought the first event of the stream that this one resumes.
    pub resumes: Option<Name>,
}

/// The route of a request and the caller on whose behalf it runs.
#[derive(Debug, Clone)]
pub struct Access {
    /// Route that matched the host name and the path.
    pub route: Arc<PassRoute>,
    /// Caller; `None` on a route open to all.
    pub caller: Option<Caller>,
}

/// Finds the route for the host name `name` and `path`, and authenticates the caller by `key`.
///
/// # Errors
/// `NotReady` if this host knows no configuration or may be behind it, `NotFound`, or `Unauthorized`.
pub fn authorize(host: &Host, name: &str, path: &str, key: Option<&str>) -> Res<Access> {
    check_connected(host)?;
    let route = host.config.view(|s| pass_route(s, name, path).cloned());
    let route = route.ok_or_else(|| {
        let text = format!("no route for host \"{name}\" and path \"{path}\"");
        let fail = Fail::new(Kind::NotFound, text);
        retry_elsewhere(host.absent(fail))
    })?;
    if route.open {
        return Ok(Access {
            route,
            caller: None,
        });
    }
    Ok(Access {
        route,
        caller: Some(authenticate(host, key)?),
    })
}

/// The caller that `key` belongs to.
///
/// # Errors
/// `NotReady` if this host knows no configuration or may be behind it, or `Unauthorized`.
pub fn authenticate(host: &Host, key: Option<&str>) -> Res<Caller> {
    check_connected(host)?;
    let key = key.ok_or_else(|| Fail::new(Kind::Unauthorized, "the request has no key"))?;
    auth::caller(host, auth::hash_key(key)).map_err(retry_elsewhere)
}

/// Sends the caller to another host at once if only this one cannot tell.
fn retry_elsewhere(fail: Fail) -> Fail {
    match fail.kind {
        Kind::NotReady => fail.retry_after(RETRY_ELSEWHERE),
        _ => fail,
    }
}

fn check_connected(host: &Host) -> Res<()> {
    match host.is_connected() {
        true => Ok(()),
        false => {
            let text = "this host has no current configuration; use another host";
            Err(Fail::new(Kind::NotReady, text).retry_after(RETRY_ELSEWHERE))
        }
    }
}

/// Runs a request on a backend server and passes the answer back to the caller.
///
/// # Errors
/// The connection to the caller failed.
pub fn forward(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    access: &Access,
    arrival: Arrival,
) -> io::Result<()> {
    let began = host.now();
    let id = arrival.request.id.clone();
    if let Err(fail) = host.check_time_left(time_limit(access, &arrival)) {
        let fail = fail.retry_after(RETRY_ELSEWHERE);
        note_refusal(host, &id, &fail);
        return super::send_error(exchange, &fail);
    }
    let limited = |c: &Caller| {
        let rate = host
            .config
            .view(|s| s.workspace(&c.workspace).map(|w| w.rate));
        rate.is_none_or(|r| r > 0)
    };
    let limits = &host.limits;
    let permit = match access.caller.as_ref().filter(|c| limited(c)) {
        Some(caller) => {
            match limits.reserve_within(host, &caller.workspace, token_wait(access, &arrival)) {
                Ok(permit) => Some(permit),
                Err(fail) => {
                    note_refusal(host, &id, &fail);
                    return super::send_error(exchange, &fail);
                }
            }
        }
        None => None,
    };
    let resumed = match resume(host, access, &arrival) {
        Ok(resumed) => resumed,
        Err(fail) => {
            note_refusal(host, &id, &fail);
            return super::send_error(exchange, &fail);
        }
    };
    let mut work = work(access, arrival, began);
    if let Some((service, version)) = resumed {
        work.model = service;
        work.software = Software::Only(version);
    }
    host.timeline
        .note(Happening::Received, &id, None, &work.workspace);
    let mut sink = PassSink::new(host, exchange, permit, began, work.deadline);
    let result = dispatch(host, &work, &mut sink);
    if let Err(fail) = &result {
        note_refusal(host, &id, fail);
    }
    sink.finish(&result)
}

/// Records in the time line and the metrics that the request `id` was refused or failed.
pub fn note_refusal(host: &Host, id: &str, fail: &Fail) {
    let note = format!("{}: {}", fail.kind.row().code, fail.text);
    host.timeline.note(Happening::Refused, id, None, &note);
    host.served.refused(fail.kind);
}

/// Service and software version at which the stream goes on that a request resumes; `None` for a request
/// that resumes none.
fn resume(host: &Host, access: &Access, arrival: &Arrival) -> Res<Option<(Name, Name)>> {
    if !is_resumption(access, arrival) {
        return Ok(None);
    }
    let (route, request) = (&access.route, &arrival.request);
    let first = arrival.resumes.as_ref().unwrap_or(&request.id);
    let origin = host.origin_of(&request.id, first, &route.target(first))?;
    if !route.targets.iter().any(|t| t.service == origin.0) {
        let text = format!(
            "the route no longer leads to the stream's service \"{}\"",
            origin.0
        );
        return Err(Fail::new(Kind::VersionGone, text));
    }
    Ok(Some(origin))
}

fn is_resumption(access: &Access, arrival: &Arrival) -> bool {
    access.route.kind == PassKind::Stream && arrival.request.after > 0
}

fn token_wait(access: &Access, arrival: &Arrival) -> Duration {
    if is_resumption(access, arrival) {
        return RESUMED_TOKEN_WAIT;
    }
    match access.route.aim.is_zero() {
        true => TOKEN_WAIT_MAX,
        false => access
            .route
            .aim
            .mul_f64(TOKEN_WAIT_SHARE)
            .min(TOKEN_WAIT_MAX),
    }
}

/// Longest time that the caller waits for the whole answer.
fn time_limit(access: &Access, arrival: &Arrival) -> Duration {
    let timeout = access.route.timeout;
    arrival.limit.unwrap_or(timeout).min(timeout)
}

fn work(access: &Access, arrival: Arrival, began: Time) -> Work {
    let route = &access.route;
    let limit = time_limit(access, &arrival);
    let wait = match route.aim.is_zero() {
        _ if is_resumption(access, &arrival) => RESUMED_SLOT_WAIT,
        true => SLOT_WAIT_DEFAULT,
        false => route.aim.mul_f64(SLOT_WAIT_SHARE),
    };
    let workspace = access.caller.as_ref().map(|c| c.workspace.clone());
    let request = Request {
        attempts: route.attempts,
        ..arrival.request
    };
    Work {
        id: request.id.clone(),
        workspace: workspace.unwrap_or_default(),
        model: route.target(&request.id),
        adapter: None,
        prompt: arrival.prefix,
        tokens: arrival.tokens,
        class: Class::Online,
        repeatable: match route.kind {
            PassKind::Repeatable => true,
            PassKind::Stream => route.resumable,
            PassKind::Once | PassKind::Batch => false,
        },
        deadline: began + limit,
        slot_deadline: began + wait.min(limit),
        since: 0,
        software: match route.kind {
            PassKind::Stream if route.resumable => Software::Start,
            _ => Software::Any,
        },
        request: Some(Arc::new(request)),
    }
}

/// Answers with the status of `fail`; `retry-after` has fractions of a second. Cuts an answer that has
/// begun, as its status is already sent.
///
/// # Errors
/// The connection to the caller failed.
pub fn send_error(exchange: &mut Exchange, fail: &Fail) -> io::Result<()> {
    if exchange.is_begun() {
        exchange.abort();
        return Ok(());
    }
    let after = fail
        .retry_delay()
        .filter(|_| fail.kind.row().ran == Ran::No);
    let after = after.map(|d| format!("{:.3}", d.as_secs_f64()));
    let mut fields = vec![("content-type", "text/plain")];
    if let Some(after) = &after {
        fields.push(("retry-after", after));
    }
    exchange.send_with(status(fail.kind), &fields, fail.text.as_bytes())
}

/// Status of an answer to `kind`. Statuses that promise that the request did not run are used only
/// where that is certain.
fn status(kind: Kind) -> u16 {
    let row = kind.row();
    match (row.status, row.ran) {
        (408 | 421 | 429 | 503, Ran::Yes | Ran::Unknown) => 504,
        // Nothing ran, and only these statuses promise it.
        (504 | 422, Ran::No) => 503,
        (status, _) => status,
    }
}
