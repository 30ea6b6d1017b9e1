//! Which software versions a host takes to be in use, and at which one a stream goes on.

use gooseberrytack::{
    clock::Time,
    config::Server,
    fold::Fold,
    resume::{
        Begun, Evidence, Origin, Origins, RESUME_MAX, Record, Stream, Usage, Versions, decide,
    },
    wire::Name,
};
use std::time::Duration;

const SERVICE: &str = "s";
const SECOND: Duration = Duration::from_secs(1);
/// When a host that started at zero has seen its servers for long enough.
const LONG: Time = RESUME_MAX;

fn servers(versions: &[&str]) -> Vec<Server> {
    let server = |(n, version): (usize, &&str)| Server {
        name: format!("i-{n}").into(),
        addr: "127.0.0.1:1".parse().expect("address"),
        domain: "z0".into(),
        models: vec![SERVICE.into()],
        slots: 1,
        fenced: false,
        leaving: false,
        start: 0,
        software: Name::from(*version),
    };
    versions.iter().enumerate().map(server).collect()
}

/// The versions after each list of versions was in force from its time on.
fn usage(lists: &[(Time, &[&str])], now: Time) -> Usage {
    let mut versions = Versions::default();
    for (at, list) in lists {
        versions.observe(&servers(list), *at);
    }
    versions.usage(SERVICE, now)
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|n| Name::from(*n)).collect()
}

#[test]
fn usage_keeps_version_as_long_as_its_streams_may_be_resumed() {
    let gone = LONG + SECOND;
    let lists: [(Time, &[&str]); 3] = [
        (Time::ZERO, &["v1"]),
        (LONG, &["v1", "v2"]),
        (gone, &["v2"]),
    ];
    let kept = usage(&lists, gone + RESUME_MAX - SECOND);
    assert_eq!(kept.versions, names(&["v1", "v2"]));
    let mut lists = lists.to_vec();
    lists.push((gone + RESUME_MAX, &["v2"]));
    assert_eq!(
        usage(&lists, gone + RESUME_MAX).sole(),
        Some(&Name::from("v2"))
    );
}

#[test]
fn usage_version_in_force_until_the_next_list() {
    let next = 2 * RESUME_MAX;
    let lists: [(Time, &[&str]); 2] = [(Time::ZERO, &["v1"]), (next, &["v2"])];
    assert_eq!(usage(&lists, next).versions, names(&["v1", "v2"]));
}

#[test]
fn usage_mixed_while_servers_have_several() {
    let lists: [(Time, &[&str]); 2] = [(Time::ZERO, &["v1", "v2"]), (SECOND, &["v2"])];
    assert!(usage(&lists[..1], Time::ZERO).is_mixed);
    let after = usage(&lists, SECOND);
    assert_eq!((after.is_mixed, after.versions.len()), (false, 2));
}

#[test]
fn usage_covered_once_seen_for_long_or_confirmed() {
    let lists: [(Time, &[&str]); 1] = [(SECOND, &["v1"])];
    assert!(!usage(&lists, LONG).is_covered);
    assert!(usage(&lists, LONG + SECOND).is_covered);
    let mut versions = Versions::default();
    versions.observe(&servers(&["v1"]), SECOND);
    versions.confirm(|_, _| false);
    assert!(!versions.usage(SERVICE, SECOND).is_covered);
    versions.confirm(|_, _| true);
    assert!(versions.usage(SERVICE, SECOND).is_covered);
}

#[test]
fn usage_of_several_not_confirmed() {
    let mut versions = Versions::default();
    versions.observe(&servers(&["v1", "v2"]), SECOND);
    versions.confirm(|_, _| true);
    assert!(!versions.usage(SERVICE, SECOND).is_covered);
}

#[test]
fn mark_of_each_mix_once() {
    let mut versions = Versions::default();
    assert!(versions.observe(&servers(&["v1"]), Time::ZERO));
    assert!(versions.unmarked().is_empty());
    assert!(versions.observe(&servers(&["v1", "v2"]), SECOND));
    assert_eq!(versions.unmarked(), names(&[SERVICE]));
    versions.mark(SERVICE);
    assert!(!versions.observe(&servers(&["v1", "v2"]), 2 * SECOND));
    assert!(versions.unmarked().is_empty());
    // One version for long, then another one again.
    versions.observe(&servers(&["v2"]), 3 * SECOND);
    versions.observe(&servers(&["v2"]), 3 * SECOND + RESUME_MAX);
    versions.observe(&servers(&["v2", "v3"]), 4 * SECOND + RESUME_MAX);
    assert_eq!(versions.unmarked(), names(&[SERVICE]));
}

/// What a host knows that has seen one version for long and reads the log.
fn known() -> Evidence {
    Evidence {
        usage: Usage {
            versions: names(&["v1"]),
            is_mixed: false,
            is_covered: true,
        },
        is_read: true,
        is_confirmed: false,
        is_cut_off: false,
        was_mixed: false,
    }
}

fn is_unknown(evidence: &Evidence) -> bool {
    matches!(decide(evidence), Origin::Unknown(_))
}

#[test]
fn decide_only_version() {
    let v1 = Origin::Version("v1".into());
    assert_eq!(decide(&known()), v1);
    let unread = Evidence {
        is_read: false,
        ..known()
    };
    assert!(is_unknown(&unread));
    let confirmed = Evidence {
        is_confirmed: true,
        ..unread.clone()
    };
    assert_eq!(decide(&confirmed), v1);
    let cut_off = Evidence {
        is_cut_off: true,
        ..confirmed
    };
    assert!(is_unknown(&cut_off));
    let mixed = Evidence {
        was_mixed: true,
        ..known()
    };
    assert!(is_unknown(&mixed));
}

#[test]
fn decide_not_what_others_may_know_better() {
    let new = |is_read| Evidence {
        usage: Usage {
            is_covered: false,
            ..known().usage
        },
        is_read,
        ..known()
    };
    assert!(is_unknown(&new(true)));
    assert!(is_unknown(&new(false)));
}

#[test]
fn decide_not_among_several() {
    let mixed = |is_read| Evidence {
        usage: Usage {
            versions: names(&["v1", "v2"]),
            ..known().usage
        },
        is_read,
        ..known()
    };
    assert!(is_unknown(&mixed(true)));
    assert!(is_unknown(&mixed(false)));
}

fn record(id: &str, version: &str, unix_ms: u64) -> Record {
    Record {
        id: id.into(),
        service: SERVICE.into(),
        version: version.into(),
        is_mixed: true,
        unix_ms,
    }
}

#[test]
fn origins_first_record_of_a_stream() {
    let mut origins = Origins::default();
    origins.apply(1, &record("r1", "v1", 10));
    origins.apply(2, &record("r1", "v2", 20));
    let version = origins.stream("r1").map(|s| s.version.clone());
    assert_eq!(version, Some("v1".into()));
    assert_eq!(origins.stream("r2"), None);
}

#[test]
fn origins_mark_is_no_stream_but_tells_of_versions() {
    let mut origins = Origins::default();
    assert_eq!(origins.last_mixed(SERVICE), None);
    origins.apply(1, &record("", "", 10));
    assert_eq!(origins.stream(""), None);
    assert_eq!(origins.last_mixed(SERVICE), Some(10));
    origins.apply(2, &record("r1", "v1", 5));
    assert_eq!(origins.last_mixed(SERVICE), Some(10));
}

#[test]
fn origins_last_only_version_of_marks() {
    let mut origins = Origins::default();
    let mark = |id: &str, version: &str| Record {
        is_mixed: false,
        ..record(id, version, 10)
    };
    origins.apply(1, &mark("", "v1"));
    // A host that just started may see only the last of several versions.
    origins.apply(2, &mark("r1", "v2"));
    assert_eq!(origins.last_sole(SERVICE), Some(&"v1".into()));
    origins.apply(3, &record("", "", 20));
    assert_eq!(origins.last_sole(SERVICE), Some(&"v1".into()));
    origins.apply(4, &mark("", "v2"));
    assert_eq!(origins.last_sole(SERVICE), Some(&"v2".into()));
}

#[test]
fn origins_record_of_new_host_tells_of_no_other_version() {
    let mut origins = Origins::default();
    let rec = Record {
        is_mixed: false,
        ..record("r1", "v1", 10)
    };
    origins.apply(1, &rec);
    assert_eq!(origins.last_mixed(SERVICE), None);
    assert!(origins.stream("r1").is_some());
}

#[test]
fn origins_bounded_newest_kept() {
    let mut origins = Origins::default();
    let count = 40_000;
    for n in 0..count {
        origins.apply(n + 1, &record(&format!("r{n}"), "v1", n));
    }
    assert_eq!(origins.stream("r0"), None);
    let last = count - 1;
    assert!(origins.stream(&format!("r{last}")).is_some());
}

#[test]
fn begun_newest_of_bounded_streams() {
    let mut begun = Begun::default();
    let note = |begun: &mut Begun, id: &str, version: &str, at| {
        begun.note(Stream {
            id: id.into(),
            service: SERVICE.into(),
            version: version.into(),
            at,
        });
    };
    note(&mut begun, "r1", "v1", Time::ZERO);
    note(&mut begun, "r1", "v2", SECOND);
    let found = begun.find("r1").map(|s| s.version.clone());
    assert_eq!(found, Some("v2".into()));
    assert_eq!(begun.of_service(SERVICE, RESUME_MAX).len(), 1);
    note(&mut begun, "r2", "v2", SECOND + RESUME_MAX);
    assert_eq!(begun.find("r1"), None);
    assert!(begun.of_service("t", SECOND + RESUME_MAX).is_empty());
    for n in 0..10_000 {
        note(&mut begun, &format!("q{n}"), "v2", SECOND + RESUME_MAX);
    }
    assert_eq!(begun.find("r2"), None);
    assert!(begun.find("q9999").is_some());
}
