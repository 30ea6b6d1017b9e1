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

/// A stream whose first event was passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stream {
    /// Id of the request that it answers.
    pub id: Name,
    /// Service of its server.
    pub service: Name,
    /// Software version of its server.
    pub version: Name,
    /// When its first event was passed on.
    pub at: Time,
}

impl Begun {
    /// Adds a stream that began now.
    pub fn note(&mut self, stream: Stream) {
        let is_old = |s: &Stream| !is_recent(s, stream.at);
        while self.streams.len() >= BEGUN_MAX || self.streams.front().is_some_and(is_old) {
            self.streams.pop_front();
        }
        self.streams.push_back(stream);
    }

    /// The stream `id`.
    pub fn find(&self, id: &str) -> Option<&Stream> {
        self.streams.iter().rev().find(|s| *s.id == *id)
    }

    /// The streams of `service` that may still be resumed.
    pub fn of_service(&self, service: &str, now: Time) -> Vec<Stream> {
        let streams = self.streams.iter();
        streams
            .filter(|s| *s.service == *service && is_recent(s, now))
            .cloned()
            .collect()
    }
}

fn is_recent(stream: &Stream, now: Time) -> bool {
    now.saturating_sub(stream.at) < RESUME_MAX
}
