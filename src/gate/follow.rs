//! Has the queue of a gate follow the limits of its server.

use super::{
    cold::GrantLimit,
    gate_key,
    grant::{Inner, Queues},
    hold::OWNERS,
    limit::{self, Role},
};
use crate::{clock::Time, config::Server, kernel::Host, wire::Name};

impl Inner {
    /// Throttles the grants to `holder` and others by what the server stated, and if it is cold.
    pub(super) fn follow_limit(&mut self, host: &Host, server: &Server, holder: &Name) {
        let now = host.now();
        let mut stated = host.routes.limits.rate(server);
        if let Some((rate, at)) = stated
            && !self.confirmation.holds(at, now)
        {
            host.routes.limits.forget(&server.name);
            stated = None;
            let age_ms = now.saturating_sub(at).as_millis() as u64;
            tracing::info!(server = &*server.name, rate, age_ms, "server_limit_lapsed");
        }
        let cold = host.gates.cold.rate(server, now);
        self.queue.track_grants(host.gates.cold.has_limits(), now);
        if stated.is_none() && cold.is_none() {
            return self.queue.set_rate_limits(None, None, now);
        }
        let role = self.role(host, &server.name, holder, now);
        let stated = stated.map(|(rate, _)| role.granted_rate(rate));
        let cold = cold.map(|rate| {
            let count = host.members.ring().peers().len();
            let list_age = host.members.fresh().map(|at| now.saturating_sub(at));
            GrantLimit::cold(rate, role.for_cold(list_age, count))
        });
        self.queue.set_rate_limits(stated, cold, now);
    }

    /// By what right this host grants slots of `server` to `holder`.
    fn role(&self, host: &Host, server: &str, holder: &Name, now: Time) -> Role {
        let count = host.members.ring().peers().len();
        if let Some(since) = self.owned_since {
            return match now.saturating_sub(since) >= limit::handover(count) {
                true => Role::Gate,
                false => Role::Standby,
            };
        }
        let owners = host.members.owners(&gate_key(server), OWNERS);
        let is_alone = *holder == host.me.name && owners.iter().all(|o| o.name != host.me.name);
        match is_alone {
            true => Role::Alone(count),
            false => Role::Standby,
        }
    }
}

impl Queues {
    /// Has the queue of `server` on this host, if there is one, follow its limits at once: a slot may be
    /// released and granted again before the next request. Changes nothing if no service has a cold limit.
    pub(crate) fn follow_cold(&self, host: &Host, server: &Server) {
        if !host.gates.cold.has_limits() {
            return;
        }
        if let Some(gate) = self.find(&server.name) {
            let mut inner = gate.lock();
            let holder = inner.last_holder.clone();
            inner.follow_limit(host, server, &holder);
        }
    }
}
