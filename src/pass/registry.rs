//! Running attempts of this host, so that other threads can end them, and memory for their answers.

use super::{Answers, Buffer, Closer, Conn};
use crate::{
    http::{Share, SlowReaders},
    wire::Name,
};
use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpStream},
    sync::{Mutex, MutexGuard},
    thread,
    time::Duration,
};

/// How connections to servers fail, for fault injection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// All packets are dropped.
    Silent,
    /// Connections are refused.
    Refused,
}

impl Cut {
    /// The error of a connection with the time limit `limit`, after as long as that takes.
    fn fail(self, limit: Duration) -> io::Error {
        match self {
            Self::Silent => {
                thread::sleep(limit);
                ErrorKind::TimedOut.into()
            }
            Self::Refused => ErrorKind::ConnectionRefused.into(),
        }
    }
}

/// The running attempts, by id.
#[derive(Debug, Default)]
pub struct AttemptRegistry {
    /// Sorted by id.
    list: Mutex<Vec<Attempt>>,
    /// Memory for answers that are buffered until they are complete.
    answers: Answers,
    /// The host's bound for slow readers, if there is one.
    readers: Option<SlowReaders>,
    /// As for [`Conn::set_reset_wait`].
    reset_wait: Option<Duration>,
    cut: Mutex<Option<Cut>>,
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
    /// No attempts yet, with the host's bound for slow readers, and the wait for a reset as for
    /// [`Conn::set_reset_wait`].
    pub fn new(readers: Option<SlowReaders>, reset_wait: Duration) -> Self {
        Self {
            readers,
            reset_wait: Some(reset_wait),
            ..Self::default()
        }
    }

    /// The host's bound for slow readers, if there is one.
    pub fn readers(&self) -> Option<&SlowReaders> {
        self.readers.as_ref()
    }

    /// Connects to a server within `limit`.
    ///
    /// # Errors
    /// As for [`Conn::open`].
    pub fn open(&self, addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        self.prepare(Conn::new(self.connect(addr, limit)?)?)
    }

    /// Connects to a peer within `limit`, for a tunnel to a server.
    ///
    /// # Errors
    /// As for [`Conn::open`].
    pub fn open_peer(&self, addr: SocketAddr, limit: Duration) -> io::Result<Conn> {
        self.prepare(Conn::open(addr, limit)?)
    }

    /// A bare connection to a server, opened within `limit`.
    ///
    /// # Errors
    /// As for [`Conn::open`].
    pub fn connect(&self, addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
        if let Some(cut) = *self.cut.lock().expect("cut") {
            return Err(cut.fail(limit));
        }
        TcpStream::connect_timeout(&addr, limit)
    }

    /// Makes later connections to servers fail; `None` undoes it.
    pub fn set_cut(&self, cut: Option<Cut>) {
        *self.cut.lock().expect("cut") = cut;
    }

    fn prepare(&self, mut conn: Conn) -> io::Result<Conn> {
        if let Some(wait) = self.reset_wait {
            conn.set_reset_wait(wait);
        }
        match &self.readers {
            Some(readers) => conn.bound(readers).map(|()| conn),
            None => Ok(conn),
        }
    }

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

    /// Share of the memory for answers, of zero bytes.
    pub fn share(&self) -> Share {
        self.answers.share()
    }

    /// An empty buffer for an answer.
    pub fn buffer(&self) -> Buffer {
        self.answers.buffer()
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
    /// Registers another connection of the same attempt; `false` if the attempt was ended before.
    pub fn replace(&mut self, closer: Closer) -> bool {
        let mut list = self.registry.lock();
        // Under the lock, so that an end closes either connection.
        if self.closer.is_closed() {
            return false;
        }
        if let Ok(at) = list.binary_search_by(|u| u.id.cmp(&self.id)) {
            list[at].closer = closer.clone();
        }
        self.closer = closer;
        true
    }

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
