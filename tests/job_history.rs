//! Generated histories of the jobs stream: crashes, pauses, duplicates, reordered appends, lost
//! answers, racing claims and cancellation. The invariants are checked after every record.

mod history;

use gooseberrytack::{
    fold::{Fold, pos},
    job::{Commit, Record, State},
};
use history::{HOSTS, ITEMS, JOB, PART_SIZE, Step, World, is_repeatable, spec};
use proptest::{prelude::*, test_runner::RngSeed};

fn steps() -> impl Strategy<Value = Vec<(Step, usize)>> {
    let slot = 0..HOSTS;
    let item = 0..ITEMS;
    let step = prop_oneof![
        4 => (slot.clone(), 1..6usize).prop_map(|(s, n)| Step::Read(s, n)),
        4 => slot.clone().prop_map(|s| Step::Read(s, 1000)),
        4 => (slot.clone(), item.clone()).prop_map(|(s, i)| Step::Claim(s, i)),
        4 => (slot.clone(), item.clone()).prop_map(|(s, i)| Step::Announce(s, i)),
        6 => (slot.clone(), item.clone()).prop_map(|(s, i)| Step::Dispatch(s, i)),
        6 => (slot.clone(), item.clone()).prop_map(|(s, i)| Step::Report(s, i)),
        1 => (slot.clone(), item).prop_map(|(s, i)| Step::Release(s, i)),
        1 => slot.clone().prop_map(Step::Crash),
        1 => (slot.clone(), slot.clone()).prop_map(|(s, f)| Step::Restore(s, f)),
        2 => any::<usize>().prop_map(Step::Repeat),
        4 => any::<usize>().prop_map(Step::Arrive),
        1 => slot.prop_map(Step::Beat),
        1 => (0..10_000u64).prop_map(Step::Tick),
    ];
    prop::collection::vec((step, any::<usize>()), 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn history_ends_each_item_once(steps in steps(), cancel in prop::option::of(0..120usize)) {
        let mut world = World::new();
        for (i, (step, way)) in steps.into_iter().enumerate() {
            if cancel == Some(i) {
                world.step(Step::Cancel, 3);
            }
            world.step(step, way);
        }
        world.finish();
        for (index, runs) in world.runs.iter().enumerate() {
            prop_assert!(
                is_repeatable(index as u32) || *runs <= 1,
                "item {index} that may not be repeated ran {runs} times"
            );
        }
        for slot in 0..HOSTS {
            world.read(slot, 100_000);
            prop_assert_eq!(&world.hosts[slot].state, &world.head, "readers disagree");
        }
    }

    #[test]
    fn uploads_make_one_job(
        order in prop::collection::vec((0..2usize, 0..4usize), 1..40),
    ) {
        // Two uploads for one job id with different items race; records arrive in any order and
        // repeatedly.
        let uploads = ["u0", "u1"];
        let mut state = State::default();
        let mut first = None;
        for (at, (who, what)) in order.into_iter().enumerate() {
            let items = 2 + who as u32;
            let rec = if what < 2 {
                Record::Piece {
                    upload: uploads[who].into(),
                    index: what as u32,
                    asks: (0..if what == 0 { 1 } else { items - 1 }).map(spec).collect(),
                }
            } else {
                Record::Commit(Commit {
                    job: JOB.into(),
                    workspace: "w".into(),
                    upload: uploads[who].into(),
                    digest: uploads[who].into(),
                    pieces: 2,
                    items,
                    part_size: PART_SIZE,
                })
            };
            let whole = state.upload(uploads[who]).is_some_and(|u| u.pieces.len() == 2);
            state.apply(pos(at as u64, 0), &rec);
            if first.is_none() && what >= 2 && whole {
                first = Some(who);
            }
            match first {
                Some(who) => {
                    let job = state.job(JOB).expect("the job");
                    prop_assert_eq!(&*job.digest, uploads[who]);
                    prop_assert_eq!(job.counts.total(), 2 + who as u32);
                }
                None => prop_assert!(state.job(JOB).is_none(), "a job without all its pieces"),
            }
        }
    }
}
