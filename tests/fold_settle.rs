//! Result of `settle` when the log answers late or refuses: `LogDown` only if the record was
//! certainly not appended.

use gooseberrytack::{
    clock::SystemClock,
    error::{Kind, Res},
    fold::{AppendOutcome, Fold, Follower, Pos, decode_frame},
    store::{AppendError, Entry, Log, Page},
};
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::Duration,
};

/// Time limit of one `settle` call.
const LIMIT: Duration = Duration::from_millis(40);

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Nothing;

impl Fold for Nothing {
    type Record = u64;
    const STREAM: &'static str = "nothing";

    fn group(rec: &u64) -> Option<&str> {
        (rec % 2 == 1).then_some("odd")
    }

    fn apply(&mut self, _: Pos, _: &u64) {}
}

#[derive(Debug, Default)]
struct Held {
    begun: usize,
    frames: Vec<Vec<u64>>,
    is_open: bool,
}

/// A log that answers appends only once it is opened, and then refuses them.
#[derive(Debug, Clone, Default)]
struct HeldLog(Arc<(Mutex<Held>, Condvar)>);

impl HeldLog {
    fn wait_begun(&self) -> usize {
        let held = self.0.0.lock().expect("log");
        let held = self.0.1.wait_while(held, |h| h.begun == 0).expect("log");
        held.begun
    }

    fn open(&self) {
        self.0.0.lock().expect("log").is_open = true;
        self.0.1.notify_all();
    }

    fn begun(&self) -> usize {
        self.0.0.lock().expect("log").begun
    }
}

impl Log for HeldLog {
    fn append(&self, _: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let mut held = self.0.0.lock().expect("log");
        held.begun += 1;
        let frame = decode_frame(bytes).into_iter().map(|(_, n)| n);
        held.frames.push(frame.collect());
        self.0.1.notify_all();
        drop(self.0.1.wait_while(held, |h| !h.is_open).expect("log"));
        Err(AppendError::NotTaken("down".into()))
    }

    fn read(&self, _: &str, _: u64, wait: Duration) -> Res<Page> {
        thread::sleep(wait);
        Ok(Page::default())
    }
}

/// A log whose waiting reads return nothing; a read that does not wait returns all records.
#[derive(Debug, Clone, Default)]
struct SilentWaitLog(Arc<Mutex<Vec<Entry>>>);

impl Log for SilentWaitLog {
    fn append(&self, _: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        let mut entries = self.0.lock().expect("log");
        let offset = entries.len() as u64;
        let bytes = bytes.to_vec();
        entries.push(Entry { offset, bytes });
        Ok(offset)
    }

    fn read(&self, _: &str, from: u64, wait: Duration) -> Res<Page> {
        if !wait.is_zero() {
            thread::sleep(wait);
            return Ok(Page::default());
        }
        let entries = self.0.lock().expect("log").clone();
        Ok(Page {
            first: 0,
            head: entries.len() as u64,
            entries: entries.into_iter().skip(from as usize).collect(),
        })
    }
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Sum(u64);

impl Fold for Sum {
    type Record = u64;
    const STREAM: &'static str = "sum";

    fn apply(&mut self, _: Pos, rec: &u64) {
        self.0 += rec;
    }
}

#[test]
fn append_apart_group_shares_no_log_record() {
    // Guards against records that are refused with those of a group that may not be relayed.
    for (is_apart, frames) in [
        (
            true,
            vec![vec![0], vec![1], vec![2, 4], vec![3, 5], vec![6]],
        ),
        (false, vec![vec![0], vec![1, 2, 4, 3, 5, 6]]),
    ] {
        let log = HeldLog::default();
        let follower = start(&log);
        if is_apart {
            follower.append_apart(&"odd".into());
        }
        let first = follower.submit(&0);
        log.wait_begun();
        let tickets = [1, 2, 4, 3, 5, 6].map(|n| follower.submit(&n));
        log.open();
        for ticket in [first].iter().chain(&tickets) {
            let outcome = ticket.wait(Duration::from_secs(60));
            assert_eq!(outcome, AppendOutcome::NotTaken);
        }
        follower.stop();
        assert_eq!(log.0.0.lock().expect("log").frames, frames);
    }
}

#[test]
fn settle_record_that_no_waiting_read_hears_of() {
    let log = SilentWaitLog::default();
    let follower = Follower::<Sum, _, _>::new(log, SystemClock::new(), Duration::ZERO);
    let follower = Arc::new(follower);
    follower.start();
    let seen = |sum: &Sum| (sum.0 == 7).then_some(());
    assert_eq!(follower.settle(&7, Duration::from_secs(5), seen), Ok(()));
    follower.stop();
}

fn start(log: &HeldLog) -> Arc<Follower<Nothing, HeldLog, SystemClock>> {
    let follower = Follower::new(log.clone(), SystemClock::new(), Duration::ZERO);
    let follower = Arc::new(follower);
    follower.start();
    follower
}

fn settle(follower: &Follower<Nothing, HeldLog, SystemClock>, limit: Duration) -> Kind {
    let result = follower.settle(&7, limit, |_| None::<()>);
    result.expect_err("nothing was appended").kind
}

#[test]
fn settle_queued_record_is_not_kept() {
    let log = HeldLog::default();
    let follower = start(&log);
    let first = follower.submit(&1);
    log.wait_begun();
    // The append thread waits for the answer to the first record.
    assert_eq!(settle(&follower, LIMIT), Kind::LogDown);
    log.open();
    first.wait(Duration::from_secs(60));
    follower.stop();
    assert_eq!(log.begun(), 1, "the record was taken out of the queue");
}

#[test]
fn settle_record_under_way_is_unsettled() {
    let log = HeldLog::default();
    let follower = start(&log);
    assert_eq!(settle(&follower, Duration::from_secs(1)), Kind::Unsettled);
    log.open();
    follower.stop();
}

#[test]
fn settle_refused_record_is_not_kept() {
    let log = HeldLog::default();
    log.open();
    let follower = start(&log);
    assert_eq!(settle(&follower, Duration::from_secs(2)), Kind::LogDown);
    follower.stop();
}
