//! Lets an online request wait in the queues of several gates at once.
//!
//! A full server rarely frees a slot, so a request that waits for one server alone may wait long
//! while others free theirs. Late binding (Ousterhout, Wendell, Zaharia, Stoica, "Sparrow", 2013):
//! the request keeps a place in several queues, and the first grant decides.

use super::{
    acquire::{AskResult, queue_full},
    dispatch::{Run, Sink},
};
use crate::{
    clock::Time,
    error::Res,
    gate::{Reply, Slot, SlotRequest},
    kernel::Host,
    wire::Name,
};
use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError, channel},
    },
    thread,
    time::Duration,
};

/// Most queues in which a request waits at the same time.
const QUEUES_MAX: usize = 3;
/// Longest wait of one slot request at a gate.
const ROUND_MAX: Duration = Duration::from_millis(200);
/// Wait of the first slot request at a gate; it doubles with each further one.
const FIRST_ROUND: Duration = Duration::from_millis(10);
/// Stack size of a waiting thread in bytes.
const STACK: usize = 256 * 1024;

/// The places of one request in queues. Dropping it returns all of them within one round.
pub(super) struct Places {
    is_dropped: Arc<AtomicBool>,
    grants: Receiver<Res<Slot>>,
}

/// One place in the queue of a server, held by a thread.
struct Place {
    host: Arc<Host>,
    server: Name,
    ask: SlotRequest,
    deadline: Time,
    is_dropped: Arc<AtomicBool>,
    grants: Sender<Res<Slot>>,
}

impl Places {
    /// A slot that was granted, if there is one.
    ///
    /// # Errors
    /// None of the gates takes the request any more.
    pub(super) fn granted(&self) -> Res<Option<Slot>> {
        loop {
            match self.grants.try_recv() {
                Ok(Ok(slot)) => return Ok(Some(slot)),
                // One queue is full; the other places stay.
                Ok(Err(_)) => {}
                Err(TryRecvError::Empty) => return Ok(None),
                Err(TryRecvError::Disconnected) => return Err(queue_full()),
            }
        }
    }
}

impl Drop for Places {
    fn drop(&mut self) {
        self.is_dropped.store(true, Ordering::Relaxed);
    }
}

impl<S: Sink> Run<'_, S> {
    /// Waits at `server` and at others, and between rounds asks further servers for a free slot. The
    /// rounds grow to limit the messages of many waiting requests. `None` if none of the gates takes
    /// the request any more.
    pub(super) fn wait_online(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        let mut servers = vec![server.clone()];
        servers.extend(self.others(server).unwrap_or_default());
        let places = self.take_places(ask, servers);
        let other = self.next_ask();
        let mut round = FIRST_ROUND;
        loop {
            self.check_wanted()?;
            let left = self.wait_end().saturating_sub(self.host.now());
            match places.grants.recv_timeout(round.min(left)) {
                Ok(got) => return got.map(Some),
                Err(RecvTimeoutError::Disconnected) => return Ok(None),
                Err(RecvTimeoutError::Timeout) => {}
            }
            // A slot that was granted meanwhile is not left idle while further servers are asked.
            for next in self.others(server).unwrap_or_default() {
                if let AskResult::Slot(slot) = self.ask_servers(&other, &[next]) {
                    return Ok(Some(slot));
                }
                match places.granted() {
                    Ok(Some(slot)) => return Ok(Some(slot)),
                    Ok(None) => self.check_wanted()?,
                    Err(_) => return Ok(None),
                }
            }
            self.check_limits()?;
            round = ROUND_MAX.min(round * 2);
        }
    }

    /// Takes places at the first of `servers`. Each has its own attempt id, as more than one may be
    /// granted.
    pub(super) fn take_places(&mut self, ask: &SlotRequest, servers: Vec<Name>) -> Places {
        let (sender, grants) = channel();
        let places = Places {
            is_dropped: Arc::default(),
            grants,
        };
        for (i, server) in servers.into_iter().take(QUEUES_MAX).enumerate() {
            let place = Place {
                host: self.host.clone(),
                server,
                ask: if i == 0 { ask.clone() } else { self.next_ask() },
                deadline: self.work.deadline,
                is_dropped: places.is_dropped.clone(),
                grants: sender.clone(),
            };
            // If the thread does not start, the request waits at the other places only.
            let _ = place.start();
        }
        places
    }

    /// Servers to ask other than `server`; that one only if there are no others.
    pub(super) fn others(&self, server: &Name) -> Res<Vec<Name>> {
        let mut tried = self.tried.clone();
        tried.push(server.clone());
        let version = self.version.as_ref();
        self.host
            .routes
            .order(self.host, self.work, version, &tried)
    }
}

impl Place {
    fn start(self) -> io::Result<()> {
        let thread = thread::Builder::new().name("wait".into()).stack_size(STACK);
        thread.spawn(move || self.wait()).map(drop)
    }

    /// Asks until a slot is granted. A slot that comes too late is returned when it is dropped.
    fn wait(self) {
        let mut round = FIRST_ROUND;
        while !self.is_over() {
            let held = &self.host.gates.held;
            match held.acquire(&self.host, &self.server, &self.ask, round) {
                Ok(Reply::Slot(slot, _)) => return drop(self.grants.send(Ok(slot))),
                Ok(Reply::Busy(_)) => return drop(self.grants.send(Err(queue_full()))),
                // Without its counts, the server is asked before the next request waits there.
                Ok(Reply::Closed) | Err(_) => return self.host.routes.forget_counts(&self.server),
                Ok(Reply::Waiting(counts)) => {
                    let (routes, class) = (&self.host.routes, self.ask.class);
                    routes.note_denied(&self.host, &self.server, class, counts, true);
                }
            }
            round = ROUND_MAX.min(round * 2);
        }
        let held = &self.host.gates.held;
        held.release_unsent(&self.server, &self.ask.id);
    }

    fn is_over(&self) -> bool {
        let is_late = self.host.now() >= self.deadline;
        is_late || self.is_dropped.load(Ordering::Relaxed) || self.host.is_dead()
    }
}
