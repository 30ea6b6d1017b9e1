//! Invariants of the jobs state that are checked after every record.

use super::{ITEMS, JOB};
use gooseberrytack::job::{ItemState, Outcome, PartRef, State};

/// A claim is accepted only for the epoch that it names, and only of a part that has not ended.
pub fn check_claim(before: &State, after: &State, want: &PartRef) {
    let (old, new) = (before.part(want), after.part(want));
    let (old, new) = (old.expect("the part"), new.expect("the part"));
    let accepted = new.epoch == after.at;
    assert_eq!(accepted, old.open > 0 && old.epoch == want.epoch, "a claim");
}

/// Checks the invariants between two successive states.
pub fn check(before: &State, after: &State) {
    assert!(after.at > before.at, "the position moves back");
    let held: u32 = after.holders.iter().map(|h| h.parts).sum();
    let mut holding = 0;
    let Some(job) = after.job(JOB) else {
        assert!(before.job(JOB).is_none(), "the job is lost");
        return;
    };
    assert_eq!(job.counts.total(), ITEMS, "items are lost or doubled");
    let open = job
        .items(0)
        .filter(|i| matches!(i.state, ItemState::Open { .. }));
    assert_eq!(job.counts.open as usize, open.count());
    for (i, part) in job.parts.iter().enumerate() {
        holding += u32::from(part.holder.is_some());
        let Some(old) = before.job(JOB).map(|j| &j.parts[i]) else {
            continue;
        };
        assert!(part.epoch >= old.epoch, "an epoch moves back");
        for (item, former) in part.items.iter().zip(&old.items) {
            match (&former.state, &item.state) {
                (ItemState::Ended(a), b) => {
                    assert_eq!(&ItemState::Ended(a.clone()), b, "an outcome changed");
                }
                (ItemState::Open { .. }, ItemState::Ended(Outcome::Done { text, .. })) => {
                    let holder = old.holder.as_deref().unwrap_or_default();
                    assert_eq!(**text, format!("{holder} {}", old.epoch), "of an old epoch");
                }
                _ => {}
            }
        }
    }
    assert_eq!(held, holding, "counts of held parts");
}
