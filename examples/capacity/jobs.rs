//! Size of the state of batch jobs, and cost of accepting and ending items.

use crate::memory;
use gooseberrytack::{
    fold::{Fold, pos},
    job::{self, Commit, ItemEnd, ItemSpec, Outcome, PartRef},
    wire::Name,
};
use std::{sync::Arc, time::Instant};

/// Items in one part of a job, and in one piece of its upload.
const PART_ITEMS: usize = 500;

pub fn state() {
    println!("\n| items | resident KB | bytes an item | accept us an item | outcome us an item |");
    println!("|---|---|---|---|---|");
    for items in [1_000, 10_000, 190_000] {
        let before = memory();
        let mut state = job::State::default();
        let began = Instant::now();
        let parts = accept(&mut state, items);
        let accepted = began.elapsed().as_nanos() as f64 / 1000.0 / items as f64;
        let after = memory();
        let began = Instant::now();
        for part in 0..parts {
            end_part(&mut state, part, items);
        }
        let ended = began.elapsed().as_nanos() as f64 / 1000.0 / items as f64;
        let total = state.job("job").map(|j| j.counts.total() as usize);
        assert_eq!(total, Some(items), "all items are accepted");
        let grown = after.saturating_sub(before);
        // Kept, so that the next state finds no freed memory to reuse.
        Box::leak(Box::new(state));
        println!(
            "| {items} | {grown} | {} | {accepted:.2} | {ended:.2} |",
            grown * 1024 / items
        );
    }
}

fn accept(state: &mut job::State, items: usize) -> usize {
    let indices: Vec<usize> = (0..items).collect();
    let pieces = indices.chunks(PART_ITEMS);
    let count = pieces.len();
    for (n, chunk) in pieces.enumerate() {
        let asks = chunk.iter().map(|i| Arc::new(item(*i))).collect();
        let upload = "upload".into();
        let index = n as u32;
        let record = job::Record::Piece {
            upload,
            index,
            asks,
        };
        state.apply(pos(n as u64, 0), &record);
    }
    let commit = Commit {
        job: "job".into(),
        workspace: "workspace-00000".into(),
        upload: "upload".into(),
        digest: "digest".into(),
        pieces: count as u32,
        items: items as u32,
        part_size: PART_ITEMS as u32,
    };
    state.apply(pos(count as u64, 0), &job::Record::Commit(commit));
    count
}

fn item(i: usize) -> ItemSpec {
    ItemSpec {
        id: format!("item-{i:06}").into(),
        model: "model".into(),
        adapter: None,
        prompt: format!("{i:>200}").into(),
        tokens: 100,
        repeatable: true,
        request: None,
    }
}

fn end_part(state: &mut job::State, part: usize, items: usize) {
    let at = 1_000_000 + 2 * part as u64;
    let host: Name = "host".into();
    let part = |epoch| PartRef {
        job: "job".into(),
        part: part as u32,
        epoch,
    };
    let parts = vec![part(0)];
    let claim = job::Record::Claim {
        host: host.clone(),
        parts,
    };
    state.apply(pos(at, 0), &claim);
    let first = part(0).part as usize * PART_ITEMS;
    let ended = (0..PART_ITEMS.min(items - first)).map(|i| ItemEnd {
        index: i as u32,
        outcome: Outcome::Done {
            text: format!("{i:>200}").into(),
            tokens: 100,
        },
    });
    let record = job::Record::Outcomes {
        host,
        part: part(pos(at, 0)),
        ended: ended.collect(),
    };
    state.apply(pos(at + 1, 0), &record);
}
