//! Fair shares by weight, counted in tokens.

use gooseberrytack::share::{DRIFT_MAX, FairQueue, FleetTags, HostTags, Report, UNIT};

#[test]
fn arrive_by_cost_and_weight_moves_tag() {
    let mut fair = FairQueue::default();
    assert_eq!(fair.arrive(&"a".into(), 2, 10), 0);
    assert_eq!(fair.arrive(&"a".into(), 2, 10), 5 * UNIT);
    assert_eq!(fair.arrive(&"b".into(), 1, 10), 0);
}

#[test]
fn settle_fewer_used_gives_back() {
    let mut fair = FairQueue::default();
    fair.arrive(&"a".into(), 1, 100);
    fair.settle(&"a".into(), 1, 100, 10);
    assert_eq!(fair.arrive(&"a".into(), 1, 1), 10 * UNIT);
}

#[test]
fn arrive_after_quiet_has_no_credit() {
    let mut fair = FairQueue::default();
    for _ in 0..5 {
        let start = fair.arrive(&"busy".into(), 1, 10);
        fair.serve(start);
    }
    assert_eq!(fair.arrive(&"quiet".into(), 1, 10), 40 * UNIT);
}

#[test]
fn serve_past_end_forgets_workspace() {
    let mut fair = FairQueue::default();
    fair.arrive(&"a".into(), 1, 1);
    fair.arrive(&"b".into(), 1, 100);
    fair.serve(2 * UNIT);
    assert_eq!(fair.tracked(), 1);
}

fn report(delta: u64, virtual_time: u64) -> Report {
    Report {
        workspace: "w".into(),
        delta: (delta * UNIT) as i64,
        virtual_time: virtual_time * UNIT,
    }
}

#[test]
fn add_counts_what_all_hosts_report() {
    let mut totals = FleetTags::default();
    assert_eq!(totals.add(&report(10, 100)), 110 * UNIT);
    assert_eq!(totals.add(&report(20, 100)), 130 * UNIT);
}

#[test]
fn add_forgets_what_is_too_far_apart() {
    let mut totals = FleetTags::default();
    let ahead = totals.add(&report(5_000, 100));
    assert_eq!(ahead, 100 * UNIT + DRIFT_MAX, "it had servers to itself");
    let behind = totals.add(&report(0, 90_000));
    assert_eq!(behind, 90_000 * UNIT - DRIFT_MAX, "it had no work");
}

#[test]
fn handle_answer_keeps_what_was_used_meanwhile() {
    let (mut local, w) = (HostTags::default(), "w".into());
    local.charge(&w, 2, 100);
    let sent = local.reports().remove(0);
    assert_eq!(sent.delta, 50 * UNIT as i64);
    local.settle(&w, 2, 100, 80);
    local.handle_answer(&sent, Some(70 * UNIT));
    assert_eq!(local.tag(&w), 60 * UNIT);
}

#[test]
fn handle_answer_by_nobody_is_reported_again() {
    let (mut local, w) = (HostTags::default(), "w".into());
    local.charge(&w, 1, 10);
    let sent = local.reports().remove(0);
    local.handle_answer(&sent, None);
    assert_eq!(local.tag(&w), 10 * UNIT);
    assert_eq!(local.reports()[0].delta, 10 * UNIT as i64);
}

#[test]
fn reports_nothing_moved_are_rare() {
    let (mut local, w) = (HostTags::default(), "w".into());
    local.tag(&w);
    let count = |local: &mut HostTags| {
        (0..20)
            .map(|_| {
                local.tag(&w);
                let reports = local.reports();
                reports
                    .iter()
                    .for_each(|r| local.handle_answer(r, Some(70 * UNIT)));
                reports.len()
            })
            .collect::<Vec<_>>()
    };
    let counts = count(&mut local);
    assert_eq!(counts[0], 1, "a workspace that is new here");
    assert_eq!(counts.iter().sum::<usize>(), 7, "{counts:?}");
    assert_eq!(local.tag(&w), 70 * UNIT);
    local.charge(&w, 1, 10);
    assert_eq!(local.reports()[0].delta, 10 * UNIT as i64, "at once");
}
