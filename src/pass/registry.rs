//! Attempts of this host that are under way at servers, so that they can be ended from elsewhere.

use crate::wire::Name;
use std::{
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

/// The attempts under way.
#[derive(Debug, Default)]
pub struct Registry {
    /// Sorted by id.
    list: Mutex<Vec<Under>>,
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
    registry: &'a Registry,
    id: Name,
    ended: Arc<AtomicBool>,
}

impl Registry {
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
