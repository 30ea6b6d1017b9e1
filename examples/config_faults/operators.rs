//! Operators who make random changes.

use super::{ANSWER_TIMEOUT, Answer, Shared};
use gooseberrytack::{
    config::{self, Change, Edit, Item, ObjectId, Setting, Sort, State},
    error::Kind,
    kernel::Host,
    wire::Name,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use standin::MODEL;
use std::{
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

/// Makes changes until the run ends; one whose outcome is not known is sent again.
pub fn run_operator(shared: &Shared, number: usize, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
    for count in 0.. {
        if shared.ended.load(Ordering::Relaxed) {
            return;
        }
        let host = any_host(shared, &mut rng);
        let id = format!("op{number}.{count}");
        let mut change = Change::new(&*id, format!("op{number}"), "random");
        change.edits = host.config.view(|s| random_edits(s, &mut rng));
        let answer = send_until_known(shared, host, &change, &mut rng);
        let mut answers = shared.answers.lock().expect("answers");
        answers.push((change.id, answer));
        drop(answers);
        thread::sleep(Duration::from_millis(rng.random_range(0..60)));
    }
}

fn any_host(shared: &Shared, rng: &mut ChaCha8Rng) -> Arc<Host> {
    let hosts = shared.hosts.read().expect("hosts");
    hosts.choose(rng).expect("a host").clone()
}

fn send_until_known(
    shared: &Shared,
    mut host: Arc<Host>,
    change: &Change,
    rng: &mut ChaCha8Rng,
) -> Answer {
    for _ in 0..8 {
        match config::apply(&host, change, ANSWER_TIMEOUT) {
            Ok(at) => return Answer::Accepted(at),
            Err(f) if matches!(f.kind, Kind::Conflict | Kind::BadRequest) => {
                return Answer::Rejected;
            }
            // The same change goes to another host, even if the first one answered that nothing was
            // stored.
            Err(_) => host = any_host(shared, rng),
        }
    }
    Answer::Unknown
}

fn random_edits(state: &State, rng: &mut ChaCha8Rng) -> Vec<Edit> {
    let name: Name = format!("w{}", rng.random_range(0..4)).into();
    let (id, item) = match rng.random_range(0..6) {
        0 => (
            ObjectId::new(Sort::Workspace, name),
            Some(Item::Workspace {}),
        ),
        1 => (ObjectId::new(Sort::Workspace, name), None),
        2 => {
            let item = Item::Exception {
                value: rng.random_range(1..1000),
                reason: "random".into(),
                owner: "random".into(),
                end: None,
            };
            (ObjectId::exception(&name, Setting::Rate), Some(item))
        }
        3 => {
            let hash = format!("{:064x}", rng.random_range(0..4));
            let item = Item::Key {
                workspace: name,
                label: "random".into(),
                withdrawn: rng.random(),
            };
            (ObjectId::new(Sort::Key, hash), Some(item))
        }
        4 => {
            let item = Item::Default {
                value: rng.random_range(1..1000),
            };
            (ObjectId::new(Sort::Default, "rate"), Some(item))
        }
        _ => {
            let item = Item::Model {
                version: format!("{}", rng.random_range(0..1000)).into(),
                adapters: vec![],
            };
            (ObjectId::new(Sort::Model, MODEL), Some(item))
        }
    };
    let base = state.revision_of(&id);
    vec![Edit { id, base, item }]
}
