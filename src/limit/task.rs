//! Periodic tasks of rate limits: claim vacant slots, release misplaced ones, and check that the
//! list shows this host. A planned stop releases the slots.

use super::{
    Record,
    call::{Borrow, claim, lend_local, sync},
    misplaced, slots,
};
use crate::{
    clock::Clock,
    config::Workspace,
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task, serve_call},
};
use std::{io, sync::Arc, time::Duration};

/// Interval of the tasks.
const EVERY: Duration = Duration::from_millis(200);
/// Interval of reports of used tokens. At 20 ms, a workspace of 100 requests a second has two tokens
/// or so that are used and not reported.
const REPORT_EVERY: Duration = Duration::from_millis(20);
/// Most workspaces scanned in one run of `claim_batch`.
const BATCH: usize = 256;
/// Longest wait for the log to accept the release of slots.
const RELEASE_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two checks of a stopping host for whether the log is back.
const LOG_CHECK: Duration = Duration::from_millis(50);
/// Age of the last read of the log from which it counts as unavailable at a planned stop. A read that finds no
/// record returns after half a second, and one of a silent log fails seconds later.
const LOG_AGE_MAX: Duration = Duration::from_millis(1500);

inventory::submit! {
    Plugin {
        name: "limit",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/limit/borrow", handle: borrow },
        ],
        tasks: &[
            Task { name: "slots", every: EVERY, run: claim_batch, waits: true, on: On::All },
            Task { name: "report-used", every: Duration::ZERO, run: report_used, waits: true, on: On::All },
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

/// Runs on a thread of its own, as a periodic task would wake hosts that do not report. There the
/// thread sleeps until the host ends.
fn report_used(host: &Arc<Host>) {
    if !host.limits.is_report_used() {
        return host.sleep(Duration::MAX);
    }
    host.limits.report_used(host);
    host.sleep(REPORT_EVERY);
}

/// Releases misplaced slots of the next workspaces, and claims those that this host should hold.
fn claim_batch(host: &Arc<Host>) {
    if host.is_stopping() {
        return;
    }
    let mut next_scan = host.limits.next_scan.lock().expect("scan");
    let from = *next_scan;
    let some: Vec<Workspace> = host.config.view(|s| {
        let rest = s.workspaces.iter().skip(from);
        rest.take(BATCH).cloned().collect()
    });
    *next_scan = if some.len() < BATCH { 0 } else { from + BATCH };
    drop(next_scan);
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

/// Releases slots that other hosts should hold, unless the log is down and nobody could claim them.
fn release_misplaced(host: &Host, workspace: &Workspace) {
    if host.homes.progress().is_down {
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

/// Writes the releases that the log does not show yet, and waits for the outcomes.
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

/// Notes when the list does not show this host, whose slots others may then claim.
fn check_listed(host: &Arc<Host>) {
    let read = host.members.fresh();
    let Some(began) = read.filter(|_| !host.members.is_listed(&host.me.name)) else {
        return;
    };
    let mut lender = host.limits.lender.lock().expect("lender");
    if let Some(fresh) = host.homes.progress().caught_up {
        lender.proof.note_log_read(fresh);
    }
    lender.proof.note_unlisted(began);
}

/// Releases all slots at a planned stop. While the log is unavailable no other host can take them over, so this
/// host keeps lending for as long as the stop leaves time to write the release.
fn release(host: &Arc<Host>) {
    let last = host.now() + host.settings.linger.saturating_sub(RELEASE_LIMIT);
    let mut is_delayed = false;
    while !can_release(host) && host.now() < last && !host.is_dead() && host.limits.held() > 0 {
        is_delayed = true;
        host.clock.sleep(LOG_CHECK);
    }
    if is_delayed {
        let (slots, is_log_back) = (host.limits.held(), can_release(host));
        tracing::info!(slots, is_log_back, "slot_release_delayed");
    }
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

/// Whether the log was read lately, so that it can be expected to take the release of slots.
fn can_release(host: &Host) -> bool {
    let progress = host.homes.progress();
    let age = progress.caught_up.map(|at| host.now().saturating_sub(at));
    !progress.is_down && age.is_some_and(|age| age < LOG_AGE_MAX)
}
