//! Periodic work: convicts segments, notes the beginning and the end of quarantines, and lifts those of
//! segments that this host saw answered.

use super::{
    Changes, Entry, Quarantine, Record, Seen, Verdict,
    call::{HoldCall, Report},
    report::receive,
    witness::PROOF_TIME,
};
use crate::{
    clock::Time,
    error::Res,
    http::Exchange,
    kernel::{Host, On, Plugin, Port, Route, Task, serve_call},
    timeline::Happening,
    wire::{Name, Peer},
};
use rand::seq::IndexedRandom;
use std::{
    io,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

/// Interval of the task.
const EVERY: Duration = Duration::from_millis(100);
/// Longest wait for the log to record a quarantine.
const IMPOSE_LIMIT: Duration = Duration::from_secs(1);
/// Peers to which each host passes a hold on.
const FANOUT: usize = 4;
/// Time limit of a call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

inventory::submit! {
    Plugin {
        name: "quarantine",
        routes: &[
            Route { port: Port::Peer, method: "POST", path: "/peer/segment/report", handle: report },
            Route { port: Port::Peer, method: "POST", path: "/peer/segment/hold", handle: hold },
        ],
        tasks: &[Task { name: "quarantine", every: EVERY, run, waits: false, on: On::All }],
        stop: |_| {},
    }
}

fn report(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: Report| {
        receive(host, &call);
        Ok(())
    })
}

fn hold(host: &Arc<Host>, exchange: &mut Exchange) -> io::Result<()> {
    serve_call(host, exchange, |host, call: HoldCall| {
        let due = host.segments.board().hold(&call.segments, host.now());
        if !due.is_empty() {
            tracing::info!(segments = due.join(","), "segments_held");
            let host = host.clone();
            // In the background: the caller waits only for this host.
            thread::spawn(move || pass_on(&host, due));
        }
        Ok(())
    })
}

fn run(host: &Arc<Host>) {
    update_board(host);
    let verdicts = host.segments.evidence().verdicts(host.now());
    if verdicts.is_empty() || host.segments.is_convicting.swap(true, Ordering::Relaxed) {
        return;
    }
    let judge = host.clone();
    let started = thread::Builder::new()
        .name("convict".into())
        .spawn(move || {
            convict(&judge, &verdicts);
            judge.segments.is_convicting.store(false, Ordering::Relaxed);
        });
    if let Err(error) = started {
        host.segments.is_convicting.store(false, Ordering::Relaxed);
        tracing::warn!(%error, "segments_not_convicted");
    }
}

/// Records the quarantine of each segment in the log. While the log takes nothing, has hosts refuse the
/// segments; the next run tries again.
fn convict(host: &Arc<Host>, verdicts: &[Verdict]) {
    let mut is_held = false;
    if host.quarantine.progress().is_down {
        hold_everywhere(host, verdicts);
        is_held = true;
    }
    for verdict in verdicts {
        let segment = &verdict.segment;
        match impose(host, verdict) {
            Ok(()) => host.segments.evidence().convicted(segment, host.now()),
            Err(fail) => {
                tracing::warn!(segment = &**segment, error = %fail, "quarantine_not_recorded");
                if !is_held {
                    hold_everywhere(host, verdicts);
                    is_held = true;
                }
            }
        }
    }
}

fn hold_everywhere(host: &Host, verdicts: &[Verdict]) {
    let segments: Vec<Name> = verdicts.iter().map(|v| v.segment.clone()).collect();
    host.segments.board().hold(&segments, host.now());
    pass_on(host, segments);
}

fn impose(host: &Host, verdict: &Verdict) -> Res<()> {
    let record = Record::Impose {
        segment: verdict.segment.clone(),
        host: host.me.name.clone(),
        servers: verdict.servers.clone(),
    };
    host.quarantine.settle(&record, IMPOSE_LIMIT, |q| {
        q.entry(&verdict.segment).map(drop)
    })
}

/// Passes a hold on to random peers, each of which does so in turn.
fn pass_on(host: &Host, segments: Vec<Name>) {
    let ring = host.members.ring();
    let others = ring.peers().iter().filter(|p| p.name != host.me.name);
    let others: Vec<&Peer> = others.collect();
    let call = HoldCall { segments };
    for peer in others.choose_multiple(&mut rand::rng(), FANOUT) {
        if let Err(fail) = host.call(peer.addr, &call, CALL_TIMEOUT) {
            // Other hosts pass the same hold on.
            tracing::info!(peer = &*peer.name, error = %fail, "hold_not_passed_on");
        }
    }
}

/// Logs what became known of the quarantine since the last run, and lifts what was answered.
fn update_board(host: &Arc<Host>) {
    let now = host.now();
    let (changes, answered) = host.quarantine.view(|state| observe(host, state, now));
    for seen in &changes.noted {
        note_entry(host, &seen.entry);
    }
    for seen in &changes.released {
        let age_s = now.saturating_sub(seen.since).as_secs();
        let note = format!("age_s={age_s} probes={}", seen.entry.probes);
        let (segment, since) = (&seen.entry.segment, seen.entry.since);
        host.timeline
            .note(Happening::SegmentReleased, segment, Some(since), &note);
    }
    host.lift(&answered);
}

/// Updates the board; returns what changed, and the segments in quarantine that were answered shortly
/// before their conviction or since. Locks the board after the folded state, like `admit_segments`.
fn observe(host: &Host, state: &Quarantine, now: Time) -> (Changes, Vec<Name>) {
    let mut board = host.segments.board();
    let witness = host.segments.witness();
    let changes = board.observe(state, now);
    board.drop_holds(now, |segment, since| {
        witness.is_proven_since(segment, since)
    });
    let seen = board.seen();
    if !seen.is_empty() || !changes.released.is_empty() {
        let ages = seen
            .iter()
            .map(|s| (&*s.entry.segment, now.saturating_sub(s.since)));
        host.meters.quarantine(ages);
    }
    let is_answered =
        |s: &&Seen| witness.is_proven_since(&s.entry.segment, s.since.saturating_sub(PROOF_TIME));
    let answered = seen.iter().filter(is_answered);
    (changes, answered.map(|s| s.entry.segment.clone()).collect())
}

fn note_entry(host: &Host, entry: &Entry) {
    let by = &entry.host;
    let (what, note) = match entry.probes {
        0 => {
            let servers = entry.servers.join(",");
            (
                Happening::SegmentQuarantined,
                format!("by={by} servers={servers}"),
            )
        }
        n => (Happening::SegmentProbed, format!("by={by} probe={n}")),
    };
    host.timeline
        .note(what, &entry.segment, Some(entry.since), &note);
}

impl Host {
    /// Lifts the quarantines of `segments`. A record that the log does not take is submitted again by
    /// the next run of the task.
    pub(super) fn lift(&self, segments: &[Name]) {
        let record = |state: &Quarantine, segment: &Name| {
            state.entry(segment).map(|entry| Record::Lift {
                segment: segment.clone(),
                since: entry.since,
                host: self.me.name.clone(),
            })
        };
        let records: Vec<Record> = self
            .quarantine
            .view(|state| segments.iter().filter_map(|s| record(state, s)).collect());
        for record in &records {
            self.quarantine.submit(record);
        }
    }
}
