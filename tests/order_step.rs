//! Decisions about orders: steps, rate of loads, rollout chains.

use gooseberrytack::{
    engine::{Action, Loaded, LoadedModel},
    order::{LoadPacer, Placement, Step, Track, predecessor},
    wire::Name,
};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn model(name: &str, version: &str) -> LoadedModel {
    LoadedModel {
        name: name.into(),
        version: version.into(),
        adapters: vec![],
    }
}

fn wanted(models: &[LoadedModel]) -> Placement {
    Placement {
        models: models.to_vec(),
        role: "".into(),
    }
}

fn loaded(models: &[LoadedModel]) -> Loaded {
    Loaded {
        models: models.to_vec(),
        ..Loaded::default()
    }
}

fn idle(_: &Name) -> usize {
    0
}

#[test]
fn step_one_order_outstanding() {
    let mut track = Track::new(LIMIT);
    let (a, b) = (model("a", "1"), model("b", "1"));
    let want = wanted(&[a.clone(), b.clone()]);
    let none = loaded(&[]);
    assert_eq!(track.step(at(0), &want, &none, idle), Step::Load(a.clone()));
    track.set_outstanding(at(0), &Action::Load(a.clone()));
    assert_eq!(track.step(at(1), &want, &none, idle), Step::Wait);
    let half = loaded(std::slice::from_ref(&a));
    assert_eq!(track.step(at(2), &want, &half, idle), Step::Load(b.clone()));
    track.set_outstanding(at(2), &Action::Load(b.clone()));
    let whole = loaded(&[a, b]);
    assert_eq!(track.step(at(3), &want, &whole, idle), Step::Settled);
}

#[test]
fn step_replace_drains_first() {
    let mut track = Track::new(LIMIT);
    let (old, new) = (model("a", "1"), model("a", "2"));
    let want = wanted(std::slice::from_ref(&new));
    let has = loaded(std::slice::from_ref(&old));
    assert_eq!(
        track.step(at(0), &want, &has, idle),
        Step::Replace(new.clone())
    );
    track.drain(&old);
    assert!(track.is_draining("a"));
    assert_eq!(track.step(at(1), &want, &has, |_| 2), Step::Wait);
    assert_eq!(
        track.step(at(2), &want, &has, idle),
        Step::Load(new.clone())
    );
    track.set_outstanding(at(2), &Action::Load(new.clone()));
    let done = loaded(&[new]);
    assert_eq!(track.step(at(3), &want, &done, idle), Step::Settled);
    assert!(!track.is_draining("a"));
}

#[test]
fn step_failed_replacement_goes_back() {
    let mut track = Track::new(LIMIT);
    let (old, new) = (model("a", "1"), model("a", "2"));
    let want = wanted(std::slice::from_ref(&new));
    let has = loaded(std::slice::from_ref(&old));
    track.step(at(0), &want, &has, idle);
    track.drain(&old);
    track.step(at(0), &want, &has, idle);
    track.set_outstanding(at(0), &Action::Load(new.clone()));
    let none = loaded(&[]);
    assert_eq!(track.step(at(9), &want, &none, idle), Step::Wait);
    assert_eq!(
        track.step(at(10), &want, &none, idle),
        Step::Load(new.clone())
    );
    track.set_outstanding(at(1), &Action::Load(new.clone()));
    assert_eq!(
        track.step(at(11), &want, &none, idle),
        Step::Load(old.clone())
    );
    assert_eq!(track.failures().collect::<Vec<_>>(), [&new]);
    track.set_outstanding(at(11), &Action::Load(old.clone()));
    assert_eq!(track.step(at(12), &want, &has, idle), Step::Settled);
    assert!(!track.is_draining("a"));
    // A later version is tried.
    let next = model("a", "3");
    let want = wanted(std::slice::from_ref(&next));
    assert_eq!(track.step(at(13), &want, &has, idle), Step::Replace(next));
}

#[test]
fn step_overtaken_order_is_sent_again() {
    let mut track = Track::new(LIMIT);
    let (old, new, rogue) = (model("a", "1"), model("a", "2"), model("a", "0"));
    let want = wanted(std::slice::from_ref(&new));
    let has = loaded(std::slice::from_ref(&old));
    track.step(at(0), &want, &has, idle);
    track.drain(&old);
    track.step(at(0), &want, &has, idle);
    track.set_outstanding(at(0), &Action::Load(new.clone()));
    // A late order of an earlier issuer replaces the version before the next read-back.
    let undone = loaded(std::slice::from_ref(&rogue));
    assert_eq!(
        track.step(at(1), &want, &undone, idle),
        Step::Load(new.clone())
    );
    // A late order of the previous version does not make the new version count as failed either.
    track.set_outstanding(at(1), &Action::Load(new.clone()));
    assert_eq!(track.step(at(12), &want, &has, idle), Step::Load(new));
}

#[test]
fn step_withdrawn_while_draining() {
    let mut track = Track::new(LIMIT);
    let (old, new) = (model("a", "1"), model("a", "2"));
    let has = loaded(std::slice::from_ref(&old));
    track.step(at(0), &wanted(&[new]), &has, idle);
    track.drain(&old);
    let back = wanted(&[old]);
    assert_eq!(track.step(at(1), &back, &has, |_| 1), Step::Settled);
    assert!(!track.is_draining("a"));
}

#[test]
fn step_unloads_when_idle() {
    let mut track = Track::new(LIMIT);
    let old = model("a", "1");
    let has = loaded(std::slice::from_ref(&old));
    assert_eq!(track.step(at(0), &wanted(&[]), &has, |_| 1), Step::Wait);
    assert!(track.is_draining("a"));
    assert_eq!(
        track.step(at(1), &wanted(&[]), &has, idle),
        Step::Order(Action::Unload("a".into()))
    );
}

#[test]
fn pace_fleet_stays_under_rate() {
    const HOSTS: usize = 20;
    const RATE: u64 = 60;
    let mut paces = vec![LoadPacer::default(); HOSTS];
    let mut minutes = vec![0; 10];
    // All hosts start to want loads at the same time.
    for ms in (0..600_000).step_by(100) {
        for (i, pace) in paces.iter_mut().enumerate() {
            let spread = (i as f64 + 0.5) / HOSTS as f64;
            let now = Duration::from_millis(ms);
            if pace.may_load(now, HOSTS, RATE, spread) {
                minutes[ms as usize / 60_000] += 1;
            }
        }
    }
    assert!(minutes.iter().all(|n| *n <= RATE), "{minutes:?}");
    assert!(minutes.iter().sum::<u64>() >= 9 * RATE, "{minutes:?}");
}

#[test]
fn predecessor_keeps_most_servers_up() {
    for count in 1..40 {
        let servers: Vec<Name> = (0..count).map(|i| format!("s{i:03}").into()).collect();
        let mut done: Vec<&Name> = Vec::new();
        let mut rounds = 0;
        while done.len() < count {
            let free: Vec<&Name> = servers
                .iter()
                .filter(|s| !done.contains(s))
                .filter(|s| predecessor(&servers, s).is_none_or(|b| done.contains(&b)))
                .collect();
            assert!(!free.is_empty() && free.len() <= (count / 4).max(1));
            done.extend(free);
            rounds += 1;
        }
        assert!(rounds <= count);
    }
}
