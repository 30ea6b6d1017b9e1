//! Withdraws exceptions whose end has come.
//!
//! Records carry no time, and wall clocks differ. The host in charge compares the end with the
//! middle one of its own and some peers' wall clocks, so that one clock that is far off neither
//! ends an exception early nor keeps it.

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

/// Time between two looks at the ends.
const EVERY: Duration = Duration::from_secs(2);
/// Longest time for a peer to answer.
const LIMIT: Duration = Duration::from_millis(500);
/// Key under which the host in charge is placed.
const KEY: &str = "config/ends";

inventory::submit! {
    Plugin {
        name: "ends",
        routes: &[Route { port: Port::Peer, method: "POST", path: "/peer/clock", handle: serve }],
        tasks: &[Task { name: "ends", every: EVERY, run: withdraw_ended, waits: true, on: On::Own }],
        stop: |_| {},
    }
}

/// Asks for a host's wall clock in seconds since 1970.
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
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_secs())
}

/// The middle one of `clocks`, the earlier one of two; `None` without clocks.
pub fn middle_clock(mut clocks: Vec<u64>) -> Option<u64> {
    clocks.sort_unstable();
    let middle = clocks.len().checked_sub(1)? / 2;
    clocks.get(middle).copied()
}

/// Changes that withdraw the exceptions that end at `now` or before. The same end gives the same
/// change on every host, so that it is made once.
pub fn ended(state: &State, now: u64) -> Vec<Change> {
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
    let mine = host.members.owner(KEY);
    let any = host.config.view(|s| !ended(s, u64::MAX).is_empty());
    if !any || mine.is_none_or(|p| p.name != host.me.name) {
        return;
    }
    let peers = neighbours(host).into_iter();
    let mut clocks: Vec<u64> = peers
        .filter_map(|p| host.call(p.addr, &ClockCall {}, LIMIT).ok())
        .collect();
    clocks.push(wall_clock());
    let Some(now) = middle_clock(clocks) else {
        return;
    };
    for change in host.config.view(|s| ended(s, now)) {
        host.config.submit(&Record::Change(change));
    }
}
