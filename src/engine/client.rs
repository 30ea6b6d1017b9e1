//! HTTP client for one engine.

use super::{Generate, Piece};
use crate::{
    error::{Fail, Kind, Res},
    http::{Client, SendError, Stream, Timeouts},
    wire::Name,
};
use std::{net::SocketAddr, time::Duration};

/// Longest line of a stream.
const LINE_MAX_BYTES: usize = 64 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client for the engine at one address.
#[derive(Debug, Clone)]
pub struct EngineClient {
    addr: SocketAddr,
    client: Client,
    quiet: Duration,
}

/// Reader of a generation's stream that checks it: every piece must have the right id and the next
/// position, and only a piece with an end mark ends the stream.
#[derive(Debug)]
pub struct Pieces {
    id: Name,
    next: u32,
    tokens: u32,
    stream: Stream,
}

impl EngineClient {
    /// A client that treats an engine as lost after `quiet` without a byte.
    pub fn new(addr: SocketAddr, client: Client, quiet: Duration) -> Self {
        Self {
            addr,
            client,
            quiet,
        }
    }

    /// Starts a generation that may take up to `limit` in total.
    ///
    /// # Errors
    /// `Unreachable` if the request was certainly not sent, `ServerLost` if it may have been,
    /// `ServerRefused` if the engine refused it.
    pub fn generate(&self, ask: &Generate, limit: Duration) -> Res<Pieces> {
        let url = format!("http://{}/v1/generate", self.addr);
        let body = serde_json::to_vec(ask).map_err(|e| Fail::new(Kind::Internal, e.to_string()))?;
        let limits = Timeouts {
            connect: CONNECT_TIMEOUT.min(limit),
            quiet: self.quiet,
            total: limit,
            body: u64::MAX,
        };
        let fields = [("content-type", "application/json")];
        let stream = self
            .client
            .stream("POST", &url, &fields, &body, limits)
            .map_err(|e| send_failure(&e))?;
        if stream.status != 200 {
            let text = format!("the server answered {}", stream.status);
            return Err(Fail::new(Kind::ServerRefused, text));
        }
        Ok(Pieces {
            id: ask.id.clone(),
            next: ask.from,
            tokens: ask.tokens,
            stream,
        })
    }
}

fn send_failure(error: &SendError) -> Fail {
    let kind = if error.sent {
        Kind::ServerLost
    } else {
        Kind::Unreachable
    };
    Fail::new(kind, format!("backend server: {}", error.text))
}

impl Pieces {
    /// The next piece of the stream.
    ///
    /// # Errors
    /// `ServerLost` if the stream ended early, `BrokenAnswer` if a piece is invalid, belongs to
    /// another request, is out of order or beyond the requested length.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Res<Piece> {
        let line = match self.stream.line(LINE_MAX_BYTES) {
            Ok(Some(line)) => line,
            Ok(None) => return Err(Fail::new(Kind::ServerLost, "the answer ended early")),
            Err(e) => {
                return Err(Fail::new(
                    Kind::ServerLost,
                    format!("the answer ended early: {e}"),
                ));
            }
        };
        let piece: Piece = serde_json::from_str(&line)
            .map_err(|_| Fail::new(Kind::BrokenAnswer, "a piece of the answer is invalid"))?;
        if piece.id != self.id {
            return Err(Fail::new(
                Kind::BrokenAnswer,
                "the answer belongs to another request",
            ));
        }
        let is_beyond = piece.end.is_none() && piece.pos >= self.tokens;
        if piece.pos != self.next || is_beyond {
            return Err(Fail::new(
                Kind::BrokenAnswer,
                "a piece of the answer is out of order",
            ));
        }
        if piece.end.is_none() {
            self.next += 1;
        }
        Ok(piece)
    }
}
