//! Reports lost servers, and answers that clear a segment, to the hosts in charge of the segments.

use super::{
    SEGMENTS_MAX,
    call::{Report, ReportedLoss},
    evidence::Loss,
    is_request, segment_key,
};
use crate::{
    clock::Time,
    kernel::Host,
    timeline::Happening,
    wire::{Name, Peer},
};
use rand::seq::SliceRandom;
use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpStream},
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

/// Hosts that keep the reports on a segment, so that the loss of one does not lose them.
const KEEPERS: usize = 2;
/// Time in which a live server takes a connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Most checks of servers at the same time.
const CHECKS_MAX: usize = 8;
/// Time limit of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most segments reported at once.
const BATCH_MAX: usize = 16;
/// Most segments that wait to be reported.
const QUEUE_MAX: usize = 128;
/// Shortest time between two batches.
const BATCH_EVERY: Duration = Duration::from_millis(50);

/// An attempt whose server was lost before the first event of the answer.
#[derive(Debug, Clone)]
pub struct LostAttempt {
    /// Id of the attempt.
    pub id: Name,
    /// Segments of its prompt.
    pub segments: Vec<Name>,
    /// Backend server.
    pub server: Name,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Start number of the server.
    pub start: u64,
    /// When the attempt began.
    pub sent: Time,
    /// When its connection ended.
    pub lost: Time,
}

/// What a host has still to report.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    losses: Vec<Suspicion>,
    answered: Vec<Answered>,
}

/// An answer to report.
#[derive(Debug, PartialEq, Eq)]
struct Answered {
    segment: Name,
    /// Segment whose hosts in charge are told; those of a request's segments have its losses, too.
    keepers_of: Name,
}

/// A loss to report of one segment.
#[derive(Debug)]
struct Suspicion {
    segment: Name,
    /// Id of the whole request under which the server ended, if it is reported as well.
    request: Option<Name>,
    loss: Loss,
}

impl Outbox {
    fn add_loss(&mut self, suspicion: Suspicion) -> bool {
        let has_room = self.losses.len() < QUEUE_MAX;
        if has_room {
            self.losses.push(suspicion);
        }
        has_room
    }

    /// Adds an answer that clears `segment`; the request had the segments `all`.
    fn add_answered(&mut self, segment: &Name, all: &[Name]) {
        self.losses.retain(|s| s.segment != *segment);
        let keepers = all.iter().filter(|s| is_request(segment) || *s == segment);
        for keepers_of in keepers.cloned() {
            let answered = Answered {
                segment: segment.clone(),
                keepers_of,
            };
            if self.answered.len() < QUEUE_MAX && !self.answered.contains(&answered) {
                self.answered.push(answered);
            }
        }
    }

    fn take(&mut self) -> Option<Outbox> {
        let (losses, answered) = (self.losses.len(), self.answered.len());
        if losses + answered == 0 {
            return None;
        }
        Some(Outbox {
            losses: self.losses.drain(..losses.min(BATCH_MAX)).collect(),
            answered: self.answered.drain(..answered.min(BATCH_MAX)).collect(),
        })
    }
}

impl Host {
    /// Records that the answer to attempt `id`, of a request with `segments`, has begun.
    pub fn note_answered(self: &Arc<Self>, segments: &[Name], id: &str) {
        if segments.is_empty() {
            return;
        }
        let cleared = self.segments.witness().answered(segments, self.now());
        self.lift(segments);
        if cleared.is_empty() {
            return;
        }
        let mut outbox = self.segments.outbox();
        for segment in cleared {
            tracing::info!(id, segment = &*segment, "segment_answered");
            outbox.add_answered(&segment, segments);
        }
        drop(outbox);
        send_soon(self);
    }

    /// Records that a server was lost under an attempt. If the server has ended, the segments that were
    /// not answered lately are reported, in the background.
    pub fn note_lost(self: &Arc<Self>, mut lost: LostAttempt) {
        let suspects = self.segments.witness().lost(&lost.segments, lost.lost);
        let (whole, mut some): (Vec<Name>, Vec<Name>) =
            suspects.into_iter().partition(|s| is_request(s));
        // Random ones of many, so that requests with many segments hide none for long.
        some.shuffle(&mut rand::rng());
        lost.segments = whole.into_iter().chain(some).take(SEGMENTS_MAX).collect();
        if lost.segments.is_empty() {
            return;
        }
        let checks = &self.segments.checks;
        if checks.fetch_add(1, Ordering::Relaxed) >= CHECKS_MAX {
            checks.fetch_sub(1, Ordering::Relaxed);
            tracing::warn!(id = &*lost.id, server = &*lost.server, "server_not_checked");
            return;
        }
        let host = self.clone();
        let started = thread::Builder::new().name("check".into()).spawn(move || {
            report_if_ended(&host, lost);
            host.segments.checks.fetch_sub(1, Ordering::Relaxed);
        });
        if let Err(error) = started {
            self.segments.checks.fetch_sub(1, Ordering::Relaxed);
            tracing::warn!(%error, "server_not_checked");
        }
    }
}

/// Reports a loss unless the server still takes connections, or cannot be reached at all: then it was
/// the connection that was lost, or the machine.
fn report_if_ended(host: &Arc<Host>, lost: LostAttempt) {
    let check = TcpStream::connect_timeout(&lost.addr, CHECK_TIMEOUT);
    let has_ended = matches!(&check, Err(e) if e.kind() == ErrorKind::ConnectionRefused);
    let (id, server, start) = (&*lost.id, &*lost.server, lost.start);
    let segments = lost.segments.join(",");
    let check = check.map_or_else(|e| e.to_string(), |_| "connected".into());
    tracing::info!(id, server, start, segments, has_ended, check, "server_lost");
    if !has_ended {
        return;
    }
    let loss = Loss {
        server: lost.server.clone(),
        start,
        sent: lost.sent,
        lost: lost.lost,
    };
    let mut outbox = host.segments.outbox();
    let request = lost.segments.iter().find(|s| is_request(s)).cloned();
    for segment in lost.segments {
        let suspicion = Suspicion {
            segment: segment.clone(),
            request: request.clone(),
            loss: loss.clone(),
        };
        if !outbox.add_loss(suspicion) {
            tracing::warn!(segment = &*segment, "segment_not_reported");
        }
    }
    drop(outbox);
    send_soon(host);
}

/// Sends what is queued, in the background; one thread at a time.
fn send_soon(host: &Arc<Host>) {
    if host.segments.is_sending.swap(true, Ordering::Relaxed) {
        return;
    }
    let sender = host.clone();
    let started = thread::Builder::new()
        .name("report".into())
        .spawn(move || send_all(&sender));
    if let Err(error) = started {
        host.segments.is_sending.store(false, Ordering::Relaxed);
        tracing::warn!(%error, "segments_not_reported");
    }
}

fn send_all(host: &Arc<Host>) {
    while !host.is_dead() {
        let mut outbox = host.segments.outbox();
        let Some(batch) = outbox.take() else {
            // Under the lock, so that nothing is queued between the check and the end of this thread.
            host.segments.is_sending.store(false, Ordering::Relaxed);
            return;
        };
        drop(outbox);
        send(host, batch);
        host.sleep(BATCH_EVERY);
    }
}

/// Sends a batch, one message to each host in charge.
fn send(host: &Arc<Host>, batch: Outbox) {
    let now = host.now();
    let mut reports: Vec<(Peer, Report)> = Vec::new();
    for Suspicion {
        segment,
        request,
        loss,
    } in batch.losses
    {
        let reported = |segment: &Name| ReportedLoss {
            segment: segment.clone(),
            server: loss.server.clone(),
            start: loss.start,
            sent: now.saturating_sub(loss.sent),
            lost: now.saturating_sub(loss.lost),
        };
        for report in reports_to(host, &mut reports, &segment) {
            let losses = &mut reports[report].1.losses;
            // The hosts in charge of a segment have to know whether one request explains its losses.
            losses.extend(request.iter().filter(|r| **r != segment).map(reported));
            losses.push(reported(&segment));
        }
    }
    for answered in batch.answered {
        for report in reports_to(host, &mut reports, &answered.keepers_of) {
            reports[report].1.answered.push(answered.segment.clone());
        }
    }
    for (peer, report) in reports {
        if peer.name == host.me.name {
            receive(host, &report);
        } else if let Err(fail) = host.call(peer.addr, &report, REPORT_TIMEOUT) {
            tracing::info!(peer = &*peer.name, error = %fail, "segments_not_reported");
        }
    }
}

/// Indices of the reports to the hosts in charge of `segment`.
fn reports_to(host: &Host, reports: &mut Vec<(Peer, Report)>, segment: &str) -> Vec<usize> {
    let keepers = host.members.owners(&segment_key(segment), KEEPERS);
    let index = |peer: Peer| {
        let found = reports.iter().position(|(p, _)| *p == peer);
        found.unwrap_or_else(|| {
            let report = Report {
                host: host.me.name.clone(),
                ..Report::default()
            };
            reports.push((peer, report));
            reports.len() - 1
        })
    };
    keepers.into_iter().map(index).collect()
}

/// Takes the report of a host, as a host in charge of its segments.
pub(super) fn receive(host: &Host, report: &Report) {
    let now = host.now();
    let mut evidence = host.segments.evidence();
    let mut notes: Vec<(&Name, String)> = Vec::new();
    for reported in &report.losses {
        let loss = Loss {
            server: reported.server.clone(),
            start: reported.start,
            sent: now.saturating_sub(reported.sent),
            lost: now.saturating_sub(reported.lost),
        };
        if let Some(count) = evidence.add(&reported.segment, loss, now) {
            let (server, from) = (&reported.server, &report.host);
            let note = format!(
                "server={server} start={} servers={count} from={from}",
                reported.start
            );
            notes.push((&reported.segment, note));
        }
    }
    for segment in &report.answered {
        if evidence.clear(segment) {
            notes.push((segment, format!("answered from={}", report.host)));
        }
    }
    drop(evidence);
    for (segment, note) in notes {
        host.timeline
            .note(Happening::SegmentSuspected, segment, None, &note);
    }
}
