//! Reads and appends through peers on a host that has lost the log.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Sort},
    error::{Fail, Kind, Res},
    kernel::{Edges, Host, neighbours},
    settings::Settings,
    store::{AppendError, Log, Page, SharedLog},
    wire::Peer,
};
use standin::{Harness, Plan, ini, wait_for};
use std::{
    cell::RefCell,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

const LIMIT: Duration = Duration::from_secs(30);
/// Changes while the log is lost, one every 100 ms: any pause of up to 3 s ends during them.
const CHANGES: usize = 30;

/// A log that can be lost; counts the calls meanwhile, except reads that do not wait.
#[derive(Clone)]
struct LostLog {
    log: SharedLog,
    lost: Arc<AtomicBool>,
    asked: Arc<AtomicUsize>,
}

impl Log for LostLog {
    fn append(&self, stream: &str, bytes: &[u8]) -> Result<u64, AppendError> {
        if self.lost.load(Ordering::Relaxed) {
            self.asked.fetch_add(1, Ordering::Relaxed);
            return Err(AppendError::NotTaken("lost".into()));
        }
        self.log.append(stream, bytes)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Res<Page> {
        if self.lost.load(Ordering::Relaxed) {
            self.asked
                .fetch_add(usize::from(!wait.is_zero()), Ordering::Relaxed);
            return Err(Fail::new(Kind::LogDown, "lost"));
        }
        self.log.read(stream, from, wait)
    }
}

fn change(n: usize) -> Change {
    let item = Item::Model {
        version: "1".into(),
        adapters: vec![],
    };
    let id = ObjectId::new(Sort::Model, format!("m{n}"));
    Change::new(format!("c{n}"), "ada", "test").edit(id, 0, Some(item))
}

/// Starts `hosts` hosts and waits until they know each other.
fn fleet(hosts: usize) -> Harness {
    let harness = Harness::bare(Plan {
        hosts,
        ..Plan::default()
    });
    harness.wait_listed();
    harness
}

/// Makes the log unreachable for the hosts for which `is_lost` holds.
fn lose(harness: &Harness, is_lost: impl Fn(&Host) -> bool) {
    let hosts = harness.hosts();
    let lost = (0..hosts.len()).filter(|i| is_lost(&hosts[*i]));
    lost.for_each(|i| harness.endpoint(i).faults().set(|f| f.down = true));
}

#[test]
fn lost_log_is_not_asked_while_peers_answer() {
    let harness = fleet(2);
    let text = ini("far", "c", &harness.log.url(), &harness.list.url());
    let settings = Settings::parse("test", &text).expect("settings");
    let (lost, asked): (Arc<AtomicBool>, Arc<AtomicUsize>) = Default::default();
    let edges = |client: &_| {
        let own = Edges::own(&settings, client);
        let log = LostLog {
            log: own.log,
            lost: lost.clone(),
            asked: asked.clone(),
        };
        Edges {
            log: SharedLog(Arc::new(log)),
            ..own
        }
    };
    let host = Host::start_with(settings.clone(), edges).expect("the host starts");
    wait_for("all hosts listed", || host.members.live().len() == 3);
    config::apply(&host, &change(0), LIMIT).expect("accepted by the log");
    lost.store(true, Ordering::Relaxed);
    // Waits until the reads that were in progress when the log was lost have ended.
    let since = host.now();
    wait_for("every stream read through a peer", || {
        let jobs = host.batch.streams.followed();
        let jobs = jobs.iter().map(|s| s.jobs.progress().caught_up);
        let own = [
            host.config.progress().caught_up,
            host.homes.progress().caught_up,
            host.calls.progress().caught_up,
            host.quarantine.progress().caught_up,
        ];
        own.into_iter().chain(jobs).all(|fresh| fresh > Some(since))
    });
    let before = asked.load(Ordering::Relaxed);
    for n in 1..=CHANGES {
        config::apply(&host, &change(n), LIMIT).expect("accepted through a peer");
        std::thread::sleep(Duration::from_millis(100));
    }
    let asked = asked.load(Ordering::Relaxed) - before;
    assert_eq!(asked, 0, "times that the lost log was asked");
    lost.store(false, Ordering::Relaxed);
    let through = harness.host(0).config.progress().next;
    config::apply(&host, &change(CHANGES + 1), LIMIT).expect("accepted");
    wait_for("the change at a peer", || {
        harness.host(0).config.progress().next > through
    });
    host.kill();
}

#[test]
fn next_peers_help_where_the_first_have_lost_the_log_too() {
    let harness = fleet(6);
    let host = harness.host(0);
    let first = neighbours(host);
    assert_eq!(first.len(), 3, "some hosts are left");
    lose(&harness, |h| h.me == host.me || first.contains(&h.me));
    for n in 0..5 {
        config::apply(host, &change(n), LIMIT).expect("accepted through another peer");
    }
    let since = host.now();
    wait_for("a fresh read through another peer", || {
        host.config.progress().caught_up > Some(since)
    });
}

#[test]
fn only_peer_that_has_the_log_is_found_among_many() {
    let harness = fleet(12);
    let host = harness.host(0);
    let mut order = host.members.owners(&host.me.name, 12);
    order.retain(|p| p.name != host.me.name);
    let last = order.last().expect("a peer");
    lose(&harness, |h| h.me != *last);
    for n in 0..3 {
        config::apply(host, &change(n), LIMIT).expect("accepted through the last peer");
    }
}

#[test]
fn try_eligible_asks_only_eligible_peers() {
    // Guards against skipped peers that count as tries or delay calls to others.
    let harness = fleet(12);
    let host = harness.host(0);
    let ask = |is_eligible: &dyn Fn(&str) -> bool| {
        let mut asked = RefCell::new(Vec::new());
        let note = |p: &Peer| {
            asked.borrow_mut().push(p.name.to_string());
            None::<()>
        };
        let tried = host
            .relay
            .try_eligible(host, |p| is_eligible(&p.name), note);
        assert_eq!(tried.is_none(), asked.get_mut().is_empty());
        asked.into_inner()
    };
    for peer in &harness.hosts()[1..] {
        assert_eq!(ask(&|name| *name == *peer.me.name), [&*peer.me.name]);
    }
    let failures = host.meters.relay_failures();
    assert!(ask(&|_| false).is_empty());
    assert_eq!(host.meters.relay_failures(), failures);
    let mut order = host.members.owners(&host.me.name, 12);
    order.retain(|p| p.name != host.me.name);
    let before = ask(&|_| true);
    assert!(ask(&|_| false).is_empty());
    // A round without success moves on by the peers that it tried, one without eligible peers by none.
    let at = |name: &str| order.iter().position(|p| *p.name == *name).expect("a peer");
    let next = (at(before.last().expect("a peer")) + 1) % order.len();
    assert_eq!(at(&ask(&|_| true)[0]), next);
}

#[test]
fn lost_log_of_all_hosts_makes_no_storm() {
    let harness = fleet(6);
    let host = harness.host(0);
    lose(&harness, |_| true);
    wait_for("the log lost by all", || {
        harness.hosts().iter().all(|h| h.relay.is_lost())
    });
    let calls = |host: &Host| host.meters.relay_failures();
    let (before, began) = (calls(host), host.now());
    for n in 0..40 {
        let result = config::apply(host, &change(n), Duration::from_millis(100));
        assert!(result.is_err(), "{result:?}");
    }
    // After each round of asking peers there is a pause of 100 ms, then longer ones.
    let most = (host.now() - began).as_millis() as u64 / 100 + 4;
    let asked = calls(host) - before;
    assert!(asked <= most, "peers were asked {asked} times");
}
