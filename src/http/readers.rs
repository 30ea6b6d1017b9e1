//! Decides which connections of slow readers are closed.

use std::time::Duration;

/// Bytes that a reader has to take before its waiting time begins anew. One that takes single bytes stays as
/// slow as one that takes none.
const PIECE_BYTES: usize = 16 * 1024;
/// Waiting time up to which a reader is not slow. On a link of 22 Mbit/s a piece takes 6 ms; the rest is for
/// readers with a small share of a core.
const SLOW_AFTER: Duration = Duration::from_millis(300);

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Slow {
    /// Its reader took nothing within its time limit.
    Silent,
    /// The bound is exceeded, and of all slow readers this one costs most.
    Bound,
}

/// The writes of a host that wait for their readers, in both directions.
#[derive(Debug)]
pub struct Readers {
    /// Most bytes that may wait.
    most: usize,
    /// Waiting time up to which a reader is not slow.
    slow_after: Duration,
    held: usize,
    next: u64,
    /// Sorted by id.
    list: Vec<Reader>,
}

#[derive(Debug)]
struct Reader {
    id: u64,
    /// Bytes that wait.
    left: usize,
    /// Longest time without a byte taken.
    limit: Duration,
    /// Time that its writes have waited since it last took a byte.
    silent: Duration,
    /// Time that its writes have waited since it last completed a piece.
    waited: Duration,
    /// Bytes that waited when it last completed a piece.
    from: usize,
}

/// A reader whose connection is to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Closed {
    /// Id of the write.
    pub id: u64,
    /// Bytes that waited.
    pub bytes: usize,
    /// Time that its writes waited since it completed a piece.
    pub waited: Duration,
    /// Why it is closed.
    pub cause: Slow,
}

impl Readers {
    /// No writes yet, of which `most` bytes may wait.
    pub fn new(most: usize) -> Self {
        Self {
            most,
            slow_after: SLOW_AFTER,
            held: 0,
            next: 0,
            list: Vec::new(),
        }
    }

    /// Sets the waiting time up to which a reader is not slow, 300 ms unless set.
    pub fn set_slow_after(&mut self, time: Duration) {
        self.slow_after = time;
    }

    /// Bytes that wait.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a write of which `bytes` wait for a reader that must take one within `limit`. Returns its id.
    pub fn add(&mut self, bytes: usize, limit: Duration) -> u64 {
        let id = self.next;
        self.next += 1;
        self.held += bytes;
        self.list.push(Reader {
            id,
            left: bytes,
            limit,
            silent: Duration::ZERO,
            waited: Duration::ZERO,
            from: bytes,
        });
        id
    }

    /// Records that the reader of the write `id` took `bytes` while the write waited for `waited`. Only this
    /// time counts against the reader: between two writes, the process may not have run.
    pub fn take(&mut self, id: u64, bytes: usize, waited: Duration) {
        let Ok(at) = self.list.binary_search_by_key(&id, |r| r.id) else {
            return;
        };
        let reader = &mut self.list[at];
        let bytes = bytes.min(reader.left);
        reader.left -= bytes;
        self.held -= bytes;
        reader.silent = match bytes {
            0 => reader.silent + waited,
            _ => Duration::ZERO,
        };
        reader.waited += waited;
        if reader.from - reader.left >= PIECE_BYTES {
            (reader.waited, reader.from) = (Duration::ZERO, reader.left);
        }
    }

    /// Removes the write `id`, which has ended.
    pub fn remove(&mut self, id: u64) {
        if let Ok(at) = self.list.binary_search_by_key(&id, |r| r.id) {
            self.held -= self.list.remove(at).left;
        }
    }

    /// Removes the writes whose connections are to be closed: the write `id` if its reader is silent, and, while
    /// more bytes wait than may, the one with the greatest product of bytes and waiting time. Readers that have
    /// waited for less than [`set_slow_after`](Self::set_slow_after) are not closed for the bound.
    pub fn close(&mut self, id: u64) -> Vec<Closed> {
        let own = self.list.binary_search_by_key(&id, |r| r.id).ok();
        let own = own.map(|at| &self.list[at]);
        let silent = own.filter(|r| r.silent >= r.limit);
        let mut closed: Vec<Closed> = silent.map(|r| r.closed(Slow::Silent)).into_iter().collect();
        closed.iter().for_each(|c| self.remove(c.id));
        while self.held > self.most {
            let slow = self.list.iter().filter(|r| r.waited >= self.slow_after);
            let Some(worst) = slow.max_by_key(|r| r.cost()) else {
                break;
            };
            let worst = worst.closed(Slow::Bound);
            self.remove(worst.id);
            closed.push(worst);
        }
        closed
    }
}

impl Reader {
    fn cost(&self) -> u128 {
        self.left as u128 * self.waited.as_millis()
    }

    fn closed(&self, cause: Slow) -> Closed {
        Closed {
            id: self.id,
            bytes: self.left,
            waited: self.waited,
            cause,
        }
    }
}
