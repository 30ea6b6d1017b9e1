//! Forwards a request to a plain service.

use crate::{
    clock::Time,
    config::Route,
    error::{Fail, Kind, Res},
    http::{Reply, Request, SendError, Timeouts},
    kernel::Host,
    wire::Name,
};
use sha2::{Digest, Sha256};
use std::{net::SocketAddr, sync::Arc};

/// Header fields that are forwarded to services. All others are dropped, lest a key get through.
const REQUEST_FIELDS: [&str; 8] = [
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "x-request-id",
    "x-call-id",
];
/// Most attempts of a call that may be repeated.
const TRIES: usize = 3;

/// A request to be forwarded to the service of a route.
#[derive(Debug)]
pub(super) struct Forward<'a> {
    host: &'a Arc<Host>,
    route: &'a Route,
    request: &'a Request,
    deadline: Time,
}

impl<'a> Forward<'a> {
    pub(super) fn new(host: &'a Arc<Host>, route: &'a Route, request: &'a Request) -> Self {
        Self {
            host,
            route,
            request,
            deadline: host.now() + host.settings.deadline,
        }
    }

    /// Time on the host's clock after which nobody waits for the answer.
    pub(super) fn deadline(&self) -> Time {
        self.deadline
    }

    /// A digest that tells a repeat of this request from another request.
    pub(super) fn digest(&self) -> Name {
        digest(self.request, self.fields())
    }

    /// Sends the request and reads the whole answer. A call that may not be repeated is sent once,
    /// on a new connection; other addresses are tried only after failures to connect.
    pub(super) fn send(&self) -> Res<Reply> {
        let mut addrs = self.route.addrs.clone();
        let start = rand::random::<u32>() as usize;
        let count = addrs.len().max(1);
        addrs.rotate_left(start % count);
        let tries = if self.route.repeatable { TRIES } else { count };
        let mut last = Fail::new(Kind::Unreachable, "the route has no address");
        for (n, addr) in addrs.iter().cycle().take(tries).enumerate() {
            if n > 0 && self.route.repeatable && !self.host.routes.take_retry() {
                break;
            }
            match self.send_to(*addr) {
                Ok(reply) => return Ok(reply),
                Err(fail) => last = self.worse(last, fail),
            }
            let again = last.kind == Kind::Unreachable || self.route.repeatable;
            if !again || self.host.now() >= self.deadline {
                break;
            }
        }
        Err(last)
    }

    /// The failure to report of two: one after which the call may have run takes precedence.
    fn worse(&self, old: Fail, new: Fail) -> Fail {
        if new.kind == Kind::Unreachable && old.kind != Kind::Unreachable {
            old
        } else {
            new
        }
    }

    fn send_to(&self, addr: SocketAddr) -> Res<Reply> {
        let head = &self.request.head;
        let mut url = format!("http://{addr}{}", head.path);
        if !head.query.is_empty() {
            url = format!("{url}?{}", head.query);
        }
        let left = self.deadline.saturating_sub(self.host.now());
        let limits = Timeouts::within(left);
        let (client, fields) = (&self.host.client, self.fields());
        let body = &self.request.body;
        let result = if self.route.repeatable {
            client.call(&head.method, &url, &fields, body, limits)
        } else {
            client.call_fresh(&head.method, &url, &fields, body, limits)
        };
        let reply = result.map_err(|e| self.failed(addr, &e))?;
        self.check(reply)
    }

    fn fields(&self) -> Vec<(&'a str, &'a str)> {
        let all = self.request.head.fields.iter();
        all.filter(|(n, _)| REQUEST_FIELDS.contains(&n.as_str()))
            .map(|(n, v)| (n.as_str(), v.as_str()))
            .collect()
    }

    /// Refuses an answer without a length: a truncated one could not be told from a whole one.
    fn check(&self, reply: Reply) -> Res<Reply> {
        let has = |name: &str| reply.fields.iter().any(|(n, _)| n == name);
        let empty = matches!(reply.status, 204 | 304) || self.request.head.method == "HEAD";
        if empty || has("content-length") || has("transfer-encoding") {
            return Ok(reply);
        }
        let text = "the service's answer states no length; it may be truncated";
        Err(Fail::new(Kind::BrokenAnswer, text))
    }

    fn failed(&self, addr: SocketAddr, error: &SendError) -> Fail {
        if !error.sent {
            let text = format!("cannot connect to the service at {addr}; try again later");
            return Fail::new(Kind::Unreachable, text);
        }
        if !self.route.repeatable {
            let text = "the call may have run and its answer was lost; it is not sent again";
            return Fail::new(Kind::OutcomeUnknown, text);
        }
        if self.host.now() >= self.deadline {
            let text = "the deadline passed while the service was running the call";
            return Fail::new(Kind::ExpiredRunning, text);
        }
        Fail::new(Kind::ServerLost, "the service's answer was cut off")
    }
}

/// A digest of the method, path, query, content type and body of a request.
pub(super) fn digest(request: &Request, fields: Vec<(&str, &str)>) -> Name {
    let head = &request.head;
    let mut hash = Sha256::new();
    let mut add = |part: &[u8]| {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    };
    for part in [&head.method, &head.path, &head.query] {
        add(part.as_bytes());
    }
    for (name, value) in fields.into_iter().filter(|(n, _)| *n == "content-type") {
        add(name.as_bytes());
        add(value.as_bytes());
    }
    add(&request.body);
    super::auth::hex(&hash.finalize())
}
