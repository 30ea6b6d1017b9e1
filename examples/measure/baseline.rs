//! The baselines: one queue for all, and a static split of servers and rates.

use crate::{
    batch::{BatchLoad, item},
    online::Ask,
    schedule::{Arrival, HOSTS, WORKSPACES, burst, factor, rate},
};
use gooseberrytack::{
    engine::{End, EngineClient, Generate},
    http::Client,
};
use standin::{Engine, Got, MODEL};
use std::{
    collections::VecDeque,
    iter,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Items of a small workspace at once; a large one has more by its weight.
const WORKERS: usize = 20;
/// Time for batch work to start and for buckets to refill.
const START_TIME: Duration = Duration::from_millis(800);
/// Longest time for one generation.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Longest silence of an engine.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);

/// Slots of some engines, given out first come, first served.
pub struct Pool {
    clients: Vec<EngineClient>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Engines by free slot.
    free: Vec<usize>,
    queue: VecDeque<Arc<Waiter>>,
}

#[derive(Default)]
struct Waiter {
    engine: Mutex<Option<usize>>,
    ready: Condvar,
}

impl Pool {
    /// All slots of `engines`.
    pub fn new(engines: &[&Engine], slots: u32) -> Self {
        let clients = engines
            .iter()
            .map(|e| EngineClient::new(e.addr(), Client::new(), SILENCE_TIMEOUT));
        let each = (0..slots).flat_map(|_| 0..engines.len());
        Self {
            clients: clients.collect(),
            state: Mutex::new(State {
                free: each.collect(),
                queue: VecDeque::new(),
            }),
        }
    }

    fn acquire(&self) -> usize {
        let waiter = {
            let mut state = self.state.lock().expect("pool");
            if let Some(engine) = state.free.pop() {
                return engine;
            }
            let waiter = Arc::new(Waiter::default());
            state.queue.push_back(waiter.clone());
            waiter
        };
        let guard = waiter.engine.lock().expect("waiter");
        let guard = waiter.ready.wait_while(guard, |e| e.is_none());
        guard.expect("waiter").expect("an engine")
    }

    fn release(&self, engine: usize) {
        let next = {
            let mut state = self.state.lock().expect("pool");
            let next = state.queue.pop_front();
            if next.is_none() {
                state.free.push(engine);
            }
            next
        };
        if let Some(waiter) = next {
            *waiter.engine.lock().expect("waiter") = Some(engine);
            waiter.ready.notify_one();
        }
    }

    fn generate(
        &self,
        id: &str,
        content: &str,
        tokens: u32,
        each: &mut dyn FnMut(&str) -> bool,
    ) -> bool {
        let engine = self.acquire();
        let whole = self.stream(engine, id, content, tokens, each);
        self.release(engine);
        whole
    }

    fn stream(
        &self,
        engine: usize,
        id: &str,
        content: &str,
        tokens: u32,
        each: &mut dyn FnMut(&str) -> bool,
    ) -> bool {
        let ask = Generate {
            id: id.into(),
            model: MODEL.into(),
            adapter: None,
            prompt: format!("user: {content}\n").into(),
            tokens,
            from: 0,
            cache: None,
        };
        let Ok(mut pieces) = self.clients[engine].generate(&ask, TIMEOUT) else {
            return false;
        };
        while let Ok(piece) = pieces.next() {
            match piece.end {
                None if each(&piece.text) => {}
                None => return false,
                Some(end) => return end == End::Stop,
            }
        }
        false
    }
}

/// A baseline: where online and batch work take their slots, and how the rate is counted.
pub struct Baseline<'a> {
    /// Slots for online requests.
    pub online: &'a Pool,
    /// Slots for batch work.
    pub batch: &'a Pool,
    /// Buckets of each host and workspace; none if the rate is not limited.
    pub buckets: Option<Buckets>,
    ids: AtomicU64,
}

/// An equal part of each workspace's rate and burst on each host.
pub struct Buckets(Mutex<Vec<Bucket>>);

#[derive(Clone)]
struct Bucket {
    level: f64,
    at: Instant,
}

impl Buckets {
    /// Full buckets.
    pub fn new() -> Self {
        let now = Instant::now();
        let all = (0..HOSTS * WORKSPACES).map(|i| Bucket {
            level: burst(i % WORKSPACES) / HOSTS as f64,
            at: now,
        });
        Self(Mutex::new(all.collect()))
    }

    fn take(&self, host: usize, workspace: usize) -> bool {
        let mut all = self.0.lock().expect("buckets");
        let bucket = &mut all[host * WORKSPACES + workspace];
        let now = Instant::now();
        let gain = rate(workspace) / HOSTS as f64 * (now - bucket.at).as_secs_f64();
        // A bucket that cannot hold one token would refuse everything.
        let most = (burst(workspace) / HOSTS as f64).max(1.0);
        bucket.level = (bucket.level + gain).min(most);
        bucket.at = now;
        let taken = bucket.level >= 1.0;
        if taken {
            bucket.level -= 1.0;
        }
        taken
    }
}

impl<'a> Baseline<'a> {
    /// A baseline on these pools.
    pub fn new(online: &'a Pool, batch: &'a Pool, buckets: Option<Buckets>) -> Self {
        Self {
            online,
            batch,
            buckets,
            ids: AtomicU64::new(0),
        }
    }

    fn id(&self) -> String {
        format!("base-{}", self.ids.fetch_add(1, Ordering::Relaxed))
    }
}

impl Ask for Baseline<'_> {
    fn ask(&self, arrival: &Arrival, first: &mut dyn FnMut()) -> Got {
        if let Some(buckets) = &self.buckets
            && !buckets.take(arrival.host, arrival.workspace)
        {
            return Got::Refused(429, String::new());
        }
        let mut text = String::new();
        let mut each = |piece: &str| {
            first();
            text += piece;
            true
        };
        let (content, tokens) = (&arrival.content, arrival.tokens);
        match self.online.generate(&self.id(), content, tokens, &mut each) {
            true => Got::Whole(text),
            false => Got::Cut(text),
        }
    }
}

impl BatchLoad for Baseline<'_> {
    fn with_batch<R>(&self, label: &str, during: impl FnOnce() -> R) -> R {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            for (worker, workspace) in workers().into_iter().enumerate() {
                let stop = &stop;
                let run = move || self.work(label, workspace, worker, stop);
                let spawned = thread::Builder::new()
                    .stack_size(256 * 1024)
                    .spawn_scoped(scope, run);
                spawned.expect("a thread for an item");
            }
            thread::sleep(START_TIME);
            let result = during();
            stop.store(true, Ordering::Relaxed);
            result
        })
    }
}

impl Baseline<'_> {
    fn work(&self, label: &str, workspace: usize, worker: usize, stop: &AtomicBool) {
        let mut index = worker;
        while !stop.load(Ordering::Relaxed) {
            let item = item(label, workspace, index);
            let mut each = |_: &str| !stop.load(Ordering::Relaxed);
            let (content, tokens) = (&item.content, item.tokens);
            self.batch.generate(&self.id(), content, tokens, &mut each);
            index += workers().len();
        }
    }
}

/// The workspace of each worker; those of one workspace are spread out.
fn workers() -> Vec<usize> {
    let rounds = (0..WORKERS).flat_map(|_| {
        let round = (0..WORKSPACES).flat_map(|w| iter::repeat_n(w, factor(w) as usize));
        round.collect::<Vec<_>>()
    });
    rounds.collect()
}
