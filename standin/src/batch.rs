//! Batch jobs as callers send and read them.

use crate::{Caller, Engine, Harness, MODEL, answer_to, wait_for};
use gooseberrytack::http::{Reply, SendError};
use serde_json::{Value, json};

/// One result line as a caller reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobLine {
    /// The caller's id of the item.
    pub id: String,
    /// Status of the item.
    pub status: String,
    /// Text of the answer, empty if there is none.
    pub text: String,
}

/// Prompt of the item `index` of the job `name`.
pub fn item_prompt(name: &str, index: usize) -> String {
    format!("{name} item {index}")
}

/// The expected answer to the item `index` of the job `name`.
pub fn item_answer(name: &str, index: usize, tokens: u32) -> String {
    answer_to(&item_prompt(name, index), tokens)
}

/// One input line: the item `index` of the job `name` in JSON.
pub fn item_line(name: &str, index: usize, tokens: u32, repeatable: bool) -> Value {
    json!({
        "custom_id": format!("i{index}"),
        "repeatable": repeatable,
        "body": {
            "model": MODEL,
            "messages": [{"role": "user", "content": item_prompt(name, index)}],
            "max_tokens": tokens,
        },
    })
}

/// The items of the job `name` as JSON lines.
pub fn job_lines(name: &str, items: usize, tokens: u32) -> String {
    (0..items)
        .map(|i| format!("{}\n", item_line(name, i, tokens, true)))
        .collect()
}

/// The items of the job `name` as JSON lines; every third, from the first on, is not repeatable.
pub fn mixed_lines(name: &str, items: usize, tokens: u32) -> String {
    (0..items)
        .map(|i| format!("{}\n", item_line(name, i, tokens, i % 3 != 0)))
        .collect()
}

impl Harness {
    /// Number of generations started for `prompt`, over all engines.
    pub fn runs_of(&self, prompt: &str) -> usize {
        let wanted = format!("user: {prompt}\n");
        let runs = self.engines.iter().flat_map(Engine::runs);
        runs.filter(|r| *r.prompt == *wanted).count()
    }

    /// Checks every result of the ended job `name` of `mixed_lines`, as `caller` reads it.
    ///
    /// # Panics
    /// A result is missing or wrong, or an item that is not repeatable ran twice.
    pub fn check_mixed(&self, caller: &Caller, name: &str, job: &str, items: usize, tokens: u32) {
        let lines = caller.job_results(job).expect("results");
        assert_eq!(lines.len(), items);
        for (i, line) in lines.iter().enumerate() {
            let unknown = line.status == "unknown" && i % 3 == 0;
            let whole = line.text == item_answer(name, i, tokens);
            assert!(unknown || whole, "{line:?}");
            let runs = self.runs_of(&item_prompt(name, i));
            assert!(i % 3 != 0 || runs <= 1, "item {i} ran {runs} times");
        }
    }
}

impl Caller {
    /// Sends a job under the client-given id `id`.
    ///
    /// # Errors
    /// No whole answer came.
    pub fn send_job(&self, id: &str, lines: &str) -> Result<Reply, SendError> {
        let path = format!("/v1/batches?id={id}");
        self.call("POST", &path, lines.as_bytes())
    }

    /// Sends a job, again while it is refused for now; returns the id that the system gave it.
    ///
    /// # Panics
    /// It is not accepted.
    pub fn submit_job(&self, id: &str, lines: &str) -> String {
        let mut job = None;
        wait_for(&format!("accept of {id}"), || {
            job = self.try_job(id, lines);
            job.is_some()
        });
        job.expect("an id")
    }

    /// Sends a job once; `None` if it may be sent again: no answer, or status 429 or 503.
    ///
    /// # Panics
    /// It is refused for good.
    pub fn try_job(&self, id: &str, lines: &str) -> Option<String> {
        let reply = self.send_job(id, lines).ok()?;
        let text = String::from_utf8_lossy(&reply.body);
        if matches!(reply.status, 429 | 503) {
            return None;
        }
        assert_eq!(reply.status, 200, "{text}");
        let value: Value = serde_json::from_str(&text).expect("JSON");
        Some(value["id"].as_str().expect("an id").to_string())
    }

    /// The job's state in JSON, if the host answers with one.
    pub fn job(&self, job: &str) -> Option<Value> {
        let reply = self.call("GET", &format!("/v1/batches/{job}"), b"").ok()?;
        (reply.status == 200).then(|| serde_json::from_slice(&reply.body).expect("JSON"))
    }

    /// Waits until the job is completed or cancelled; returns its state in JSON.
    ///
    /// # Panics
    /// It does not end.
    pub fn wait_job(&self, job: &str) -> Value {
        let mut last = Value::Null;
        wait_for(&format!("end of {job}"), || {
            if let Some(view) = self.job(job) {
                last = view;
            }
            last["status"] == "completed" || last["status"] == "cancelled"
        });
        last
    }

    /// All results of the job, read in one answer; `None` if the host does not give them.
    pub fn job_results(&self, job: &str) -> Option<Vec<JobLine>> {
        let path = format!("/v1/batches/{job}/results");
        let reply = self.call("GET", &path, b"").ok()?;
        if reply.status != 200 {
            return None;
        }
        let text = String::from_utf8(reply.body).expect("UTF-8");
        let lines = text.lines().map(|line| {
            let value: Value = serde_json::from_str(line).expect("JSON");
            parse_line(&value)
        });
        Some(lines.collect())
    }

    /// A page of results with the index where the next one starts.
    ///
    /// # Panics
    /// The host answers with an error.
    pub fn job_page(&self, job: &str, from: usize, limit: usize) -> (Vec<JobLine>, Option<u64>) {
        let path = format!("/v1/batches/{job}/results?from={from}&limit={limit}");
        let reply = self.call("GET", &path, b"").expect("an answer");
        assert_eq!(reply.status, 200);
        let value: Value = serde_json::from_slice(&reply.body).expect("JSON");
        let lines = value["data"].as_array().expect("a list");
        (
            lines.iter().map(parse_line).collect(),
            value["next"].as_u64(),
        )
    }
}

fn parse_line(value: &Value) -> JobLine {
    let text = value["response"]["body"]["choices"][0]["message"]["content"].as_str();
    JobLine {
        id: value["custom_id"].as_str().unwrap_or_default().into(),
        status: value["status"].as_str().unwrap_or_default().into(),
        text: text.unwrap_or_default().into(),
    }
}
