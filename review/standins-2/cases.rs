//! The cases, and what they have in common.

use crate::{
    Record,
    hosts::{self, Boot, Machine, free_port},
    http,
    servers::{self, STRIDE, Shared, data},
    store::{Store, base64},
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// The sheet of khsa-hiu: 9 machines, of which a small deployment has 3; 12 servers.
const MACHINES: usize = 3;
const SERVERS: usize = 12;
const ZONES: [&str; 3] = ["nyarugenge", "gasabo", "kicukiro"];
const MEMORY_MB: usize = 140;
/// A step takes 2.2 ms and an event holds 10 tokens.
const PACE: Duration = Duration::from_millis(22);
const HISTORY: Duration = Duration::from_secs(20);
const STORE_BYTES: usize = 400_000_000;
const FINISH: Duration = Duration::from_secs(18);
const DEADLINE: Duration = Duration::from_millis(4000);
const NAME: &str = "nony24.example";
/// Tenants, each with one key.
const TENANTS: [(&str, &str); 8] = [
    ("kaje80", "i9n73hh2b9wu3fexd9dn"),
    ("lobu11", "n2ctnfzs989anu6wsjnb"),
    ("miro42", "q8w4xk2v7tb5hy9zr3cm"),
    ("nase07", "p5d1gj6f8sl0ua2oe4iv"),
    ("pufa63", "z3m7nb9c1xk5vl8qw2rt"),
    ("rema29", "y6h4jf0d8sg2ap1ou7ie"),
    ("sito55", "t9r3ew5q7yu1io4pa6sd"),
    ("tuve91", "f2g8hj4k6lz0xc3vb5nm"),
];
const QUEUED: u64 = 1_300_000;

#[derive(Clone)]
struct Item {
    id: String,
    events: u32,
}

struct Job {
    id: String,
    key: &'static str,
    items: Vec<Item>,
    accepted: Option<Instant>,
}

struct Play {
    record: Arc<Record>,
    store: Arc<Store>,
    shared: Arc<Shared>,
    machines: Vec<Arc<Machine>>,
    jobs: Mutex<Vec<Job>>,
    turn: AtomicUsize,
}

/// Sizes of the items of a case.
#[derive(Clone, Copy)]
struct Sizes {
    items: usize,
    body: usize,
    events: u32,
    /// Tenants that send the jobs in turn.
    tenants: usize,
}

pub fn run(case: &str, trouble: bool, temp: &Path, record: Arc<Record>) -> i32 {
    let (pace, event_bytes) = match case {
        "open" | "refused" => (PACE, 80),
        _ => (PACE, 480),
    };
    let Some(play) = Play::start(temp, &record, pace, event_bytes) else {
        return 2;
    };
    let broken = match case {
        "results" => play.results(trouble),
        "open" => play.open_jobs(trouble),
        "refused" => play.refused_jobs(trouble),
        _ => return 2,
    };
    play.end();
    record.note(if broken { "the rule was broken" } else { "the rule held" });
    i32::from(broken)
}

fn config(service: &str) -> String {
    let tenant = |(name, key): &(&str, &str)| {
        format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1,"rate_per_s":47,"burst":47}}"#)
    };
    let tenants: Vec<String> = TENANTS.iter().map(tenant).collect();
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"{NAME}","path_prefix":"/lohu930/","kind":"stream","timeout_ms":5000,"slo_ms":300,"priority":0,"service":"{service}","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":200}},{{"name":"r-2","host":"{NAME}","path_prefix":"/pule252/","kind":"batch","timeout_ms":15000,"slo_ms":400,"priority":2,"service":"{service}","max_attempts":3,"public":false,"sticky":true,"due_ms":18000,"retention_s":300,"max_queued":{QUEUED}}}],"services":[{{"name":"{service}","health_path":"/healthz","max_conns":290,"proto":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

impl Play {
    fn start(temp: &Path, record: &Arc<Record>, pace: Duration, event_bytes: usize) -> Option<Self> {
        let addr: SocketAddr = format!("127.77.2.1:{}", free_port("127.77.2.1")).parse().ok()?;
        let store = Store::start(addr, HISTORY, STORE_BYTES).ok()?;
        store.put("keyed.op", "config", &config("huvo11a"));
        let shared = Arc::new(Shared {
            pace,
            event_bytes,
            runs: Mutex::default(),
            done: AtomicUsize::new(0),
            done_at: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            began: Instant::now(),
        });
        for n in 1..=SERVERS {
            let ip = format!("127.77.1.{n}");
            let at = format!("{ip}:{}", free_port(&ip)).parse().ok()?;
            let (id, zone) = (format!("i-7f3a91{n:02}"), ZONES[n % ZONES.len()]);
            servers::start(&id, "huvo11a", zone, at, store.clone(), shared.clone()).ok()?;
        }
        let machine = |n: usize| {
            let boot = Boot {
                zone: ZONES[n % ZONES.len()],
                store: addr,
                memory_mb: MEMORY_MB,
            };
            hosts::start(n, &boot, temp, record)
        };
        let play = Self {
            record: record.clone(),
            store,
            shared,
            machines: (1..=MACHINES).map(machine).collect(),
            jobs: Mutex::default(),
            turn: AtomicUsize::new(0),
        };
        // Traffic starts 10 s after the machines do.
        let end = Instant::now() + Duration::from_secs(10);
        let ready = |m: &Arc<Machine>| m.in_rotation.load(Ordering::Relaxed);
        while Instant::now() < end && !play.machines.iter().all(ready) {
            thread::sleep(Duration::from_millis(100));
        }
        if !play.machines.iter().all(ready) {
            record.note("not all machines became ready");
            play.end();
            return None;
        }
        thread::sleep(Duration::from_secs(2));
        Some(play)
    }

    fn end(&self) {
        for m in &self.machines {
            let (over, other) = (&m.over_memory, &m.other_ends);
            self.record.note(&format!(
                "{}: killed for memory {} times, other ends {}, peak {} MB",
                m.name,
                over.load(Ordering::Relaxed),
                other.load(Ordering::Relaxed),
                m.peak_mb.load(Ordering::Relaxed)
            ));
        }
        self.machines.iter().for_each(|m| m.stop());
        let (stored, full) = self.store.stored();
        let megabytes = stored / 1_000_000;
        self.record.note(&format!("the store keeps {megabytes} MB for good; {full} appends got 507"));
    }

    /// The next machine in rotation, or the next of all if there is none.
    fn machine(&self) -> &Machine {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let ready = |m: &&Arc<Machine>| m.in_rotation.load(Ordering::Relaxed);
        let live: Vec<_> = self.machines.iter().filter(ready).collect();
        match live.is_empty() {
            true => &self.machines[turn % self.machines.len()],
            false => live[turn % live.len()],
        }
    }

    /// Submits job `n`; sends it again at other machines, as clients do. Whether it was accepted.
    fn submit(&self, n: usize, sizes: Sizes) -> bool {
        let id = format!("7c41e09b52d6{n:04x}");
        let key = TENANTS[n % sizes.tenants].1;
        let items: Vec<Item> = (0..sizes.items)
            .map(|i| Item {
                id: format!("e5b2907c{n:04x}{i:04x}"),
                events: sizes.events,
            })
            .collect();
        let body = base64(&vec![b'x'; sizes.body]);
        let tokens = 350 + sizes.events * STRIDE;
        let item = |item: &Item| {
            format!(
                r#"{{"id":"{}","path":"/pule252/3/91c4","headers":{{"Model":"m","Token-Count":"350,{}","Prompt-Prefix":"9c2e41:100,{}:250"}},"body":"{body}","tokens":{tokens}}}"#,
                item.id,
                item.events * STRIDE,
                item.id
            )
        };
        let list: Vec<String> = items.iter().map(item).collect();
        let text = format!(r#"{{"items":[{}]}}"#, list.join(","));
        let mut is_accepted = false;
        for attempt in 1..=3 {
            let machine = self.machine();
            let fields = [
                ("Host", NAME),
                ("Key", key),
                ("Request-Id", &id),
                ("Content-Type", "application/json"),
            ];
            let target = format!("/pule252/{id}");
            let sent = text.as_bytes();
            let got = http::call(machine.front, "POST", &target, &fields, sent, DEADLINE);
            let status = got.map_or("no answer".into(), |(s, _)| s.to_string());
            self.record.note(&format!(
                "job {id} of {} items, {} bytes, try {attempt} at {}: {status}",
                items.len(),
                text.len(),
                machine.name
            ));
            if status == "202" {
                is_accepted = true;
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        let accepted = is_accepted.then(Instant::now);
        let job = Job {
            id,
            key,
            items,
            accepted,
        };
        self.jobs.lock().unwrap().push(job);
        is_accepted
    }

    /// Submits `count` jobs, one each `gap`, from threads of their own.
    fn submit_all(&self, first: usize, count: usize, gap: Duration, sizes: Sizes) {
        let began = Instant::now();
        thread::scope(|scope| {
            for n in 0..count {
                let due = began + gap * n as u32;
                thread::sleep(due.saturating_duration_since(Instant::now()));
                scope.spawn(move || self.submit(first + n, sizes));
            }
        });
    }

    /// Results of a job as clients read them: (id, state, text) from position `after` on.
    fn read(&self, job: &Job, after: usize) -> Result<(usize, Vec<(String, String, String)>), String> {
        let machine = self.machine();
        let target = format!("/gooseberrytack/lots/{}?after={after}", job.id);
        let fields = [("Host", NAME), ("Key", job.key)];
        let limit = Duration::from_millis(2500);
        let got = http::call(machine.front, "GET", &target, &fields, b"", limit);
        match got {
            Ok((200, body)) => parse(&body).ok_or_else(|| "a page that cannot be read".into()),
            Ok((status, _)) => Err(format!("{status} at {}", machine.name)),
            Err(error) => Err(format!("{error} at {}", machine.name)),
        }
    }

    /// Reads each accepted job from the start, again after each failure, until `end`. Returns the jobs that could
    /// not be read, the items that are not listed, and those with another text than theirs.
    fn read_all(&self, end: Instant) -> (usize, usize, usize) {
        let jobs = self.jobs.lock().unwrap();
        let accepted: Vec<&Job> = jobs.iter().filter(|j| j.accepted.is_some()).collect();
        let next = AtomicUsize::new(0);
        let sums = Mutex::new((0, 0, 0));
        thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| {
                    while let Some(job) = accepted.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let (unread, missing, wrong) = self.read_one(job, end);
                        let mut sums = sums.lock().unwrap();
                        sums.0 += usize::from(unread);
                        sums.1 += missing;
                        sums.2 += wrong;
                    }
                });
            }
        });
        let sums = sums.into_inner().unwrap();
        self.record.note(&format!(
            "of {} accepted jobs {} cannot be read, {} items are not listed, {} have a wrong result",
            accepted.len(),
            sums.0,
            sums.1,
            sums.2
        ));
        sums
    }

    fn read_one(&self, job: &Job, end: Instant) -> (bool, usize, usize) {
        let mut listed: BTreeMap<String, (String, String)> = BTreeMap::new();
        let (mut position, mut was_read, mut last) = (0, false, String::new());
        loop {
            match self.read(job, position) {
                Ok((_, results)) => {
                    was_read = true;
                    position += results.len();
                    let is_end = results.is_empty();
                    for (id, state, text) in results {
                        listed.insert(id, (state, text));
                    }
                    if is_end || position >= job.items.len() {
                        break;
                    }
                }
                Err(error) => {
                    last = error;
                    if Instant::now() >= end {
                        break;
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            }
        }
        let size = self.shared.event_bytes;
        let is_wrong = |item: &&Item| {
            listed.get(&item.id).is_some_and(|(state, text)| {
                let events = (1..=item.events).map(|n| data(&item.id, n, size));
                let whole = events.collect::<Vec<_>>().join("\n");
                state != "succeeded" || *text != whole
            })
        };
        let wrong = job.items.iter().filter(is_wrong).count();
        let missing = job.items.iter().filter(|i| !listed.contains_key(&i.id)).count();
        let is_unread = !was_read || (position < job.items.len() && !last.is_empty());
        if is_unread || missing > 0 || wrong > 0 {
            self.record.note(&format!(
                "job {}: {} of {} items listed, {wrong} wrong; last error: {last}",
                job.id,
                listed.len(),
                job.items.len()
            ));
        }
        (is_unread, missing, wrong)
    }

    /// Waits until all items were run and the servers are idle, `limit` at most.
    fn wait_done(&self, limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let jobs = self.jobs.lock().unwrap();
            let items: usize = jobs.iter().filter(|j| j.accepted.is_some()).map(|j| j.items.len()).sum();
            drop(jobs);
            let idle = self.shared.running.load(Ordering::Relaxed) == 0;
            if idle && self.shared.done.load(Ordering::Relaxed) >= items {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
        let done = self.shared.done.load(Ordering::Relaxed);
        self.record.note(&format!("servers finished {done} runs of items"));
    }

    /// Whether accepted jobs are lost, or processes were killed for memory three times on two machines. Items that
    /// servers still run are not lost.
    fn is_broken(&self, unread: usize, missing: usize, wrong: usize) -> bool {
        let over = |m: &Arc<Machine>| m.over_memory.load(Ordering::Relaxed);
        let thrice = self.machines.iter().filter(|m| over(m) >= 3).count();
        let all: usize = self.machines.iter().map(over).sum();
        let running = self.shared.running.load(Ordering::Relaxed);
        let since = self.shared.began.elapsed().as_millis() as u64;
        let quiet = since - self.shared.done_at.load(Ordering::Relaxed);
        self.record.note(&format!(
            "killed for memory {all} times, on {thrice} machines three times or more; servers run {running} items, \
             the last one ended {quiet} ms ago"
        ));
        let is_calm = running == 0 && quiet > 5000;
        unread > 0 || wrong > 0 || (missing > 0 && is_calm) || thrice >= 2
    }

    /// Many batch jobs: their results stay in the memory of each process.
    fn results(&self, trouble: bool) -> bool {
        let sizes = Sizes {
            items: 10,
            body: 1500,
            events: 343,
            tenants: 1,
        };
        // As many jobs a second as the sheet has by itself, or twice as many.
        let (count, gap) = match trouble {
            true => (72, Duration::from_millis(730)),
            false => (20, Duration::from_millis(1460)),
        };
        self.submit_all(0, count, gap, sizes);
        self.wait_done(FINISH);
        let (unread, missing, wrong) = self.read_all(Instant::now() + Duration::from_secs(15));
        self.is_broken(unread, missing, wrong)
    }

    /// Jobs with long bodies come faster than the servers can do them, within each tenant's limit of waiting tokens.
    fn open_jobs(&self, trouble: bool) -> bool {
        let sizes = Sizes {
            items: 200,
            body: if trouble { 9_300 } else { 500 },
            events: 20,
            tenants: TENANTS.len(),
        };
        self.submit_all(0, 84, Duration::from_millis(245), sizes);
        self.wait_done(Duration::from_secs(if trouble { 50 } else { 75 }));
        let (unread, missing, wrong) = self.read_all(Instant::now() + Duration::from_secs(15));
        self.is_broken(unread, missing, wrong)
    }

    /// Answers of the store are lost while jobs with long bodies come; what is left of refused jobs stays in memory.
    fn refused_jobs(&self, trouble: bool) -> bool {
        let sizes = Sizes {
            items: 10,
            body: 185_000,
            events: 10,
            tenants: TENANTS.len(),
        };
        thread::scope(|scope| {
            scope.spawn(|| self.submit_all(0, 76, Duration::from_millis(245), sizes));
            for _ in 0..2 {
                thread::sleep(Duration::from_millis(4000));
                if trouble {
                    self.store.lose(35);
                }
                thread::sleep(Duration::from_millis(4500));
                self.store.lose(0);
                self.record.note(&format!("the store lost {} answers so far", self.store.late()));
            }
        });
        thread::sleep(FINISH);
        let (unread, missing, wrong) = self.read_all(Instant::now() + Duration::from_secs(15));
        self.is_broken(unread, missing, wrong)
    }
}

/// The `total` of a page and its results.
fn parse(body: &[u8]) -> Option<(usize, Vec<(String, String, String)>)> {
    let text = std::str::from_utf8(body).ok()?;
    let total = text.split_once("\"total\":")?.1;
    let total = total.split([',', '}']).next()?.trim().parse().ok()?;
    let field = |part: &str, name: &str| {
        let rest = part.split_once(&format!("\"{name}\":\""))?.1;
        Some(rest[..rest.find('"')?].replace("\\n", "\n"))
    };
    let mut results = Vec::new();
    for part in text.split("{\"id\":\"").skip(1) {
        let id = part[..part.find('"')?].to_string();
        results.push((id, field(part, "state")?, field(part, "text")?));
    }
    Some((total, results))
}
