//! Explores every interleaving of two owners that claim and run one item, may pause at any step and
//! may lose one append answer. Guards against a second run of an unrepeatable item, a changed
//! outcome, a lost item and readers that disagree.

use gooseberrytack::{
    fold::{Fold, Pos, pos},
    job::{Commit, ItemEnd, ItemSpec, ItemState, Outcome, PartRef, Record, State},
    wire::Name,
};
use std::{collections::BTreeSet, sync::Arc};

const JOB: &str = "job";
/// Maximum number of claims in a history; bounds the search.
const CLAIMS: u8 = 3;

/// Progress of an owner. It may pause for any time at each of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum At {
    /// No dispatch in progress.
    Idle,
    /// Holds the item under this epoch, by its own state, with a valid lease.
    Checked(Pos),
    /// Dispatched the item under this epoch.
    Dispatched(Pos),
}

#[derive(Debug, Clone)]
struct Owner {
    name: Name,
    at: At,
    read: usize,
    /// Number of records that it must have read before it acts again.
    wait: usize,
    state: State,
}

#[derive(Debug, Clone)]
struct World {
    repeatable: bool,
    log: Vec<Record>,
    /// A record whose append got no answer; it may reach the log later or never.
    in_flight: Option<Record>,
    owners: [Owner; 2],
    claims: u8,
    losses: u8,
    runs: u8,
    head: State,
}

impl World {
    fn new(repeatable: bool) -> Self {
        let owner = |name: &str| Owner {
            name: name.into(),
            at: At::Idle,
            read: 0,
            wait: 0,
            state: State::default(),
        };
        let mut world = Self {
            repeatable,
            log: Vec::new(),
            in_flight: None,
            owners: [owner("a"), owner("b")],
            claims: CLAIMS,
            losses: 1,
            runs: 0,
            head: State::default(),
        };
        let spec = ItemSpec {
            id: "i".into(),
            model: "m".into(),
            adapter: None,
            prompt: "p".into(),
            tokens: 1,
            repeatable,
            request: None,
        };
        world.append(Record::Piece {
            upload: "u".into(),
            index: 0,
            asks: vec![Arc::new(spec)],
        });
        world.append(Record::Commit(Commit {
            job: JOB.into(),
            workspace: "w".into(),
            upload: "u".into(),
            digest: "d".into(),
            pieces: 1,
            items: 1,
            part_size: 1,
        }));
        world
    }

    fn append(&mut self, rec: Record) {
        let before = outcome(&self.head);
        self.head.apply(pos(self.log.len() as u64, 0), &rec);
        self.log.push(rec);
        let after = outcome(&self.head);
        assert!(before.is_none() || before == after, "an outcome changed");
    }

    /// All worlds after an append by owner `i`: answered, or with the answer lost.
    fn sent(&self, i: usize, rec: Record) -> Vec<World> {
        let mut plain = self.clone();
        plain.append(rec.clone());
        plain.owners[i].wait = plain.log.len();
        let mut worlds = vec![plain];
        if self.losses > 0 {
            let mut taken = self.clone();
            taken.losses -= 1;
            taken.append(rec.clone());
            worlds.push(taken);
            let mut late = self.clone();
            late.losses -= 1;
            late.in_flight = Some(rec);
            worlds.push(late);
        }
        worlds
    }

    fn next(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        if let Some(rec) = &self.in_flight {
            let mut never = self.clone();
            never.in_flight = None;
            let mut arrives = never.clone();
            arrives.append(rec.clone());
            worlds.extend([never, arrives]);
        }
        for i in 0..2 {
            worlds.extend(self.reads(i));
            worlds.extend(self.acts(i));
        }
        worlds
    }

    fn reads(&self, i: usize) -> Option<World> {
        let rec = self.log.get(self.owners[i].read)?;
        let mut world = self.clone();
        let owner = &mut world.owners[i];
        owner.state.apply(pos(owner.read as u64, 0), rec);
        owner.read += 1;
        Some(world)
    }

    fn acts(&self, i: usize) -> Vec<World> {
        let owner = &self.owners[i];
        if owner.read < owner.wait {
            return Vec::new();
        }
        let Some(part) = owner.state.job(JOB).map(|j| j.parts[0].clone()) else {
            return Vec::new();
        };
        let at = PartRef {
            job: JOB.into(),
            part: 0,
            epoch: part.epoch,
        };
        let holds = owner.state.held(&owner.name, &at).is_some();
        let name = owner.name.clone();
        match owner.at {
            At::Idle if holds && (self.repeatable || part.has_intent(0)) => {
                let mut world = self.clone();
                world.owners[i].at = At::Checked(at.epoch);
                vec![world]
            }
            At::Idle if holds => {
                let rec = Record::Intents {
                    host: name,
                    part: at,
                    items: vec![0],
                };
                self.sent(i, rec)
            }
            // The other owner's lease may expire at any time, as it may pause for any time.
            At::Idle if part.open > 0 && self.claims > 0 => {
                let rec = Record::Claim {
                    host: name,
                    parts: vec![at],
                };
                let mut world = self.clone();
                world.claims -= 1;
                world.sent(i, rec)
            }
            At::Idle => Vec::new(),
            At::Checked(epoch) => {
                let mut world = self.clone();
                world.runs += 1;
                world.owners[i].at = At::Dispatched(epoch);
                vec![world]
            }
            At::Dispatched(epoch) => {
                let rec = Record::Outcomes {
                    host: name.clone(),
                    part: PartRef { epoch, ..at },
                    ended: vec![ItemEnd {
                        index: 0,
                        outcome: Outcome::Done {
                            text: name,
                            tokens: 1,
                        },
                    }],
                };
                if part.open == 0 || !holds || part.epoch != epoch {
                    // The item ended or has another holder: stop working on it.
                    let mut world = self.clone();
                    world.owners[i].at = At::Idle;
                    return vec![world];
                }
                self.sent(i, rec)
            }
        }
    }

    /// Key that is equal for equal worlds.
    fn key(&self) -> Vec<u8> {
        let at = self.owners.each_ref().map(|o| match o.at {
            At::Idle => (0, 0),
            At::Checked(e) => (1, e),
            At::Dispatched(e) => (2, e),
        });
        let read = self.owners.each_ref().map(|o| o.read);
        let wait = self.owners.each_ref().map(|o| o.wait);
        let counts = (self.claims, self.losses, self.runs, wait);
        rmp_serde::to_vec(&(&self.log, &self.in_flight, at, read, counts)).expect("encoded")
    }
}

fn outcome(state: &State) -> Option<Outcome> {
    match &state.job(JOB)?.parts[0].items[0].state {
        ItemState::Ended(outcome) => Some(outcome.clone()),
        ItemState::Open { .. } => None,
    }
}

/// Visits every reachable world; returns their number and the number of worlds without a successor.
fn explore(start: World) -> (usize, usize) {
    let mut seen = BTreeSet::new();
    let mut open = vec![start];
    let mut ends = 0;
    while let Some(world) = open.pop() {
        if !seen.insert(world.key()) {
            continue;
        }
        assert!(
            world.repeatable || world.runs <= 1,
            "an item that may not be repeated ran twice: {:?}",
            world.log
        );
        let next = world.next();
        if next.is_empty() {
            ends += 1;
            for owner in &world.owners {
                assert_eq!(owner.state, world.head, "readers disagree");
            }
            assert!(
                outcome(&world.head).is_some() || world.claims == 0,
                "the item is lost: {:?}",
                world.log
            );
        }
        open.extend(next);
    }
    (seen.len(), ends)
}

#[test]
fn explore_repeatable_item() {
    let (worlds, ends) = explore(World::new(true));
    println!("worlds={worlds} ends={ends}");
    assert!(ends > 0);
}

#[test]
fn explore_unrepeatable_item() {
    let (worlds, ends) = explore(World::new(false));
    println!("worlds={worlds} ends={ends}");
    assert!(ends > 0);
}
