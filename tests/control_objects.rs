//! Requests to the operators' port and their effect on the configuration in force.

use gooseberrytack::{
    config::{Sort, State},
    fold::Pos,
    http::{Client, Timeouts},
};
use serde_json::{Value, json};
use standin::{Harness, Plan, wait_for};
use std::time::Duration;

struct Operator {
    client: Client,
    base: String,
}

impl Operator {
    fn new(harness: &Harness, i: usize) -> Self {
        Self {
            client: Client::new(),
            base: harness.control(i),
        }
    }

    fn ask(&self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let url = format!("{}{path}", self.base);
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        let limits = Timeouts::within(Duration::from_secs(30));
        let reply = self.client.call(method, &url, &[], &body, limits);
        let reply = reply.expect("an answer");
        let value = serde_json::from_slice(&reply.body).expect("JSON");
        (reply.status, value)
    }

    fn must(&self, method: &str, path: &str, body: Value) -> Value {
        let (status, value) = self.ask(method, path, body);
        assert_eq!(status, 200, "{method} {path}: {value}");
        value
    }
}

fn view<R>(harness: &Harness, i: usize, look: impl FnOnce(&State) -> R) -> R {
    harness.host(i).config.view(look)
}

fn message(value: &Value) -> &str {
    value["error"]["message"].as_str().unwrap_or_default()
}

#[test]
fn control_whole_life_of_objects() {
    let harness = Harness::bare(Plan {
        hosts: 2,
        ..Plan::default()
    });
    let op = Operator::new(&harness, 0);
    op.must(
        "PUT",
        "/control/workspaces/desk?reason=large&author=ada",
        json!({"rate": 6000}),
    );
    let issued = op.must(
        "POST",
        "/control/keys",
        json!({"workspace": "desk", "label": "l"}),
    );
    let hash = issued["hash"].as_str().expect("hash").to_string();
    assert!(
        issued["key"]
            .as_str()
            .is_some_and(|k| k.starts_with("gbt_"))
    );
    op.must("PUT", "/control/models/m", json!({"version": "1"}));
    let server = json!({"addr": "127.0.0.1:9", "domain": "a", "models": ["m"], "slots": 3});
    op.must("PUT", "/control/servers/s1?reason=small", server);
    op.must(
        "PUT",
        "/control/routes/svc/lookup",
        json!({"addrs": "127.0.0.1:8", "repeatable": true}),
    );
    let revision = op.must("GET", "/control/state", Value::Null)["revision"]
        .as_u64()
        .expect("revision");
    wait_for("the other host", || {
        view(&harness, 1, |s| s.revision) >= revision
    });
    view(&harness, 1, |s| {
        assert_eq!(s.workspace("desk").expect("workspace").rate, 6000);
        assert_eq!(&*s.key(&hash).expect("key").workspace, "desk");
        assert_eq!(s.server("s1").expect("server").slots, 3);
        assert_eq!(&*s.routes[0].path, "/svc/lookup");
    });
    op.must("DELETE", &format!("/control/keys/{hash}"), Value::Null);
    op.must("DELETE", "/control/workspaces/desk", Value::Null);
    op.must("DELETE", "/control/routes/svc/lookup", Value::Null);
    view(&harness, 0, |s| {
        assert!(s.key(&hash).is_none());
        assert!(s.workspaces.is_empty() && s.routes.is_empty());
        assert_eq!(s.objects(Sort::Exception).len(), 1);
    });
}

#[test]
fn control_bad_input() {
    let harness = Harness::bare(Plan::default());
    let op = Operator::new(&harness, 0);
    let (status, value) = op.ask(
        "PUT",
        "/control/servers/s1",
        json!({"addr": "here", "models": 5, "colour": 1}),
    );
    assert_eq!(status, 400);
    let text = message(&value);
    for part in ["\"addr\"", "here", "\"models\"", "\"domain\"", "\"colour\""] {
        assert!(text.contains(part), "{part} is not in: {text}");
    }
    let (status, value) = op.ask("PUT", "/control/workspaces/desk", json!({"rate": 5}));
    assert_eq!(status, 400, "an exception without a reason: {value}");
    assert!(message(&value).contains("reason"));
    let (status, _) = op.ask("PUT", "/control/workspaces/x?base=abc", json!({}));
    assert_eq!(status, 400);
    let (status, _) = op.ask("GET", "/control/workspaces/nobody", Value::Null);
    assert_eq!(status, 404);
    let (status, _) = op.ask("PATCH", "/control/workspaces/nobody", Value::Null);
    assert_eq!(status, 405);
    assert_eq!(view(&harness, 0, |s| s.objects.len()), 0);
}

#[test]
fn control_operators_race() {
    let harness = Harness::bare(Plan {
        hosts: 2,
        ..Plan::default()
    });
    let ops = [Operator::new(&harness, 0), Operator::new(&harness, 1)];
    let made = ops[0].must("PUT", "/control/models/m", json!({"version": "1"}));
    let base: Pos = made["revision"].as_u64().expect("revision");
    let path = |i: usize| format!("/control/models/m?base={base}&author=op{i}&change=c{i}");
    let answers: Vec<(u16, Value)> = std::thread::scope(|scope| {
        let threads: Vec<_> = ops
            .iter()
            .enumerate()
            .map(|(i, op)| {
                let path = path(i);
                scope.spawn(move || op.ask("PUT", &path, json!({"version": format!("v{i}")})))
            })
            .collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("operator"))
            .collect()
    });
    let winner = answers.iter().position(|a| a.0 == 200).expect("a winner");
    let (status, lost) = &answers[1 - winner];
    assert_eq!(*status, 409);
    for part in [&*format!("c{winner}"), &*format!("op{winner}"), "version"] {
        assert!(message(lost).contains(part), "{part} is not in: {lost}");
    }
}

#[test]
fn control_lost_answers() {
    let harness = Harness::bare(Plan::default());
    let op = Operator::new(&harness, 0);
    harness.endpoint(0).faults().set(|f| f.lose = 2);
    let path = "/control/models/m?change=once";
    let first = op.must("PUT", path, json!({"version": "1"}));
    // The operator repeats the change with the same id, after another change.
    op.must("PUT", "/control/models/m", json!({"version": "2"}));
    let again = op.must("PUT", path, json!({"version": "1"}));
    assert_eq!(first, again);
    let version = view(&harness, 0, |s| s.model("m").map(|m| m.version.to_string()));
    assert_eq!(version.as_deref(), Some("2"));
}

#[test]
fn control_log_down() {
    let harness = Harness::bare(Plan::default());
    let op = Operator::new(&harness, 0);
    harness.endpoint(0).faults().set(|f| f.refuse = true);
    let (status, value) = op.ask("PUT", "/control/models/m?change=c", json!({"version": "1"}));
    assert_eq!(status, 503);
    assert_eq!(value["error"]["code"], "log_down");
    assert!(value["error"]["retry_after_ms"].is_u64());
    harness.endpoint(0).faults().clear();
    op.must("PUT", "/control/models/m?change=c", json!({"version": "1"}));
}
