//! Jobs whose commit may still reach the log after their submission has failed.

use crate::{
    clock::Time,
    error::{Fail, Kind, Ran, Res},
    wire::Name,
};
use std::{sync::Mutex, time::Duration};

/// Time for which a commit counts as able to reach the log; a log carries a lost append out within
/// seconds.
const DOUBT_TIME: Duration = Duration::from_secs(300);
/// Most jobs that are remembered.
const JOBS_MAX: usize = 10_000;

/// The jobs, sorted by id, and when each was last submitted.
#[derive(Debug, Default)]
pub(super) struct Doubts(Mutex<Vec<(Name, Time)>>);

impl Doubts {
    /// The result of submitting the job `id`. A refusal says that the job never runs, which is not known
    /// while the commit of an earlier submission may reach the log.
    pub(super) fn judge<T>(&self, id: &Name, now: Time, result: Res<T>) -> Res<T> {
        let mut list = self.0.lock().expect("doubtful jobs");
        let found = list.binary_search_by(|(name, _)| name.cmp(id));
        match (result, found) {
            (Err(fail), Err(_)) if fail.kind == Kind::Unsettled => {
                list.retain(|(_, at)| now.saturating_sub(*at) < DOUBT_TIME);
                if list.len() < JOBS_MAX {
                    let slot = list.partition_point(|(name, _)| name < id);
                    list.insert(slot, (id.clone(), now));
                }
                Err(fail)
            }
            (Err(fail), Ok(at)) if fail.kind == Kind::Unsettled => {
                list[at].1 = now;
                Err(fail)
            }
            (Err(fail), Ok(at)) if is_promise(&fail) => {
                if now.saturating_sub(list[at].1) >= DOUBT_TIME {
                    return Err(fail);
                }
                tracing::info!(job = &**id, cause = &*fail.text, "earlier_commit_may_land");
                Err(unsettled(id))
            }
            (Ok(done), Ok(at)) => {
                list.remove(at);
                Ok(done)
            }
            (result, _) => result,
        }
    }
}

/// Whether `fail` says that nothing of the job runs. A conflict says what became of its id.
fn is_promise(fail: &Fail) -> bool {
    fail.kind != Kind::Conflict && fail.kind.row().ran == Ran::No
}

/// The error for a job of which it is not known whether it is accepted.
pub(super) fn unsettled(id: &str) -> Fail {
    let text = format!(
        "whether the job was accepted is not known yet; ask for job \"{id}\", or send it again with \
         the same id"
    );
    Fail::new(Kind::Unsettled, text)
}
