//! Addresses that a client does not get through to.

use super::client::SendError;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time between two looks of a call that waits for its address.
const LOOK: Duration = Duration::from_millis(10);

/// What lets calls of a client through.
#[derive(Debug, Default)]
pub(super) struct Filter {
    closed: AtomicBool,
    /// Whether any address was ever cut.
    used: AtomicBool,
    /// Sorted.
    cut: Mutex<Vec<SocketAddr>>,
}

impl Filter {
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn block(&self, addr: SocketAddr) {
        let mut cut = self.lock();
        if let Err(at) = cut.binary_search(&addr) {
            cut.insert(at, addr);
        }
        self.used.store(true, Ordering::Release);
    }

    pub(super) fn unblock(&self, addr: SocketAddr) {
        self.lock().retain(|a| *a != addr);
    }

    /// Waits up to `limit` while the address of `url` is cut; returns the address if it has to be
    /// looked at again.
    ///
    /// # Errors
    /// The client is closed, or the address was cut all the time.
    pub(super) fn pass(&self, url: &str, limit: Duration) -> Result<Option<SocketAddr>, SendError> {
        let addr = address(url);
        let end = Instant::now() + limit;
        while self.is_cut(addr) && !self.is_closed() && Instant::now() < end {
            thread::sleep(LOOK);
        }
        self.check(addr).map_err(|e| failed(false, &e))?;
        Ok(addr)
    }

    /// Looks whether an answer gets through.
    ///
    /// # Errors
    /// The client is closed, or the address is cut.
    pub(super) fn arrive(&self, addr: Option<SocketAddr>) -> Result<(), SendError> {
        self.check(addr).map_err(|e| failed(true, &e))
    }

    /// Looks whether anything gets through.
    ///
    /// # Errors
    /// The client is closed, or the address is cut.
    pub(super) fn check(&self, addr: Option<SocketAddr>) -> io::Result<()> {
        if self.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.is_cut(addr) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    fn is_cut(&self, addr: Option<SocketAddr>) -> bool {
        self.used.load(Ordering::Acquire)
            && addr.is_some_and(|a| self.lock().binary_search(&a).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.cut.lock().expect("cut addresses")
    }
}

fn failed(sent: bool, error: &io::Error) -> SendError {
    SendError {
        sent,
        text: error.to_string(),
    }
}

/// The address in `url`.
fn address(url: &str) -> Option<SocketAddr> {
    let (_, rest) = url.split_once("://")?;
    rest.split(['/', '?']).next()?.parse().ok()
}
