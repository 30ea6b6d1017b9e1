//! State of an engine: generations, prefix cache, models and past loads.

use super::EngineConfig;
use gooseberrytack::{
    engine::{
        Action, CacheEvent, CacheEvents, End, Generate, Load, Loaded, LoadedModel, Order,
        prefix_hash,
    },
    wire::Name,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Most cache events kept for readers.
const MAX_EVENTS: usize = 4096;
/// Most load samples kept.
const MAX_SAMPLES: usize = 4096;

/// One generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Request id.
    pub id: Name,
    /// Model asked for.
    pub model: Name,
    /// Prompt as received.
    pub prompt: Name,
    /// Position of the first token sent.
    pub from: u32,
    /// Position after the last token sent.
    pub pos: u32,
    /// How it ended; `None` while it runs or if its caller went away.
    pub end: Option<End>,
    /// Whether it has ended, with or without an `end`.
    pub over: bool,
}

/// Signal that ends a running generation early.
#[derive(Debug, Clone, Default)]
pub(super) struct Stop(Arc<(Mutex<Option<End>>, Condvar)>);

impl Stop {
    /// Waits up to `limit` for the signal; `None` if it was not given.
    pub(super) fn wait(&self, limit: Duration) -> Option<End> {
        let guard = self.0.0.lock().expect("stop");
        let waited = self.0.1.wait_timeout_while(guard, limit, |e| e.is_none());
        *waited.expect("stop").0
    }

    fn set(&self, end: End) {
        *self.0.0.lock().expect("stop") = Some(end);
        self.0.1.notify_all();
    }
}

#[derive(Debug)]
struct Active {
    run: usize,
    stop: Stop,
}

/// State of an engine.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) runs: Vec<Run>,
    /// Orders received, with whether each was carried out.
    pub(super) orders: Vec<(Order, bool)>,
    active: Vec<Active>,
    /// Runs that wait to be admitted, in order of arrival.
    waiting: VecDeque<usize>,
    slots: u32,
    samples: VecDeque<(Instant, Load)>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
    prefixes: usize,
    gap: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    models: Vec<LoadedModel>,
    loading: Vec<(Instant, LoadedModel)>,
    role: Name,
    fence: u64,
}

impl Core {
    pub(super) fn new(config: &EngineConfig) -> Self {
        Self {
            runs: Vec::new(),
            orders: Vec::new(),
            active: Vec::new(),
            waiting: VecDeque::new(),
            slots: config.slots,
            samples: VecDeque::new(),
            cache: VecDeque::new(),
            prefixes: config.prefixes,
            gap: config.gap,
            seq: 0,
            events: VecDeque::new(),
            models: config.models.clone(),
            loading: Vec::new(),
            role: "mixed".into(),
            fence: 0,
        }
    }

    /// Queues a generation for admission; `None` if one with its id is active.
    pub(super) fn begin(&mut self, request: &Generate) -> Option<(usize, Stop)> {
        let mut active = self.active.iter();
        if active.any(|a| self.runs[a.run].id == request.id) {
            return None;
        }
        let run = self.runs.len();
        self.runs.push(Run {
            id: request.id.clone(),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
            from: request.from,
            pos: request.from,
            end: None,
            over: false,
        });
        let stop = Stop::default();
        self.active.push(Active {
            run,
            stop: stop.clone(),
        });
        self.waiting.push_back(run);
        self.sample();
        Some((run, stop))
    }

    /// Admits `run` if it heads the queue and fewer than `room` generations run.
    pub(super) fn admit(&mut self, run: usize, room: u32) -> bool {
        if self.waiting.front() != Some(&run) || self.running() >= room {
            return false;
        }
        self.waiting.pop_front();
        self.sample();
        true
    }

    /// Records the end of `run`.
    pub(super) fn finish(&mut self, run: usize, end: Option<End>) {
        self.runs[run].end = end;
        self.runs[run].over = true;
        self.active.retain(|a| a.run != run);
        self.waiting.retain(|w| *w != run);
        self.sample();
    }

    /// Signals the active generation `id` to end; returns its position.
    pub(super) fn signal_end(&mut self, id: &str, end: End) -> Option<u32> {
        let active = self.active.iter().find(|a| &*self.runs[a.run].id == id)?;
        active.stop.set(end);
        Some(self.runs[active.run].pos)
    }

    pub(super) fn running(&self) -> u32 {
        (self.active.len() - self.waiting.len()) as u32
    }

    pub(super) fn load(&self) -> Load {
        Load {
            running: self.running(),
            waiting: self.waiting.len() as u32,
            slots: self.slots,
        }
    }

    /// The load as it was `delay` ago.
    pub(super) fn delayed_load(&self, delay: Duration) -> Load {
        let old = self
            .samples
            .iter()
            .rev()
            .find(|(at, _)| at.elapsed() >= delay);
        let idle = Load {
            running: 0,
            waiting: 0,
            slots: self.slots,
        };
        old.map_or(idle, |(_, load)| *load)
    }

    fn sample(&mut self) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), self.load()));
    }

    /// Marks the prefix of `prompt` as used, caching it if needed; returns whether it was a hit.
    pub(super) fn touch(&mut self, prompt: &str) -> bool {
        let prefix = prefix_hash(prompt);
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        } else {
            self.publish(prefix, true);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > self.prefixes
            && let Some(old) = self.cache.pop_front()
        {
            self.publish(old, false);
        }
        found.is_some()
    }

    fn publish(&mut self, prefix: u64, stored: bool) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq: self.seq,
            prefix,
            stored,
        };
        self.events.push_back((Instant::now(), event));
    }

    /// The cache events from sequence number `from` on that are at least `delay` old.
    pub(super) fn events(&self, from: u64, delay: Duration) -> CacheEvents {
        let due = self.events.iter().filter(|(at, _)| at.elapsed() >= delay);
        let events: Vec<_> = due
            .filter(|(_, e)| e.seq >= from)
            .map(|(_, e)| e.clone())
            .collect();
        CacheEvents {
            next: events.last().map_or(from, |e| e.seq + 1),
            events,
        }
    }

    pub(super) fn has_model(&mut self, name: &str) -> bool {
        self.finish_loads();
        self.models.iter().any(|m| &*m.name == name)
    }

    pub(super) fn loaded(&mut self) -> Loaded {
        self.finish_loads();
        Loaded {
            models: self.models.clone(),
            role: self.role.clone(),
            fence: self.fence,
        }
    }

    /// Carries out an order unless its fencing token is stale; `fails` makes a load fail. Returns
    /// whether it was carried out, and what is loaded then.
    pub(super) fn order(
        &mut self,
        order: &Order,
        config: &EngineConfig,
        fails: bool,
    ) -> (bool, Loaded) {
        let accepted = !config.fenced || order.fence >= self.fence;
        self.orders.push((order.clone(), accepted));
        if accepted {
            if config.fenced {
                self.fence = order.fence;
            }
            let due = Instant::now() + Duration::from_millis(config.model_ms);
            self.carry_out(&order.action, due, fails);
        }
        (accepted, self.loaded())
    }

    fn carry_out(&mut self, action: &Action, due: Instant, fails: bool) {
        let name = match action {
            Action::Role(role) => {
                self.role = role.clone();
                return;
            }
            Action::Load(model) => &model.name,
            Action::Unload(name) => name,
        };
        self.models.retain(|m| m.name != *name);
        self.loading.retain(|(_, m)| m.name != *name);
        if let Action::Load(model) = action
            && !fails
        {
            self.loading.push((due, model.clone()));
        }
    }

    fn finish_loads(&mut self) {
        let now = Instant::now();
        let (due, later) = self.loading.drain(..).partition(|(at, _)| *at <= now);
        self.loading = later;
        let due: Vec<(Instant, LoadedModel)> = due;
        self.models.extend(due.into_iter().map(|(_, m)| m));
        self.models.sort();
    }
}
