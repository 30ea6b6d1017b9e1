//! A log with one job, and hosts that read it late and whose records arrive late, twice or never.

mod check;

use check::{check, check_claim};
use gooseberrytack::{
    fold::{Fold, Pos, pos},
    job::{Commit, ItemEnd, ItemSpec, Outcome, PartRef, Record, State},
    wire::Name,
};
use std::sync::Arc;

/// Id of the one job.
pub const JOB: &str = "job";
/// Number of items in the job.
pub const ITEMS: u32 = 7;
/// Number of items in a part.
pub const PART_SIZE: u32 = 3;
/// Number of hosts running at a time.
pub const HOSTS: usize = 3;

/// One step of a history.
#[derive(Debug, Clone)]
pub enum Step {
    /// A host reads up to this many records.
    Read(usize, usize),
    /// A host claims a part, whoever holds it: any holder's lease may have expired.
    Claim(usize, u32),
    /// A host announces an item that may not be repeated.
    Announce(usize, u32),
    /// A host dispatches an item if its own state allows it.
    Dispatch(usize, u32),
    /// A host reports the outcome of an item that it dispatched.
    Report(usize, u32),
    /// A host gives up a part.
    Release(usize, u32),
    /// A host crashes and is replaced; the new host reads the log from its start.
    Crash(usize),
    /// A host crashes and is replaced; the new host starts from a snapshot of a reader's state.
    Restore(usize, usize),
    /// A record that is in the log is appended again.
    Repeat(usize),
    /// A delayed record reaches the log.
    Arrive(usize),
    /// A host renews its leases.
    Beat(usize),
    /// This many milliseconds of log time pass.
    Tick(u64),
    /// The job is cancelled.
    Cancel,
}

/// A host and the state that it has read.
#[derive(Debug, Clone)]
pub struct Host {
    name: Name,
    /// State after the records read so far.
    pub state: State,
    next: usize,
    /// Dispatched items, with the epoch.
    sent: Vec<(u32, Pos)>,
}

impl Host {
    fn new(slot: usize, start: usize) -> Self {
        Self {
            name: format!("h{slot}.{start}").into(),
            state: State::default(),
            next: 0,
            sent: Vec::new(),
        }
    }
}

/// The log and the hosts that read and write it.
pub struct World {
    log: Vec<Record>,
    /// Records sent but not in the log yet.
    late: Vec<Record>,
    /// The hosts.
    pub hosts: Vec<Host>,
    starts: usize,
    /// State at the head of the log, which all readers must reach.
    pub head: State,
    /// Number of dispatches of each item.
    pub runs: Vec<u32>,
}

/// Whether the item may run more than once.
pub fn is_repeatable(index: u32) -> bool {
    index.is_multiple_of(2)
}

fn part_of(index: u32, epoch: Pos) -> PartRef {
    PartRef {
        job: JOB.into(),
        part: index / PART_SIZE,
        epoch,
    }
}

/// Spec of item `index`.
pub fn spec(index: u32) -> Arc<ItemSpec> {
    Arc::new(ItemSpec {
        id: format!("i{index}").into(),
        model: "m".into(),
        adapter: None,
        prompt: "p".into(),
        tokens: 1,
        repeatable: is_repeatable(index),
        request: None,
    })
}

impl World {
    /// Creates a log that contains the job.
    pub fn new() -> Self {
        let mut world = Self {
            log: Vec::new(),
            late: Vec::new(),
            hosts: (0..HOSTS).map(|i| Host::new(i, 0)).collect(),
            starts: 0,
            head: State::default(),
            runs: vec![0; ITEMS as usize],
        };
        for (index, chunk) in (0..ITEMS).collect::<Vec<_>>().chunks(4).enumerate() {
            world.append(Record::Piece {
                upload: "u".into(),
                index: index as u32,
                asks: chunk.iter().map(|i| spec(*i)).collect(),
            });
        }
        world.append(Record::Commit(Commit {
            job: JOB.into(),
            workspace: "w".into(),
            upload: "u".into(),
            digest: "d".into(),
            pieces: 2,
            items: ITEMS,
            part_size: PART_SIZE,
        }));
        world
    }

    /// Appends a record to the log and checks the invariants.
    fn append(&mut self, rec: Record) {
        let before = self.head.clone();
        self.head.apply(pos(self.log.len() as u64, 0), &rec);
        self.log.push(rec);
        if let Some(Record::Claim { parts, .. }) = self.log.last() {
            check_claim(&before, &self.head, &parts[0]);
        }
        check(&before, &self.head);
    }

    /// Sends a record: it arrives at once, later or in two copies.
    fn send(&mut self, rec: Record, way: usize) {
        match way % 4 {
            0 => self.late.push(rec),
            1 => {
                self.append(rec.clone());
                self.late.push(rec);
            }
            _ => self.append(rec),
        }
    }

    /// Host `slot` reads up to `count` records.
    pub fn read(&mut self, slot: usize, count: usize) {
        let host = &mut self.hosts[slot];
        let end = (host.next + count).min(self.log.len());
        for at in host.next..end {
            host.state.apply(pos(at as u64, 0), &self.log[at]);
        }
        host.next = end;
    }

    /// The part of item `index`, if host `slot` holds it by its own state.
    fn held(&self, slot: usize, index: u32) -> Option<PartRef> {
        let host = &self.hosts[slot];
        let epoch = host.state.part(&part_of(index, 0))?.epoch;
        let at = part_of(index, epoch);
        host.state.held(&host.name, &at).map(|_| at)
    }

    /// Performs `step`; `way` decides how a record that it sends arrives.
    pub fn step(&mut self, step: Step, way: usize) {
        match step {
            Step::Read(slot, count) => self.read(slot, count),
            Step::Claim(slot, index) => {
                let state = &self.hosts[slot].state;
                let Some(part) = state.part(&part_of(index, 0)) else {
                    return;
                };
                let rec = Record::Claim {
                    host: self.hosts[slot].name.clone(),
                    parts: vec![part_of(index, part.epoch)],
                };
                self.send(rec, way);
            }
            Step::Announce(slot, index) => {
                if let Some(part) = self.held(slot, index) {
                    let rec = Record::Intents {
                        host: self.hosts[slot].name.clone(),
                        part,
                        items: vec![index % PART_SIZE],
                    };
                    self.send(rec, way);
                }
            }
            Step::Dispatch(slot, index) => self.dispatch(slot, index),
            Step::Report(slot, index) => {
                let host = &self.hosts[slot];
                let sent = host.sent.iter().find(|(i, _)| *i == index);
                if let Some((_, epoch)) = sent {
                    let text = format!("{} {epoch}", host.name);
                    let rec = Record::Outcomes {
                        host: host.name.clone(),
                        part: part_of(index, *epoch),
                        ended: vec![ItemEnd {
                            index: index % PART_SIZE,
                            outcome: Outcome::Done {
                                text: text.into(),
                                tokens: 1,
                            },
                        }],
                    };
                    self.send(rec, way);
                }
            }
            Step::Release(slot, index) => {
                if let Some(part) = self.held(slot, index) {
                    let rec = Record::Release {
                        host: self.hosts[slot].name.clone(),
                        part,
                        unrun: Vec::new(),
                    };
                    self.send(rec, way);
                }
            }
            Step::Crash(slot) => {
                self.starts += 1;
                self.hosts[slot] = Host::new(slot, self.starts);
            }
            Step::Restore(slot, from) => {
                self.starts += 1;
                let mut host = Host::new(slot, self.starts);
                let bytes = rmp_serde::to_vec(&self.hosts[from].state).expect("encoded");
                host.state = rmp_serde::from_slice(&bytes).expect("decoded");
                host.next = self.hosts[from].next;
                self.hosts[slot] = host;
            }
            Step::Repeat(at) => {
                let rec = self.log[at % self.log.len()].clone();
                self.append(rec);
            }
            Step::Arrive(at) => {
                if !self.late.is_empty() {
                    let rec = self.late.remove(at % self.late.len());
                    self.append(rec);
                }
            }
            Step::Beat(slot) => {
                let host = self.hosts[slot].name.clone();
                self.send(Record::Beat { host }, way);
            }
            Step::Tick(millis) => self.append(Record::Tick {
                after: self.head.last_tick,
                millis,
                keep: u64::MAX,
            }),
            Step::Cancel => self.append(Record::Cancel { job: JOB.into() }),
        }
    }

    /// Dispatches an item if the host's own state, which may be stale after a pause, allows it.
    fn dispatch(&mut self, slot: usize, index: u32) {
        let Some(at) = self.held(slot, index) else {
            return;
        };
        let host = &mut self.hosts[slot];
        let part = host.state.held(&host.name, &at).expect("held");
        let may_run = if is_repeatable(index) {
            part.is_open(index % PART_SIZE)
        } else {
            part.has_intent(index % PART_SIZE) && !host.sent.contains(&(index, at.epoch))
        };
        if may_run {
            host.sent.push((index, at.epoch));
            self.runs[index as usize] += 1;
        }
    }

    /// Runs all remaining items on a new host; every item must have ended then.
    pub fn finish(&mut self) {
        for rec in std::mem::take(&mut self.late) {
            self.append(rec);
        }
        self.starts += 1;
        self.hosts[0] = Host::new(0, self.starts);
        for index in 0..ITEMS {
            self.read(0, usize::MAX - self.log.len());
            self.step(Step::Claim(0, index), 3);
            self.read(0, 100);
            self.step(Step::Announce(0, index), 3);
            self.read(0, 100);
            self.step(Step::Dispatch(0, index), 3);
            self.step(Step::Report(0, index), 3);
        }
        let job = self.head.job(JOB).expect("the job is there");
        assert_eq!(job.counts.open, 0, "an item never ended");
        assert!(job.ended.is_some());
        assert!(self.head.holders.is_empty(), "{:?}", self.head.holders);
    }
}
