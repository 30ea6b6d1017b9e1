//! Orders from real hosts to stand-in engines.

use gooseberrytack::{
    config::{self, Change, Item, ObjectId, Sort},
    engine::{Action, Loaded, LoadedModel, Order},
    gate::gate_key,
    http::{Client, Timeouts},
    kernel::Host,
    settings::Settings,
    wire::Name,
};
use standin::{Engine, EngineConfig, Harness, MODEL, Plan, wait_for};
use std::{sync::Arc, time::Duration};

const TIMEOUT: Duration = Duration::from_secs(30);

fn shorten_times(settings: &mut Settings) {
    settings.loads = 60_000;
    settings.load = Duration::from_millis(800);
}

/// Starts hosts and engines; the engines are declared as servers `e0`, `e1`, ...
fn start(hosts: usize, engines: usize, fenced: bool) -> Harness {
    let engine = EngineConfig {
        fenced,
        ..EngineConfig::default()
    };
    Harness::start(Plan {
        hosts,
        engines: vec![engine; engines],
        tune: shorten_times,
        ..Plan::default()
    })
}

fn version(version: &str) -> LoadedModel {
    LoadedModel {
        name: MODEL.into(),
        version: version.into(),
        adapters: vec![],
    }
}

fn declare_version(host: &Arc<Host>, version: &str) {
    let id = ObjectId::new(Sort::Model, MODEL);
    let base = host.config.view(|s| s.revision_of(&id));
    let item = Item::Model {
        version: version.into(),
        adapters: vec![],
    };
    let change = Change::new(format!("v{version}"), "ada", "test").edit(id, base, Some(item));
    config::apply(host, &change, TIMEOUT).expect("accepted");
}

fn has(engine: &Engine, version_wanted: &str) -> bool {
    engine.loaded().models == [version(version_wanted)]
}

/// The live host that runs the gate of `server` and has claimed the server.
fn issuer(harness: &Harness, server: &str) -> Option<Arc<Host>> {
    harness.hosts().into_iter().find(|h| {
        let claimed = h.config.view(|s| s.issuer(server).cloned());
        let owner = h.members.owner(&gate_key(server));
        claimed.is_some_and(|i| i.host == h.me.name) && owner.is_some_and(|p| p.name == h.me.name)
    })
}

/// Sends an order of an earlier issuer directly to the engine; returns the status of the answer.
fn old_order(engine: &Engine) -> u16 {
    let order = Order {
        fence: 1,
        action: Action::Load(version("old")),
    };
    send(engine, &order)
}

fn send(engine: &Engine, order: &Order) -> u16 {
    let body = serde_json::to_vec(order).expect("JSON");
    let url = format!("{}/v1/orders", engine.url());
    let limits = Timeouts::within(TIMEOUT);
    let reply = Client::new().call("POST", &url, &[], &body, limits);
    reply.expect("answer").status
}

#[test]
fn order_new_version_everywhere() {
    let harness = start(3, 4, true);
    declare_version(harness.host(0), "2");
    wait_for("version 2 everywhere", || {
        harness.engines.iter().all(|e| has(e, "2"))
    });
    // The fencing tokens of the orders to an engine never decrease.
    for engine in &harness.engines {
        let epochs: Vec<u64> = engine.orders().iter().map(|(o, _)| o.fence).collect();
        assert!(epochs.is_sorted() && epochs[0] > 0, "{epochs:?}");
    }
}

#[test]
fn order_work_waits_for_load() {
    let harness = start(1, 1, true);
    let host = harness.host(0);
    let serves = |model: &str| host.orders.serves("e0", model, None, host.now());
    wait_for("the server read back", || serves(MODEL));
    let other: Name = "other".into();
    let id = ObjectId::new(Sort::Server, "e0");
    let (base, old) = host
        .config
        .view(|s| (s.revision_of(&id), s.object(&id).cloned()));
    let Some(Item::Server {
        addr,
        domain,
        role,
        fenced,
        ..
    }) = old.map(|o| o.item)
    else {
        panic!("no server");
    };
    harness.engines[0].faults().set(|f| f.bad_loads = 1);
    let item = Item::Server {
        addr,
        domain,
        role,
        fenced,
        models: vec![other.clone(), MODEL.into()],
        leaving: false,
    };
    let change = Change::new("more", "ada", "test")
        .edit(
            ObjectId::new(Sort::Model, other),
            0,
            Some(Item::Model {
                version: "1".into(),
                adapters: vec![],
            }),
        )
        .edit(id, base, Some(item));
    config::apply(host, &change, TIMEOUT).expect("accepted");
    wait_for("the first load", || !harness.engines[0].orders().is_empty());
    // The first load fails, so that the model is declared but not loaded.
    assert!(!serves("other"));
    wait_for("the model loaded on another try", || serves("other"));
    let loaded: Loaded = harness.engines[0].loaded();
    assert_eq!(loaded.models.len(), 2);
}

#[test]
fn order_failed_version_goes_back() {
    let harness = start(2, 4, true);
    wait_for("claims", || {
        (0..4).all(|i| issuer(&harness, &format!("e{i}")).is_some())
    });
    for engine in &harness.engines {
        engine.faults().set(|f| f.bad_loads = 2);
    }
    declare_version(harness.host(0), "2");
    wait_for("the first server back at version 1", || {
        let first = &harness.engines[0];
        first.orders().len() >= 3 && has(first, "1")
    });
    // The rollout stopped at the first server.
    for engine in &harness.engines[1..] {
        assert!(engine.orders().is_empty());
        assert!(has(engine, "1"));
    }
    for engine in &harness.engines {
        engine.faults().clear();
    }
    declare_version(harness.host(0), "3");
    wait_for("version 3 everywhere", || {
        harness.engines.iter().all(|e| has(e, "3"))
    });
}

#[test]
fn order_issuer_lost() {
    let harness = start(3, 1, true);
    wait_for("a claim", || issuer(&harness, "e0").is_some());
    let first = issuer(&harness, "e0").expect("issuer");
    let old = first.config.view(|s| s.issuer("e0").expect("claim").epoch);
    first.kill();
    let alive = harness.hosts()[0].clone();
    declare_version(&alive, "2");
    wait_for("version 2 by another issuer", || {
        has(&harness.engines[0], "2")
    });
    let epoch = alive.config.view(|s| s.issuer("e0").expect("claim").epoch);
    assert!(epoch > old);
}

#[test]
fn order_old_issuer_wakes_fenced() {
    let harness = start(1, 1, true);
    declare_version(harness.host(0), "2");
    wait_for("version 2", || has(&harness.engines[0], "2"));
    assert_eq!(old_order(&harness.engines[0]), 409);
    assert!(has(&harness.engines[0], "2"));
}

#[test]
fn order_old_issuer_wakes_unfenced() {
    let harness = start(1, 1, false);
    declare_version(harness.host(0), "2");
    wait_for("version 2", || has(&harness.engines[0], "2"));
    assert_eq!(old_order(&harness.engines[0]), 200);
    wait_for("the old order's effect", || !has(&harness.engines[0], "2"));
    wait_for("version 2 again", || has(&harness.engines[0], "2"));
}

#[test]
fn order_not_without_fresh_log() {
    let harness = start(1, 1, false);
    let host = harness.host(0);
    wait_for("a claim", || issuer(&harness, "e0").is_some());
    harness.endpoint(0).faults().set(|f| f.down = true);
    wait_for("the lease lapsed", || {
        let fresh = host.config.progress().caught_up.expect("fresh");
        host.now() > fresh + host.settings.lease
    });
    let before = harness.engines[0].orders().len();
    old_order(&harness.engines[0]);
    wait_for("the old order's effect", || has(&harness.engines[0], "old"));
    // After several more reads, the holder of a lapsed lease has sent no order.
    let reads = || harness.engines[0].seen().all().len();
    let start = reads();
    wait_for("more reads", || reads() > start + 5);
    assert_eq!(harness.engines[0].orders().len(), before + 1);
    harness.endpoint(0).faults().clear();
    wait_for("version 1 again", || has(&harness.engines[0], "1"));
}

/// Declares `role` for the server `e0`.
fn declare_role(host: &Arc<Host>, role_wanted: &str) {
    let id = ObjectId::new(Sort::Server, "e0");
    let (base, old) = host
        .config
        .view(|s| (s.revision_of(&id), s.object(&id).cloned()));
    let mut item = old.expect("the server").item;
    let Item::Server { role, .. } = &mut item else {
        panic!("not a server");
    };
    *role = role_wanted.into();
    let change =
        Change::new(format!("role-{role_wanted}"), "ada", "test").edit(id, base, Some(item));
    config::apply(host, &change, TIMEOUT).expect("accepted");
}

/// Roles that the engine was ordered to take, in order, and whether it took each.
fn roles(engine: &Engine) -> Vec<(Name, bool)> {
    let orders = engine.orders().into_iter();
    let roles = orders.filter_map(|(order, taken)| match order.action {
        Action::Role(role) => Some((role, taken)),
        _ => None,
    });
    roles.collect()
}

fn role_changes(fenced: bool) {
    let harness = start(3, 1, fenced);
    let engine = &harness.engines[0];
    wait_for("a claim", || issuer(&harness, "e0").is_some());
    assert!(roles(engine).is_empty(), "no role is declared");
    declare_role(harness.host(1), "prefill");
    wait_for("the role", || &*engine.loaded().role == "prefill");
    // The issuer is lost, and the next one finds another role declared.
    issuer(&harness, "e0").expect("issuer").kill();
    let alive = harness.hosts()[0].clone();
    declare_role(&alive, "decode");
    wait_for("the role by another issuer", || {
        &*engine.loaded().role == "decode"
    });
    // An order of an earlier issuer is refused, or corrected after the next read.
    let order = Order {
        fence: 1,
        action: Action::Role("old".into()),
    };
    let status = send(engine, &order);
    assert_eq!(status, if fenced { 409 } else { 200 });
    wait_for("the role declared", || &*engine.loaded().role == "decode");
    let taken = roles(engine).into_iter().filter(|(_, taken)| *taken);
    let mut taken: Vec<Name> = taken.map(|(role, _)| role).collect();
    taken.dedup();
    let wanted: &[&str] = match fenced {
        true => &["prefill", "decode"],
        false => &["prefill", "decode", "old", "decode"],
    };
    assert!(
        taken.iter().map(|r| &**r).eq(wanted.iter().copied()),
        "{taken:?}"
    );
    assert!(has(engine, "1"), "the models stay");
}

#[test]
fn order_role_fenced() {
    role_changes(true);
}

#[test]
fn order_role_unfenced() {
    role_changes(false);
}

#[test]
fn order_role_waits_for_models() {
    let harness = start(1, 1, true);
    let engine = &harness.engines[0];
    wait_for("a claim", || issuer(&harness, "e0").is_some());
    engine.faults().set(|f| f.refuse = true);
    declare_role(harness.host(0), "prefill");
    declare_version(harness.host(0), "2");
    engine.faults().clear();
    wait_for("the role", || &*engine.loaded().role == "prefill");
    assert!(has(engine, "2"), "the version was loaded first");
}
