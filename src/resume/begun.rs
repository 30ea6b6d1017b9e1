//! Streams that began at this host.

use super::RESUME_MAX;
use crate::{clock::Time, wire::Name};
use std::collections::VecDeque;

/// Most streams that are kept.
const BEGUN_MAX: usize = 4096;

/// The streams of the last [`RESUME_MAX`] whose first event this host passed on.
#[derive(Debug, Clone, Default)]
pub struct Begun {
    /// In the order of their start.
    streams: VecDeque<Stream>,
}

#[derive(Debug, Clone)]
struct Stream {
    id: Name,
    service: Name,
    version: Name,
    at: Time,
}

impl Begun {
    /// Records that the stream `id` began at a server of `service` with this software version.
    pub fn note(&mut self, id: &Name, service: &Name, version: &Name, now: Time) {
        let is_old = |s: &Stream| now.saturating_sub(s.at) >= RESUME_MAX;
        while self.streams.len() >= BEGUN_MAX || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
        self.streams.push_back(Stream {
            id: id.clone(),
            service: service.clone(),
            version: version.clone(),
            at: now,
        });
    }

    /// Service and version of the stream `id`.
    pub fn find(&self, id: &str) -> Option<(Name, Name)> {
        let stream = self.streams.iter().rev().find(|s| *s.id == *id)?;
        Some((stream.service.clone(), stream.version.clone()))
    }
}
