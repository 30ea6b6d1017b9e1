//! What one host saw of segments: answers to requests with them, and servers lost under such requests.

use super::{evidence::REQUEST_EXPIRY, is_request};
use crate::{clock::Time, wire::Name};
use std::time::Duration;

/// Time for which an answer shows that its segments crash no server.
pub const PROOF_TIME: Duration = Duration::from_secs(5);
/// Time for which an answer is reported if this host had reported a loss; as long as reports count.
const ACCUSED_TIME: Duration = REQUEST_EXPIRY;
/// Most segments, and most whole requests, whose answers are remembered.
const PROVEN_MAX: usize = 1024;
/// Most segments that this host reported and that were not answered since.
const ACCUSED_MAX: usize = 512;

/// Segments that this host saw answered, and those that it reported.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    /// Last answer to a request with the segment.
    proven: Recent,
    /// Last answer to a whole request. Apart, since most are new and would displace the segments.
    proven_requests: Recent,
    /// Last report of a loss under a request with the segment.
    accused: Recent,
}

impl Witness {
    /// Records an answer to a request with `segments`; returns those that this host had reported.
    pub fn answered(&mut self, segments: &[Name], now: Time) -> Vec<Name> {
        let mut cleared = Vec::new();
        for segment in segments {
            self.proven_mut(segment).set(segment, now, PROVEN_MAX);
            if self.accused.remove(segment) {
                cleared.push(segment.clone());
            }
        }
        cleared
    }

    /// Records that a server was lost under a request with `segments`, before its answer began; returns
    /// those to report: none that was answered within `PROOF_TIME`.
    pub fn lost(&mut self, segments: &[Name], now: Time) -> Vec<Name> {
        self.accused.expire(now, ACCUSED_TIME);
        let is_proven = |s: &&Name| {
            let last = self.proven(s).get(s);
            last.is_some_and(|t| now.saturating_sub(t) < PROOF_TIME)
        };
        let suspects: Vec<Name> = segments.iter().filter(|s| !is_proven(s)).cloned().collect();
        for segment in &suspects {
            self.accused.set(segment, now, ACCUSED_MAX);
        }
        suspects
    }

    /// Number of segments that are remembered, each as answered and as reported.
    pub fn len(&self) -> usize {
        self.proven.list.len() + self.proven_requests.list.len() + self.accused.list.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a request with the segment was answered after `since`.
    pub fn is_proven_since(&self, segment: &str, since: Time) -> bool {
        self.proven(segment).get(segment).is_some_and(|t| t > since)
    }

    fn proven(&self, id: &str) -> &Recent {
        match is_request(id) {
            true => &self.proven_requests,
            false => &self.proven,
        }
    }

    fn proven_mut(&mut self, id: &str) -> &mut Recent {
        match is_request(id) {
            true => &mut self.proven_requests,
            false => &mut self.proven,
        }
    }
}

/// Segments with a time each, sorted by segment.
#[derive(Debug, Clone, Default)]
struct Recent {
    list: Vec<(Name, Time)>,
}

impl Recent {
    fn get(&self, segment: &str) -> Option<Time> {
        self.find(segment).ok().map(|at| self.list[at].1)
    }

    /// Sets the time of a segment; if there are `most` already, the oldest one is dropped.
    fn set(&mut self, segment: &Name, time: Time, most: usize) {
        match self.find(segment) {
            Ok(at) => self.list[at].1 = time,
            Err(_) => {
                if self.list.len() >= most {
                    self.drop_oldest();
                }
                let at = self.list.partition_point(|(s, _)| s < segment);
                self.list.insert(at, (segment.clone(), time));
            }
        }
    }

    fn remove(&mut self, segment: &str) -> bool {
        let found = self.find(segment);
        found.map(|at| self.list.remove(at)).is_ok()
    }

    fn expire(&mut self, now: Time, age: Duration) {
        self.list.retain(|(_, t)| now.saturating_sub(*t) < age);
    }

    fn drop_oldest(&mut self) {
        let all = self.list.iter().enumerate();
        if let Some((at, _)) = all.min_by_key(|(_, (_, t))| *t) {
            self.list.remove(at);
        }
    }

    fn find(&self, segment: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|(s, _)| (**s).cmp(segment))
    }
}
