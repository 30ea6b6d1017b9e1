//! Records where streams begin, and finds out where they may go on.

use super::{Evidence, Origin, RESUME_MAX, Record, Usage, decide};
use crate::{
    clock::{Clock, Time},
    config::Server,
    error::{Fail, Kind, Res},
    fold::{AppendOutcome, Ticket},
    kernel::{Host, On, Plugin, Task},
    pass::RETRY_ELSEWHERE,
    wire::Name,
};
use std::{sync::Arc, time::Duration};

/// Interval of the checks of the versions in use against the log.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for a record before the stream is sent.
const RECORD_WAIT: Duration = Duration::from_millis(150);
/// Time in which the log is read again for a stream whose version is not known: its record may be on its
/// way.
const READS_TIME: Duration = Duration::from_millis(250);
/// Pause before the next read.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time after a wait in vain in which streams do not wait for their records.
const RECORD_PAUSE: Duration = Duration::from_secs(1);

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
            unmarked.iter().for_each(|s| drop(self.submit_mark(s)));
        }
    }

    /// Has the log tell that `service` has several versions.
    fn submit_mark(&self, service: &Name) -> Ticket {
        self.origins.submit(&Record {
            id: Name::default(),
            service: service.clone(),
            version: Name::default(),
            is_mixed: true,
            unix_ms: self.unix_ms(),
        })
    }

    /// Records that the stream `id` is about to be sent to a server of `service` with the software
    /// `version`, if callers could otherwise resume it at another version.
    ///
    /// Waits for the record for a short time only: a stream without it goes on all the same, and is not
    /// resumed by other hosts.
    pub fn record_origin(&self, id: &Name, service: &Name, version: &Name) {
        let usage = self.usage(service);
        if usage.sole().is_some() && usage.is_covered {
            return;
        }
        let ticket = self.origins.submit(&Record {
            id: id.clone(),
            service: service.clone(),
            version: version.clone(),
            is_mixed: usage.versions.len() > 1,
            unix_ms: self.unix_ms(),
        });
        let now = self.now();
        let is_recent = |t: Time| now.saturating_sub(t) < RECORD_PAUSE;
        if self.resume.unrecorded().is_some_and(is_recent) {
            return;
        }
        let outcome = ticket.wait(RECORD_WAIT);
        let is_recorded = matches!(outcome, AppendOutcome::Taken(_));
        if !is_recorded {
            let (id, service, version) = (&**id, &**service, &**version);
            tracing::info!(id, service, version, ?outcome, "stream_not_recorded");
        }
        *self.resume.unrecorded() = (!is_recorded).then(|| self.now());
    }

    /// Records that the first event of the stream `id` was passed on.
    pub fn note_begun(&self, id: &Name, service: &Name, version: &Name) {
        let now = self.now();
        self.resume.begun().note(id, service, version, now);
    }

    /// Service and software version at which the stream `id` goes on that the request `asked_by` resumes;
    /// `service` is the one that it has if there is no record of it.
    ///
    /// # Errors
    /// `NotReady` if the version cannot be told.
    pub fn origin_of(&self, asked_by: &str, id: &str, service: &Name) -> Res<(Name, Name)> {
        let began = self.now();
        let found = self.resume.begun().find(id);
        if let Some((service, version)) = found {
            note_resumed(asked_by, id, &version, "begun here", Duration::ZERO);
            return Ok((service, version));
        }
        loop {
            let asked = self.now();
            self.origins.read_now();
            let age = self.now().saturating_sub(began);
            if let Some(found) = self.origins.view(|o| o.stream(id).cloned()) {
                note_resumed(asked_by, id, &found.version, "recorded", age);
                return Ok((found.service, found.version));
            }
            let evidence = self.evidence(service, asked);
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

    fn evidence(&self, service: &Name, since: Time) -> Evidence {
        let caught_up = self.origins.progress().caught_up;
        Evidence {
            usage: self.usage(service),
            is_read: caught_up.is_some_and(|at| at >= since),
            is_cut_off: self.relay.is_cut_off(self),
            was_mixed: self.was_mixed(service),
        }
    }

    /// The versions of `service` in use, by what this host saw or by the log.
    fn usage(&self, service: &str) -> Usage {
        let mut usage = self.resume.versions().usage(service, self.now());
        usage.is_covered |= self.is_sole_in_log(service);
        usage
    }

    /// Whether the log tells that streams of `service` that may still be resumed have one version.
    fn is_sole_in_log(&self, service: &str) -> bool {
        self.origins.progress().caught_up.is_some() && !self.was_mixed(service)
    }

    /// Whether a host saw several versions of `service` while streams began that may still be resumed.
    fn was_mixed(&self, service: &str) -> bool {
        let last = self.origins.view(|o| o.last_mixed(service));
        let age = last.map(|l| self.unix_ms().saturating_sub(l));
        age.is_some_and(|a| u128::from(a) < RESUME_MAX.as_millis())
    }

    fn unix_ms(&self) -> u64 {
        self.clock.unix().as_millis() as u64
    }
}

fn note_resumed(id: &str, resumes: &str, version: &str, source: &str, age: Duration) {
    tracing::info!(id, resumes, version, source, ?age, "stream_resumed");
}

/// Tells the log of services with several versions, and has a service count as seen for long whose
/// streams the log does not tell of.
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
    host.resume.versions().confirm(|s| host.is_sole_in_log(s));
}
