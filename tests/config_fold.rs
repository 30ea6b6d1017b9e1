//! The configuration fold: which changes are accepted, conflict or are refused.

use gooseberrytack::{
    config::{
        Change, Item, ObjectId, Record, Setting, Sort, State, Verdict, expirations, median_clock,
    },
    fold::{Fold, Pos, pos},
};

const HASH: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn apply(state: &mut State, offset: u64, change: &Change) -> Verdict {
    state.apply(pos(offset, 0), &Record::Change(change.clone()));
    state.outcome(&change.id).expect("outcome").verdict.clone()
}

fn change(id: &str) -> Change {
    Change::new(id, "ada", "test")
}

fn workspace(name: &str) -> ObjectId {
    ObjectId::new(Sort::Workspace, name)
}

fn rate(value: u32) -> Option<Item> {
    Some(Item::Exception {
        value,
        reason: "large".into(),
        owner: "ada".into(),
        end: None,
    })
}

fn model(version: &str) -> Option<Item> {
    Some(Item::Model {
        version: version.into(),
        adapters: vec![],
    })
}

fn key(withdrawn: bool) -> Option<Item> {
    Some(Item::Key {
        workspace: "oja".into(),
        label: "desk".into(),
        withdrawn,
    })
}

fn key_id() -> ObjectId {
    ObjectId::new(Sort::Key, HASH)
}

/// A state with workspace `oja`, one key and model `m`.
fn seeded() -> (State, Pos) {
    let mut state = State::default();
    let change = change("seed")
        .edit(workspace("oja"), 0, Some(Item::Workspace {}))
        .edit(key_id(), 0, key(false))
        .edit(ObjectId::new(Sort::Model, "m"), 0, model("1"));
    assert_eq!(apply(&mut state, 0, &change), Verdict::Accepted);
    let revision = state.revision;
    (state, revision)
}

fn faults(verdict: &Verdict) -> Vec<String> {
    match verdict {
        Verdict::Refused(faults) => faults
            .iter()
            .map(|f| format!("{} {}", f.id, f.field))
            .collect(),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn apply_notes_last_change_of_servers() {
    let (mut state, base) = seeded();
    assert_eq!(state.servers_at, 0);
    let server = Item::Server {
        addr: "127.0.0.1:9".parse().expect("address"),
        domain: "lagos".into(),
        models: vec!["m".into()],
        fenced: true,
        leaving: false,
        role: "".into(),
    };
    let id = ObjectId::new(Sort::Server, "s");
    let made = change("made").edit(id, 0, Some(server));
    assert_eq!(apply(&mut state, 1, &made), Verdict::Accepted);
    let made_at = state.revision;
    assert_eq!(state.servers_at, made_at);
    let other = change("other").edit(ObjectId::new(Sort::Model, "m"), base, model("2"));
    assert_eq!(apply(&mut state, 2, &other), Verdict::Accepted);
    assert_eq!(state.servers_at, made_at);
    let slots = ObjectId::exception("s", Setting::Slots);
    let fewer = change("fewer").edit(slots, 0, rate(3));
    assert_eq!(apply(&mut state, 3, &fewer), Verdict::Accepted);
    assert_eq!(state.servers_at, state.revision);
}

#[test]
fn apply_two_operators() {
    let (mut state, base) = seeded();
    let id = ObjectId::new(Sort::Model, "m");
    let first = change("first").edit(id.clone(), base, model("2"));
    let second = change("second").edit(id.clone(), base, model("3"));
    assert_eq!(apply(&mut state, 1, &first), Verdict::Accepted);
    let Verdict::Lost(clashes) = apply(&mut state, 2, &second) else {
        panic!("the second change must lose");
    };
    assert_eq!(&*clashes[0].winner, "first");
    assert_eq!(clashes[0].revision, pos(1, 0));
    assert_eq!(&*state.model("m").expect("model").version, "2");
    assert_eq!(state.revision, pos(1, 0));
}

#[test]
fn apply_repeat() {
    let (mut state, base) = seeded();
    let id = ObjectId::new(Sort::Model, "m");
    let raise = change("raise").edit(id.clone(), base, model("2"));
    apply(&mut state, 1, &raise);
    let gone = change("gone").edit(id.clone(), pos(1, 0), None);
    assert_eq!(apply(&mut state, 2, &gone), Verdict::Accepted);
    let again = change("again").edit(id.clone(), 0, model("2"));
    apply(&mut state, 3, &again);
    let removed = change("removed").edit(id.clone(), pos(3, 0), None);
    apply(&mut state, 4, &removed);
    // The record of `again` is read a second time, when its base matches again.
    apply(&mut state, 5, &again);
    assert!(state.model("m").is_none());
    assert_eq!(state.outcome("again").expect("outcome").at, pos(3, 0));
}

#[test]
fn apply_all_faults_at_once() {
    let (mut state, _) = seeded();
    let before = state.clone();
    let server = Item::Server {
        addr: "127.0.0.1:1".parse().expect("address"),
        domain: "a".into(),
        models: vec!["none".into()],
        role: "".into(),
        fenced: true,
        leaving: false,
    };
    let broken = change("broken")
        .edit(ObjectId::new(Sort::Server, "s"), 0, Some(server))
        .edit(ObjectId::exception("oja", Setting::Rate), 0, rate(600))
        .edit(ObjectId::exception("nobody", Setting::Rate), 0, rate(9))
        .edit(workspace("other"), 0, Some(Item::Workspace {}));
    let verdict = apply(&mut state, 1, &broken);
    assert_eq!(
        faults(&verdict),
        [
            "servers/s models",
            "exceptions/oja/rate value",
            "exceptions/nobody/rate name"
        ]
    );
    assert_eq!(state.objects, before.objects);
    assert_eq!(state.revision, before.revision);
}

#[test]
fn apply_exception_without_reason() {
    let (mut state, _) = seeded();
    let item = Item::Exception {
        value: 5,
        reason: " ".into(),
        owner: "".into(),
        end: None,
    };
    let change = change("x").edit(ObjectId::exception("oja", Setting::Rate), 0, Some(item));
    assert_eq!(
        faults(&apply(&mut state, 1, &change)),
        ["exceptions/oja/rate reason", "exceptions/oja/rate owner"]
    );
}

#[test]
fn apply_rate_without_keys() {
    let (mut state, base) = seeded();
    let gone = change("gone").edit(key_id(), base, key(true));
    assert_eq!(apply(&mut state, 1, &gone), Verdict::Accepted);
    let change = change("x").edit(ObjectId::exception("oja", Setting::Rate), 0, rate(9));
    assert_eq!(
        faults(&apply(&mut state, 2, &change)),
        ["exceptions/oja/rate name"]
    );
}

#[test]
fn apply_withdraw_and_issue() {
    let (mut state, base) = seeded();
    let gone = change("gone").edit(key_id(), base, key(true));
    let issue = change("issue").edit(key_id(), base, key(false));
    assert_eq!(apply(&mut state, 1, &gone), Verdict::Accepted);
    assert!(matches!(apply(&mut state, 2, &issue), Verdict::Lost(_)));
    let later = change("later").edit(key_id(), pos(1, 0), key(false));
    assert_eq!(
        faults(&apply(&mut state, 3, &later)),
        [format!("keys/{HASH} withdrawn")]
    );
    assert!(state.key(HASH).is_none());
}

#[test]
fn apply_defaults_and_exceptions() {
    let (mut state, _) = seeded();
    assert_eq!(state.workspace("oja").expect("workspace").rate, 600);
    let exception = change("e").edit(ObjectId::exception("oja", Setting::Rate), 0, rate(9));
    apply(&mut state, 1, &exception);
    assert_eq!(state.workspace("oja").expect("workspace").rate, 9);
    let id = ObjectId::new(Sort::Default, "burst");
    apply(
        &mut state,
        2,
        &change("d").edit(id, 0, Some(Item::Default { value: 7 })),
    );
    let found = state.workspace("oja").expect("workspace");
    assert_eq!((found.rate, found.burst), (9, 7));
    let id = ObjectId::exception("oja", Setting::Rate);
    apply(&mut state, 3, &change("w").edit(id, pos(1, 0), None));
    assert_eq!(state.workspace("oja").expect("workspace").rate, 600);
}

#[test]
fn expirations_with_clock_an_hour_off() {
    let (mut state, _) = seeded();
    let now = 2_000_000_000;
    let item = Item::Exception {
        value: 9,
        reason: "fair".into(),
        owner: "ada".into(),
        end: Some(now + 60),
    };
    let id = ObjectId::exception("oja", Setting::Rate);
    apply(&mut state, 1, &change("e").edit(id.clone(), 0, Some(item)));
    let hour = 3600;
    for clocks in [
        vec![now + hour, now, now],
        vec![now - hour, now + hour],
        vec![now, now - hour, now + 1],
    ] {
        let median = median_clock(clocks).expect("a clock");
        assert!(expirations(&state, median).is_empty());
    }
    let median = median_clock(vec![now - hour, now + 61, now + 60]).expect("a clock");
    let changes = expirations(&state, median);
    assert_eq!(changes.len(), 1);
    // Two hosts find the end at the same time; the second record repeats the first.
    apply(&mut state, 2, &changes[0]);
    let after = state.clone();
    apply(&mut state, 3, &changes[0]);
    assert_eq!(state, after);
    assert!(state.object(&id).is_none());
}

#[test]
fn record_survives_encoding() {
    let change = change("seed")
        .edit(workspace("oja"), 0, Some(Item::Workspace {}))
        .edit(ObjectId::exception("oja", Setting::Rate), 0, rate(9))
        .edit(key_id(), 0, key(false))
        .edit(ObjectId::new(Sort::Model, "m"), 3, None);
    let record = Record::Change(change);
    let bytes = rmp_serde::to_vec(&record).expect("encode");
    let back: Record = rmp_serde::from_slice(&bytes).expect("decode");
    assert_eq!(back, record);
}
