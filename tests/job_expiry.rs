//! Log time: ticks, and expiry of jobs, uploads and deleted ids.

use gooseberrytack::{
    fold::{Fold, Pos, pos},
    job::{Commit, ItemSpec, Record, State, UPLOAD_AGE_MS},
};
use std::sync::Arc;

fn fold(state: &mut State, rec: Record) -> Pos {
    state.apply(pos(state.at >> 16, 0), &rec);
    state.at
}

fn piece(upload: &str) -> Record {
    let spec = ItemSpec {
        id: "i".into(),
        model: "m".into(),
        adapter: None,
        prompt: "p".into(),
        tokens: 1,
        repeatable: true,
        request: None,
    };
    Record::Piece {
        upload: upload.into(),
        index: 0,
        asks: vec![Arc::new(spec)],
    }
}

fn add_job(state: &mut State, name: &str) {
    fold(state, piece(name));
    let commit = Commit {
        job: name.into(),
        workspace: "w".into(),
        upload: name.into(),
        digest: "d".into(),
        pieces: 1,
        items: 1,
        part_size: 1,
    };
    fold(state, Record::Commit(commit));
}

fn tick(state: &mut State, after: Pos, millis: u64) {
    let keep = 1000;
    let rec = Record::Tick {
        after,
        millis,
        keep,
    };
    fold(state, rec);
}

#[test]
fn tick_of_two_writers_counts_once() {
    let mut state = State::default();
    tick(&mut state, 0, 600);
    tick(&mut state, 0, 700);
    assert_eq!(state.clock, 600, "the second follows a tick that is past");
    let after = state.last_tick;
    tick(&mut state, after, 50);
    assert_eq!(state.clock, 650);
}

#[test]
fn ended_job_expires_open_one_stays() {
    let mut state = State::default();
    add_job(&mut state, "ended");
    add_job(&mut state, "open");
    fold(
        &mut state,
        Record::Cancel {
            job: "ended".into(),
        },
    );
    tick(&mut state, 0, 999);
    assert!(state.job("ended").is_some());
    let after = state.last_tick;
    tick(&mut state, after, 1);
    assert!(state.job("ended").is_none());
    assert!(state.job("open").is_some());
    let after = state.last_tick;
    tick(&mut state, after, 1_000_000);
    assert!(state.job("open").is_some(), "an open job never expires");
}

#[test]
fn deleted_id_stays_taken_for_the_retention() {
    let mut state = State::default();
    add_job(&mut state, "gone");
    fold(&mut state, Record::Delete { job: "gone".into() });
    add_job(&mut state, "gone");
    assert!(state.job("gone").is_none(), "a late commit makes no job");
    assert!(state.is_deleted("gone") && state.uploads.is_empty());
    tick(&mut state, 0, 1000);
    assert!(!state.is_deleted("gone"));
}

#[test]
fn upload_without_commit_is_dropped() {
    let mut state = State::default();
    fold(&mut state, piece("u"));
    tick(&mut state, 0, UPLOAD_AGE_MS - 1);
    assert!(state.upload("u").is_some());
    let after = state.last_tick;
    tick(&mut state, after, 1);
    assert!(state.upload("u").is_none());
}
