//! Periodic work: convicts segments, notes the beginning and the end of quarantines, and lifts those of
//! segments that this host saw answered.

use super::{
    Entry, Hold, Quarantine, Record, Seen, Segments, Verdict,
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
/// Time for which a segment is refused ahead of the log.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// Most segments refused ahead of the log.
const HOLDS_MAX: usize = 256;
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
        let fresh = host.segments.hold(&call.segments, host.now());
        if !fresh.is_empty() {
            tracing::info!(segments = fresh.join(","), "segments_held");
            let host = host.clone();
            // In the background: the caller waits only for this host.
            thread::spawn(move || pass_on(&host, fresh));
        }
        Ok(())
    })
}

fn run(host: &Arc<Host>) {
    update_seen(host);
    host.segments.drop_holds(host.now());
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
            Ok(()) => drop(host.segments.evidence().clear(segment)),
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
    host.segments.hold(&segments, host.now());
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

/// Passes a hold on to random peers, each of which does so once.
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

/// Compares the folded quarantine with what this host saw of it before.
fn update_seen(host: &Arc<Host>) {
    let now = host.now();
    let entries = host.quarantine.view(|q| q.entries.clone());
    let mut seen = host.segments.seen();
    if entries.is_empty() && seen.is_empty() {
        return;
    }
    let before = std::mem::take(&mut *seen);
    for entry in &entries {
        let old = before
            .iter()
            .find(|s| s.entry.segment == entry.segment && s.entry.since == entry.since);
        seen.push(match old {
            Some(old) if old.entry.last == entry.last => old.clone(),
            old => Seen {
                entry: entry.clone(),
                at: now,
                since: old.map_or(now, |o| o.since),
            },
        });
    }
    let after = seen.clone();
    drop(seen);
    for new in after.iter().filter(|s| s.at == now) {
        note_entry(host, new);
    }
    let is_over = |s: &&Seen| {
        !entries
            .iter()
            .any(|e| e.segment == s.entry.segment && e.since == s.entry.since)
    };
    for old in before.iter().filter(is_over) {
        let age_s = now.saturating_sub(old.since).as_secs();
        let note = format!("age_s={age_s} probes={}", old.entry.probes);
        let (segment, since) = (&old.entry.segment, old.entry.since);
        host.timeline
            .note(Happening::SegmentReleased, segment, Some(since), &note);
    }
    host.meters.quarantine(
        after
            .iter()
            .map(|s| (&*s.entry.segment, now.saturating_sub(s.since))),
    );
    lift_answered(host, &after);
}

fn note_entry(host: &Host, seen: &Seen) {
    let Entry {
        segment,
        since,
        probes,
        host: by,
        servers,
        ..
    } = &seen.entry;
    let (what, note) = match probes {
        0 => (
            Happening::SegmentQuarantined,
            format!("by={by} servers={}", servers.join(",")),
        ),
        n => (Happening::SegmentProbed, format!("by={by} probe={n}")),
    };
    host.timeline.note(what, segment, Some(*since), &note);
}

/// Lifts the quarantines of segments that this host saw answered shortly before them or since.
fn lift_answered(host: &Host, seen: &[Seen]) {
    let witness = host.segments.witness();
    let answered = seen
        .iter()
        .filter(|s| witness.is_proven_since(&s.entry.segment, s.since.saturating_sub(PROOF_TIME)));
    let segments: Vec<Name> = answered.map(|s| s.entry.segment.clone()).collect();
    drop(witness);
    host.lift(&segments);
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

impl Segments {
    /// Refuses `segments` for some time; returns those that were not refused ahead of the log before.
    fn hold(&self, segments: &[Name], now: Time) -> Vec<Name> {
        let mut holds = self.holds();
        let mut fresh = Vec::new();
        for segment in segments {
            let until = now + HOLD_TIME;
            match holds.binary_search_by(|h| h.segment.cmp(segment)) {
                Ok(at) => holds[at].until = until,
                Err(_) if holds.len() >= HOLDS_MAX => {}
                Err(at) => {
                    let segment = segment.clone();
                    fresh.push(segment.clone());
                    holds.insert(at, Hold { segment, until });
                }
            }
        }
        fresh
    }

    /// Drops the holds that are over, and those of segments that this host saw answered.
    fn drop_holds(&self, now: Time) {
        let mut holds = self.holds();
        if holds.is_empty() {
            return;
        }
        let witness = self.witness();
        holds.retain(|h| {
            let begun = h.until.saturating_sub(HOLD_TIME);
            h.until > now && !witness.is_proven_since(&h.segment, begun)
        });
    }
}
