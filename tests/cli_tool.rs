//! The command-line tool, run as a process against hosts.

use serde_json::Value;
use standin::{Harness, Plan, wait_for};
use std::{
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process::{Command, Output},
};

/// An address on which nothing listens.
const NOBODY: &str = "127.0.0.1:1";

fn tool(hosts: &[SocketAddr], words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrytack"));
    command.args(["--json", "--host", NOBODY]);
    for host in hosts {
        command.args(["--host", &host.to_string()]);
    }
    command.args(words).output().expect("the tool runs")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("exit code")
}

fn must(hosts: &[SocketAddr], words: &[&str]) -> Value {
    let output = tool(hosts, words);
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(code(&output), 0, "{words:?}: {text}");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = env::temp_dir().join(format!("{}-{name}", std::process::id()));
    fs::write(&path, text).expect("write");
    path
}

const FLEET: &str = "\
[default rate]
value = 100

[workspace desk]
rate = 6000
reason = weekly digests
owner = ada

[workspace small]

[model m]
version = 1
adapters = b, a

[server s1]
addr = 127.0.0.1:9
domain = lagos
models = m
";

#[test]
fn tool_apply_file() {
    let harness = Harness::bare(Plan {
        hosts: 2,
        ..Plan::default()
    });
    let hosts = [harness.host(0).control];
    wait_for("both hosts listed", || {
        harness.host(0).members.live().len() == 2
    });
    let path = file("fleet.ini", FLEET);
    let path = path.to_str().expect("path");
    let diff = tool(&hosts, &["diff", path]);
    assert_eq!(code(&diff), 10);
    let done = must(&hosts, &["apply", path, "--author", "ada"]);
    let revision = done["revision"].to_string();
    let heard = must(&hosts, &["wait", &revision]);
    assert_eq!(heard.as_array().map(Vec::len), Some(2));
    assert_eq!(code(&tool(&hosts, &["diff", path])), 0);
    let rates = harness.host(1).config.view(|s| {
        let rate = |w| s.workspace(w).map(|w| w.rate);
        (rate("desk"), rate("small"))
    });
    assert_eq!(rates, (Some(6000), Some(100)));
    let less = file("less.ini", &FLEET.replace("[workspace small]\n", ""));
    let less = less.to_str().expect("path");
    assert_eq!(code(&tool(&hosts, &["diff", less])), 0);
    must(&hosts, &["apply", less, "--prune"]);
    assert!(
        harness
            .host(0)
            .config
            .view(|s| s.workspace("small").is_none())
    );
    let events = must(&hosts, &["timeline", done["change"].as_str().expect("id")]);
    assert_eq!(events["events"][0]["what"], "config_accepted");
}

#[test]
fn tool_objects() {
    let harness = Harness::bare(Plan::default());
    let hosts = [harness.host(0).control];
    must(&hosts, &["create", "workspace", "desk"]);
    let issued = must(&hosts, &["create", "key", "desk", "label=a"]);
    let hash = issued["hash"].as_str().expect("hash");
    must(&hosts, &["create", "model", "m", "version=1"]);
    must(
        &hosts,
        &[
            "create",
            "server",
            "s",
            "addr=127.0.0.1:9",
            "domain=a",
            "models=m",
        ],
    );
    must(&hosts, &["drain", "s"]);
    assert!(
        harness
            .host(0)
            .config
            .view(|s| s.server("s").expect("server").leaving)
    );
    must(&hosts, &["change", "model", "m", "version=2"]);
    let shown = must(&hosts, &["show", "model", "m"]);
    assert_eq!(shown["declared"]["model"]["version"], "2");
    must(&hosts, &["withdraw", "key", hash]);
    assert!(harness.host(0).config.view(|s| s.key(hash).is_none()));
}

#[test]
fn tool_jobs() {
    let harness = Harness::start(Plan::default());
    let hosts = [harness.host(0).control];
    let line = r#"{"custom_id":"a","body":{"model":"small","messages":[{"role":"user","content":"hello"}],"max_tokens":4}}"#;
    let reply = harness
        .caller(0)
        .call("POST", "/v1/batches?id=digest", line.as_bytes())
        .expect("answer");
    assert_eq!(
        reply.status,
        200,
        "{}",
        String::from_utf8_lossy(&reply.body)
    );
    let jobs = must(&hosts, &["jobs"]);
    let id = jobs[0]["id"].as_str().expect("id").to_string();
    wait_for("the job done", || {
        must(&hosts, &["jobs", &id])["items"]["open"] == 0
    });
    let job = must(&hosts, &["jobs", &id]);
    assert_eq!(job["items"]["done"], 1);
    assert_eq!(job["parts"].as_array().map(Vec::len), Some(0));
    assert_eq!(code(&tool(&hosts, &["jobs", "none"])), 9);
}

#[test]
fn tool_exit_codes() {
    let harness = Harness::bare(Plan::default());
    let hosts = [harness.host(0).control];
    let exit = |words: &[&str]| code(&tool(&hosts, words));
    must(&hosts, &["create", "model", "m", "version=1"]);
    assert_eq!(exit(&["no-such-command"]), 2);
    assert_eq!(exit(&["create", "thing", "x"]), 2);
    assert_eq!(exit(&["create", "model", "m", "version=1"]), 4);
    assert_eq!(exit(&["create", "server", "s", "addr=x"]), 3);
    assert_eq!(exit(&["show", "model", "none"]), 9);
    assert_eq!(exit(&["wait", "999999999999", "--seconds", "0"]), 8);
    assert_eq!(code(&tool(&[], &["status"])), 5);
    assert_eq!(exit(&["--help"]), 0);
    let bad = file("bad.ini", "[workspace a]\ncolour = red\n[thing b]\n");
    assert_eq!(exit(&["apply", bad.to_str().expect("path")]), 2);
}

#[test]
fn check_reviews_file_without_host() {
    let run = |text: &str| {
        let path = file("check.ini", text);
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberrytack"));
        let output = command.arg("check").arg(&path).output();
        let output = output.expect("the tool runs");
        let lines = String::from_utf8(output.stdout.clone()).expect("text");
        (code(&output), lines.lines().count(), lines)
    };
    assert_eq!(run(FLEET).0, 0, "{:?}", run(FLEET));
    let idle = FLEET.to_string() + "\n[model idle]\nversion = 1\n[model other]\nversion = 1\n";
    let (code, count, lines) = run(&idle);
    assert_eq!((code, count), (1, 2), "{lines}");
    assert!(lines.contains("idle") && lines.contains("other"), "{lines}");
    assert_eq!(run("[nothing]\nx = 1\n").0, 2);
}

#[test]
fn check_tells_differences_from_version_in_force() {
    let harness = Harness::bare(Plan {
        hosts: 1,
        ..Plan::default()
    });
    let hosts = [harness.host(0).control];
    let path = file("check-differs.ini", FLEET);
    let path = path.to_str().expect("path");
    let output = tool(&hosts, &["check", path]);
    let lines: Vec<String> = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(code(&output), 1, "{lines:?}");
    assert!(
        lines
            .iter()
            .any(|l| l.starts_with("differs: + workspaces/desk")),
        "{lines:?}"
    );
    must(&hosts, &["apply", path, "--author", "ada"]);
    assert_eq!(must(&hosts, &["check", path]), serde_json::json!([]));
    assert_eq!(code(&tool(&[], &["check", path])), 5);
}
