//! Records where streams begin, and finds out where they may go on.

use super::{
    Beginning, Evidence, Origin, RESUME_MAX, Record, Stream, Testimony, Usage, VersionsReply,
    decide, peers,
};
use crate::{
    clock::{Clock, Time},
    config::Server,
    error::{Fail, Kind, Res},
    fold::{AppendOutcome, Ticket},
    kernel::{Host, On, Plugin, Task},
    pass::RETRY_ELSEWHERE,
    wire::Name,
};
use std::{
    sync::{Arc, mpsc::channel},
    thread,
    time::Duration,
};

/// Interval of the checks of the versions in use against the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for a record, for which the first event of a stream is held back.
const RECORD_WAIT: Duration = Duration::from_millis(80);
/// Time in which the log is read again for a stream whose version is not known: its record may be on its
/// way.
const READS_TIME: Duration = Duration::from_millis(250);
/// Longest wait for one such read.
const READ_WAIT: Duration = Duration::from_millis(150);
/// Pause before the next read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time after a wait in vain in which streams do not wait for their records.
const RECORD_PAUSE: Duration = Duration::from_secs(1);
/// Time after the last sign of several versions in which streams are recorded: longer than they are refused
/// without a record, as hosts see the signs at different times.
const RECORD_MAX: Duration = RESUME_MAX.saturating_add(Duration::from_secs(5));

inventory::submit! {
    Plugin {
        name: "resume",
        routes: &[],
        tasks: &[Task { name: "resume", every: CHECK_INTERVAL, run: check_versions, waits: true, on: On::Outside }],
        stop: |_| {},
    }
}

impl Host {
    /// Updates the software versions in use from the servers of the configuration.
    pub fn note_versions(&self, servers: &[Server]) {
        let mut versions = self.resume.versions();
        let is_new = versions.observe(servers, self.now());
        let unmarked = versions.unmarked();
        drop(versions);
        if is_new {
            unmarked.iter().for_each(|s| self.note_joined(s));
            unmarked.iter().for_each(|s| drop(self.submit_mark(s)));
        }
    }

    /// Has the log tell that `service` has several versions, and which streams of it this host began lately.
    fn submit_mark(&self, service: &Name) -> Ticket {
        let begun = self.resume.begun().of_service(service, self.now());
        for stream in begun {
            self.submit_stream(stream, true);
        }
        self.origins.submit(&Record {
            id: Name::default(),
            service: service.clone(),
            version: Name::default(),
            is_mixed: true,
            unix_ms: self.unix_ms(),
        })
    }

    /// Notes that the stream `id` begins at a server of `service` with the software `version`, before its
    /// caller gets the first event. Has the log record it, if the caller could otherwise resume it at another
    /// version, and waits for that a short time: a stream without a record goes on all the same, and is not
    /// resumed by other hosts.
    pub fn begin_stream(&self, id: &Name, service: &Name, version: &Name) {
        let stream = Stream {
            id: id.clone(),
            service: service.clone(),
            version: version.clone(),
            at: self.now(),
        };
        self.resume.begun().note(stream.clone());
        let usage = self.usage(service);
        let is_sole = usage.sole().is_some() && usage.is_covered;
        if is_sole && !self.was_mixed(service, RECORD_MAX) {
            return;
        }
        let ticket = self.submit_stream(stream, usage.is_mixed);
        if self.is_unrecorded() {
            return;
        }
        let outcome = ticket.wait(RECORD_WAIT);
        let is_taken = matches!(outcome, AppendOutcome::Taken(_));
        *self.resume.unrecorded() = (!is_taken).then(|| self.now());
        if !is_taken {
            let (id, service, version) = (&**id, &**service, &**version);
            tracing::info!(id, service, version, ?outcome, "stream_not_recorded");
        }
    }

    pub(super) fn submit_stream(&self, stream: Stream, is_mixed: bool) -> Ticket {
        self.origins.submit(&Record {
            id: stream.id,
            service: stream.service,
            version: stream.version,
            is_mixed,
            unix_ms: self.unix_ms(),
        })
    }

    /// Whether the log took a record too late a short time ago.
    fn is_unrecorded(&self) -> bool {
        let now = self.now();
        let is_recent = |t: Time| now.saturating_sub(t) < RECORD_PAUSE;
        self.resume.unrecorded().is_some_and(is_recent)
    }

    /// Service and software version at which the stream `id` goes on that the request `asked_by` resumes;
    /// `service` is the one that it has if there is no record of it.
    ///
    /// # Errors
    /// `NotReady` if the version cannot be told.
    pub fn origin_of(&self, asked_by: &str, id: &str, service: &Name) -> Res<(Name, Name)> {
        let began = self.now();
        if let Some(stream) = self.resume.begun().find(id).cloned() {
            note_resumed(asked_by, id, &stream.version, "begun here", Duration::ZERO);
            return Ok((stream.service, stream.version));
        }
        loop {
            let asked = self.now();
            self.read_records();
            let age = self.now().saturating_sub(began);
            if let Some(found) = self.recorded(id) {
                note_resumed(asked_by, id, &found.version, "recorded", age);
                return Ok((found.service, found.version));
            }
            let mut evidence = self.evidence(service, asked);
            if !evidence.is_read && !evidence.is_cut_off {
                match peers::ask(self, &id.into(), service, &evidence.usage) {
                    Testimony::Began(began) => {
                        note_resumed(asked_by, id, &began.version, "peer", age);
                        return Ok((began.service, began.version));
                    }
                    Testimony::Agreed => evidence.is_confirmed = true,
                    Testimony::Unsure => {}
                }
            }
            let cause = match decide(&evidence) {
                Origin::Version(version) => {
                    note_resumed(asked_by, id, &version, "not recorded", age);
                    return Ok((service.clone(), version));
                }
                Origin::Unknown(cause) => cause,
            };
            if evidence.is_cut_off || age >= READS_TIME {
                tracing::info!(
                    id = asked_by,
                    resumes = id,
                    cause,
                    ?evidence,
                    ?age,
                    "stream_not_resumed"
                );
                let text = format!("the stream \"{id}\" cannot be resumed: {cause}");
                return Err(Fail::new(Kind::NotReady, text).retry_after(RETRY_ELSEWHERE));
            }
            self.clock.sleep(READ_PAUSE);
        }
    }

    /// Reads the records to the end of the log, for [`READ_WAIT`] at most: other hosts are asked if the log is
    /// silent.
    fn read_records(&self) {
        let (sender, done) = channel();
        let origins = self.origins.clone();
        thread::spawn(move || {
            origins.read_now();
            // The request may have gone on without the read.
            let _ = sender.send(());
        });
        let _ = done.recv_timeout(READ_WAIT);
    }

    /// What this host can tell another one about the stream `id` of `service`.
    pub(super) fn known_versions(&self, id: &str, service: &str) -> VersionsReply {
        let begun = self.resume.begun().find(id).map(|s| Beginning {
            service: s.service.clone(),
            version: s.version.clone(),
        });
        let recorded = || {
            self.recorded(id).map(|s| Beginning {
                service: s.service,
                version: s.version,
            })
        };
        let usage = self.usage(service);
        let is_sole = usage.is_covered && !self.was_mixed(service, RESUME_MAX);
        VersionsReply {
            began: begun.or_else(recorded),
            sole: usage.sole().filter(|_| is_sole).cloned(),
        }
    }

    fn evidence(&self, service: &Name, since: Time) -> Evidence {
        let caught_up = self.origins.progress().caught_up;
        Evidence {
            usage: self.usage(service),
            is_read: caught_up.is_some_and(|at| at >= since),
            is_confirmed: false,
            is_cut_off: self.relay.is_cut_off(self),
            was_mixed: self.was_mixed(service, RESUME_MAX),
        }
    }

    /// The versions of `service` in use, by what this host saw or by the log.
    fn usage(&self, service: &str) -> Usage {
        let mut usage = self.resume.versions().usage(service, self.now());
        let is_sole = usage
            .sole()
            .is_some_and(|v| self.is_sole_in_log(service, v));
        usage.is_covered |= is_sole;
        usage
    }

    /// Whether the log tells that streams of `service` that may still be resumed have this version.
    fn is_sole_in_log(&self, service: &str, version: &str) -> bool {
        let last = self.origins.view(|o| o.last_sole(service).cloned());
        self.origins.progress().caught_up.is_some()
            && !self.was_mixed(service, RESUME_MAX)
            && last.is_none_or(|l| *l == *version)
    }

    /// Whether the log has this version as the last that was the only one.
    fn is_sole_known(&self, service: &str, version: &str) -> bool {
        self.origins
            .view(|o| o.last_sole(service).is_some_and(|l| **l == *version))
    }

    /// Whether a host saw several versions of `service` within `span`.
    fn was_mixed(&self, service: &str, span: Duration) -> bool {
        let last = self.origins.view(|o| o.last_mixed(service));
        let age = last.map(|l| self.unix_ms().saturating_sub(l));
        age.is_some_and(|a| u128::from(a) < span.as_millis())
    }

    fn unix_ms(&self) -> u64 {
        self.clock.unix().as_millis() as u64
    }
}

fn note_resumed(id: &str, resumes: &str, version: &str, source: &str, age: Duration) {
    tracing::info!(id, resumes, version, source, ?age, "stream_resumed");
}

/// Tells the log of services with several versions, and of the version of the others; has a service count
/// as seen for long if the log tells of no other version.
fn check_versions(host: &Arc<Host>) {
    let unmarked = host.resume.versions().unmarked();
    for service in unmarked {
        let outcome = host.submit_mark(&service).wait(RECORD_WAIT);
        if matches!(outcome, AppendOutcome::Taken(_)) {
            host.resume.versions().mark(&service);
        }
    }
    if host.origins.progress().caught_up.is_none() {
        host.origins.read_now();
    }
    host.record_granted();
    host.resume
        .versions()
        .confirm(|service, version| host.is_sole_in_log(service, version));
    let soles = host.resume.versions().soles(host.now());
    for (service, version) in soles {
        if host.origins.progress().caught_up.is_some() && !host.is_sole_known(&service, &version) {
            let mark = Record {
                id: Name::default(),
                service,
                version,
                is_mixed: false,
                unix_ms: host.unix_ms(),
            };
            host.origins.submit(&mark).wait(RECORD_WAIT);
        }
    }
}
