//! Concurrent direct reads of the log: callers must share a read rather than each send their own.

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

/// Number of callers in addition to the first one.
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
    in_flight: usize,
    max_in_flight: usize,
    total: usize,
    is_open: bool,
}

/// A log that answers reads only once it is opened.
#[derive(Debug, Clone, Default)]
struct HeldLog(Arc<(Mutex<Reads>, Condvar)>);

impl Log for HeldLog {
    fn append(&self, _: &str, _: &[u8]) -> Result<u64, AppendError> {
        Err(AppendError::NotTaken("no appends".into()))
    }

    fn read(&self, _: &str, _: u64, _: Duration) -> Res<Page> {
        let mut reads = self.0.0.lock().expect("reads");
        reads.total += 1;
        reads.in_flight += 1;
        reads.max_in_flight = reads.max_in_flight.max(reads.in_flight);
        self.0.1.notify_all();
        let mut reads = self.0.1.wait_while(reads, |r| !r.is_open).expect("reads");
        reads.in_flight -= 1;
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
        drop(changed.wait_while(first, |r| r.total == 0).expect("reads"));
        (0..CALLERS).for_each(|_| drop(scope.spawn(|| follower.read_now())));
        thread::sleep(Duration::from_millis(300));
        reads.lock().expect("reads").is_open = true;
        changed.notify_all();
    });
    let reads = reads.lock().expect("reads");
    assert_eq!(reads.max_in_flight, 1);
    assert!(reads.total < CALLERS, "{} reads", reads.total);
}
