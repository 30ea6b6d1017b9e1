//! A model of gates under online traffic of peaks and troughs, with batch work.

mod ask;

use ask::ask;
use gooseberrytack::{
    clock::Time,
    gate::{Effects, Headroom, Queue, Reserve, SETTLE, SlotRequest, Verdict},
    wire::{Class, Name},
};
use rand::{Rng, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

pub const SLOTS: u32 = 8;
const TICK: Duration = Duration::from_millis(5);
/// Online requests a second and server at the mean.
const ONLINE_PER_S: f64 = 4.0;
const ONLINE_TIME: Duration = Duration::from_millis(450);
/// Time that each attempt needs before its first new event.
const SET_UP: Duration = Duration::from_millis(150);
/// Time after which a server notices a closed connection.
const NOTICED: Duration = Duration::from_millis(25);
/// Time after which an item without a slot asks at another gate.
const STAY: Duration = Duration::from_secs(3);
/// Time within which an item is due.
const DUE: Duration = Duration::from_secs(18);
pub const LEARNED: Policy = Policy::Learned(Reserve {
    percent: 97,
    backlog: Duration::from_secs(6),
});

#[derive(Debug, Clone, Copy)]
pub enum Policy {
    Fixed(u32),
    Learned(Reserve),
}

/// Batch items: always as many that have just arrived, the same of one job that lasts for the whole play, or jobs of `.0` items for `.1` items a second and gate.
#[derive(Debug, Clone, Copy)]
pub enum Backlog {
    Endless,
    OneJob,
    Jobs(usize, f64),
}

#[derive(Debug, Clone)]
struct Item {
    id: Name,
    job: u64,
    accepted: Time,
    left: Duration,
    /// Gate and id of its attempt that runs or waits.
    attempt: Option<(usize, Name)>,
    /// When it began to wait for its slot.
    asked: Time,
    /// When its events begin.
    ready: Option<Time>,
    ends: Time,
}

impl Item {
    fn request(&self) -> SlotRequest {
        request(&self.id, Class::Batch, self.job)
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub attempts: u32,
    pub results: u32,
    pub late: u32,
    pub online: u32,
    /// Total time that online requests waited.
    pub waited: Duration,
}

impl Outcome {
    pub fn per_result(&self) -> f64 {
        f64::from(self.attempts) / f64::from(self.results)
    }
}

pub fn request(id: &Name, class: Class, since: u64) -> SlotRequest {
    SlotRequest {
        cost: 100,
        since,
        ..ask(id, class)
    }
}

fn note_denied(queue: &Queue, headroom: &mut Headroom, now: Time, item: &Item) {
    if queue.lacks_batch_slot(now) {
        headroom.note_denied(now, &item.request());
    }
}

struct Fleet {
    now: Time,
    policy: Policy,
    /// Online requests a second and server at the mean.
    rate: f64,
    gates: Vec<(Queue, Headroom)>,
    items: Vec<Item>,
    /// Online requests: id, gate, arrival, end.
    online: Vec<(Name, usize, Time, Option<Time>)>,
    /// Preempted attempts and when their servers notice.
    ending: Vec<(Time, usize, Name)>,
    ids: u64,
    out: Outcome,
}

impl Fleet {
    fn request(&mut self, gate: usize, class: Class, since: u64, may_wait: bool) -> (Name, bool) {
        self.ids += 1;
        let id: Name = self.ids.to_string().into();
        let request = request(&id, class, since);
        let queue = &mut self.gates[gate].0;
        let (verdict, effects) = queue.request(self.now, &request, 1, may_wait);
        let is_granted = verdict == Verdict::Granted;
        queue.extend_wait(&id, self.now + DUE * 10);
        self.apply(gate, effects, Some(&id));
        (id, is_granted)
    }

    /// Starts what was granted, and stops what was preempted. `own` is started by the caller.
    fn apply(&mut self, gate: usize, effects: Effects, own: Option<&Name>) {
        for id in effects.granted.iter().filter(|id| Some(*id) != own) {
            self.start(id);
        }
        for id in effects.preempted {
            self.ending.push((self.now + NOTICED, gate, id.clone()));
            let at = |i: &&mut Item| i.attempt.as_ref().is_some_and(|a| a.1 == id);
            let item = self.items.iter_mut().find(at).expect("preempted item");
            item.left = match item.ready.take() {
                Some(ready) if ready < self.now => item.ends.saturating_sub(self.now),
                _ => item.left,
            };
            item.attempt = None;
        }
        let (queue, headroom) = &mut self.gates[gate];
        let counts = queue.counts();
        headroom.note_online(self.now, counts);
        queue.set_reserve(match self.policy {
            Policy::Fixed(reserve) => reserve,
            Policy::Learned(rule) => headroom.reserve(self.now, SLOTS, rule),
        });
    }

    fn start(&mut self, id: &Name) {
        if let Some(request) = self.online.iter_mut().find(|o| o.0 == *id) {
            self.out.waited += self.now - request.2;
            request.3 = Some(self.now + ONLINE_TIME);
            return;
        }
        let at = |i: &&mut Item| i.attempt.as_ref().is_some_and(|a| a.1 == *id);
        let item = self.items.iter_mut().find(at).expect("granted item");
        item.ready = Some(self.now + SET_UP);
        item.ends = self.now + SET_UP + item.left;
        let (gate, _) = item.attempt.as_ref().expect("attempt");
        self.gates[*gate].1.note_granted(&item.request());
        self.out.attempts += 1;
    }

    fn end(&mut self) {
        let now = self.now;
        let (gone, online) = std::mem::take(&mut self.online)
            .into_iter()
            .partition(|o| o.3.is_some_and(|end| end <= now));
        self.online = online;
        let gone: Vec<(Name, usize, Time, Option<Time>)> = gone;
        let ids = gone.into_iter().map(|(id, gate, ..)| (gate, id));
        let mut gone: Vec<(usize, Name)> = ids.collect();
        let is_done = |i: &Item| i.ready.is_some() && i.ends <= now;
        for item in self.items.extract_if(.., |i| is_done(i)) {
            self.out.results += 1;
            self.out.late += u32::from(now - item.accepted > DUE);
            gone.extend(item.attempt);
        }
        let ending = self.ending.extract_if(.., |e| e.0 <= now);
        gone.extend(ending.map(|(_, gate, id)| (gate, id)));
        for (gate, id) in gone {
            let effects = self.gates[gate].0.release(now, &id, 1);
            self.apply(gate, effects, None);
        }
    }

    fn arrive_online(&mut self, rng: &mut ChaCha8Rng, free_first: bool) {
        let phase = self.now.as_secs_f64() % 5.8;
        let rate = self.rate * if phase < 2.4 { 1.87 } else { 0.38 };
        for _ in 0..self.gates.len() {
            if !rng.random_bool(rate * TICK.as_secs_f64()) {
                continue;
            }
            let mut order: Vec<usize> = (0..self.gates.len()).collect();
            order.shuffle(rng);
            order.truncate(6);
            if free_first {
                order.sort_by_key(|gate| {
                    let counts = self.gates[*gate].0.counts();
                    counts.online + counts.batch >= counts.slots
                });
            }
            self.out.online += 1;
            let granted = order
                .iter()
                .map(|gate| (*gate, self.request(*gate, Class::Online, 0, false)))
                .find(|(_, (_, is_granted))| *is_granted);
            let (gate, (id, is_granted)) = granted
                .unwrap_or_else(|| (order[0], self.request(order[0], Class::Online, 0, true)));
            let ends = is_granted.then(|| self.now + ONLINE_TIME);
            self.online.push((id, gate, self.now, ends));
        }
    }

    /// Has each item without an attempt wait at the gate with the most free slots of two.
    fn place_batch(&mut self, rng: &mut ChaCha8Rng) {
        for at in 0..self.items.len() {
            let item = &self.items[at];
            if let Some((gate, id)) = item.attempt.clone() {
                if item.ready.is_some() {
                    continue;
                }
                let (queue, headroom) = &mut self.gates[gate];
                note_denied(queue, headroom, self.now, item);
                if self.now - item.asked < STAY {
                    continue;
                }
                queue.withdraw(&id);
            }
            let spare = |gate: &usize| {
                let c = self.gates[*gate].0.counts();
                i64::from(c.slots) - i64::from(c.online + c.batch + c.waiting + c.backlog)
            };
            let two = [0, 0].map(|_| rng.random_range(0..self.gates.len()));
            let gate = two.into_iter().max_by_key(spare).expect("two gates");
            let (id, is_granted) = self.request(gate, Class::Batch, self.items[at].job, true);
            self.items[at].attempt = Some((gate, id.clone()));
            self.items[at].asked = self.now;
            if is_granted {
                self.start(&id);
            }
        }
    }

    fn add_items(&mut self, rng: &mut ChaCha8Rng, backlog: Backlog, next_job: &mut Time) {
        let waiting = self.items.iter().filter(|i| i.ready.is_none()).count();
        let count = match backlog {
            Backlog::Endless | Backlog::OneJob => (4 * self.gates.len()).saturating_sub(waiting),
            Backlog::Jobs(count, rate) if self.now >= *next_job => {
                let interval = count as f64 / (rate * self.gates.len() as f64);
                *next_job += Duration::from_secs_f64(interval);
                count
            }
            Backlog::Jobs(..) => 0,
        };
        self.ids += 1;
        let job = match backlog {
            Backlog::OneJob => 1,
            _ => self.ids,
        };
        let ids = &mut self.ids;
        self.items.extend((0..count).map(|_| Item {
            id: {
                *ids += 1;
                ids.to_string().into()
            },
            job,
            accepted: self.now,
            left: Duration::from_millis(rng.random_range(3000..5000)),
            attempt: None,
            asked: self.now,
            ready: None,
            ends: Time::ZERO,
        }));
    }
}

/// Plays the load at `gates` gates for `secs` seconds.
pub fn play(
    gates: usize,
    policy: Policy,
    free_first: bool,
    backlog: Backlog,
    secs: u64,
) -> Outcome {
    play_rate(gates, policy, free_first, backlog, secs, ONLINE_PER_S)
}

pub fn play_rate(
    gates: usize,
    policy: Policy,
    free_first: bool,
    backlog: Backlog,
    secs: u64,
    rate: f64,
) -> Outcome {
    // The same online requests arrive under every policy.
    let [mut online, mut batch] = [1, 2].map(ChaCha8Rng::seed_from_u64);
    let gate = || (Queue::new(SLOTS, Time::ZERO), Headroom::default());
    let mut fleet = Fleet {
        now: SETTLE,
        policy,
        rate,
        gates: (0..gates).map(|_| gate()).collect(),
        items: Vec::new(),
        online: Vec::new(),
        ending: Vec::new(),
        ids: 0,
        out: Outcome::default(),
    };
    let mut next_job = fleet.now;
    while fleet.now < SETTLE + Duration::from_secs(secs) {
        fleet.end();
        fleet.arrive_online(&mut online, free_first);
        fleet.add_items(&mut batch, backlog, &mut next_job);
        fleet.place_batch(&mut batch);
        fleet.now += TICK;
    }
    println!(
        "{gates} gates, {rate}/s, {policy:?}, free first {free_first}, {backlog:?}: {:.2} attempts per result, {} results, {} late, online waited {:?} of {}",
        fleet.out.per_result(),
        fleet.out.results,
        fleet.out.late,
        fleet.out.waited,
        fleet.out.online
    );
    fleet.out
}
