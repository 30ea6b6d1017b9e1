//! The configuration that a harness starts with.

use crate::MODEL;
use gooseberrytack::{
    config::{Change, Key, Model, Server, Workspace},
    entry::auth::hash_key,
    http::{Client, Timeouts},
};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};

/// Longest wait for one answer of the operators' interface.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Id of the change that declares everything.
const CHANGE_ID: &str = "seed";

/// The API key that a harness gives `workspace`.
pub fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// The workspaces `w0` and `w1`, with a high rate limit.
pub fn default_workspaces() -> Vec<Workspace> {
    let workspace = |name: &str| Workspace {
        name: name.into(),
        weight: 1,
        rate: 1_000_000,
        burst: 100_000,
    };
    vec![workspace("w0"), workspace("w1")]
}

/// The change that declares `servers`, their model, and `workspaces` with a key each.
pub fn seed_change(servers: &[Server], workspaces: &[Workspace]) -> Change {
    let model = Model {
        name: MODEL.into(),
        version: "1".into(),
        adapters: Vec::new(),
        tokens: 4096,
    };
    let mut change = Change::new(CHANGE_ID, "harness", "seed of the harness").model(&model);
    for server in servers {
        change = change.server(server);
    }
    for workspace in workspaces {
        let key = Key {
            hash: hash_key(&key_of(&workspace.name)),
            workspace: workspace.name.clone(),
            label: workspace.name.clone(),
            withdrawn: false,
        };
        change = change.workspace(workspace).key(&key);
    }
    change
}

/// Calls the operators' interface at the base URL `control`; returns the answer's JSON.
///
/// # Panics
/// It does not answer with status 200.
pub fn call_control(control: &str, method: &str, path: &str, body: &Value) -> Value {
    let url = format!("{control}/control/{path}");
    let body = body.to_string().into_bytes();
    let reply = Client::new().call(method, &url, &[], &body, Timeouts::within(TIMEOUT));
    let reply = reply.expect("the operators' interface answers");
    let text = String::from_utf8_lossy(&reply.body);
    assert_eq!(reply.status, 200, "{method} {path}: {text}");
    serde_json::from_slice(&reply.body).expect("JSON")
}

/// Declares the model, `servers` named `e0`, `e1`, ... and a workspace through the operators'
/// interface at `control`. Returns the workspace's key and the revision with everything in it.
///
/// # Panics
/// A declaration is refused.
pub fn declare(control: &str, servers: &[(SocketAddr, String)]) -> (String, u64) {
    let put = |path: &str, body: Value| call_control(control, "PUT", path, &body);
    put(&format!("models/{MODEL}"), json!({"version": "1"}));
    for (i, (addr, domain)) in servers.iter().enumerate() {
        let body = json!({
            "addr": addr, "domain": domain, "models": [MODEL], "fenced": true,
        });
        put(&format!("servers/e{i}"), body);
    }
    let rates = json!({"rate": 60_000, "burst": 1_000});
    put("workspaces/price-desk?reason=start", rates);
    let body = json!({"workspace": "price-desk", "label": "start"});
    let issued = call_control(control, "POST", "keys", &body);
    let key = issued["key"].as_str().expect("key");
    (key.into(), issued["revision"].as_u64().expect("revision"))
}
