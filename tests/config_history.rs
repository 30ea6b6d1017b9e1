//! Random histories of configuration changes.

use gooseberrytack::{
    config::{
        Change, Item, Key, Model, ObjectId, Record, Setting, Sort, State, Verdict, Workspace,
    },
    fold::{Fold, pos},
    wire::Name,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// One change of a history.
#[derive(Debug, Clone)]
struct Draw {
    kind: u8,
    name: u8,
    value: u32,
    /// Whether the change is based on an old state.
    stale: bool,
    /// Whether its record is read twice.
    twice: bool,
}

fn draw() -> impl Strategy<Value = Draw> {
    let flags = (prop::bool::weighted(0.2), prop::bool::weighted(0.2));
    (0..8u8, 0..3u8, 0..4u32, flags).prop_map(|(kind, name, value, (stale, twice))| Draw {
        kind,
        name,
        value,
        stale,
        twice,
    })
}

fn edit(draw: &Draw) -> (ObjectId, Option<Item>) {
    let name: Name = format!("n{}", draw.name).into();
    match draw.kind {
        0 => (
            ObjectId::new(Sort::Workspace, name),
            Some(Item::Workspace {}),
        ),
        1 => (ObjectId::new(Sort::Workspace, name), None),
        2 | 3 => {
            let hash = format!("{:064x}", draw.name);
            let item = Item::Key {
                workspace: name,
                label: "".into(),
                withdrawn: draw.kind == 3,
            };
            (ObjectId::new(Sort::Key, hash), Some(item))
        }
        4 => {
            let item = Item::Exception {
                value: draw.value,
                reason: "r".into(),
                owner: "o".into(),
                end: None,
            };
            (ObjectId::exception(&name, Setting::Rate), Some(item))
        }
        5 => (ObjectId::exception(&name, Setting::Rate), None),
        6 => {
            let item = Item::Default { value: draw.value };
            (ObjectId::new(Sort::Default, "rate"), Some(item))
        }
        _ => {
            let item = Item::Model {
                version: draw.value.to_string().into(),
                adapters: vec![],
            };
            (ObjectId::new(Sort::Model, name), Some(item))
        }
    }
}

/// The derived lists, rebuilt from the declarations alone.
fn derived(state: &State) -> (Vec<Workspace>, Vec<Key>, Vec<Model>) {
    let (mut workspaces, mut keys, mut models) = (vec![], vec![], vec![]);
    for object in &state.objects {
        let name = object.id.name.clone();
        match &object.item {
            Item::Workspace {} => workspaces.push(Workspace {
                weight: state.value_of(&name, Setting::Weight),
                rate: state.value_of(&name, Setting::Rate),
                burst: state.value_of(&name, Setting::Burst),
                name,
            }),
            Item::Key {
                workspace,
                label,
                withdrawn,
            } => keys.push(Key {
                hash: name,
                workspace: workspace.clone(),
                label: label.clone(),
                withdrawn: *withdrawn,
            }),
            Item::Model { version, adapters } => models.push(Model {
                version: version.clone(),
                adapters: adapters.clone(),
                tokens: state.value_of(&name, Setting::Tokens),
                name,
            }),
            _ => {}
        }
    }
    (workspaces, keys, models)
}

/// No object refers to one that does not exist, and no withdrawn key is in use.
fn check_consistent(state: &State) {
    for key in state.keys.iter().filter(|k| !k.withdrawn) {
        assert!(state.workspace(&key.workspace).is_some());
    }
    for object in state.objects(Sort::Exception) {
        let (workspace, _) = object.id.name.split_once('/').expect("OBJECT/SETTING");
        assert!(state.workspace(workspace).is_some());
    }
    let (workspaces, keys, models) = derived(state);
    assert_eq!(state.workspaces, workspaces);
    assert_eq!(state.keys, keys);
    assert_eq!(state.models, models);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn history_keeps_state_whole(draws in prop::collection::vec(draw(), 1..60)) {
        let (mut state, mut once) = (State::default(), State::default());
        let mut old = State::default();
        let mut withdrawn: Vec<Name> = Vec::new();
        for (i, draw) in draws.iter().enumerate() {
            let (id, item) = edit(draw);
            let base = if draw.stale { old.revision_of(&id) } else { state.revision_of(&id) };
            old = state.clone();
            let change = Change::new(format!("c{i}"), "ada", "r").edit(id, base, item);
            let record = Record::Change(change);
            let at = pos(2 * i as u64, 0);
            once.apply(at, &record);
            state.apply(at, &record);
            if draw.twice {
                state.apply(pos(2 * i as u64 + 1, 0), &record);
            }
            prop_assert_eq!(&state, &once);
            prop_assert!(state.revision >= old.revision);
            let accepted = state.outcome(&format!("c{i}")).expect("outcome").verdict.clone();
            if accepted != Verdict::Accepted {
                prop_assert_eq!(&state.objects, &old.objects);
            }
            check_consistent(&state);
            withdrawn.extend(state.keys.iter().filter(|k| k.withdrawn).map(|k| k.hash.clone()));
            prop_assert!(withdrawn.iter().all(|hash| state.key(hash).is_none()));
        }
    }
}
