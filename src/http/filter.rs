//! Fault injection for the client: addresses that it cannot reach, and its closing.

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

/// Interval at which a call to a blocked address checks whether it is unblocked.
const CHECK_EVERY: Duration = Duration::from_millis(10);

/// Decides which calls and answers of a client get through.
#[derive(Debug, Default)]
pub(super) struct Filter {
    closed: AtomicBool,
    /// Whether any address was ever blocked.
    is_used: AtomicBool,
    /// Blocked addresses, sorted.
    blocked: Mutex<Vec<SocketAddr>>,
}

impl Filter {
    pub(super) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    pub(super) fn block(&self, addr: SocketAddr) {
        let mut blocked = self.lock();
        if let Err(at) = blocked.binary_search(&addr) {
            blocked.insert(at, addr);
        }
        self.is_used.store(true, Ordering::Release);
    }

    pub(super) fn unblock(&self, addr: SocketAddr) {
        self.lock().retain(|a| *a != addr);
    }

    /// Waits up to `limit` while the address of `url` is blocked, as a connect would. Returns the
    /// address, or `None` if the URL has none.
    ///
    /// # Errors
    /// The client is closed, or the address stayed blocked.
    pub(super) fn wait(&self, url: &str, limit: Duration) -> Result<Option<SocketAddr>, SendError> {
        let addr = address(url);
        let end = Instant::now() + limit;
        while self.is_blocked(addr) && !self.is_closed() && Instant::now() < end {
            thread::sleep(CHECK_EVERY);
        }
        self.check(addr).map_err(|e| failed(false, &e))?;
        Ok(addr)
    }

    /// Checks that an answer from `addr` gets through.
    ///
    /// # Errors
    /// The client is closed, or the address is blocked.
    pub(super) fn check_answer(&self, addr: Option<SocketAddr>) -> Result<(), SendError> {
        self.check(addr).map_err(|e| failed(true, &e))
    }

    /// Checks that messages to and from `addr` get through.
    ///
    /// # Errors
    /// The client is closed, or the address is blocked.
    pub(super) fn check(&self, addr: Option<SocketAddr>) -> io::Result<()> {
        if self.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if self.is_blocked(addr) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    fn is_blocked(&self, addr: Option<SocketAddr>) -> bool {
        self.is_used.load(Ordering::Acquire)
            && addr.is_some_and(|a| self.lock().binary_search(&a).is_ok())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.blocked.lock().expect("blocked addresses")
    }
}

fn failed(sent: bool, error: &io::Error) -> SendError {
    SendError {
        sent,
        text: error.to_string(),
    }
}

/// The address and port in `url`; `None` if it names a host instead.
fn address(url: &str) -> Option<SocketAddr> {
    let (_, rest) = url.split_once("://")?;
    rest.split(['/', '?']).next()?.parse().ok()
}
