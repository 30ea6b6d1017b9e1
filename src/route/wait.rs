//! Waits of one online request at several gates at once.
//!
//! A full server frees a slot only now and then, so a request that waits for one server alone may
//! wait long while others free theirs. Late binding (Ousterhout, Wendell, Zaharia, Stoica, "Sparrow",
//! 2013): the request keeps a place in several queues, and the first grant decides.

use super::{
    acquire::{Asked, queue_full},
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
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread,
    time::Duration,
};

/// Queues in which a request waits at the same time.
const QUEUES: usize = 3;
/// How long one question waits at a gate at most.
const ROUND: Duration = Duration::from_millis(200);
/// How long the first question waits; each further one waits twice as long.
const FIRST_ROUND: Duration = Duration::from_millis(10);
/// Stack of a waiting thread in bytes.
const STACK: usize = 256 * 1024;

/// The places of one request. Dropping it gives all of them back within a round.
struct Places {
    over: Arc<AtomicBool>,
    got: Receiver<Res<Slot>>,
}

/// One place.
struct Place {
    host: Arc<Host>,
    server: Name,
    ask: SlotRequest,
    deadline: Time,
    over: Arc<AtomicBool>,
    got: Sender<Res<Slot>>,
}

impl Drop for Places {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

impl<S: Sink> Run<'_, S> {
    /// Waits at `server` and at others, and looks between rounds whether one more has a slot. The
    /// rounds grow, so that many who wait do not ask around all the time. `None` if none of them
    /// takes the request any more.
    pub(super) fn wait_online(&mut self, ask: &SlotRequest, server: &Name) -> Res<Option<Slot>> {
        let places = self.take_places(ask, server);
        let other = self.next_ask();
        let mut round = FIRST_ROUND;
        loop {
            self.look()?;
            let left = self.work.deadline.saturating_sub(self.host.now());
            match places.got.recv_timeout(round.min(left)) {
                Ok(got) => return got.map(Some),
                Err(RecvTimeoutError::Disconnected) => return Ok(None),
                Err(RecvTimeoutError::Timeout) => {}
            }
            if let Ok(order) = self.others(server)
                && let Asked::Slot(slot) = self.ask_around(&other, &order)
            {
                return Ok(Some(slot));
            }
            round = ROUND.min(round * 2);
        }
    }

    /// Takes places at `server` and at the best of the others; each has an attempt id of its own,
    /// as more than one may be granted.
    fn take_places(&mut self, ask: &SlotRequest, server: &Name) -> Places {
        let (sender, got) = channel();
        let places = Places {
            over: Arc::default(),
            got,
        };
        let mut servers = vec![server.clone()];
        servers.extend(self.others(server).unwrap_or_default());
        for (i, server) in servers.into_iter().take(QUEUES).enumerate() {
            let place = Place {
                host: self.host.clone(),
                server,
                ask: if i == 0 { ask.clone() } else { self.next_ask() },
                deadline: self.work.deadline,
                over: places.over.clone(),
                got: sender.clone(),
            };
            // Without a thread the other places have to do.
            let _ = place.start();
        }
        places
    }

    fn others(&self, server: &Name) -> Res<Vec<Name>> {
        let mut not = self.tried.clone();
        not.push(server.clone());
        self.host.routes.order(self.host, self.work, &not)
    }
}

impl Place {
    fn start(self) -> io::Result<()> {
        let thread = thread::Builder::new().name("wait".into()).stack_size(STACK);
        thread.spawn(move || self.wait()).map(drop)
    }

    /// Asks until there is a slot. A slot that comes too late is given back when it is dropped.
    fn wait(self) {
        let mut round = FIRST_ROUND;
        while !self.is_over() {
            let held = &self.host.gates.held;
            match held.acquire(&self.host, &self.server, &self.ask, round) {
                Ok(Reply::Slot(slot, _)) => return drop(self.got.send(Ok(slot))),
                Ok(Reply::Busy(_)) => return drop(self.got.send(Err(queue_full()))),
                Ok(Reply::Closed) | Err(_) => return,
                Ok(Reply::Waiting(counts)) => {
                    let servers = std::slice::from_ref(&self.server);
                    let now = self.host.now();
                    self.host.routes.learn(now, servers, &[counts]);
                }
            }
            round = ROUND.min(round * 2);
        }
        let held = &self.host.gates.held;
        held.release(&self.server, &self.ask.id, 0);
    }

    fn is_over(&self) -> bool {
        let late = self.host.now() >= self.deadline;
        late || self.over.load(Ordering::Relaxed) || self.host.is_dead()
    }
}
