//! Batch decisions: claims, the next item, and the end of a try. Time is an argument.

use gooseberrytack::{
    batch::{Planner, Scheduler, TRIES_MAX, Turn, Verdict, View, judge},
    clock::Time,
    error::{Fail, Kind},
    fold::{Fold, pos},
    job::{Commit, ItemSpec, Outcome, Part, PartRef, Record, State},
    lease::{Lease, Watch, append_interval, lease_span},
    wire::{Answer, Name},
};
use std::{sync::Arc, time::Duration};

const SPAN: Duration = Duration::from_secs(8);

fn at(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn fold(state: &mut State, rec: Record) {
    state.apply(pos(state.at >> 16, 0), &rec);
}

fn add_job(state: &mut State, name: &str, workspace: &str, items: u32) {
    let ask = |i: u32| ItemSpec {
        id: format!("i{i}").into(),
        model: "m".into(),
        adapter: None,
        prompt: "p".into(),
        tokens: 10,
        repeatable: i.is_multiple_of(2),
        request: None,
    };
    let asks = (0..items).map(|i| Arc::new(ask(i))).collect();
    let upload: Arc<str> = format!("u-{name}").into();
    fold(
        state,
        Record::Piece {
            upload: upload.clone(),
            index: 0,
            asks,
        },
    );
    let commit = Commit {
        job: name.into(),
        workspace: workspace.into(),
        upload,
        digest: "d".into(),
        pieces: 1,
        items,
        part_size: 4,
    };
    fold(state, Record::Commit(commit));
}

fn part(job: &str, part: u32, epoch: u64) -> PartRef {
    PartRef {
        job: job.into(),
        part,
        epoch,
    }
}

fn claim(state: &mut State, host: &str, want: PartRef) -> PartRef {
    let parts = vec![want.clone()];
    let host = host.into();
    fold(state, Record::Claim { host, parts });
    PartRef {
        epoch: state.at,
        ..want
    }
}

fn plan(
    planner: &mut Planner,
    state: &State,
    now: Time,
    fresh: bool,
    mine: bool,
    gone: bool,
) -> Vec<PartRef> {
    let usual = |_: &Name, _: &Part| Turn::Usual;
    plan_by(planner, state, now, fresh, mine, gone, usual)
}

fn plan_by(
    planner: &mut Planner,
    state: &State,
    now: Time,
    fresh: bool,
    mine: bool,
    gone: bool,
    turn: impl Fn(&Name, &Part) -> Turn,
) -> Vec<PartRef> {
    let view = View {
        state,
        me: "me",
        now,
        is_fresh: fresh,
        span: SPAN,
        is_gone: |_: &str| gone,
        is_mine: |_: &PartRef| mine,
        turn,
        queued: |_: &str| 0,
    };
    planner.plan(&view, 1000)
}

#[test]
fn lease_counts_from_before_the_append() {
    let mut lease = Lease::default();
    assert!(!lease.is_held(at(0), SPAN), "nothing was committed yet");
    lease.renew(at(10));
    lease.renew(at(9));
    assert!(lease.is_held(at(15), SPAN));
    assert!(
        !lease.is_held(at(16), SPAN),
        "a quarter of the span is left for clock drift"
    );
    assert!(lease.is_due(at(13), SPAN));
}

#[test]
fn watch_silence_of_log_proves_nothing() {
    let mut watch = Watch::default();
    let host = "h".into();
    watch.observe(&host, 5, at(0));
    assert!(!watch.is_lapsed(&host, at(7), SPAN));
    watch.observe(&host, 5, at(7));
    assert!(watch.is_lapsed(&host, at(8), SPAN));
    watch.note_lag(at(8));
    assert!(!watch.is_lapsed(&host, at(15), SPAN));
    assert!(watch.is_lapsed(&host, at(16), SPAN));
    watch.observe(&host, 6, at(16));
    assert!(!watch.is_lapsed(&host, at(20), SPAN));
}

#[test]
fn interval_keeps_budget_and_lease_follows() {
    let least = Duration::from_millis(20);
    assert_eq!(append_interval(1, 200, least), least);
    assert_eq!(append_interval(1600, 200, least), Duration::from_secs(8));
    let span = lease_span(Duration::from_secs(8), SPAN);
    assert_eq!(span, Duration::from_secs(32));
}

#[test]
fn plan_free_part_preferred_first() {
    let mut state = State::default();
    add_job(&mut state, "job", "w", 8);
    let mut planner = Planner::default();
    assert_eq!(
        plan(&mut planner, &state, at(1), true, true, false).len(),
        2
    );
    let mut other = Planner::default();
    assert!(plan(&mut other, &state, at(1), true, false, false).is_empty());
    assert!(plan(&mut other, &state, at(2), false, false, false).is_empty());
    assert_eq!(plan(&mut other, &state, at(2), true, false, false).len(), 2);
}

#[test]
fn plan_takes_lapsed_part_once_fresh() {
    let mut state = State::default();
    add_job(&mut state, "job", "w", 4);
    let held = claim(&mut state, "other", part("job", 0, 0));
    let mut planner = Planner::default();
    assert!(plan(&mut planner, &state, at(1), true, true, false).is_empty());
    assert!(plan(&mut planner, &state, at(8), false, true, false).is_empty());
    assert!(
        plan(&mut planner, &state, at(12), true, true, false).is_empty(),
        "the reading was stale at 8 s"
    );
    let claims = plan(&mut planner, &state, at(16), true, true, false);
    assert_eq!(claims, std::slice::from_ref(&held));
    let mut fast = Planner::default();
    let claims = plan(&mut fast, &state, at(1), true, true, true);
    assert_eq!(claims, [held], "a host that is gone needs no wait");
}

#[test]
fn next_only_under_lease() {
    let mut state = State::default();
    add_job(&mut state, "job", "w", 4);
    claim(&mut state, "me", part("job", 0, 0));
    let mut scheduler = Scheduler::default();
    scheduler.sync(&state, "me");
    assert_eq!(scheduler.queued(), 4);
    assert!(scheduler.next(at(1), SPAN, |_| 1).is_none());
    scheduler.lease.renew(at(1));
    let task = scheduler.next(at(1), SPAN, |_| 1).expect("an item");
    assert!(
        scheduler.next(at(7), SPAN, |_| 1).is_none(),
        "the lease ran out"
    );
    claim(&mut state, "other", task.at.clone());
    scheduler.sync(&state, "me");
    assert!(task.stop.load(std::sync::atomic::Ordering::Relaxed));
    assert_eq!((scheduler.held(), scheduler.queued()), (0, 0));
}

#[test]
fn next_shares_by_weight() {
    let mut state = State::default();
    add_job(&mut state, "a", "heavy", 400);
    add_job(&mut state, "b", "light", 400);
    for name in ["a", "b"] {
        for i in 0..100 {
            claim(&mut state, "me", part(name, i, 0));
        }
    }
    let mut scheduler = Scheduler::default();
    scheduler.sync(&state, "me");
    scheduler.lease.renew(at(1));
    let weight = |w: &str| if w == "heavy" { 3 } else { 1 };
    let tasks = (0..200).map(|_| {
        let task = scheduler.next(at(1), SPAN, weight).expect("an item");
        scheduler.slot(&task, true);
        task
    });
    let heavy = tasks.filter(|t| &*t.workspace == "heavy").count();
    assert!(
        (145..=155).contains(&heavy),
        "{heavy} of 200 at weight 3 to 1"
    );
}

#[test]
fn plan_limited_parts_by_turn() {
    // Guards against a reader elsewhere that claims parts before the host that follows the stream for their region,
    // and against other jobs that wait with them.
    let mut state = State::default();
    add_job(&mut state, "a", "limited", 4000);
    add_job(&mut state, "b", "free", 8);
    let claimed = |turn: Turn, mine: bool| {
        let mut planner = Planner::default();
        [10_000, 10_699, 10_700, 11_399, 11_400, 30_000].map(|ms| {
            let turn = |workspace: &Name, _: &Part| match &**workspace {
                "free" => Turn::First,
                _ => turn,
            };
            let now = Time::from_millis(ms);
            let claims = plan_by(&mut planner, &state, now, true, mine, false, turn);
            assert!(claims.iter().any(|c| &*c.job == "b"));
            claims.iter().any(|c| &*c.job == "a")
        })
    };
    let from = |first: usize| [0, 1, 2, 3, 4, 5].map(|n| n >= first);
    for (turn, mine, others) in [
        (Turn::Usual, 0, 2),
        (Turn::First, 0, 0),
        (Turn::Last, 2, 4),
        (Turn::Never, 6, 6),
    ] {
        assert_eq!(claimed(turn, true), from(mine), "{turn:?}");
        assert_eq!(claimed(turn, false), from(others), "{turn:?}");
    }
}

#[test]
fn plan_large_job_keeps_no_later_one_waiting() {
    let mut state = State::default();
    add_job(&mut state, "a", "large", 4000);
    add_job(&mut state, "b", "late", 8);
    let view = View {
        state: &state,
        me: "me",
        now: at(1),
        is_fresh: true,
        span: SPAN,
        is_gone: |_: &str| false,
        is_mine: |_: &PartRef| true,
        turn: |_: &Name, _: &Part| Turn::Usual,
        queued: |name: &str| if name == "large" { 60 } else { 0 },
    };
    let claims = Planner::default().plan(&view, 64);
    let of = |job: &str| claims.iter().filter(|c| &*c.job == job).count();
    assert_eq!((of("a"), of("b")), (1, 2), "each workspace up to the stock");
    assert_eq!(
        &*claims[0].job, "b",
        "the workspace with the fewest items comes first"
    );
}

#[test]
fn next_waiting_items_leave_workers_to_a_later_workspace() {
    let mut state = State::default();
    add_job(&mut state, "a", "early", 400);
    add_job(&mut state, "b", "late", 400);
    (0..100).for_each(|i| {
        claim(&mut state, "me", part("a", i, 0));
    });
    let mut scheduler = Scheduler::default();
    scheduler.sync(&state, "me");
    scheduler.lease.renew(at(1));
    let tasks: Vec<_> = (0..200)
        .map_while(|_| scheduler.next(at(1), SPAN, |_| 1))
        .collect();
    assert_eq!(tasks.len(), 24, "the limit of items that wait for a slot");
    scheduler.slot(&tasks[0], true);
    scheduler.slot(&tasks[0], true);
    assert!(scheduler.next(at(1), SPAN, |_| 1).is_some());
    assert!(scheduler.next(at(1), SPAN, |_| 1).is_none());
    claim(&mut state, "me", part("b", 0, 0));
    scheduler.sync(&state, "me");
    let late = scheduler.next(at(1), SPAN, |_| 1).expect("an item");
    assert_eq!(&*late.workspace, "late");
    scheduler.slot(&tasks[0], false);
    assert!(
        scheduler
            .next(at(1), SPAN, |_| 1)
            .is_some_and(|t| &*t.workspace == "late"),
        "an item that gave up its slot counts as waiting"
    );
}

#[test]
fn next_pauses_while_outcomes_wait() {
    let mut state = State::default();
    add_job(&mut state, "job", "w", 6000);
    for i in 0..1500 {
        claim(&mut state, "me", part("job", i, 0));
    }
    let mut scheduler = Scheduler::default();
    scheduler.sync(&state, "me");
    scheduler.lease.renew(at(1));
    let mut handed = 0;
    while let Some(task) = scheduler.next(at(1), SPAN, |_| 1) {
        let outcome = Outcome::Done {
            text: "t".into(),
            tokens: 1,
        };
        scheduler.settle(&task, Verdict::End(outcome), at(1));
        scheduler.sync(&state, "me");
        handed += 1;
    }
    assert_eq!(handed, 4096, "the limit of uncommitted outcomes");
    for (part, ended) in scheduler.unsaved(usize::MAX) {
        let host = "me".into();
        fold(&mut state, Record::Outcomes { host, part, ended });
    }
    scheduler.sync(&state, "me");
    assert!(
        scheduler.next(at(1), SPAN, |_| 1).is_some(),
        "dispatch resumes"
    );
}

#[test]
fn judge_by_kind() {
    let fail = |kind| Err(Fail::new(kind, "x"));
    let uncharged = |v: Verdict| {
        matches!(
            v,
            Verdict::Retry {
                is_charged: false,
                ..
            }
        )
    };
    for kind in [Kind::Overloaded, Kind::Unreachable, Kind::Preempted] {
        assert!(uncharged(judge(fail(kind), 99, true)), "{kind:?}");
    }
    let is_charged = judge(fail(Kind::ServerLost), 0, true);
    assert!(matches!(
        is_charged,
        Verdict::Retry {
            is_charged: true,
            ..
        }
    ));
    let last = judge(fail(Kind::BrokenAnswer), TRIES_MAX - 1, true);
    assert!(matches!(last, Verdict::End(Outcome::Failed { .. })));
    let refused = judge(fail(Kind::ServerRefused), 0, false);
    assert!(matches!(refused, Verdict::End(Outcome::Failed { .. })));
    for kind in [Kind::ServerLost, Kind::BrokenAnswer, Kind::Preempted] {
        let verdict = judge(fail(kind), 0, false);
        assert_eq!(verdict, Verdict::End(Outcome::Unknown), "{kind:?}");
    }
    assert!(uncharged(judge(fail(Kind::Unreachable), 0, false)));
    let answer = Answer {
        text: "t".into(),
        tokens: 1,
        server: "s".into(),
    };
    assert!(matches!(
        judge(Ok(answer), 0, false),
        Verdict::End(Outcome::Done { .. })
    ));
}
