//! The HTTP client, on `ureq`.

use super::{
    agents::Agents, bounded::BoundedConnector, budget::Budget, filter::Filter, request::is_status,
    resolver::IpResolver, stream::Stream,
};
use std::{
    io::{self, BufReader, Read},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use ureq::{
    Agent, Body,
    config::{AutoHeaderValue, Config},
    http::Response,
    unversioned::transport::{Connector, DefaultConnector},
};

/// Bytes buffered for each direction of a connection; the default of `ureq` is 128 KB.
const BUFFER: usize = 8 * 1024;
/// Longest time that an idle connection is kept; shorter than any server's idle limit.
pub(super) const IDLE_AGE: Duration = Duration::from_secs(15);
/// Default for the most bytes of an answer.
const REPLY_MAX: u64 = 64 << 20;
/// Default for the most bytes of all answers that are being read.
const REPLIES_MAX: usize = 256 << 20;
/// Duration of a failed call from which its address counts as silent.
const SILENT_TIME: Duration = Duration::from_millis(400);
/// Most bytes of one read of an answer's body.
const READ_SIZE: usize = 16 * 1024;

/// Time limits of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time for a connect.
    pub connect: Duration,
    /// Longest time of one read or write without progress.
    pub quiet: Duration,
    /// Longest time for the whole call.
    pub total: Duration,
    /// Most bytes of the answer's body, if the client allows as many.
    pub body: u64,
}

impl Timeouts {
    /// `total` for the whole call, of which the connect takes a second at most.
    pub fn within(total: Duration) -> Self {
        let total = total.max(Duration::from_millis(1));
        Self {
            connect: total.min(Duration::from_secs(1)),
            quiet: total,
            total,
            body: u64::MAX,
        }
    }

    /// The same limits for a call whose answer has a body of `bytes` at most.
    pub fn body(mut self, bytes: u64) -> Self {
        self.body = bytes;
        self
    }
}

/// Sends requests; clones share connections and blocked addresses.
#[derive(Debug, Clone)]
pub struct Client {
    pooled: Arc<Agents>,
    fresh: Agent,
    filter: Arc<Filter>,
    /// Most bytes of an answer.
    reply: u64,
    /// Memory for the answers that are being read.
    replies: Budget,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields; names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

/// Why a call got no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendError {
    /// Whether the request may have reached the server.
    pub sent: bool,
    /// Description of the failure.
    pub text: String,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client that takes 64 MiB of an answer at most, and 256 MiB of all that it reads at once.
    pub fn new() -> Self {
        Self::bounded(REPLY_MAX, REPLIES_MAX)
    }

    /// A client that takes `reply` bytes of an answer at most, head and framing included, and `replies`
    /// bytes of the bodies that it reads at once.
    pub fn bounded(reply: u64, replies: usize) -> Self {
        Self {
            pooled: Arc::new(Agents::new(reply)),
            fresh: agent(0, reply),
            filter: Arc::default(),
            reply,
            replies: Budget::new(replies),
        }
    }

    /// Makes every later call and read fail, as if this host had crashed.
    pub fn close(&self) {
        self.filter.close();
    }

    /// Blocks `addr`, as a network that drops all packets: calls time out in the connect, and pending
    /// answers fail.
    pub fn block(&self, addr: SocketAddr) {
        self.filter.block(addr);
    }

    /// Undoes [`Client::block`].
    pub fn unblock(&self, addr: SocketAddr) {
        self.filter.unblock(addr);
    }

    /// Sends a request and reads the whole answer. After a call that failed for lack of an answer, the next one uses a
    /// new connection: other kept ones may have gone silent together with that of the call.
    ///
    /// # Errors
    /// No complete answer arrived; `sent` tells whether the server may have received the request.
    pub fn call(
        &self,
        method: &str,
        url: &str,
        fields: &[(&str, &str)],
        body: &[u8],
        limits: Timeouts,
    ) -> Result<Reply, SendError> {
        let addr = self.filter.wait(url, limits.connect)?;
        // A URL without an IP address fails in `IpResolver`, before it connects.
        let agent = addr.map_or_else(|| self.fresh.clone(), |a| self.pooled.get(a));
        let began = Instant::now();
        let response = run(&agent, method, url, fields, body, limits);
        let reply = self.read_whole(addr, response, limits);
        if let Some(addr) = addr.filter(|_| reply.is_err() && began.elapsed() >= SILENT_TIME) {
            self.pooled.forget(addr);
        }
        reply
    }

    /// Like `call`, on a new connection: on a pooled one that the server just closed, it would be
    /// unknown whether the request was received.
    ///
    /// # Errors
    /// As for `call`.
    pub fn call_fresh(
        &self,
        method: &str,
        url: &str,
        fields: &[(&str, &str)],
        body: &[u8],
        limits: Timeouts,
    ) -> Result<Reply, SendError> {
        let addr = self.filter.wait(url, limits.connect)?;
        let response = run(&self.fresh, method, url, fields, body, limits);
        self.read_whole(addr, response, limits)
    }

    /// Reads the complete answer of the server at `addr`.
    fn read_whole(
        &self,
        addr: Option<SocketAddr>,
        response: Result<Response<Body>, SendError>,
        limits: Timeouts,
    ) -> Result<Reply, SendError> {
        let reply = read_reply(response?, self.reply.min(limits.body), &self.replies)?;
        self.filter.check_answer(addr)?;
        Ok(reply)
    }

    /// Sends a request on a new connection and returns when the head of the answer has arrived.
    ///
    /// # Errors
    /// As for `call`.
    pub fn stream(
        &self,
        method: &str,
        url: &str,
        fields: &[(&str, &str)],
        body: &[u8],
        limits: Timeouts,
    ) -> Result<Stream, SendError> {
        let addr = self.filter.wait(url, limits.connect)?;
        let response = run(&self.fresh, method, url, fields, body, limits)?;
        self.filter.check_answer(addr)?;
        let status = response.status().as_u16();
        let reader = BufReader::with_capacity(BUFFER, response.into_body().into_reader());
        Ok(Stream {
            status,
            reader,
            addr,
            filter: self.filter.clone(),
        })
    }
}

/// An agent that keeps `idle` connections for each address. If it keeps any, it is for short messages
/// and adds no header fields beyond those that HTTP requires.
pub(super) fn agent(idle: usize, reply: u64) -> Agent {
    let user_agent = if idle == 0 {
        AutoHeaderValue::Provided(Arc::new("gooseberrytack".into()))
    } else {
        AutoHeaderValue::None
    };
    let config = Config::builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .max_idle_age(IDLE_AGE)
        .user_agent(user_agent)
        .accept(AutoHeaderValue::None)
        .build();
    let connector = DefaultConnector::new().chain(BoundedConnector { limit: reply });
    Agent::with_parts(config, connector, IpResolver)
}

fn run(
    agent: &Agent,
    method: &str,
    url: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limits: Timeouts,
) -> Result<Response<Body>, SendError> {
    let mut request = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in fields {
        request = request.header(*name, *value);
    }
    let built = if body.is_empty() && method != "POST" {
        request
            .body(())
            .map(|r| agent.run(configure(agent, r, limits)))
    } else {
        request
            .body(body)
            .map(|r| agent.run(configure(agent, r, limits)))
    };
    match built {
        Ok(Ok(r)) if !is_status(r.status().as_u16()) => Err(SendError {
            sent: true,
            text: format!("the status {} is not in 100 to 599", r.status().as_u16()),
        }),
        Ok(result) => result.map_err(|e| SendError {
            sent: may_be_sent(&e),
            text: e.to_string(),
        }),
        Err(e) => Err(SendError {
            sent: false,
            text: e.to_string(),
        }),
    }
}

fn configure<B: ureq::AsSendBody>(
    agent: &Agent,
    request: ureq::http::Request<B>,
    limits: Timeouts,
) -> ureq::http::Request<B> {
    agent
        .configure_request(request)
        .timeout_connect(Some(limits.connect))
        .timeout_per_read(Some(limits.quiet))
        .timeout_per_write(Some(limits.quiet))
        .timeout_global(Some(limits.total))
        .allow_non_standard_methods(true)
        .build()
}

fn read_reply(response: Response<Body>, limit: u64, budget: &Budget) -> Result<Reply, SendError> {
    let status = response.status().as_u16();
    let fields = response
        .headers()
        .iter()
        .filter_map(|(n, v)| Some((n.as_str().to_string(), v.to_str().ok()?.to_string())))
        .collect();
    let reader = response
        .into_body()
        .into_with_config()
        .limit(limit)
        .reader();
    let body = read_body(reader, budget).map_err(|e| SendError {
        sent: true,
        text: e.to_string(),
    })?;
    Ok(Reply {
        status,
        fields,
        body,
    })
}

fn read_body(mut reader: impl Read, budget: &Budget) -> io::Result<Vec<u8>> {
    let mut share = budget.share();
    let mut body = Vec::new();
    let mut piece = [0; READ_SIZE];
    loop {
        match reader.read(&mut piece) {
            Ok(0) => return Ok(body),
            Ok(n) => body.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) => return Err(e),
        }
        if !share.grow(body.len()) {
            let text = "this host's memory for answers is used up";
            return Err(io::Error::new(io::ErrorKind::OutOfMemory, text));
        }
    }
}

/// Whether a byte of the request may have been sent; only a failed connect rules it out.
fn may_be_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::HostNotFound | ureq::Error::BadUri(_) | ureq::Error::ConnectionFailed => false,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => false,
        ureq::Error::Io(e) => !matches!(
            e.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
        ),
        _ => true,
    }
}
