//! The open connections of a server.

use std::{
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Connections that are told at the same time that there is no room.
const REFUSALS: usize = 64;
/// Least time without a request after which a connection may have to make room for another.
const EVICT_AGE: Duration = Duration::from_millis(100);

/// Open connections, kept so that they can be closed from outside.
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
    /// Set before its reading side is closed from here.
    deaf: Arc<AtomicBool>,
    standing: Standing,
    /// Since when it waits for a request.
    since: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// It waits for a request.
    Idle,
    /// A request is under way.
    Busy,
    /// It was asked to end, or never had room.
    Ending,
}

/// What is to be done with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Room {
    /// Serve it under this id.
    Serve(u64),
    /// Tell it that there is no room, under this id.
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

    /// Takes a new connection in; `deaf` is set before its reading side is closed from here. Without
    /// room, the connection that is idle for the longest time ends.
    pub(super) fn admit(&self, stream: &Arc<TcpStream>, deaf: &Arc<AtomicBool>) -> Room {
        let mut list = self.lock();
        let served = list.count(|s| s != Standing::Ending);
        let room = served < self.limit || list.evict();
        if list.killed || (!room && list.conns.len() >= self.limit + REFUSALS) {
            return Room::Drop;
        }
        let id = list.next;
        list.next += 1;
        list.conns.push(Conn {
            id,
            stream: stream.clone(),
            deaf: deaf.clone(),
            standing: if room {
                Standing::Idle
            } else {
                Standing::Ending
            },
            since: Instant::now(),
        });
        if room {
            Room::Serve(id)
        } else {
            Room::Refuse(id)
        }
    }

    /// Notes that a request is under way, or that it is over.
    pub(super) fn set_busy(&self, id: u64, busy: bool) {
        let mut list = self.lock();
        let Ok(i) = list.conns.binary_search_by_key(&id, |c| c.id) else {
            return;
        };
        list.conns[i].since = Instant::now();
        list.conns[i].standing = if busy { Standing::Busy } else { Standing::Idle };
    }

    /// Closes the connection `id`.
    pub(super) fn remove(&self, id: u64) {
        let mut list = self.lock();
        if let Ok(i) = list.conns.binary_search_by_key(&id, |c| c.id) {
            let conn = list.conns.remove(i);
            let _ = conn.stream.shutdown(Shutdown::Both);
        }
    }

    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.lock().conns.len()
    }

    /// Requests under way.
    pub(super) fn busy(&self) -> usize {
        self.lock().count(|s| s == Standing::Busy)
    }

    /// Ends the connections that were idle for `age`.
    pub(super) fn end_idle(&self, age: Duration) {
        let mut list = self.lock();
        let old = |c: &&mut Conn| c.standing == Standing::Idle && c.since.elapsed() >= age;
        list.conns.iter_mut().filter(old).for_each(Conn::end);
    }

    /// Closes all connections at once and takes no further one in.
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
    fn count(&self, of: impl Fn(Standing) -> bool) -> usize {
        self.conns.iter().filter(|c| of(c.standing)).count()
    }

    /// Ends the connection that is idle for the longest time; `false` if all have work.
    fn evict(&mut self) -> bool {
        let idle = self.conns.iter_mut();
        let idle = idle.filter(|c| c.standing == Standing::Idle);
        match idle.min_by_key(|c| c.since) {
            Some(conn) if conn.since.elapsed() >= EVICT_AGE => {
                conn.end();
                true
            }
            _ => false,
        }
    }
}

impl Conn {
    /// Ends the connection after the request that its socket already holds, if any.
    fn end(&mut self) {
        self.standing = Standing::Ending;
        self.deaf.store(true, Ordering::Release);
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}
