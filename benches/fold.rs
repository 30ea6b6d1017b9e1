//! Cost of folding the records of batch jobs into their state.

use divan::{Bencher, black_box};
use gooseberrytack::{
    fold::{Fold, pos},
    job::{Commit, ItemEnd, ItemSpec, Outcome, PartRef, Record, State},
};
use std::sync::Arc;

/// Items of the jobs measured.
const SIZES: [u32; 3] = [1_000, 10_000, 190_000];
/// Items in one piece of an upload.
const PIECE_ITEMS: u32 = 500;
/// Items in one part of a job.
const PART_ITEMS: u32 = 500;

fn main() {
    divan::main();
}

fn item(index: u32) -> Arc<ItemSpec> {
    Arc::new(ItemSpec {
        id: format!("item-{index}").into(),
        model: "small".into(),
        adapter: None,
        prompt: "p".repeat(200).into(),
        tokens: 64,
        repeatable: true,
        request: None,
    })
}

fn upload(items: u32) -> Vec<Record> {
    let all: Vec<_> = (0..items).map(item).collect();
    let pieces = all.chunks(PIECE_ITEMS as usize).zip(0..);
    pieces
        .map(|(asks, index)| Record::Piece {
            upload: "u".into(),
            index,
            asks: asks.to_vec(),
        })
        .collect()
}

fn commit(items: u32) -> Record {
    Record::Commit(Commit {
        job: "job".into(),
        workspace: "w".into(),
        upload: "u".into(),
        digest: "d".into(),
        pieces: items.div_ceil(PIECE_ITEMS),
        items,
        part_size: PART_ITEMS,
    })
}

fn fold(state: &mut State, records: &[Record]) {
    for record in records {
        let at = pos(state.at >> 16, 0);
        state.apply(at, record);
    }
}

fn accepted(items: u32) -> State {
    let mut state = State::default();
    fold(&mut state, &upload(items));
    fold(&mut state, &[commit(items)]);
    state
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn accept(bencher: Bencher, items: u32) {
    let mut records = upload(items);
    records.push(commit(items));
    bencher.bench_local(|| {
        let mut state = State::default();
        fold(&mut state, black_box(&records));
        state
    });
}

/// Claims one part and ends its items in ten records, in a job of `items` items.
#[divan::bench(args = SIZES, sample_count = 20)]
fn run_part(bencher: Bencher, items: u32) {
    let state = accepted(items);
    bencher
        .with_inputs(|| state.clone())
        .bench_local_values(|mut state| {
            let part = PartRef {
                job: "job".into(),
                part: 1,
                epoch: 0,
            };
            let claim = Record::Claim {
                host: "h".into(),
                parts: vec![part.clone()],
            };
            fold(&mut state, &[claim]);
            let part = PartRef {
                epoch: state.at,
                ..part
            };
            for group in (0..PART_ITEMS).collect::<Vec<_>>().chunks(50) {
                let ended = group.iter().map(|index| ItemEnd {
                    index: *index,
                    outcome: Outcome::Done {
                        text: "t".into(),
                        tokens: 64,
                    },
                });
                let record = Record::Outcomes {
                    host: "h".into(),
                    part: part.clone(),
                    ended: ended.collect(),
                };
                fold(&mut state, &[record]);
            }
            state
        });
}

#[divan::bench(args = SIZES, sample_count = 10)]
fn encode_state(bencher: Bencher, items: u32) {
    let state = accepted(items);
    bencher.bench_local(|| rmp_serde::to_vec(black_box(&state)).map(|b| b.len()));
}
