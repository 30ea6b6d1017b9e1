//! Withdraws exceptions whose end has come.
//!
//! Records carry no time, and wall clocks differ. The host in charge compares the end with the
//! median of its own and some peers' wall clocks, so that a single wrong clock neither ends an
//! exception early nor prolongs it.

use super::{Change, Edit, Item, Record, Sort, State};
use crate::{
    http::Exchange,
    kernel::{Call, Host, On, Plugin, Port, Route, Task, neighbours, serve_call},
};
use serde::{Deserialize, Serialize};
use std::{
    io,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Interval between checks for ended exceptions.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Placement key of the host in charge.
const OWNER_KEY: &str = "config/ends";

inventory::submit! {
    Plugin {
        name: "ends",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/clock", handle: serve }],
        tasks: &[Task { name: "ends", every: CHECK_INTERVAL, run: withdraw_ended, waits: true, on: On::Own }],
        stop: |_| {},
    }
}

/// Asks for a host's wall clock as Unix time in seconds.
#[derive(Debug, Serialize, Deserialize)]
struct ClockCall {}

impl Call for ClockCall {
    type Reply = u64;
    const PATH: &'static str = "/peer/clock";
}

fn serve(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |_, _: ClockCall| Ok(wall_clock()))
}

fn wall_clock() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| d.as_secs())
}

/// The median of `clocks`, the lower one for an even count; `None` without clocks.
pub fn median_clock(mut clocks: Vec<u64>) -> Option<u64> {
    clocks.sort_unstable();
    let median = clocks.len().checked_sub(1)? / 2;
    clocks.get(median).copied()
}

/// Changes that withdraw the exceptions that end at `now` or before. Every host derives the same
/// change for an end, so that it is applied once.
pub fn expirations(state: &State, now: u64) -> Vec<Change> {
    let exceptions = state.objects(Sort::Exception).iter();
    let due = exceptions
        .filter(|o| matches!(o.item, Item::Exception { end: Some(end), .. } if end <= now));
    due.map(|o| {
        let id = format!("end/{}/{}", o.id.name, o.revision);
        let mut change = Change::new(id, "gooseberrytack", "the exception has ended");
        change.edits = vec![Edit {
            id: o.id.clone(),
            base: o.revision,
            item: None,
        }];
        change
    })
    .collect()
}

fn withdraw_ended(host: &Arc<Host>) {
    let owner = host.members.owner(OWNER_KEY);
    let has_ends = host.config.view(|s| !expirations(s, u64::MAX).is_empty());
    if !has_ends || owner.is_none_or(|p| p.name != host.me.name) {
        return;
    }
    let peers = neighbours(host).into_iter();
    let mut clocks: Vec<u64> = peers
        .filter_map(|p| host.call(p.addr, &ClockCall {}, CALL_TIMEOUT).ok())
        .collect();
    clocks.push(wall_clock());
    let Some(now) = median_clock(clocks) else {
        return;
    };
    for change in host.config.view(|s| expirations(s, now)) {
        host.config.submit(&Record::Change(change));
    }
}
