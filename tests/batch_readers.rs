//! Decisions about streams of jobs: the stream of a job, its readers, and errors of lost readers.

use gooseberrytack::{
    batch::{JobOp, JobRef, NewJob, PlacementWatch, ReaderState, Step, stream_name, stream_of},
    error::{Fail, Kind},
};
use std::{collections::BTreeSet, time::Duration};

const STREAMS: usize = 4;

#[test]
fn streams_spread_jobs_and_keep_names_apart() {
    let hit: BTreeSet<usize> = (0..200)
        .map(|i| stream_of(&format!("batch_{i:024x}"), STREAMS))
        .collect();
    assert_eq!(hit.len(), STREAMS);
    assert_eq!(&*stream_name(0, 1), "jobs");
    assert_ne!(stream_name(1, 4), stream_name(1, 5));
}

#[test]
fn step_opens_retires_closes() {
    let at = Duration::from_millis;
    let stay = at(1000);
    let mut wish = PlacementWatch::default();
    let mut step = |wanted, stand, ms| wish.step(wanted, stand, at(ms), stay);
    assert_eq!(
        step(true, ReaderState::Apart, 0),
        Step::Stay,
        "not at first sight"
    );
    assert_eq!(step(false, ReaderState::Apart, 200), Step::Stay);
    assert_eq!(
        step(true, ReaderState::Apart, 400),
        Step::Stay,
        "the time starts again"
    );
    assert_eq!(step(true, ReaderState::Apart, 800), Step::Open);
    assert_eq!(
        step(false, ReaderState::Following, 900),
        Step::Stay,
        "off the list for a moment"
    );
    assert_eq!(step(true, ReaderState::Following, 1000), Step::Stay);
    assert_eq!(step(false, ReaderState::Following, 1100), Step::Stay);
    assert_eq!(step(false, ReaderState::Following, 2099), Step::Stay);
    assert_eq!(step(false, ReaderState::Following, 2100), Step::Retire);
    assert_eq!(step(false, ReaderState::Leaving, 2200), Step::Close);
    assert_eq!(step(true, ReaderState::Leaving, 2300), Step::Resume);
}

#[test]
fn judge_doubt_is_never_not_run() {
    let which = JobRef {
        id: "batch_1".into(),
        workspace: Some("w0".into()),
    };
    let create = JobOp::Create(NewJob {
        quota: None,
        id: "batch_1".into(),
        workspace: "w0".into(),
        specs: Vec::new(),
        size: 0,
    });
    let orders = [
        create,
        JobOp::Cancel(which.clone()),
        JobOp::Delete(which.clone()),
    ];
    for order in &orders {
        for kind in [
            Kind::LogDown,
            Kind::NotReady,
            Kind::Stopping,
            Kind::Overloaded,
        ] {
            let fail = |doubt| order.judge(Fail::new(kind, "x"), doubt).kind;
            assert_eq!(fail(true), Kind::Unsettled, "{order:?} {kind:?}");
            assert_eq!(fail(false), kind);
        }
    }
    let kind = |order: &JobOp, kind| order.judge(Fail::new(kind, "x"), true).kind;
    assert_eq!(kind(&orders[0], Kind::Conflict), Kind::Conflict);
    assert_eq!(kind(&orders[1], Kind::NotFound), Kind::NotFound);
    assert_eq!(kind(&orders[2], Kind::NotFound), Kind::Unsettled);
}
