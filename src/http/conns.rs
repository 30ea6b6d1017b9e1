//! The open connections of a server.

use std::{
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Most connections over the limit that are answered with an error at the same time; further ones are
/// closed without an answer.
const REFUSED_MAX: usize = 64;
/// Idle time after which a connection may be closed to make room for a new one.
const EVICT_IDLE: Duration = Duration::from_millis(100);

/// Open connections, kept so that other threads can close them.
#[derive(Debug)]
pub(super) struct Conns {
    limit: usize,
    list: Mutex<List>,
}

#[derive(Debug, Default)]
struct List {
    next: u64,
    /// Sorted by id.
    conns: Vec<Conn>,
    killed: bool,
}

#[derive(Debug)]
struct Conn {
    id: u64,
    stream: Arc<TcpStream>,
    /// Set before this host shuts down its reading side.
    read_closed: Arc<AtomicBool>,
    state: State,
    /// When it opened, or its last request began or ended.
    since: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Waits for a request.
    Idle,
    /// Serves a request.
    Busy,
    /// Is being closed, or was refused.
    Ending,
}

/// What to do with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Serve it, with this id.
    Serve(u64),
    /// Answer that there is no room, with this id.
    Refuse(u64),
    /// Close it without an answer.
    Drop,
}

impl Conns {
    /// No connections yet, `limit` at most.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            list: Mutex::default(),
        }
    }

    /// Adds a new connection; at the limit, the longest idle one is closed for it. `read_closed` is set
    /// before this host shuts down the connection's reading side.
    pub(super) fn admit(
        &self,
        stream: &Arc<TcpStream>,
        read_closed: &Arc<AtomicBool>,
    ) -> Admission {
        let mut list = self.lock();
        let served = list.count(|s| s != State::Ending);
        let has_room = served < self.limit || list.evict();
        if list.killed || (!has_room && list.conns.len() >= self.limit + REFUSED_MAX) {
            return Admission::Drop;
        }
        let id = list.next;
        list.next += 1;
        list.conns.push(Conn {
            id,
            stream: stream.clone(),
            read_closed: read_closed.clone(),
            state: if has_room { State::Idle } else { State::Ending },
            since: Instant::now(),
        });
        if has_room {
            Admission::Serve(id)
        } else {
            Admission::Refuse(id)
        }
    }

    /// Records that a request on the connection `id` began, or that it ended.
    pub(super) fn set_busy(&self, id: u64, busy: bool) {
        let mut list = self.lock();
        let Ok(i) = list.conns.binary_search_by_key(&id, |c| c.id) else {
            return;
        };
        list.conns[i].since = Instant::now();
        list.conns[i].state = if busy { State::Busy } else { State::Idle };
    }

    /// Closes the connection `id` and removes it from the list.
    pub(super) fn remove(&self, id: u64) {
        let mut list = self.lock();
        if let Ok(i) = list.conns.binary_search_by_key(&id, |c| c.id) {
            let conn = list.conns.remove(i);
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
    }

    /// Number of open connections.
    pub(super) fn open(&self) -> usize {
        self.lock().conns.len()
    }

    /// Number of requests in progress.
    pub(super) fn busy(&self) -> usize {
        self.lock().count(|s| s == State::Busy)
    }

    /// Closes the connections that were idle for `age`.
    pub(super) fn close_idle(&self, age: Duration) {
        let mut list = self.lock();
        let old = |c: &&mut Conn| c.state == State::Idle && c.since.elapsed() >= age;
        list.conns.iter_mut().filter(old).for_each(Conn::close);
    }

    /// Closes all connections at once and admits no further one.
    pub(super) fn kill(&self) {
        let mut list = self.lock();
        list.killed = true;
        for conn in list.conns.iter() {
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().expect("connection list")
    }
}

impl List {
    fn count(&self, of: impl Fn(State) -> bool) -> usize {
        self.conns.iter().filter(|c| of(c.state)).count()
    }

    /// Closes the connection that is idle for the longest time; `false` if none was for `EVICT_IDLE`.
    fn evict(&mut self) -> bool {
        let idle = self.conns.iter_mut();
        let idle = idle.filter(|c| c.state == State::Idle);
        match idle.min_by_key(|c| c.since) {
            Some(conn) if conn.since.elapsed() >= EVICT_IDLE => {
                conn.close();
                true
            }
            _ => false,
        }
    }
}

impl Conn {
    /// Closes the connection gracefully: a request that its socket already holds is still served.
    fn close(&mut self) {
        self.state = State::Ending;
        self.read_closed.store(true, Ordering::Release);
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}
