//! Cost of the configuration on one host at several numbers of workspaces.

use gooseberrytack::{
    config::{Change, Item, ObjectId, Record, Setting, Sort, State},
    fold::{Fold, pos},
};
use std::time::Instant;

/// Changes whose cost is averaged.
const CHANGES: u64 = 2_000;

fn main() {
    println!("workspaces  fill us/change  change us  default ms  state KB  clone ms");
    for count in [100, 1_000, 13_000] {
        measure(count);
    }
}

fn measure(count: u64) {
    let mut state = State::default();
    let began = Instant::now();
    for i in 0..count {
        apply(&mut state, i, &fill(i));
    }
    let fill = began.elapsed().as_micros() as f64 / count as f64;
    let began = Instant::now();
    for i in 0..CHANGES {
        let id = ObjectId::exception(&format!("w{}", i % count), Setting::Rate);
        let item = exception(i as u32 + 2_000);
        let change = Change::new(format!("c{i}"), "ada", "test");
        let base = state.revision_of(&id);
        apply(&mut state, count + i, &change.edit(id, base, Some(item)));
    }
    let change = began.elapsed().as_micros() as f64 / CHANGES as f64;
    let began = Instant::now();
    let id = ObjectId::new(Sort::Default, "burst");
    let item = Some(Item::Default { value: 50 });
    let edit = Change::new("default", "ada", "test").edit(id, 0, item);
    apply(&mut state, count + CHANGES, &edit);
    let default = began.elapsed().as_secs_f64() * 1e3;
    let size = rmp_serde::to_vec(&state).map_or(0, |b| b.len());
    let began = Instant::now();
    let copy = state.clone();
    let clone = began.elapsed().as_secs_f64() * 1e3;
    drop(copy);
    println!(
        "{count:>10}  {fill:>14.1}  {change:>9.1}  {default:>10.2}  {:>8}  {clone:>8.2}",
        size / 1024
    );
}

/// A workspace with a key and a rate of its own.
fn fill(i: u64) -> Change {
    let name = format!("w{i}");
    let key = Item::Key {
        workspace: name.as_str().into(),
        label: "l".into(),
        withdrawn: false,
    };
    Change::new(format!("f{i}"), "ada", "test")
        .edit(
            ObjectId::new(Sort::Workspace, &*name),
            0,
            Some(Item::Workspace {}),
        )
        .edit(ObjectId::new(Sort::Key, format!("{i:064x}")), 0, Some(key))
        .edit(
            ObjectId::exception(&name, Setting::Rate),
            0,
            Some(exception(1_000)),
        )
}

fn exception(value: u32) -> Item {
    Item::Exception {
        value,
        reason: "large".into(),
        owner: "ada".into(),
        end: None,
    }
}

fn apply(state: &mut State, offset: u64, change: &Change) {
    state.apply(pos(offset, 0), &Record::Change(change.clone()));
}
