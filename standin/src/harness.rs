//! Runs hosts in the test's process against stand-ins.

use crate::{
    Caller, Endpoint, Engine, EngineConfig, ListConfig, ListServer, LogConfig, LogServer,
    default_workspaces, key_of, seed_change,
};
use gooseberrytack::{
    config::{self, Server, Workspace},
    kernel::Host,
    settings::Settings,
};
use std::{
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Model that engines of the harness have loaded.
pub const MODEL: &str = "small";

/// Longest wait for a condition; a test that reaches it has failed.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a harness starts.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Number of hosts.
    pub hosts: usize,
    /// Configurations of the engines, one for each.
    pub engines: Vec<EngineConfig>,
    /// Failure domains, assigned to hosts and to engines in turn.
    pub domains: Vec<String>,
    /// Workspaces, each with the key from `key_of`.
    pub workspaces: Vec<Workspace>,
    /// The log.
    pub log: LogConfig,
    /// The host list.
    pub list: ListConfig,
    /// Changes the settings of each host.
    pub tune: fn(&mut Settings),
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            hosts: 1,
            engines: vec![EngineConfig::default()],
            domains: vec!["a".into(), "b".into(), "c".into()],
            workspaces: default_workspaces(),
            log: LogConfig::default(),
            list: ListConfig::default(),
            tune: |_| {},
        }
    }
}

/// Hosts in this process against stand-ins.
#[derive(Debug)]
pub struct Harness {
    /// The log.
    pub log: LogServer,
    /// The host list.
    pub list: ListServer,
    /// Engines, named `e0`, `e1`, ...
    pub engines: Vec<Engine>,
    plan: Plan,
    places: Vec<Place>,
}

/// A host with its access to the log; a host that replaces another takes over its index.
#[derive(Debug)]
struct Place {
    host: Arc<Host>,
    endpoint: Endpoint,
}

impl Harness {
    /// Starts what `plan` says and declares its engines, workspaces and keys.
    ///
    /// # Panics
    /// Something does not start.
    pub fn start(plan: Plan) -> Self {
        let harness = Self::bare(plan);
        harness.seed();
        harness
    }

    /// Starts what `plan` says; the hosts have an empty configuration.
    ///
    /// # Panics
    /// Something does not start.
    pub fn bare(plan: Plan) -> Self {
        let log = LogServer::start(plan.log.clone());
        let list = ListServer::start(plan.list.clone());
        let engines = plan.engines.iter().cloned().map(Engine::start).collect();
        let mut harness = Self {
            log,
            list,
            engines,
            places: Vec::new(),
            plan,
        };
        for i in 0..harness.plan.hosts {
            let place = harness.start_place(i);
            harness.places.push(place);
        }
        wait_for("hosts ready", || {
            harness.hosts().iter().all(|h| h.is_ready())
        });
        harness
    }

    /// Declares the engines, the workspaces and their keys, and waits until every host has them.
    ///
    /// # Panics
    /// The change is not accepted.
    pub fn seed(&self) {
        let engines = self.engines.iter().zip(&self.plan.engines).enumerate();
        let servers = engines
            .map(|(i, (e, c))| Server {
                name: format!("e{i}").into(),
                addr: e.addr(),
                domain: self.domain(i).into(),
                models: vec![MODEL.into()],
                slots: c.slots,
                fenced: c.fenced,
                leaving: false,
                start: 0,
                software: "".into(),
            })
            .collect::<Vec<_>>();
        let change = seed_change(&servers, &self.plan.workspaces);
        let revision = config::apply(self.host(0), &change, TIMEOUT).expect("the seed is accepted");
        wait_for("configuration everywhere", || {
            self.hosts()
                .iter()
                .all(|h| h.config.view(|s| s.revision >= revision))
        });
    }

    /// Waits until the list has shown every host to every other one.
    ///
    /// # Panics
    /// The list does not show them.
    pub fn wait_listed(&self) {
        wait_for("all hosts listed", || {
            let hosts = self.hosts();
            let listed = |h: &Arc<Host>| {
                let shown = h.members.live().len() == hosts.len();
                shown && h.members.is_listed(&h.me.name)
            };
            hosts.iter().all(listed)
        });
    }

    /// A caller of the host at `i` for the first workspace.
    pub fn caller(&self, i: usize) -> Caller {
        self.caller_of(i, &self.plan.workspaces[0].name)
    }

    /// A caller of the host at `i` for `workspace`.
    pub fn caller_of(&self, i: usize, workspace: &str) -> Caller {
        Caller::new(self.url(i), &key_of(workspace))
    }

    /// The host at `i`.
    pub fn host(&self, i: usize) -> &Arc<Host> {
        &self.places[i].host
    }

    /// All hosts that were not stopped or killed.
    pub fn hosts(&self) -> Vec<Arc<Host>> {
        let all = self.places.iter().map(|p| p.host.clone());
        all.filter(|h| !h.is_dead()).collect()
    }

    /// Number of places, those of hosts that were stopped or killed included.
    pub fn places(&self) -> usize {
        self.places.len()
    }

    /// The log's address for the host at `i`, with its own faults.
    pub fn endpoint(&self, i: usize) -> &Endpoint {
        &self.places[i].endpoint
    }

    /// Base URL of the callers' port of the host at `i`.
    pub fn url(&self, i: usize) -> String {
        format!("http://{}", self.host(i).caller)
    }

    /// Base URL of the operators' port of the host at `i`.
    pub fn control(&self, i: usize) -> String {
        format!("http://{}", self.host(i).control)
    }

    /// Failure domain of the place or engine `i`.
    pub fn domain(&self, i: usize) -> &str {
        &self.plan.domains[i % self.plan.domains.len()]
    }

    /// Ends the host at `i` at once, as a crash would.
    pub fn kill(&self, i: usize) {
        self.host(i).kill();
    }

    /// Stops the host at `i` as planned; returns the number of requests that were cut.
    pub fn stop(&self, i: usize) -> usize {
        self.host(i).stop()
    }

    /// Puts a new host in the place of the one at `i`, which is killed unless it was stopped.
    pub fn replace(&mut self, i: usize) {
        self.kill(i);
        self.places[i] = self.start_place(i);
    }

    /// Adds a host; returns its index.
    pub fn add(&mut self) -> usize {
        let i = self.places.len();
        let place = self.start_place(i);
        self.places.push(place);
        i
    }

    fn start_place(&self, i: usize) -> Place {
        let endpoint = self.log.endpoint();
        let text = ini(
            &format!("h{i}"),
            self.domain(i),
            &endpoint.url(),
            &self.list.url(),
        );
        let mut settings = Settings::parse("harness", &text).expect("settings of the harness");
        (self.plan.tune)(&mut settings);
        let host = Host::start(settings).expect("the host starts");
        Place { host, endpoint }
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.places.iter().for_each(|p| p.host.kill());
    }
}

/// The settings that spread batch jobs over the number of streams in the environment variable
/// `JOB_STREAMS`, one if it is unset, each read by two hosts.
pub fn job_streams() -> String {
    let streams = env::var("JOB_STREAMS").unwrap_or_else(|_| "1".into());
    format!("job_streams = {streams}\njob_readers = 2\n")
}

/// The settings file of a host, with short times and with ports chosen by the operating system.
pub fn ini(name: &str, domain: &str, log: &str, list: &str) -> String {
    let streams = job_streams();
    format!(
        "[host]\nname = {name}\ndomain = {domain}\n\
         [listen]\ncaller = 127.0.0.1:0\npeer = 127.0.0.1:0\ncontrol = 127.0.0.1:0\n\
         [platform]\nlog = {log}\nlist = {list}\n\
         [stop]\nlinger_ms = 200\ndrain_ms = 30000\n\
         [log]\ninterval_ms = 5\n{streams}\
         [batch]\nlease_ms = 1500\n"
    )
}

/// Sets a flag when it is dropped, so that threads that check the flag end even if a test panics.
#[derive(Debug)]
pub struct SetOnDrop<'a>(pub &'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Polls `done` until it holds; after a minute, panics with `what` in the message.
///
/// # Panics
/// The condition did not come true.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "gave up waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
