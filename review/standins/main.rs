//! Stand-ins and checks of the cases under `review/`.
//!
//! `standins CASE FOLDER` plays a case in the root of the repository and writes FOLDER/record.txt. It exits with 1
//! if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment, the case
//! is played without its disruption.

mod client;
mod fleet;
mod server;
mod store;
mod util;

use client::{Item, Job, Listed};
use fleet::{Fleet, TENANTS};
use server::Making;
use std::{
    collections::{BTreeMap, HashSet},
    io,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};
use util::{Record, call, new_id, random};

/// Time after which a case that hangs is ended.
const LIMIT: Duration = Duration::from_secs(117);
/// `finish_s` of the sheets.
const FINISH: Duration = Duration::from_secs(18);
/// Size of a large item; the sites' items have up to 630,000 bytes.
const LARGE_ITEM: usize = 450_000;
/// Time from one job of four large items to the next, for each of four clients: some 9 MB a second in all.
const LARGE_JOB_PAUSE: Duration = Duration::from_millis(800);
/// `memory_mb` of the machines of khsa-hiu.
const MEMORY_BYTES: u64 = 140 << 20;
/// Some 110 MB of items.
const JOBS_BEFORE_RESTART: usize = 60;
/// `recover_s` of the sheets.
const RECOVER: Duration = Duration::from_secs(12);
const PLAIN: Making = Making { events: 5, pause: Duration::from_millis(30), begins_empty: false };

type Outcome = io::Result<Vec<String>>;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standins CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        eprintln!("cannot write {folder}/record.txt");
        exit(2);
    };
    let record = Arc::new(record);
    let (sender, done) = std::sync::mpsc::channel();
    let (name, kept, to) = (case.clone(), record.clone(), folder.clone());
    thread::spawn(move || {
        let result = match &*name {
            "store-full" => store_full(kept, trouble, &to),
            "late-config" => late_config(kept, trouble, &to),
            "item-tenant" => item_tenant(kept, trouble, &to),
            "item-smuggle" => item_smuggle(kept, trouble, &to),
            "restart-memory" => restart_memory(kept, trouble, &to),
            "late-append" => late_append(kept, trouble, &to),
            "empty-event" => empty_event(kept, trouble, &to),
            other => Err(io::Error::other(format!("no case {other}"))),
        };
        let _ = sender.send(result);
    });
    let code = match done.recv_timeout(LIMIT) {
        Ok(Ok(broken)) => {
            for text in &broken {
                record.say(&format!("BROKEN {text}"));
            }
            record.say(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
            i32::from(!broken.is_empty())
        }
        Ok(Err(error)) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
        Err(_) => {
            record.say("the case could not run: it took too long");
            2
        }
    };
    fleet::end_all();
    exit(code);
}

/// Keeps the processes' logs if `KEEP_LOGS` is set.
fn keep_logs(fleet: &Fleet, folder: &str) {
    if std::env::var("KEEP_LOGS").is_ok() {
        fleet.keep_logs(folder);
    }
}

/// LOST: accepted items are never listed once the store holds 400 MB, which it does as nothing is deleted.
fn store_full(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    /// Time from one job to the next, for each of four clients: some 11 MB a second in all.
    const PAUSE: Duration = Duration::from_millis(650);
    let limit = if trouble { 400 << 20 } else { u64::MAX };
    // An item takes 3 s.
    let making = Making { events: 15, pause: Duration::from_millis(200), begins_empty: false };
    let fleet = Fleet::start(record.clone(), 3, 12, making, limit)?;
    let route = fleet.route();
    let (accepted, refused) = (Mutex::new(Vec::new()), AtomicUsize::new(0));
    let left = AtomicUsize::new(260);
    let is_over = AtomicBool::new(false);
    let until = Instant::now() + Duration::from_secs(65);
    thread::scope(|scope| {
        for client in 0..4 {
            let (fleet, accepted, refused, left, is_over, route) = (&fleet, &accepted, &refused, &left, &is_over, &route);
            scope.spawn(move || {
                let take = || left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
                thread::sleep(PAUSE / 4 * client as u32);
                while !is_over.load(Ordering::SeqCst) && Instant::now() < until && take() {
                    let next = Instant::now() + PAUSE;
                    let job = Job::new(&TENANTS[client % 2], route, 4, LARGE_ITEM);
                    match job.submit(fleet) {
                        202 => accepted.lock().expect("jobs").push(job),
                        _ => {
                            // A client comes back later with other work.
                            if refused.fetch_add(1, Ordering::SeqCst) >= 12 {
                                is_over.store(true, Ordering::SeqCst);
                            }
                            thread::sleep(Duration::from_secs(1));
                        }
                    }
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
    });
    let accepted = accepted.into_inner().expect("jobs");
    record.say(&format!(
        "traffic ended: {} jobs accepted, {} not; the store holds {} bytes and answered 507 to {} appends",
        accepted.len(), refused.load(Ordering::SeqCst), fleet.store.stored(), fleet.store.refused_full.load(Ordering::SeqCst)
    ));
    if trouble && fleet.store.refused_full.load(Ordering::SeqCst) == 0 {
        return Err(io::Error::other("the store did not get full in time"));
    }
    for (topic, bytes, keys) in fleet.store.sizes() {
        record.say(&format!("newest records of {topic}: {keys}, {bytes} bytes"));
    }
    // In the last 5 s no server may be at work on an item, and in the last 3 s none may have ended.
    thread::sleep(FINISH.saturating_sub(Duration::from_secs(5)));
    let mut most = 0;
    let before = fleet.servers.seen.runs.lock().expect("runs").len();
    for _ in 0..50 {
        most = most.max(fleet.servers.seen.running.load(Ordering::SeqCst));
        thread::sleep(Duration::from_millis(100));
    }
    let runs = fleet.servers.seen.runs.lock().expect("runs").len() - before;
    record.say(&format!("in the last 5 s of finish_s, at most {most} requests ran at the 96 places of the servers, {runs} began"));
    let mut broken = Vec::new();
    for job in &accepted {
        let mut seen = Vec::new();
        let mut listed: Vec<Listed> = Vec::new();
        for node in 0..fleet.nodes.len() {
            match job.read_all(&fleet, node) {
                Ok(all) => {
                    seen.push(all.len().to_string());
                    if all.len() > listed.len() {
                        listed = all;
                    }
                }
                Err(status) => seen.push(format!("status {status}")),
            }
        }
        record.note(&format!("job {}: {} items, listed by the processes: {}", job.id, job.items.len(), seen.join(", ")));
        if listed.len() < job.items.len() {
            broken.push(format!("LOST job {}: of {} items {} are listed", job.id, job.items.len(), listed.len()));
        }
    }
    let runs = fleet.servers.seen.runs.lock().expect("runs").len();
    record.say(&format!("{runs} runs at the servers; {} of {} accepted jobs are not finished", broken.len(), accepted.len()));
    broken.truncate(5);
    keep_logs(&fleet, folder);
    Ok(broken)
}

/// Sends up to `count` online requests to the processes in turn, for 10 s at most; returns how many are served, and how
/// many were sent.
fn ask_online(fleet: &Fleet, count: usize) -> (usize, usize) {
    let until = Instant::now() + Duration::from_secs(10);
    let (mut served, mut asked) = (0, 0);
    for n in 0..count {
        if Instant::now() >= until {
            break;
        }
        asked += 1;
        let id = new_id();
        let fields = [
            ("Host", "online.example"), ("Key", TENANTS[0].key), ("Request-Id", &*id), ("Deadline-Ms", "2000"),
            ("Model", "m"), ("Token-Count", "250,50"), ("Prompt-Prefix", "9c2e41:100,5d07b8:150"),
        ];
        let got = call(fleet.nodes[n % 3].front, "POST", "/online/1", &fields, b"question", Duration::from_secs(3));
        let status = got.map_or(0, |a| a.status());
        served += usize::from(status == 200);
        fleet.record.note(&format!("request {id} to process {} answered {status}", n % 3));
        thread::sleep(Duration::from_millis(100));
    }
    (served, asked)
}

/// LOST, RECOVER: processes that start again read all jobs of before into memory, and exceed `memory_mb`.
fn restart_memory(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    let making = Making { events: 5, pause: Duration::from_millis(30), begins_empty: false };
    let fleet = Fleet::start(record.clone(), 3, 6, making, 400 << 20)?;
    let guard = fleet.guard_memory(MEMORY_BYTES);
    let route = fleet.route();
    let accepted = Mutex::new(Vec::new());
    let left = AtomicUsize::new(JOBS_BEFORE_RESTART);
    thread::scope(|scope| {
        for client in 0..4 {
            let (fleet, accepted, left, route) = (&fleet, &accepted, &left, &route);
            scope.spawn(move || {
                let take = || left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
                while take() {
                    let next = Instant::now() + LARGE_JOB_PAUSE;
                    let job = Job::new(&TENANTS[client % 2], route, 4, LARGE_ITEM);
                    if job.submit(fleet) == 202 {
                        accepted.lock().expect("jobs").push(job);
                    }
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
    });
    let accepted = accepted.into_inner().expect("jobs");
    let mut done = 0;
    for job in &accepted {
        done += usize::from(job.wait_quietly(&fleet, Duration::from_secs(10)).len() == job.items.len());
    }
    record.say(&format!("{} jobs accepted, {done} of them finished; the store holds {} bytes", accepted.len(), fleet.store.stored()));
    // The store's history has passed by then.
    thread::sleep(Duration::from_secs(21));
    let (served, asked) = ask_online(&fleet, 10);
    record.say(&format!("memory of the processes so far, at most: {:?} MB; {served} of {asked} requests served", guard.most()));
    if trouble {
        record.say("all processes are killed and start again 1 s later");
        fleet.kill_all();
        thread::sleep(Duration::from_secs(1));
        fleet.start_all()?;
    }
    thread::sleep(RECOVER);
    // Requests sent later than `recover_s` after the machines are back.
    let (served, asked) = ask_online(&fleet, 30);
    // The jobs are read from the start, again after each failure.
    let until = Instant::now() + FINISH;
    let mut unread: Vec<&Job> = accepted.iter().collect();
    let mut node = 0;
    while !unread.is_empty() && Instant::now() < until {
        unread.retain(|job| {
            Instant::now() >= until || job.read_all(&fleet, node).map_or(0, |all| all.len()) < job.items.len()
        });
        node = (node + 1) % fleet.nodes.len();
        thread::sleep(Duration::from_millis(100));
    }
    let readable = accepted.len() - unread.len();
    let ends = guard.kills();
    record.say(&format!("memory of the processes, at most: {:?} MB; ends by memory over the limit: {ends:?}", guard.most()));
    record.say(&format!("{served} of {asked} requests served, {readable} of {done} finished jobs can be read"));
    keep_logs(&fleet, folder);
    let mut broken = Vec::new();
    if served * 4 < asked {
        broken.push(format!("RECOVER {served} of {asked} requests were served"));
    }
    if readable < done {
        broken.push(format!("LOST {} of {done} finished jobs cannot be read", done - readable));
    }
    if ends.iter().filter(|n| **n >= 3).count() >= 2 {
        broken.push(format!("Fault: processes ended by memory over the limit {ends:?} times"));
    }
    Ok(broken)
}

/// MIXED: an item is a dead letter without a failure at a server, as a process does not know its new route yet.
fn late_config(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    const AWAY: Duration = Duration::from_secs(9);
    let fleet = Fleet::start(record.clone(), 3, 6, PLAIN, u64::MAX)?;
    let mut jobs = Vec::new();
    if trouble {
        record.say("the store turns process 2 away with 503 for 9 s and serves the others");
        fleet.store.turn_away(2, true);
    }
    let began = Instant::now();
    thread::sleep(Duration::from_secs(2));
    for n in 0..4 {
        let route = fleet.add_route(&format!("added{n}"));
        thread::sleep(Duration::from_millis(150));
        for _ in 0..3 {
            let job = Job::new(&TENANTS[0], &route, 30, 1500);
            // Processes 0 and 1 have the configuration: they refuse a route that they do not know with 404.
            let status = job.send(&fleet, random() as usize % 2).unwrap_or(0);
            if status == 202 {
                jobs.push(job);
            }
        }
        thread::sleep(Duration::from_millis(1400));
    }
    thread::sleep(AWAY.saturating_sub(began.elapsed()));
    fleet.store.turn_away(2, false);
    record.say(&format!("the store serves all again; {} jobs were accepted", jobs.len()));
    let mut broken = Vec::new();
    for job in &jobs {
        let listed = job.wait(&fleet, Duration::from_secs(20));
        let runs = fleet.servers.seen.runs.lock().expect("runs").clone();
        let dead: Vec<&Listed> = listed.iter().filter(|r| r.state == "dead_letter").collect();
        let never = dead.iter().filter(|r| !runs.iter().any(|run| run.id == r.id)).count();
        if !dead.is_empty() {
            broken.push(format!(
                "MIXED job {} on {}: {} of {} items are dead letters, {never} of them reached no server; no server failed an item",
                job.id, job.route.host, dead.len(), job.items.len()
            ));
        }
        if listed.len() < job.items.len() {
            record.say(&format!("job {}: {} of {} items are listed", job.id, listed.len(), job.items.len()));
        }
    }
    keep_logs(&fleet, folder);
    Ok(broken)
}

/// REFUSED: a job that got 503 at each attempt runs, as an append of it is carried out late.
fn late_append(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    const WINDOWS: usize = 3;
    let fleet = Fleet::start(record.clone(), 3, 6, PLAIN, u64::MAX)?;
    let route = fleet.route();
    let (is_over, sent) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for client in 0..24 {
            let (fleet, sent, route, is_over) = (&fleet, &sent, &route, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let job = Job::new(&TENANTS[client % 2], route, 1, 100);
                    let first = random() as usize % 3;
                    let mut answers = vec![job.send(fleet, first).unwrap_or(0)];
                    if answers[0] != 202 {
                        // The same job arrives again, at another process.
                        thread::sleep(Duration::from_millis(50));
                        answers.push(job.send(fleet, (first + 1) % 3).unwrap_or(0));
                    }
                    sent.lock().expect("jobs").push((job, answers));
                    thread::sleep(Duration::from_millis(150));
                }
            });
        }
        for _ in 0..WINDOWS {
            if trouble {
                record.say("for 4.5 s, 35 in 100 appends get no answer and are carried out 1 to 6 s later");
                fleet.store.lost_percent.store(35, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(4500));
            fleet.store.lost_percent.store(0, Ordering::Relaxed);
            thread::sleep(Duration::from_secs(4));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    thread::sleep(Duration::from_secs(12));
    let mut counts = BTreeMap::new();
    let mut broken = Vec::new();
    let runs = fleet.servers.seen.runs.lock().expect("runs").clone();
    let ran: HashSet<&str> = runs.iter().map(|r| &*r.id).collect();
    for (job, answers) in sent.into_inner().expect("jobs") {
        let has_run = job.items.iter().any(|i| ran.contains(&*i.id));
        *counts.entry((answers.clone(), has_run)).or_insert(0) += 1;
        if has_run && answers.iter().all(|s| matches!(s, 408 | 421 | 429 | 503)) {
            broken.push(format!("REFUSED job {} was answered {answers:?}; its item {} ran", job.id, job.items[0].id));
        }
    }
    for ((answers, has_run), count) in counts {
        record.say(&format!("{count} jobs answered {answers:?}, {}", if has_run { "run" } else { "not run" }));
    }
    record.say(&format!("{} appends got no answer", fleet.store.lost.load(Ordering::Relaxed)));
    keep_logs(&fleet, folder);
    Ok(broken)
}

/// UNASKED: an item runs with the `Tenant` that its sender chose, or with the key.
fn item_tenant(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    let fleet = Fleet::start(record.clone(), 3, 6, PLAIN, u64::MAX)?;
    let (other, own) = (&TENANTS[0], &TENANTS[1]);
    // The same field in an online request, for comparison.
    let id = new_id();
    let fields = [
        ("Host", "online.example"), ("Key", own.key), ("Request-Id", &id), ("Deadline-Ms", "5000"), ("Model", "m"),
        ("Token-Count", "250,50"), ("Prompt-Prefix", "9c2e41:100,5d07b8:150"), ("Tenant", other.name),
    ];
    let fields = if trouble { &fields[..] } else { &fields[..7] };
    let got = call(fleet.nodes[0].front, "POST", "/online/1", fields, b"question", Duration::from_secs(6))?;
    record.say(&format!("online request {id} of {} answered {}", own.name, got.status()));
    let mut job = Job::new(own, &fleet.route(), 10, 1500);
    if trouble {
        // As clients send them with an online request.
        for (n, item) in job.items.iter_mut().enumerate() {
            item.headers.push(match n % 2 {
                0 => ("Tenant".into(), other.name.into()),
                _ => ("Key".into(), own.key.into()),
            });
        }
    }
    let status = job.submit(&fleet);
    record.say(&format!("job {} with the key of {} answered {status}", job.id, own.name));
    let listed = job.wait(&fleet, Duration::from_secs(20));
    record.say(&format!("{} of {} items are listed", listed.len(), job.items.len()));
    let mut broken = Vec::new();
    for run in fleet.servers.seen.runs.lock().expect("runs").iter() {
        if run.tenants.iter().any(|t| t != own.name) {
            record.note(&format!("head of the run of {}:\n{}", run.id, run.head));
            broken.push(format!("UNASKED {} ran with Tenant {:?}; the key is of {}", run.id, run.tenants, own.name));
        }
        if run.head.contains(own.key) {
            record.note(&format!("head of the run of {}:\n{}", run.id, run.head));
            broken.push(format!("UNASKED {} ran; its server was passed the key {}", run.id, own.key));
        }
    }
    keep_logs(&fleet, folder);
    Ok(broken)
}

/// UNASKED: a server runs a request that was smuggled inside an item.
fn item_smuggle(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    let fleet = Fleet::start(record.clone(), 3, 6, PLAIN, u64::MAX)?;
    let (other, own) = (&TENANTS[0], &TENANTS[1]);
    let mut job = Job::new(own, &fleet.route(), 5, 64);
    let hidden: Vec<String> = (0..job.items.len()).map(|_| new_id()).collect();
    if trouble {
        for (item, id) in job.items.iter_mut().zip(&hidden) {
            smuggle(item, id, other.name);
        }
    }
    let status = job.submit(&fleet);
    record.say(&format!("job {} with the key of {} answered {status}", job.id, own.name));
    let listed = match status {
        202 => job.wait(&fleet, Duration::from_secs(15)),
        _ => Vec::new(),
    };
    record.say(&format!("{} of {} items are listed", listed.len(), job.items.len()));
    let sent: Vec<&str> = job.items.iter().map(|i| &*i.id).collect();
    let mut broken = Vec::new();
    for run in fleet.servers.seen.runs.lock().expect("runs").iter() {
        if !sent.contains(&&*run.id) {
            record.note(&format!("head of the run of {}:\n{}", run.id, run.head));
            broken.push(format!("UNASKED {} with Tenant {:?} ran at {}; no client sent it", run.id, run.tenants, run.target));
        }
    }
    broken.dedup();
    keep_logs(&fleet, folder);
    Ok(broken)
}

/// Hides a request of the tenant `tenant` in a header of `item`.
fn smuggle(item: &mut Item, id: &str, tenant: &str) {
    let value = format!(
        "1\r\nRequest-Id: {}\r\nContent-Length: 0\r\n\r\nPOST /hidden/1 HTTP/1.1\r\nHost: y35ieis.example\r\nModel: m\r\n\
         Token-Count: 250,50\r\nRequest-Id: {id}\r\nTenant: {tenant}\r\nX-Rest: 1",
        item.id
    );
    // Fields are sent in the order of their names: this one comes last.
    item.headers.push(("X-Note".into(), value));
}

/// MIXED: the text of an item lacks the line feed after a first event with empty data.
fn empty_event(record: Arc<Record>, trouble: bool, folder: &str) -> Outcome {
    let making = Making { begins_empty: trouble, ..PLAIN };
    let fleet = Fleet::start(record.clone(), 3, 6, making, u64::MAX)?;
    let job = Job::new(&TENANTS[0], &fleet.route(), 10, 1500);
    let status = job.submit(&fleet);
    record.say(&format!("job {} answered {status}", job.id));
    let listed = job.wait(&fleet, Duration::from_secs(20));
    let mut broken = Vec::new();
    for item in &listed {
        let whole = server::output(&item.id, making);
        if item.state != "succeeded" || item.text != whole {
            broken.push(format!("MIXED {} is listed as {} with {:?}; the whole output is {whole:?}", item.id, item.state, item.text));
        }
    }
    if listed.len() < job.items.len() {
        broken.push(format!("{} of {} items are listed", listed.len(), job.items.len()));
    }
    keep_logs(&fleet, folder);
    Ok(broken)
}
