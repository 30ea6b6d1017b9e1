//! The system itself, as callers use it.

use crate::{
    batch::{BatchLoad, items},
    online::Ask,
    schedule::{self, Arrival, HOSTS, WORKSPACES},
    stages,
};
use serde_json::json;
use standin::{Caller, Got, Harness, MODEL};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time for hosts to claim the parts of new jobs and for batch work to fill the servers.
const START_TIME: Duration = Duration::from_millis(2_000);

/// The hosts under test.
pub struct System<'a> {
    /// Hosts and stand-ins.
    pub harness: &'a Harness,
}

impl Ask for System<'_> {
    fn ask(&self, arrival: &Arrival, first: &mut dyn FnMut()) -> Got {
        let workspace = schedule::name(arrival.workspace);
        let caller = self.harness.caller_of(arrival.host, &workspace);
        let (sent, mut came) = (Instant::now(), false);
        caller.stream(&arrival.content, arrival.tokens, |_| {
            first();
            if !std::mem::replace(&mut came, true) {
                stages::first_token(&arrival.content, sent);
            }
        })
    }
}

impl System<'_> {
    fn caller(&self, workspace: usize) -> Caller {
        let name = schedule::name(workspace);
        self.harness.caller_of(workspace % HOSTS, &name)
    }

    fn submit(&self, label: &str, workspace: usize) -> String {
        let lines = items(label, workspace).into_iter().enumerate();
        let lines = lines.map(|(i, item)| {
            let line = json!({
                "custom_id": format!("i{i}"),
                "repeatable": true,
                "body": {
                    "model": MODEL,
                    "messages": [{"role": "user", "content": item.content}],
                    "max_tokens": item.tokens,
                },
            });
            format!("{line}\n")
        });
        let id = format!("{label}-{workspace}").replace(' ', "-");
        self.caller(workspace)
            .submit_job(&id, &lines.collect::<String>())
    }

    fn cancel(&self, workspace: usize, job: &str) {
        let path = format!("/v1/batches/{job}/cancel");
        let reply = self.caller(workspace).call("POST", &path, b"");
        assert!(reply.is_ok_and(|r| r.status == 200), "{job} is cancelled");
    }
}

impl BatchLoad for System<'_> {
    fn with_batch<R>(&self, label: &str, during: impl FnOnce() -> R) -> R {
        let jobs = each_workspace(|w| self.submit(label, w));
        thread::sleep(START_TIME);
        let result = during();
        each_workspace(|w| self.cancel(w, &jobs[w]));
        result
    }
}

/// Calls `run` for every workspace side by side.
fn each_workspace<T: Send>(run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let run = &run;
    thread::scope(|scope| {
        let threads: Vec<_> = (0..WORKSPACES)
            .map(|w| scope.spawn(move || run(w)))
            .collect();
        let done = threads.into_iter().map(|t| t.join());
        done.map(|r| r.expect("a workspace")).collect()
    })
}
