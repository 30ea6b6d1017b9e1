//! Golden files of whole sessions: requests of callers and operators with their responses.
//!
//! A file is a sequence of steps against one host and one engine. `=== METHOD PORT PATH` sends a
//! request with the header fields and the body below it; `=== fault engine|log JSON` sets faults;
//! `=== wait PATH` polls until the job there has ended. What follows `--- ` is the answer, with ids,
//! positions and addresses normalised. `GOLDEN=write` in the environment writes the answers anew.

use gooseberrytack::http::{Client, Timeouts};
use standin::{Faults, Harness, Plan, wait_for};
use std::{env, error::Error, fs, path::Path, time::Duration};

/// Longest wait for one answer.
const LIMIT: Duration = Duration::from_secs(120);
/// Header fields of answers that are part of a session.
const SHOWN: [&str; 2] = ["content-type", "retry-after"];
/// Fields of JSON answers whose numbers differ from run to run.
const NUMBERS: [&str; 4] = ["revision", "offset", "retry_after_ms", "at"];
/// Least length of a run of hexadecimal digits that is an id.
const ID_LEN: usize = 16;

/// One step of a session: its first line, header fields and body.
struct Step {
    comment: String,
    line: String,
    fields: Vec<String>,
    body: String,
}

fn run(path: &Path) -> Result<(), Box<dyn Error>> {
    let golden = fs::read_to_string(path)?;
    let harness = Harness::start(Plan {
        tune: |s| s.deadline = Duration::from_secs(10),
        ..Plan::default()
    });
    let mut actual = String::new();
    for step in parse(&golden) {
        let answer = run_step(&harness, &step);
        actual += &render(&step, &answer);
    }
    if env::var("GOLDEN").is_ok_and(|v| v == "write") {
        fs::write(path, &actual)?;
    } else if actual != golden {
        let at = golden.lines().zip(actual.lines());
        let line = at.take_while(|(a, b)| a == b).count();
        let (want, got) = (golden.lines().nth(line), actual.lines().nth(line));
        return Err(format!("line {}: expected {want:?}, got {got:?}", line + 1).into());
    }
    Ok(())
}

fn parse(text: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut comment = String::new();
    let (mut in_answer, mut in_body) = (false, false);
    for line in text.lines() {
        if let Some(first) = line.strip_prefix("=== ") {
            (in_answer, in_body) = (false, false);
            steps.push(Step {
                comment: std::mem::take(&mut comment),
                line: first.into(),
                fields: Vec::new(),
                body: String::new(),
            });
        } else if line.starts_with("# ") {
            comment += &format!("{line}\n");
        } else if line.starts_with("--- ") {
            in_answer = true;
        } else if let Some(step) = steps.last_mut().filter(|_| !in_answer) {
            match (in_body, line) {
                (false, "") => in_body = true,
                (false, field) => step.fields.push(field.into()),
                (true, part) => step.body += &format!("{part}\n"),
            }
        }
    }
    steps
}

fn run_step(harness: &Harness, step: &Step) -> String {
    let words: Vec<&str> = step.line.splitn(3, ' ').collect();
    match words.as_slice() {
        ["fault", "engine", faults] => set_faults(harness.engines[0].faults(), faults),
        ["fault", "log", faults] => set_faults(harness.endpoint(0).faults(), faults),
        ["wait", path] => {
            let caller = harness.caller(0);
            wait_for(path, || {
                let reply = caller.call("GET", path, &[]);
                reply.is_ok_and(|r| !String::from_utf8_lossy(&r.body).contains("in_progress"))
            });
            "done\n".into()
        }
        [method, port, path] => {
            let base = match *port {
                "caller" => harness.url(0),
                _ => harness.control(0),
            };
            send(method, &format!("{base}{path}"), step)
        }
        _ => format!("not a step: {}\n", step.line),
    }
}

fn set_faults(faults: &standin::FaultSwitch, json: &str) -> String {
    let parsed: Faults = serde_json::from_str(json).expect("faults in JSON");
    faults.set(|f| *f = parsed);
    "done\n".into()
}

fn send(method: &str, url: &str, step: &Step) -> String {
    let fields: Vec<_> = step
        .fields
        .iter()
        .filter_map(|f| f.split_once(": "))
        .collect();
    let body = step.body.trim_end().as_bytes();
    let reply = Client::new().call_fresh(method, url, &fields, body, Timeouts::within(LIMIT));
    let reply = match reply {
        Ok(reply) => reply,
        Err(_) => return "cut\n".into(),
    };
    let mut text = format!("{}\n", reply.status);
    for (name, value) in reply.fields.iter().filter(|(n, _)| SHOWN.contains(&&**n)) {
        text += &format!("{name}: {value}\n");
    }
    let body = String::from_utf8_lossy(&reply.body).into_owned();
    if !body.is_empty() {
        text += &format!("\n{}\n", body.trim_end());
    }
    normalise(&text)
}

fn render(step: &Step, answer: &str) -> String {
    let mut text = format!("{}=== {}\n", step.comment, step.line);
    for field in &step.fields {
        text += &format!("{field}\n");
    }
    if !step.body.trim().is_empty() {
        text += &format!("\n{}\n", step.body.trim_end());
    }
    text + "--- " + answer.trim_end() + "\n\n"
}

/// Replaces ids, positions, times and ports, which differ from run to run.
fn normalise(text: &str) -> String {
    let mut out = replace_runs(text, ID_LEN, "ID", |c| c.is_ascii_hexdigit());
    for name in NUMBERS {
        out = replace_after(&out, &format!("\"{name}\":"), "N");
    }
    for mark in ["retry-after: ", "at revision "] {
        out = replace_after(&out, mark, "N");
    }
    replace_after(&out, "127.0.0.1:", "PORT")
}

/// Replaces each run of at least `least` characters that are `part`.
fn replace_runs(text: &str, least: usize, by: &str, part: impl Fn(char) -> bool) -> String {
    let mut out = String::new();
    let mut rest = text;
    while !rest.is_empty() {
        let run = rest.find(|c| !part(c)).unwrap_or(rest.len());
        out += if run >= least { by } else { &rest[..run] };
        let next = rest[run..]
            .chars()
            .next()
            .map_or(run, |c| run + c.len_utf8());
        out += &rest[run..next];
        rest = &rest[next..];
    }
    out
}

/// Replaces the digits after each `mark`.
fn replace_after(text: &str, mark: &str, by: &str) -> String {
    let mut parts = text.split(mark);
    let mut out = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        out += mark;
        out += if rest.len() < part.len() { by } else { "" };
        out += rest;
    }
    out
}

datatest_stable::harness! {
    { test = run, root = "tests/sessions", pattern = r".*\.txt$" },
}
