//! Typed calls between hosts: MessagePack over HTTP. Most bodies are a few dozen bytes, so a call has
//! only the header fields that HTTP requires and the logical time.

use super::Host;
use crate::{
    error::{Fail, Kind, Res},
    http::{Exchange, Timeouts},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Header field with the sender's logical time.
const STAMP: &str = "x-stamp";

/// A request to another host.
pub trait Call: Serialize + DeserializeOwned {
    /// The answer to it.
    type Reply: Serialize + DeserializeOwned;

    /// Path on the peer port.
    const PATH: &'static str;
}

impl Host {
    /// Sends `call` to the host at `addr` and waits for the answer, `limit` at most.
    ///
    /// # Errors
    /// `Unreachable` if the call was certainly not sent, `ServerLost` if it may have been, or the error
    /// that the other host answered with.
    pub fn call<Q: Call>(&self, addr: SocketAddr, call: &Q, limit: Duration) -> Res<Q::Reply> {
        self.call_within(addr, call, Timeouts::within(limit))
    }

    /// Like [`Host::call`], with the time limits `limits`.
    ///
    /// # Errors
    /// As for [`Host::call`].
    pub fn call_within<Q: Call>(
        &self,
        addr: SocketAddr,
        call: &Q,
        limits: Timeouts,
    ) -> Res<Q::Reply> {
        let body = encode(call)?;
        let stamp = self.timeline.stamp().to_string();
        let url = format!("http://{addr}{}", Q::PATH);
        let fields = [(STAMP, stamp.as_str())];
        self.meters.call(Q::PATH);
        let reply = self.client.call("POST", &url, &fields, &body, limits);
        let reply = reply.map_err(|e| {
            self.members.failed(addr);
            let kind = if e.sent {
                Kind::ServerLost
            } else {
                Kind::Unreachable
            };
            Fail::new(kind, format!("host at {addr}: {}", e.text))
        })?;
        let stamp = reply.fields.iter().find(|(n, _)| n == STAMP);
        if let Some(stamp) = stamp.and_then(|(_, v)| v.parse().ok()) {
            self.timeline.observe(stamp);
        }
        if reply.status == 200 {
            return decode(&reply.body);
        }
        Err(
            decode::<Fail>(&reply.body).unwrap_or_else(|e| match reply.status {
                // The host runs a build without this path.
                404 => Fail::new(Kind::NotFound, format!("no path \"{}\"", Q::PATH)),
                _ => e,
            }),
        )
    }
}

/// Decodes a call, runs `run` and answers with its result.
///
/// # Errors
/// The connection to the calling host failed.
pub fn serve_call<Q: Call>(
    host: &Arc<Host>,
    exchange: &mut Exchange,
    run: impl FnOnce(&Arc<Host>, Q) -> Res<Q::Reply>,
) -> io::Result<()> {
    let result = decode_call::<Q>(host, exchange).and_then(|call| run(host, call));
    let (status, body) = match result.and_then(|reply| encode(&reply)) {
        Ok(body) => (200, body),
        Err(fail) => (fail.kind.row().status, encode(&fail).unwrap_or_default()),
    };
    let stamp = host.timeline.stamp().to_string();
    exchange.send_with(status, &[(STAMP, &stamp)], &body)
}

/// Decodes a call and takes over the sender's logical time.
///
/// # Errors
/// `BadRequest`.
pub(crate) fn decode_call<Q: Call>(host: &Host, exchange: &Exchange) -> Res<Q> {
    if let Some(stamp) = exchange.request.field(STAMP).and_then(|v| v.parse().ok()) {
        host.timeline.observe(stamp);
    }
    decode::<Q>(&exchange.request.body)
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Res<Vec<u8>> {
    rmp_serde::to_vec(value).map_err(|e| Fail::new(Kind::Internal, e.to_string()))
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Res<T> {
    rmp_serde::from_slice(bytes)
        .map_err(|e| Fail::new(Kind::BadRequest, format!("not the expected message: {e}")))
}
