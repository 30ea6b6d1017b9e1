//! Opens tunnels through peers.

use super::{TunnelCall, TunnelRefusal};
use crate::{
    clock::Time,
    error::{Fail, Kind},
    kernel::{Call, Host, decode, encode},
    member::Backoff,
    pass::{Conn, ReadError},
    wire::{Class, Name, Peer, Work},
};
use rand::{Rng, seq::IteratorRandom};
use std::{sync::Arc, time::Duration};

/// Most peers that are asked for one tunnel.
const TRIES: usize = 8;
/// Most peers that are preferred for further tunnels.
const PREFERRED_MAX: usize = 4;
/// Timeout of a connection to a peer, and of its answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a peer is not asked that is cut off too, and one that does not answer.
const CUT_TIME: Duration = Duration::from_secs(2);
const LOST_TIME: Duration = Duration::from_secs(1);
/// Time for which a peer is not asked that serves as many tunnels as it may.
const FULL_TIME: Duration = Duration::from_millis(200);
/// Time for which a host that is not cut off asks no peer after none could serve a tunnel.
const PAUSE: Duration = Duration::from_millis(500);
/// Largest answer of a peer that refuses a tunnel.
const REPLY_MAX_BYTES: usize = 4 * 1024;

/// Why there is no tunnel to a server.
#[derive(Debug)]
pub enum NoTunnel {
    /// No peer serves one, and some say that they reach no server either.
    NoPath,
    /// No peer could be asked or answered.
    NoPeer,
    /// A peer that reaches servers cannot connect to this one.
    Server(Fail),
}

/// Which peers to ask for tunnels.
#[derive(Debug, Clone, Default)]
pub struct TunnelPeers {
    /// Peers that served the last tunnels, or are said to serve others.
    preferred: Vec<Name>,
    skipped: Backoff,
    /// When a peer last said that it reaches no server either.
    denied: Option<Time>,
    /// No peer is asked before this time.
    resume: Time,
}

impl TunnelPeers {
    /// The peer of `live`, sorted by name, to ask at `now`: a random one of those that serve tunnels, else of all; only
    /// one for which `may_use` holds.
    pub fn choose<'a, R: Rng>(
        &self,
        live: &'a [Peer],
        now: Time,
        rng: &mut R,
        may_use: impl Fn(&Peer) -> bool,
    ) -> Option<&'a Peer> {
        if now < self.resume || live.is_empty() {
            return None;
        }
        let may_ask = |p: &&Peer| !self.skipped.contains(&p.name, now) && may_use(p);
        let find = |name: &Name| {
            let at = live.binary_search_by(|p| p.name.cmp(name)).ok()?;
            Some(&live[at])
        };
        let preferred = self.preferred.iter().filter_map(find);
        preferred.filter(may_ask).choose(rng).or_else(|| {
            let (before, from) = live.split_at(rng.random_range(0..live.len()));
            from.iter().chain(before).find(may_ask)
        })
    }

    /// Peers that serve tunnels.
    pub fn preferred(&self) -> &[Name] {
        &self.preferred
    }

    /// Whether a peer has lately said that it reaches no server either.
    pub fn is_denied(&self, now: Time) -> bool {
        self.denied
            .is_some_and(|at| now.saturating_sub(at) < CUT_TIME)
    }

    /// Records that `peer` serves tunnels.
    pub fn note_served(&mut self, peer: &Name) {
        if self.preferred.len() < PREFERRED_MAX && !self.preferred.contains(peer) {
            self.preferred.push(peer.clone());
        }
    }

    /// Records that `peer` served no tunnel at `now`, because of an error of `kind`.
    pub fn note_refused(&mut self, peer: &Name, kind: Kind, now: Time) {
        self.preferred.retain(|p| p != peer);
        let span = match kind {
            Kind::Overloaded => FULL_TIME,
            Kind::NotReady => CUT_TIME,
            _ => LOST_TIME,
        };
        if kind == Kind::NotReady {
            self.denied = Some(now);
        }
        self.skipped.add(peer, now, span);
    }

    /// Records that none of the peers that were asked served a tunnel at `now`.
    pub fn note_none(&mut self, now: Time) {
        self.resume = now + PAUSE;
    }
}

impl Host {
    /// Connects to `server` through a peer for `work`. Asks those peers first that a refusing one names.
    ///
    /// # Errors
    /// The server did not get a byte.
    pub fn open_tunnel(self: &Arc<Self>, work: &Work, server: &Name) -> Result<Conn, NoTunnel> {
        let regions = self.declared.regions_of(self, work);
        let may_use = |peer: &Peer| {
            let zones = &self.settings.zones;
            let is_within = |r: &Arc<[Name]>| zones.may_pass(&peer.domain, &self.me.domain, r);
            peer.name != self.me.name
                && !self.members.is_down(&peer.name)
                && regions.as_ref().is_none_or(is_within)
        };
        let ring = self.members.ring();
        let mut error = Name::default();
        for asked in 0..TRIES {
            let now = self.now();
            let left = work.deadline.saturating_sub(now);
            let rng = &mut rand::rng();
            let peers = self.tunnels.peers();
            let chosen = peers.choose(ring.peers(), now, rng, may_use);
            drop(peers);
            let Some(peer) = chosen.filter(|_| !left.is_zero()) else {
                break;
            };
            let call = TunnelCall {
                server: server.clone(),
                class: work.class,
                limit: left,
            };
            match self.ask_tunnel(peer, &call, PEER_TIMEOUT.min(left)) {
                Ok(conn) => {
                    let (id, server) = (&*work.id, &**server);
                    tracing::info!(id, server, peer = &*peer.name, asked, "tunnel_opened");
                    self.meters.tunnel_opened();
                    self.note_tunnel(&call.server, &peer.name);
                    self.tunnels.peers().note_served(&peer.name);
                    return Ok(conn);
                }
                Err(refusal) if refusal.fail.kind == Kind::Unreachable => {
                    return Err(NoTunnel::Server(refusal.fail));
                }
                // Peers keep places for online requests.
                Err(refusal)
                    if work.class == Class::Batch && refusal.fail.kind == Kind::Overloaded =>
                {
                    return Err(NoTunnel::NoPeer);
                }
                Err(TunnelRefusal { fail, others }) => {
                    let mut peers = self.tunnels.peers();
                    peers.note_refused(&peer.name, fail.kind, self.now());
                    others.iter().for_each(|other| peers.note_served(other));
                    error = fail.text.as_ref().into();
                }
            }
        }
        let (id, error, now) = (&*work.id, &*error, self.now());
        let mut peers = self.tunnels.peers();
        if !self.tunnels.is_cut() {
            peers.note_none(now);
        }
        let is_denied = peers.is_denied(now);
        drop(peers);
        tracing::info!(id, error, is_denied, "tunnel_not_opened");
        self.meters.tunnel_missed();
        Err(match is_denied {
            true => NoTunnel::NoPath,
            false => NoTunnel::NoPeer,
        })
    }

    /// Asks `peer` for a tunnel; `Unreachable` is its own word of the server.
    fn ask_tunnel(
        &self,
        peer: &Peer,
        call: &TunnelCall,
        limit: Duration,
    ) -> Result<Conn, TunnelRefusal> {
        self.try_tunnel(peer, call, limit).unwrap_or_else(|text| {
            self.members.failed(peer.addr);
            Err(refusal(Kind::ServerLost, format!("{}: {text}", peer.name)))
        })
    }

    /// The peer's answer.
    ///
    /// # Errors
    /// Why there is none.
    fn try_tunnel(
        &self,
        peer: &Peer,
        call: &TunnelCall,
        limit: Duration,
    ) -> Result<Result<Conn, TunnelRefusal>, String> {
        let end = self.now() + limit;
        let left = || end.saturating_sub(self.now());
        let mut conn = self
            .passing
            .open_peer(peer.addr, limit)
            .map_err(|e| e.to_string())?;
        let body = encode(call).map_err(|e| e.to_string())?;
        let head = format!(
            "POST {} HTTP/1.1\r\nhost: {}\r\ncontent-length: {}\r\n\r\n",
            TunnelCall::PATH,
            peer.addr,
            body.len()
        );
        conn.send(&head, &body).map_err(|e| e.to_string())?;
        if conn.head(left()).map_err(read_error)?.status == 200 {
            conn.begin_tunnel();
            return Ok(Ok(conn));
        }
        let mut reply = Vec::new();
        while conn.read(left(), &mut reply).map_err(read_error)? {
            if reply.len() > REPLY_MAX_BYTES {
                return Err("the answer is too long".into());
            }
        }
        // A host of an earlier build does not know the path, and answers with another body.
        let other = |_| refusal(Kind::NotFound, "the peer serves no tunnels".into());
        Ok(Err(decode(&reply).unwrap_or_else(other)))
    }
}

fn refusal(kind: Kind, text: String) -> TunnelRefusal {
    TunnelRefusal {
        fail: Fail::new(kind, text),
        others: Vec::new(),
    }
}

fn read_error(error: ReadError) -> String {
    match error {
        ReadError::TimedOut => "no answer in time".into(),
        ReadError::Broken(text) => text,
    }
}
