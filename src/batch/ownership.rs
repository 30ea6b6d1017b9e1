//! Appends this host's records to the streams: claims, renewals, outcomes, releases and ticks.

use super::{
    SYNC_INTERVAL, Turn, View, readers, run,
    stream::{Slot, Stream},
};
use crate::{
    clock::{Clock, Time},
    fold::{AppendOutcome, Pos},
    job::{ItemState, Part, PartRef, Record, State},
    kernel::{Host, On, Plugin, Task},
    lease,
    member::Ring,
    threads::spawn,
    timeline::Happening,
    wire::Name,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// Most bytes of outcomes in one commit.
const COMMIT_BYTES: usize = 256 * 1024;
/// Longest time between two commits to a stream on which no item is open.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for an append, and then for the reading of its record.
const APPEND_TIMEOUT: Duration = Duration::from_secs(5);
/// Silence of other hosts proves nothing if the head of the log was last read longer ago than this.
const FRESH_MAX: Duration = Duration::from_millis(1500);

inventory::submit! {
    Plugin {
        name: "batch",
        routes: super::api::ROUTES,
        tasks: &[
            Task { name: "batch_look", every: SYNC_INTERVAL, run: sync_all, waits: false, on: On::All },
            Task { name: "batch_tick", every: Duration::from_millis(250), run: tick_all, waits: true, on: On::All },
            Task { name: "batch_place", every: Duration::from_millis(100), run: readers::place, waits: false, on: On::All },
        ],
        stop,
    }
}

/// Position of the last tick seen, and when it was first seen.
#[derive(Debug, Default)]
pub(super) struct LastTick {
    at: Pos,
    seen: Time,
}

/// Shortest time between two appends of this host to a stream, by the limit on appends.
pub(super) fn append_interval(host: &Host) -> Duration {
    let hosts = host.members.ring().peers().len();
    let writers = host.batch.streams.writers(hosts);
    lease::append_interval(writers, host.settings.appends, host.settings.interval)
}

/// Time without a record after which a lease on parts lapses.
pub(super) fn lease_span(host: &Host) -> Duration {
    lease::lease_span(append_interval(host), host.settings.lease)
}

/// Follows the stream of `slot`, and starts the thread that commits this host's records to it.
pub(super) fn follow(host: &Arc<Host>, slot: &Slot) {
    let stream = host.batch.streams.open(slot);
    let host = host.clone();
    spawn("batch-commit", move || {
        while !host.is_dead() && !stream.jobs.is_stopped() {
            let next = stream.jobs.progress().next;
            commit(&host, &stream);
            if is_idle(&stream) {
                stream.jobs.wait_moved(next, IDLE_INTERVAL);
            } else {
                host.clock.sleep(SYNC_INTERVAL);
            }
        }
    });
}

/// Whether this host has nothing to commit until the stream has a new record.
fn is_idle(stream: &Stream) -> bool {
    let is_done = |s: &State| s.jobs.iter().all(|j| j.counts.open == 0);
    stream.held() == 0 && stream.jobs.view(is_done)
}

/// Updates the schedulers from the folded states, and starts workers for items that are due.
fn sync_all(host: &Arc<Host>) {
    for stream in host.batch.streams.followed() {
        sync(host, &stream);
    }
    run::start_workers(host);
}

fn sync(host: &Host, stream: &Stream) {
    let mut scheduler = stream.scheduler();
    stream.jobs.view(|s| scheduler.sync(s, &host.me.name));
}

/// Appends this host's records and waits for them. Renews the lease if the log took one of them.
fn commit(host: &Arc<Host>, stream: &Stream) {
    stream.jobs.set_interval(append_interval(host));
    let sent = host.now();
    let recs = records(host, stream, sent);
    if recs.is_empty() {
        return;
    }
    let tickets: Vec<_> = recs.iter().map(|rec| stream.jobs.submit(rec)).collect();
    let mut last = 0;
    for ticket in &tickets {
        if let AppendOutcome::Taken(at) = ticket.wait(APPEND_TIMEOUT) {
            last = last.max(at);
        }
    }
    if last == 0 || !stream.jobs.catch_up_to(last, APPEND_TIMEOUT) {
        return;
    }
    stream.scheduler().lease.renew(sent);
    sync(host, stream);
    run::start_workers(host);
    note_events(host, stream, &recs, last);
}

fn records(host: &Host, stream: &Stream, now: Time) -> Vec<Record> {
    let me = &host.me.name;
    let parts = plan(host, stream, now);
    let scheduler = stream.scheduler();
    let mut recs: Vec<Record> = Vec::new();
    for (part, ended) in scheduler.unsaved(COMMIT_BYTES) {
        let host = me.clone();
        recs.push(Record::Outcomes { host, part, ended });
    }
    if scheduler.is_closing() {
        for (part, unrun) in scheduler.idle() {
            let host = me.clone();
            recs.push(Record::Release { host, part, unrun });
        }
    }
    if !parts.is_empty() {
        let host = me.clone();
        recs.push(Record::Claim { host, parts });
    }
    if recs.is_empty() && scheduler.held() > 0 && scheduler.lease.is_due(now, lease_span(host)) {
        recs.push(Record::Beat { host: me.clone() });
    }
    recs
}

fn plan(host: &Host, stream: &Stream, now: Time) -> Vec<PartRef> {
    let waiting = {
        let scheduler = stream.scheduler();
        if scheduler.is_closing() || host.is_stopping() {
            return Vec::new();
        }
        scheduler.stock()
    };
    let fresh = stream.jobs.progress().caught_up;
    let streams = &host.batch.streams;
    let readers = streams.readers(host, &streams.slots()[stream.index]);
    let view = |state: &State| {
        let view = View {
            state,
            me: &host.me.name,
            now,
            is_fresh: fresh.is_some_and(|t| now.saturating_sub(t) < FRESH_MAX),
            span: lease_span(host),
            is_gone: |name: &str| host.members.is_gone(name, now),
            is_mine: |at: &PartRef| {
                let owner = readers.owner(&format!("{}/{}", at.job, at.part));
                owner.is_none_or(|peer| peer.name == host.me.name)
            },
            turn: |workspace: &Name, part: &Part| turn(host, workspace, part, &readers),
            queued: |workspace: &str| {
                let found = waiting.binary_search_by(|(name, _)| (**name).cmp(workspace));
                found.map_or(0, |i| waiting[i].1)
            },
        };
        let mut planner = stream.planner.lock().expect("planner");
        planner.plan(&view, host.settings.parallel * 2)
    };
    stream.jobs.view(view)
}

/// When this host may claim `part` of a job of `workspace`: one outside the regions that the part's items may reach
/// only if no other reader is in them, and after a host in them that follows the stream for the job. The next open
/// item stands for all of them, which mostly share a route.
fn turn(host: &Host, workspace: &str, part: &Part, readers: &Ring) -> Turn {
    if !host.declared.has_region_limits() {
        return Turn::Usual;
    }
    let next = part.items.iter().find_map(|item| match &item.state {
        ItemState::Open { ask, .. } => Some(ask.clone()),
        ItemState::Ended(_) => None,
    });
    let declared = &host.declared;
    let Some(regions) = declared.regions_of_items(host, workspace, next.as_slice()) else {
        return Turn::Usual;
    };
    let others = readers.peers().iter();
    // No probes of its own: of a single stream all hosts are readers. Lost ones leave the list of hosts.
    let others = others.filter(|p| p.name != host.me.name && !host.members.is_down(&p.name));
    let domains = others.map(|p| &p.domain);
    let zones = &host.settings.zones;
    let is_reader = readers.peer(&host.me.name).is_some();
    match zones.is_within(&host.me.domain, &regions) {
        true if is_reader => Turn::Usual,
        true => Turn::First,
        false if zones.may_run(&host.me.domain, domains, &regions) => Turn::Last,
        false => Turn::Never,
    }
}

fn note_events(host: &Host, stream: &Stream, recs: &[Record], at: Pos) {
    let timeline = &host.timeline;
    for rec in recs {
        match rec {
            Record::Claim { parts, .. } => {
                for p in parts {
                    let note = format!("part={}", p.part);
                    timeline.note(Happening::Claimed, &p.job, Some(at), &note);
                }
            }
            Record::Release { part, .. } => {
                let note = format!("part={}", part.part);
                timeline.note(Happening::HandedOver, &part.job, Some(at), &note);
            }
            Record::Outcomes { part, ended, .. } => {
                let note = format!("part={} items={}", part.part, ended.len());
                timeline.note(Happening::Committed, &part.job, Some(at), &note);
                let is_done = |s: &State| s.job(&part.job).is_some_and(|j| j.ended.is_some());
                if stream.jobs.view(is_done) {
                    timeline.note(Happening::JobDone, &part.job, Some(at), "");
                }
            }
            _ => {}
        }
    }
}

fn tick_all(host: &Arc<Host>) {
    for stream in host.batch.streams.followed() {
        tick(host, &stream);
    }
}

/// Advances the stream's clock, if placement names this host for it.
fn tick(host: &Host, stream: &Stream) {
    let (ticked, is_empty) = stream
        .jobs
        .view(|s| (s.last_tick, s.jobs.is_empty() && s.uploads.is_empty()));
    let now = host.now();
    let mut last = stream.tick.lock().expect("tick");
    if last.at != ticked || last.seen.is_zero() {
        *last = LastTick {
            at: ticked,
            seen: now,
        };
        return;
    }
    let elapsed = now.saturating_sub(last.seen);
    let keep = host.settings.retention;
    let period = (keep / 8).clamp(Duration::from_millis(250), Duration::from_secs(60));
    let owner = host.members.owner(stream.name());
    let is_mine = owner.is_none_or(|peer| peer.name == host.me.name);
    if is_empty || !is_mine || elapsed < period || stream.jobs.progress().is_down {
        return;
    }
    let rec = Record::Tick {
        after: ticked,
        millis: elapsed.as_millis() as u64,
        keep: keep.as_millis() as u64,
    };
    if let AppendOutcome::Taken(at) = stream.jobs.submit(&rec).wait(APPEND_TIMEOUT) {
        stream.jobs.catch_up_to(at, APPEND_TIMEOUT);
    }
}

/// Hands every part over at a planned stop: waits for the items under way, preempts the repeatable
/// ones after `YIELD_DELAY`, and releases the parts.
fn stop(host: &Arc<Host>) {
    let began = host.now();
    let streams = host.batch.streams.followed();
    let limit = host.settings.drain;
    loop {
        streams.iter().for_each(|s| s.retire(began));
        let elapsed = host.now().saturating_sub(began);
        let is_free = streams.iter().all(|s| s.held() == 0);
        if is_free || elapsed >= limit || host.is_dead() {
            return;
        }
        if elapsed >= readers::YIELD_DELAY {
            let is_yielding = streams.iter().map(|s| &s.is_yielding);
            is_yielding.for_each(|y| y.store(true, Ordering::Relaxed));
        }
        host.clock.sleep(SYNC_INTERVAL);
    }
}
