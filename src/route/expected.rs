//! Expected time to the first and the last event of a request at a server.
//!
//! Addresses online requests that reach slow servers as often as fast ones because the servers are
//! compared by requests for each slot.

use crate::gate::{Counts, HINT_AGE, HINT_MAX, Speed};
use std::time::Duration;

/// Added for a server in another failure domain: three round trips of about 3 ms, to connect, to send and
/// for the first event.
const FAR_S: f32 = 0.01;

/// What is at a server, as one host knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Counts of its gate, or estimates; `slots` is never zero.
    pub counts: Counts,
    /// Whether the counts are fresh.
    pub is_known: bool,
}

/// What a request can expect of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expected {
    /// Seconds to the first event.
    pub first: f32,
    /// Seconds to the last event.
    pub last: f32,
    /// Seconds between events.
    pub step: f32,
    /// Whether the server is below its learned limit, for online requests and for batch work.
    pub has_room: (bool, bool),
}

impl Expected {
    /// Order of servers for online requests: the first event matters as much as the last.
    pub fn online_cost(&self) -> f32 {
        self.first + self.last
    }
}

/// What a request with `events` events can expect of a server with `speed`, which is `age` old.
pub fn expected(speed: &Speed, age: Duration, load: &Load, is_near: bool, events: f32) -> Expected {
    let c = load.counts;
    let (slots, running) = (c.slots.max(1), c.online.saturating_add(c.batch));
    let ahead = c.online.saturating_add(c.waiting);
    let factor = hint(speed, age);
    let count = running.saturating_add(1).min(slots);
    let step = factor * seconds(step_us(speed, count, slots));
    let base = seconds(speed.step.max(1) as f32);
    let own = step * (seconds(speed.first as f32) / base) + if is_near { 0.0 } else { FAR_S };
    // The requests ahead end one after the other, `slots` at a time.
    let missing = ahead.saturating_add(1).saturating_sub(slots) as f32 / slots as f32;
    let first = own + missing * (own + events * step);
    Expected {
        first,
        last: first + (events - 1.0).max(0.0) * step,
        step,
        has_room: (
            ahead < speed.limit,
            ahead.saturating_add(c.batch).saturating_add(c.backlog) < speed.limit,
        ),
    }
}

/// Time between events in microseconds with `count` requests running, between the known points.
fn step_us(speed: &Speed, count: u32, slots: u32) -> f32 {
    let (limit, step, knee) = (speed.limit.clamp(1, slots), speed.step, speed.knee);
    let (from, to) = match count <= limit {
        true => ((1, step), (limit, knee)),
        false => ((limit, knee), (slots, speed.full)),
    };
    let part = count.saturating_sub(from.0) as f32 / (to.0 - from.0).max(1) as f32;
    from.1 as f32 + part * (to.1 as f32 - from.1 as f32)
}

/// Factor by the server's last load report, which fades with its age.
fn hint(speed: &Speed, age: Duration) -> f32 {
    let Some((percent, before)) = speed.hint else {
        return 1.0;
    };
    let age_ms = age.as_millis() as f32 + before as f32;
    let weight = (1.0 - age_ms / HINT_AGE.as_millis() as f32).max(0.0);
    let most = HINT_MAX as f32;
    let factor = (percent as f32 / 100.0).clamp(1.0 / most, most);
    1.0 + weight * (factor - 1.0)
}

fn seconds(micros: f32) -> f32 {
    micros / 1e6
}

/// Assumes the mean of the known servers for those whose counts or speeds are not known. `None` if no
/// speed is known.
pub fn assume(servers: &mut [(Load, Option<(Speed, Duration)>)]) -> Option<()> {
    let known: Vec<Speed> = servers
        .iter()
        .filter_map(|(_, s)| Some(s.as_ref()?.0))
        .collect();
    let middle = |field: fn(&Speed) -> u32| {
        let mut all: Vec<u32> = known.iter().map(field).collect();
        all.sort_unstable();
        all.get(all.len() / 2).copied()
    };
    let fresh = servers.iter().filter(|(load, _)| load.is_known);
    let (mut total, mut online, mut batch) = (0.0, 0.0, 0.0);
    for (load, _) in fresh {
        total += f64::from(load.counts.slots);
        online += f64::from(load.counts.online);
        batch += f64::from(load.counts.batch);
    }
    let (online, batch) = (online / f64::max(total, 1.0), batch / f64::max(total, 1.0));
    let middle = Speed {
        first: middle(|s| s.first)?,
        step: middle(|s| s.step)?,
        knee: middle(|s| s.knee)?,
        full: middle(|s| s.full)?,
        limit: u32::MAX,
        usual: 100,
        hint: None,
    };
    for (load, speed) in servers {
        let c = &mut load.counts;
        if !load.is_known {
            let slots = f64::from(c.slots);
            c.online = c.online.max((online * slots) as u32);
            c.batch = (batch * slots) as u32;
        }
        speed.get_or_insert((middle, Duration::ZERO));
    }
    Some(())
}
