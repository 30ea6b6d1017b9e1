//! The operators' port refuses every request without the operators' token.

use gooseberrytack::{
    entry::auth::hash_key,
    http::{Client, Timeouts},
};
use standin::{Harness, Plan};
use std::{env, fs, process::Command, time::Duration};

const TOKEN: &str = "operators-token-1";
const LIMIT: Duration = Duration::from_secs(30);
/// Every kind of request: reads, changes, and paths that do not exist.
const REQUESTS: [(&str, &str); 7] = [
    ("GET", "/control/state"),
    ("GET", "/control/status"),
    ("GET", "/control/timeline?id=x"),
    ("PUT", "/control/workspaces/intruder"),
    ("POST", "/control/keys"),
    ("DELETE", "/control/workspaces/w0"),
    ("GET", "/control/nothing"),
];

fn guarded() -> Harness {
    Harness::start(Plan {
        tune: |s| s.token = Some(hash_key(TOKEN)),
        ..Plan::default()
    })
}

fn status(harness: &Harness, method: &str, path: &str, header: Option<&str>) -> u16 {
    let url = format!("{}{path}", harness.control(0));
    let fields: Vec<_> = header.map(|h| ("authorization", h)).into_iter().collect();
    let reply = Client::new().call_fresh(method, &url, &fields, b"{}", Timeouts::within(LIMIT));
    reply.expect("an answer").status
}

#[test]
fn control_without_token_changes_nothing() {
    let harness = guarded();
    let before = harness.host(0).config.view(|s| s.revision);
    let headers = [
        None,
        Some("Bearer operators-token-2"),
        Some("Basic operators-token-1"),
        Some("Bearer key-of-w0"),
        Some("Bearer "),
    ];
    for header in headers {
        for (method, path) in REQUESTS {
            let got = status(&harness, method, path, header);
            assert_eq!(got, 401, "{method} {path} with {header:?}");
        }
    }
    let after = harness.host(0).config.view(|s| s.revision);
    assert_eq!(before, after);
}

#[test]
fn control_with_token_is_served() {
    let harness = guarded();
    let header = format!("Bearer {TOKEN}");
    assert_eq!(
        status(&harness, "GET", "/control/state", Some(&header)),
        200
    );
    let path = "/control/workspaces/desk";
    assert_eq!(status(&harness, "PUT", path, Some(&header)), 200);
    assert!(
        harness
            .host(0)
            .config
            .view(|s| s.workspace("desk").is_some())
    );
}

#[test]
fn tool_token_file() {
    let harness = guarded();
    let tool = |words: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrytack"));
        command.args(["--host", &harness.host(0).control.to_string()]);
        let output = command.args(words).output().expect("the tool runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), text)
    };
    let path = env::temp_dir().join(format!("{}-token", std::process::id()));
    let file = path.to_str().expect("path");
    let (code, text) = tool(&["show"]);
    assert_eq!(code, Some(3));
    assert!(text.contains("--token FILE"), "{text}");
    fs::write(&path, " \n").expect("write");
    let (code, text) = tool(&["--token", file, "show"]);
    assert_eq!(code, Some(2));
    assert!(text.contains(file), "{text}");
    fs::write(&path, format!("{TOKEN}\n")).expect("write");
    assert_eq!(tool(&["--token", file, "show"]).0, Some(0));
    fs::remove_file(&path).expect("remove");
    assert_eq!(tool(&["--token", file, "show"]).0, Some(2));
}
