//! Processes of the system, started as the deploy file says, and the operator's configuration.

use crate::{
    server::{Making, Servers},
    store::Store,
    util::{Record, call, random},
};
use std::{
    fs,
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// A machine with a process of the system.
pub struct Node {
    child: Mutex<Child>,
    command: Vec<String>,
    log: PathBuf,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// All machines, and whether the case has ended, after which no process starts.
static ALL: Mutex<(bool, Vec<Arc<Node>>)> = Mutex::new((false, Vec::new()));

/// Ends all processes for good.
pub fn end_all() {
    let mut all = ALL.lock().expect("machines");
    all.0 = true;
    all.1.iter().for_each(|n| n.kill());
    if let Ok(file) = std::env::var("PIDS") {
        let _ = fs::write(file, "");
    }
}

impl Node {
    fn spawn(command: &[String], log: &PathBuf) -> io::Result<Child> {
        let all = ALL.lock().expect("machines");
        if all.0 {
            return Err(io::Error::other("the case has ended"));
        }
        let log = fs::File::options().create(true).append(true).open(log)?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .env("RUST_LOG", std::env::var("RUST_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // For the script, which ends what is left if this process is killed.
        if let Ok(file) = std::env::var("PIDS") {
            let mut file = fs::File::options().create(true).append(true).open(file)?;
            writeln!(file, "{}", child.id())?;
        }
        Ok(child)
    }

    fn kill(&self) {
        let mut child = self.child.lock().expect("process");
        let _ = child.kill();
        let _ = child.wait();
    }

    fn start(&self) -> io::Result<()> {
        *self.child.lock().expect("process") = Self::spawn(&self.command, &self.log)?;
        Ok(())
    }

    /// Resident bytes of the process.
    fn memory(&self) -> u64 {
        let id = self.child.lock().expect("process").id();
        let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let kilobytes = text.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) << 10
    }
}

/// What the platform saw of the memory of the processes.
pub struct Guard {
    /// For each machine, the most bytes, and how often its process was killed for its memory.
    seen: Mutex<Vec<(u64, u32)>>,
}

impl Guard {
    pub fn most(&self) -> Vec<u64> {
        self.seen.lock().expect("guard").iter().map(|s| s.0 >> 20).collect()
    }

    pub fn kills(&self) -> Vec<u32> {
        self.seen.lock().expect("guard").iter().map(|s| s.1).collect()
    }
}

/// A tenant with its key.
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
}

pub const TENANTS: [Tenant; 2] = [
    Tenant { name: "kaje80", key: "i9n73hh2b9wu3fexd9dn" },
    Tenant { name: "tuvo11", key: "n2ctnfzs989anu6wsjnb" },
];

/// A batch route.
#[derive(Clone)]
pub struct Route {
    pub host: String,
    pub prefix: String,
}

/// The platform, the servers and the processes of the system.
pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub servers: Servers,
    pub nodes: Vec<Arc<Node>>,
    routes: Mutex<(u64, Vec<Route>)>,
    max_queued: u64,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A port that is free at `ip`.
fn free(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((IpAddr::V4(ip), 0))?.local_addr()
}

/// The template of the deploy file with the settings of a machine of a small deployment.
fn settings(template: &str, n: usize, ip: Ipv4Addr, ports: [SocketAddr; 4], store: SocketAddr) -> String {
    let values = [
        ("node_name", format!("front-z{n}-1")),
        ("zone", format!("z{}", n % 3)),
        ("ip", ip.to_string()),
        ("listen.front", ports[0].to_string()),
        ("listen.ready", ports[1].to_string()),
        ("port_range.0", ports[2].port().to_string()),
        ("port_range.1", ports[3].port().to_string()),
        ("platform.addr", store.to_string()),
        ("platform.writes_per_s", "800".into()),
        ("platform.parts", "12".into()),
        ("bounds.quota_window_s", "5".into()),
        ("bounds.quota_excess", "0.1".into()),
        ("bounds.quota_slack", "20".into()),
    ];
    let mut text = template.to_string();
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), &value);
    }
    text
}

impl Fleet {
    /// Starts the store, `servers` servers and `count` processes, and waits until traffic may start: 10 s
    /// after the machines do, and once all are ready.
    pub fn start(record: Arc<Record>, count: usize, servers: usize, making: Making, limit: u64) -> io::Result<Self> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let value = |name: &str| {
            let found = deploy.lines().find_map(|l| l.strip_prefix(name)?.trim().strip_prefix('='));
            found.map(|v| v.trim().trim_matches('"').to_string()).unwrap_or_default()
        };
        let (run, template) = (value("run"), fs::read_to_string(value("template"))?);
        let folder = std::env::temp_dir().join(format!("gooseberrytack-review-{}-{:x}", std::process::id(), random()));
        fs::create_dir_all(&folder)?;
        let (store, addrs) = Store::start(count, limit)?;
        let servers = Servers::start(&store, &record, servers, making)?;
        let mut fleet = Self {
            record,
            store,
            servers,
            nodes: Vec::new(),
            routes: Mutex::default(),
            max_queued: 1_300_000,
            folder,
        };
        let began = Instant::now();
        let net = random();
        for (n, store) in addrs.iter().enumerate() {
            let ip = Ipv4Addr::new(127, 20 + (net % 200) as u8, (net >> 8) as u8, n as u8 + 1);
            let control = free(Ipv4Addr::LOCALHOST)?;
            let ports = [free(ip)?, free(ip)?, free(ip)?, control];
            let file = fleet.folder.join(format!("boot-{n}.toml"));
            fs::write(&file, settings(&template, n, ip, ports, *store))?;
            // The platform puts the settings at the place that the deploy file names.
            let words = run.split(' ').map(|w| match w.contains("boot.toml") {
                true => file.display().to_string(),
                false => w.to_string(),
            });
            let (command, log): (Vec<String>, _) = (words.collect(), fleet.folder.join(format!("node-{n}.log")));
            let child = Node::spawn(&command, &log)?;
            let text = format!("process {n} {} at {} for clients", child.id(), ports[0]);
            fleet.record.note(&text);
            let node = Arc::new(Node { child: Mutex::new(child), command, log, front: ports[0], ready: ports[1] });
            ALL.lock().expect("machines").1.push(node.clone());
            fleet.nodes.push(node);
        }
        fleet.add_route("y35ieis");
        while began.elapsed() < Duration::from_secs(25) {
            let is_ready = fleet.nodes.iter().all(|n| {
                let fields = [("Host", "ready")];
                call(n.ready, "GET", "/gooseberrytack/readyz", &fields, b"", Duration::from_secs(1))
                    .is_ok_and(|a| a.status() == 200)
            });
            if is_ready && began.elapsed() >= Duration::from_secs(10) {
                fleet.record.note("all processes are ready; traffic starts");
                return Ok(fleet);
            }
            thread::sleep(Duration::from_millis(200));
        }
        Err(io::Error::other("the processes are not ready"))
    }

    /// Kills each process whose memory exceeds `limit`, as the platform does, and starts it again 1 s later.
    pub fn guard_memory(&self, limit: u64) -> Arc<Guard> {
        let guard = Arc::new(Guard { seen: Mutex::new(vec![(0, 0); self.nodes.len()]) });
        for (n, node) in self.nodes.iter().enumerate() {
            let (node, guard, record) = (node.clone(), guard.clone(), self.record.clone());
            thread::spawn(move || {
                loop {
                    let bytes = node.memory();
                    let mut seen = guard.seen.lock().expect("guard");
                    seen[n].0 = seen[n].0.max(bytes);
                    drop(seen);
                    if bytes > limit {
                        node.kill();
                        guard.seen.lock().expect("guard")[n].1 += 1;
                        record.say(&format!("process {n} is killed, as it has {} MB; it starts again 1 s later", bytes >> 20));
                        thread::sleep(Duration::from_secs(1));
                        if node.start().is_err() {
                            return;
                        }
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
        guard
    }

    pub fn kill_all(&self) {
        self.nodes.iter().for_each(|n| n.kill());
    }

    pub fn start_all(&self) -> io::Result<()> {
        self.nodes.iter().try_for_each(|n| n.start())
    }

    /// Writes a new version of the configuration, with one more batch route.
    pub fn add_route(&self, name: &str) -> Route {
        let mut routes = self.routes.lock().expect("routes");
        let route = Route { host: format!("{name}.example"), prefix: format!("/{name}/") };
        routes.0 += 7;
        routes.1.push(route.clone());
        let service = &self.servers.service;
        let list: Vec<String> = routes.1.iter().map(|r| format!(
            r#"{{"name":"r-{0}","host":"{0}","path_prefix":"{1}","kind":"batch","timeout_ms":15000,"slo_ms":4000,"due_ms":18000,"retention_s":60.0,"priority":2,"service":"{service}","max_attempts":3,"public":false,"sticky":true,"can_resume":true,"max_queued":{2}}}"#,
            r.host, r.prefix, self.max_queued
        )).collect();
        let online = format!(
            r#"{{"name":"r-online","host":"online.example","path_prefix":"/online/","kind":"stream","timeout_ms":5000,"slo_ms":300,"priority":0,"service":"{service}","max_attempts":2,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":200}}"#
        );
        let tenants: Vec<String> = TENANTS.iter().map(|t| format!(
            r#"{{"name":"{}","api_keys":["{}"],"priority":1,"rate_per_s":47,"burst":47}}"#, t.name, t.key
        )).collect();
        let text = format!(
            r#"{{"version":{},"routes":[{online},{}],"services":[{{"name":"{service}","health_path":"/healthz","max_conns":290,"proto":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
            routes.0, list.join(","), tenants.join(",")
        );
        self.store.put("keyed.op", "config", &text);
        self.record.note(&format!("operator: version {} acknowledged, adds the batch route {}{}", routes.0, route.host, route.prefix));
        route
    }

    /// The first route.
    pub fn route(&self) -> Route {
        self.routes.lock().expect("routes").1[0].clone()
    }

    /// Copies the processes' logs beside the record.
    pub fn keep_logs(&self, to: &str) {
        for n in 0..self.nodes.len() {
            let _ = fs::copy(self.folder.join(format!("node-{n}.log")), format!("{to}/node-{n}.log"));
        }
    }
}
