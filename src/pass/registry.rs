//! Running attempts of this host, so that other threads can end them, and memory for their answers.

use super::Closer;
use crate::wire::Name;
use std::sync::{
    Mutex, MutexGuard,
    atomic::{AtomicUsize, Ordering},
};

/// Most bytes of answers that a host buffers at the same time.
const RESERVED_MAX_BYTES: usize = 8 << 20;
/// Bytes of an answer that may always be buffered.
const RESERVED_FREE_BYTES: usize = 64 * 1024;

/// The running attempts, by id.
#[derive(Debug, Default)]
pub struct AttemptRegistry {
    /// Sorted by id.
    list: Mutex<Vec<Attempt>>,
    /// Bytes reserved for answers that are buffered until they are complete.
    reserved: AtomicUsize,
}

/// Memory reserved for an answer that is buffered until it is complete; released on drop.
#[derive(Debug)]
pub struct Reservation<'a> {
    all: &'a AtomicUsize,
    size: usize,
}

impl Reservation<'_> {
    /// Extends the reservation to `size` bytes; `false` if the host's limit is exceeded.
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        self.size += more;
        let all = self.all.fetch_add(more, Ordering::Relaxed) + more;
        size <= RESERVED_FREE_BYTES || all <= RESERVED_MAX_BYTES
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.size, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Attempt {
    id: Name,
    closer: Closer,
}

/// Registration of an attempt; removed on drop.
#[derive(Debug)]
pub struct Registration<'a> {
    registry: &'a AttemptRegistry,
    id: Name,
    closer: Closer,
}

impl AttemptRegistry {
    /// Registers the attempt `id` with its connection.
    pub fn register(&self, id: &Name, closer: Closer) -> Registration<'_> {
        let attempt = Attempt {
            id: id.clone(),
            closer: closer.clone(),
        };
        let mut list = self.lock();
        match list.binary_search_by(|u| u.id.cmp(id)) {
            Ok(at) => list[at] = attempt,
            Err(at) => list.insert(at, attempt),
        }
        Registration {
            registry: self,
            id: id.clone(),
            closer,
        }
    }

    /// Reservation for an answer, of zero bytes.
    pub fn reserve(&self) -> Reservation<'_> {
        Reservation {
            all: &self.reserved,
            size: 0,
        }
    }

    /// Closes the connection of the attempt `id`; `false` if there is none.
    pub fn end(&self, id: &str) -> bool {
        let list = self.lock();
        let Ok(at) = list.binary_search_by(|u| (*u.id).cmp(id)) else {
            return false;
        };
        list[at].closer.close();
        true
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Attempt>> {
        self.list.lock().expect("attempts under way")
    }
}

impl Registration<'_> {
    /// Whether [`AttemptRegistry::end`] ended the attempt.
    pub fn is_ended(&self) -> bool {
        self.closer.is_closed()
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        let mut list = self.registry.lock();
        if let Ok(at) = list.binary_search_by(|u| u.id.cmp(&self.id)) {
            list.remove(at);
        }
    }
}
