//! The machines: each runs the program of the deploy file as a process, within the memory of the sheet.

use crate::{Record, http};
use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Delay from the end of a process to its next start.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const PAGE_BYTES: usize = 4096;

pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    memory_mb: usize,
    record: Arc<Record>,
    stop: AtomicBool,
    pub in_rotation: AtomicBool,
    /// Ends because the memory was over the limit, and other ends that nobody asked for.
    pub over_memory: AtomicUsize,
    pub other_ends: AtomicUsize,
    pub peak_mb: AtomicUsize,
    starts: AtomicUsize,
    child: Mutex<Option<u32>>,
}

/// A port that is free at `ip`.
pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("address").port()
}

/// What the platform tells a process.
pub struct Boot<'a> {
    pub zone: &'a str,
    pub store: SocketAddr,
    pub memory_mb: usize,
}

/// Starts machine `n` and keeps its process running.
pub fn start(n: usize, boot: &Boot, folder: &Path, record: &Arc<Record>) -> Arc<Machine> {
    let ip = format!("127.77.0.{n}");
    let (front, ready, peer) = (free_port(&ip), free_port(&ip), free_port(&ip));
    let control = free_port("127.0.0.1");
    let name = format!("front-{}-{n}", boot.zone);
    let template = fs::read_to_string("deploy/settings.ini").expect("template");
    let text = template
        .replace("{{node_name}}", &name)
        .replace("{{zone}}", boot.zone)
        .replace("{{listen.front}}", &format!("{ip}:{front}"))
        .replace("{{listen.ready}}", &format!("{ip}:{ready}"))
        .replace("{{ip}}:{{port_range.0}}", &format!("{ip}:{peer}"))
        .replace("{{port_range.1}}", &control.to_string())
        .replace("{{ip}}", &ip)
        .replace(
            "{{contracts}}",
            "base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform",
        )
        .replace("{{platform.addr}}", &boot.store.to_string())
        .replace("{{bounds.quota_window_s}}", "5")
        .replace("{{bounds.quota_excess}}", "0.1")
        .replace("{{bounds.quota_slack}}", "20")
        .replace("{{platform.writes_per_s}}", "800")
        .replace("{{platform.parts}}", "12")
        .replace(
            "{{#zones}}{{@}} = {{.}}\n{{/zones}}\n",
            "nyarugenge = kigali\ngasabo = kigali\nkicukiro = kigali\n",
        );
    assert!(!text.contains("{{"), "a field of the template is not known: {text}");
    let file = folder.join(format!("{name}.ini"));
    fs::write(&file, text).expect("settings");
    let machine = Arc::new(Machine {
        log: folder.join(format!("{name}.log")),
        name,
        front: format!("{ip}:{front}").parse().unwrap(),
        ready: format!("{ip}:{ready}").parse().unwrap(),
        file,
        memory_mb: boot.memory_mb,
        record: record.clone(),
        stop: AtomicBool::new(false),
        in_rotation: AtomicBool::new(false),
        over_memory: AtomicUsize::new(0),
        other_ends: AtomicUsize::new(0),
        peak_mb: AtomicUsize::new(0),
        starts: AtomicUsize::new(0),
        child: Mutex::default(),
    });
    let inner = machine.clone();
    thread::spawn(move || inner.run());
    let inner = machine.clone();
    thread::spawn(move || inner.watch_ready());
    machine
}

impl Machine {
    /// Ends the process for good.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        let end = Instant::now() + Duration::from_secs(3);
        while self.child.lock().unwrap().is_some() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn run(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let mut child = self.spawn();
            *self.child.lock().unwrap() = Some(child.id());
            self.record.note(&format!("{} started", self.name));
            self.follow(&mut child);
            let _ = child.kill();
            let _ = child.wait();
            *self.child.lock().unwrap() = None;
            if !self.stop.load(Ordering::Relaxed) {
                thread::sleep(RESTART_DELAY);
            }
        }
    }

    fn spawn(&self) -> Child {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let log = fs::File::create(self.log.with_extension(format!("{start}.log"))).expect("log");
        Command::new("target/release/gooseberrytack-node")
            .arg(&self.file)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file")
    }

    /// Returns when the process has ended or is to be killed.
    fn follow(&self, child: &mut Child) {
        loop {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            if let Ok(Some(status)) = child.try_wait() {
                self.other_ends.fetch_add(1, Ordering::Relaxed);
                return self.record.note(&format!("{} ended: {status}", self.name));
            }
            let mb = resident(child.id());
            self.peak_mb.fetch_max(mb, Ordering::Relaxed);
            if mb > self.memory_mb {
                self.over_memory.fetch_add(1, Ordering::Relaxed);
                return self.record.note(&format!(
                    "{} has {mb} MB, more than {}: killed",
                    self.name, self.memory_mb
                ));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Asks whether the machine is ready each second, as the platform does.
    fn watch_ready(&self) {
        let mut misses = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let limit = Duration::from_millis(900);
            let fields = [("Host", "ready")];
            let got = http::call(self.ready, "GET", "/gooseberrytack/readyz", &fields, b"", limit);
            misses = match got {
                Ok((200, _)) => 0,
                _ => misses + 1,
            };
            if misses == 0 || misses >= 2 {
                self.in_rotation.store(misses == 0, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_secs(1));
        }
    }
}

/// Resident memory of a process in MiB.
fn resident(id: u32) -> usize {
    let text = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: Option<usize> = text.split_whitespace().nth(1).and_then(|p| p.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES >> 20
}
