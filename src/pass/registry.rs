//! Attempts of this host that are under way at servers, so that they can be ended from elsewhere.

use crate::wire::Name;
use std::{
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// Most bytes of whole answers that a host keeps at the same time.
const HELD_MAX: usize = 8 << 20;
/// Bytes of an answer that always have room.
const HELD_FREE: usize = 64 * 1024;

/// The attempts under way.
#[derive(Debug, Default)]
pub struct AttemptRegistry {
    /// Sorted by id.
    list: Mutex<Vec<Under>>,
    /// Bytes of answers that are kept until they are whole.
    held: AtomicUsize,
}

/// Room for an answer that is kept until it is whole; it is given back when this is dropped.
#[derive(Debug)]
pub struct Held<'a> {
    all: &'a AtomicUsize,
    size: usize,
}

impl Held<'_> {
    /// Whether there is room for `size` bytes of this answer.
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size.saturating_sub(self.size);
        self.size += more;
        let all = self.all.fetch_add(more, Ordering::Relaxed) + more;
        size <= HELD_FREE || all <= HELD_MAX
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.size, Ordering::Relaxed);
    }
}

#[derive(Debug)]
struct Under {
    id: Name,
    socket: Arc<TcpStream>,
    ended: Arc<AtomicBool>,
}

/// An attempt's entry; it is removed when this is dropped.
#[derive(Debug)]
pub struct Entered<'a> {
    registry: &'a AttemptRegistry,
    id: Name,
    ended: Arc<AtomicBool>,
}

impl AttemptRegistry {
    /// Enters the attempt `id` with its connection.
    pub fn enter(&self, id: &Name, socket: Arc<TcpStream>) -> Entered<'_> {
        let ended: Arc<AtomicBool> = Arc::default();
        let under = Under {
            id: id.clone(),
            socket,
            ended: ended.clone(),
        };
        let mut list = self.lock();
        match list.binary_search_by(|u| u.id.cmp(id)) {
            Ok(at) => list[at] = under,
            Err(at) => list.insert(at, under),
        }
        Entered {
            registry: self,
            id: id.clone(),
            ended,
        }
    }

    /// Room for an answer of which nothing arrived.
    pub fn hold(&self) -> Held<'_> {
        Held {
            all: &self.held,
            size: 0,
        }
    }

    /// Closes the connection of the attempt `id`; `false` if there is none.
    pub fn end(&self, id: &str) -> bool {
        let list = self.lock();
        let Ok(at) = list.binary_search_by(|u| (*u.id).cmp(id)) else {
            return false;
        };
        list[at].ended.store(true, Ordering::Relaxed);
        // A socket that is closed already needs no further shutdown.
        let _ = list[at].socket.shutdown(Shutdown::Both);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Under>> {
        self.list.lock().expect("attempts under way")
    }
}

impl Entered<'_> {
    /// Whether the attempt was ended from elsewhere.
    pub fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

impl Drop for Entered<'_> {
    fn drop(&mut self) {
        let mut list = self.registry.lock();
        if let Ok(at) = list.binary_search_by(|u| u.id.cmp(&self.id)) {
            list.remove(at);
        }
    }
}
