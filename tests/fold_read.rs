//! Reads of the log by callers that do not wait for news.

use gooseberrytack::{
    clock::SystemClock,
    error::Res,
    fold::{Fold, Follower, Pos},
    store::{AppendError, Log, Page},
};
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// Callers beside the first one.
const CALLERS: usize = 8;

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Nothing;

impl Fold for Nothing {
    type Record = u64;
    const STREAM: &'static str = "nothing";

    fn apply(&mut self, _: Pos, _: &u64) {}
}

#[derive(Debug, Default)]
struct Reads {
    under_way: usize,
    at_once: usize,
    all: usize,
    open: bool,
}

/// A log that answers no read until it is opened.
#[derive(Debug, Clone, Default)]
struct HeldLog(Arc<(Mutex<Reads>, Condvar)>);

impl Log for HeldLog {
    fn append(&self, _: &str, _: &[u8]) -> Result<u64, AppendError> {
        Err(AppendError::NotTaken("no appends".into()))
    }

    fn read(&self, _: &str, _: u64, _: Duration) -> Res<Page> {
        let mut reads = self.0.0.lock().expect("reads");
        reads.all += 1;
        reads.under_way += 1;
        reads.at_once = reads.at_once.max(reads.under_way);
        self.0.1.notify_all();
        let mut reads = self.0.1.wait_while(reads, |r| !r.open).expect("reads");
        reads.under_way -= 1;
        Ok(Page::default())
    }
}

#[test]
fn read_now_of_many_callers_reads_once_at_a_time() {
    let log = HeldLog::default();
    let (reads, changed) = &*log.0;
    let follower = Follower::<Nothing, _, _>::new(log.clone(), SystemClock::new(), Duration::ZERO);
    thread::scope(|scope| {
        scope.spawn(|| follower.read_now());
        let first = reads.lock().expect("reads");
        drop(changed.wait_while(first, |r| r.all == 0).expect("reads"));
        (0..CALLERS).for_each(|_| drop(scope.spawn(|| follower.read_now())));
        thread::sleep(Duration::from_millis(300));
        reads.lock().expect("reads").open = true;
        changed.notify_all();
    });
    let reads = reads.lock().expect("reads");
    assert_eq!(reads.at_once, 1);
    assert!(reads.all < CALLERS, "{} reads", reads.all);
}
