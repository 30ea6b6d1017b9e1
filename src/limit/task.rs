//! The periodic work of rate limits: taking slots without a holder, proof of holding, release at a
//! planned stop.

use super::{
    Record,
    call::{Borrow, claim, lend_local, sync},
    misplaced, slots,
};
use crate::{
    config::Workspace,
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task, serve_call},
};
use std::{io, sync::Arc, time::Duration};

/// Time between two runs.
const EVERY: Duration = Duration::from_millis(200);
/// Workspaces looked at in one run.
const BATCH: usize = 256;
/// Longest wait for the log to take the release of slots.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin {
        name: "limit",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/limit/borrow", handle: borrow },
        ],
        tasks: &[
            Task { name: "slots", every: EVERY, run: claim_batch, waits: true, on: On::All },
            Task { name: "proof", every: EVERY, run: check_listed, waits: false, on: On::All },
        ],
        stop: release,
    }
}

fn borrow(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, ask: Borrow| {
        Ok(lend_local(host, &ask))
    })
}

/// Looks at the next few workspaces and takes their slots that this host should hold.
fn claim_batch(host: &Arc<Host>) {
    if host.is_stopping() {
        return;
    }
    let mut scanned = host.limits.scanned.lock().expect("scan");
    let from = *scanned;
    let some: Vec<Workspace> = host.config.view(|s| {
        let rest = s.workspaces.iter().skip(from);
        rest.take(BATCH).cloned().collect()
    });
    *scanned = if some.len() < BATCH { 0 } else { from + BATCH };
    drop(scanned);
    for workspace in &some {
        release_misplaced(host, workspace);
        for number in 0..slots(workspace.burst) {
            let slot = sync(host, workspace, number);
            if slot.host.as_ref() != Some(&host.me.name) {
                claim(host, workspace, number, &slot);
            }
        }
    }
    write_releases(host);
}

/// Gives up slots that others should hold, unless the log fails and nobody could take them.
fn release_misplaced(host: &Host, workspace: &Workspace) {
    if host.homes.progress().down {
        return;
    }
    let ring = host.members.ring();
    let name = &workspace.name;
    let numbers = host
        .homes
        .view(|h| misplaced(&ring, workspace, h.slots(name), &host.me.name));
    let mut lender = host.limits.lender.lock().expect("lender");
    for number in numbers {
        lender.release_one(name, number, host.now());
    }
}

/// Writes the releases that the log does not show yet.
fn write_releases(host: &Host) {
    let mut lender = host.limits.lender.lock().expect("lender");
    let due = lender.releases_due(host.now(), |record| {
        let Record::Release {
            workspace,
            slot,
            epoch,
            ..
        } = record
        else {
            return false;
        };
        host.homes
            .view(|h| h.slot(workspace, *slot).epoch == *epoch)
    });
    drop(lender);
    let tickets: Vec<_> = due.iter().map(|r| host.homes.submit(r)).collect();
    for (record, ticket) in due.iter().zip(tickets) {
        let outcome = ticket.wait(RELEASE_LIMIT);
        let mut lender = host.limits.lender.lock().expect("lender");
        lender.note_written(record, &outcome);
    }
}

/// Takes note when the list does not show this host: its slots may be claimed by others.
fn check_listed(host: &Arc<Host>) {
    let read = host.members.fresh();
    let Some(began) = read.filter(|_| !host.members.is_listed(&host.me.name)) else {
        return;
    };
    let mut lender = host.limits.lender.lock().expect("lender");
    if let Some(fresh) = host.homes.progress().fresh {
        lender.proof.note_log_read(fresh);
    }
    lender.proof.note_unlisted(began);
}

fn release(host: &Arc<Host>) {
    let records = host
        .limits
        .lender
        .lock()
        .expect("lender")
        .release_all(host.now());
    let tickets: Vec<_> = records
        .iter()
        .map(|r: &Record| host.homes.submit(r))
        .collect();
    let end = host.now() + RELEASE_LIMIT;
    for ticket in tickets {
        ticket.wait(end.saturating_sub(host.now()));
    }
}
