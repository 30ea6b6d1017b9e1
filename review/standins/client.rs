//! Clients of batch jobs.

use crate::{
    fleet::{Fleet, Route, Tenant},
    util::{Json, Message, base64, call, new_id, quote, random},
};
use std::{io, thread, time::Duration};

/// Time that a client waits for an answer to a job: the deadline of 4 s, and 1.5 s longer.
const SUBMIT_LIMIT: Duration = Duration::from_millis(5500);

pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub tokens: u32,
}

pub struct Job {
    pub id: String,
    pub tenant: &'static Tenant,
    pub route: Route,
    pub items: Vec<Item>,
}

/// A result as listed.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub text: String,
}

impl Job {
    /// A job of `count` items with bodies of `bytes` bytes.
    pub fn new(tenant: &'static Tenant, route: &Route, count: usize, bytes: usize) -> Self {
        let item = |_| {
            let id = new_id();
            Item {
                path: format!("{}{}", route.prefix, &id[..4]),
                headers: vec![
                    ("Model".into(), "m".into()),
                    ("Token-Count".into(), "250,50".into()),
                    ("Prompt-Prefix".into(), format!("9c2e41:100,{}:150", &id[..8])),
                ],
                body: (0..bytes.div_ceil(8)).flat_map(|_| random().to_le_bytes()).take(bytes).collect(),
                tokens: 300,
                id,
            }
        };
        Self { id: new_id(), tenant, route: route.clone(), items: (0..count).map(item).collect() }
    }

    fn text(&self) -> String {
        let items: Vec<String> = self.items.iter().map(|i| {
            let headers: Vec<String> = i.headers.iter().map(|(n, v)| format!("{}:{}", quote(n), quote(v))).collect();
            format!(
                r#"{{"id":"{}","path":{},"headers":{{{}}},"body":"{}","tokens":{}}}"#,
                i.id, quote(&i.path), headers.join(","), base64(&i.body), i.tokens
            )
        }).collect();
        format!("{{\"items\":[{}]}}", items.join(","))
    }

    /// Sends the job to the process `node`; notes the answer.
    pub fn send(&self, fleet: &Fleet, node: usize) -> io::Result<u16> {
        let body = self.text();
        let fields = [
            ("Host", &*self.route.host),
            ("Key", self.tenant.key),
            ("Request-Id", &*self.id),
            ("Content-Type", "application/json"),
            ("Connection", "close"),
        ];
        let target = format!("{}{}", self.route.prefix, &self.id[..6]);
        let (items, bytes) = (self.items.len(), body.len());
        fleet.record.note(&format!("job {} of {items} items, {bytes} bytes, sent to process {node}", self.id));
        let got = call(fleet.nodes[node].front, "POST", &target, &fields, body.as_bytes(), SUBMIT_LIMIT);
        let shown = got.as_ref().map_or_else(|e| e.to_string(), |a| {
            format!("{} {}", a.status(), String::from_utf8_lossy(&a.body))
        });
        fleet.record.note(&format!("job {} answered by process {node}: {shown}", self.id));
        got.map(|a| a.status())
    }

    /// Sends the job, and once more at another process if it was not accepted. Returns the last status; 0 for
    /// no answer.
    pub fn submit(&self, fleet: &Fleet) -> u16 {
        let first = random() as usize % fleet.nodes.len();
        let status = self.send(fleet, first).unwrap_or(0);
        if status == 202 || matches!(status, 400..=428) {
            return status;
        }
        thread::sleep(Duration::from_millis(100));
        self.send(fleet, (first + 1) % fleet.nodes.len()).unwrap_or(0)
    }

    fn get(&self, fleet: &Fleet, node: usize, target: &str) -> io::Result<Message> {
        let fields = [("Host", &*self.route.host), ("Key", self.tenant.key), ("Connection", "close")];
        call(fleet.nodes[node].front, "GET", target, &fields, b"", Duration::from_secs(4))
    }

    /// Results from the position `after` on at the process `node`, and the total.
    pub fn read(&self, fleet: &Fleet, node: usize, after: usize) -> Result<(Vec<Listed>, usize), u16> {
        let got = self.get(fleet, node, &format!("/gooseberrytack/lots/{}?after={after}", self.id)).map_err(|_| 0u16)?;
        if got.status() != 200 {
            return Err(got.status());
        }
        let json = Json::parse(&String::from_utf8_lossy(&got.body)).ok_or(1u16)?;
        let listed = json.get("results").list().iter().map(|r| Listed {
            id: r.get("id").text().into(),
            state: r.get("state").text().into(),
            text: r.get("text").text().into(),
        });
        Ok((listed.collect(), json.get("total").number() as usize))
    }

    /// All results that the process `node` lists now.
    pub fn read_all(&self, fleet: &Fleet, node: usize) -> Result<Vec<Listed>, u16> {
        let mut all = Vec::new();
        loop {
            let (page, total) = self.read(fleet, node, all.len())?;
            let is_last = page.is_empty();
            all.extend(page);
            if is_last || all.len() >= total {
                return Ok(all);
            }
        }
    }

    /// Reads until all items are listed or `limit` is over.
    pub fn wait_quietly(&self, fleet: &Fleet, limit: Duration) -> Vec<Listed> {
        let began = std::time::Instant::now();
        loop {
            let all = self.read_all(fleet, 0).unwrap_or_default();
            if all.len() >= self.items.len() || began.elapsed() >= limit {
                return all;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Reads twice a second until all items are listed or `limit` is over; notes each new result.
    pub fn wait(&self, fleet: &Fleet, limit: Duration) -> Vec<Listed> {
        let began = std::time::Instant::now();
        let mut all: Vec<Listed> = Vec::new();
        let mut node = 0;
        while all.len() < self.items.len() && began.elapsed() < limit {
            match self.read(fleet, node, all.len()) {
                Ok((page, _)) => {
                    for r in &page {
                        fleet.record.note(&format!("job {} lists {} as {}: {:?}", self.id, r.id, r.state, r.text));
                    }
                    all.extend(page);
                }
                Err(status) => fleet.record.note(&format!("job {} read at process {node}: status {status}", self.id)),
            }
            node = (node + 1) % fleet.nodes.len();
            thread::sleep(Duration::from_millis(500));
        }
        all
    }
}
