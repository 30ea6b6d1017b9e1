//! One host: its state, ports and threads, and their start and stop.

use super::{
    Edges, On, Plugin, Port, RelayLog,
    ports::{collector, listen},
    tasks,
};
use crate::{
    batch::Batch,
    clock::{Clock, SystemClock, Time},
    config,
    declared::Declared,
    entry::withdraw::Withdrawals,
    error::{Fail, Kind, Res},
    fold::{Fold, Follower},
    gate::Gates,
    http::{Bounds, Client, Exchange, Server, SlowReaders},
    job,
    limit::{Homes, Limits},
    member::Members,
    metrics::{LogWatch, Meters, Served},
    once::Calls,
    order::Orders,
    pass::{AttemptRegistry, Dialect},
    quarantine::{Quarantine, Segments},
    resume::{Origins, Resume},
    route::Routes,
    settings::Settings,
    snapshot::Snapshots,
    store::{SharedHosts, SharedLog},
    timeline::{Happening, Timeline},
    tunnel::Tunnels,
    wire::{Name, Peer},
};
use cadence::StatsdClient;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// A follower of one stream on this daemon's log and clock.
pub type Follow<F> = Arc<Follower<F, RelayLog, SystemClock>>;
/// Follower of the configuration.
pub type ConfigFollower = Follow<config::State>;
/// Follower of a stream of batch jobs.
pub type JobFollower = Follow<job::State>;
/// Follower of the rate shares.
pub type HomesFollower = Follow<Homes>;
/// Follower of the records of calls that run at most once.
pub type CallsFollower = Follow<Calls>;
/// Follower of the quarantine of prompt segments.
pub type QuarantineFollower = Follow<Quarantine>;

/// Follower of the software versions at which streams began.
pub type OriginsFollower = Follow<Origins>;

/// One host with all its roles.
#[derive(Debug)]
pub struct Host {
    /// Settings that the host was started with.
    pub settings: Settings,
    /// This host's name, peer address and failure domain, as its peers know them.
    pub me: Peer,
    /// Clock of all its timers.
    pub clock: SystemClock,
    /// HTTP client for all calls to other processes.
    pub client: Client,
    /// The log without the relay, for roles that read it besides the followers.
    pub log: SharedLog,
    /// The log, reached through peers while this host cannot reach it directly.
    pub relay: RelayLog,
    /// The platform's host list.
    pub list: SharedHosts,
    /// Follower of the configuration.
    pub config: ConfigFollower,
    /// Follower of the rate shares.
    pub homes: HomesFollower,
    /// Follower of the calls that run at most once.
    pub calls: CallsFollower,
    /// Follower of the quarantine of prompt segments.
    pub quarantine: QuarantineFollower,
    /// Follower of the software versions at which streams began.
    pub origins: OriginsFollower,
    /// What else this host knows of the software versions of streams.
    pub resume: Resume,
    /// What this host knows of prompt segments by itself and from reports.
    pub segments: Segments,
    /// Membership: the other hosts and whether they answer.
    pub members: Members,
    /// Admission to the backend servers.
    pub gates: Gates,
    /// Routing state.
    pub routes: Routes,
    /// Token buckets of the rate limits.
    pub limits: Limits,
    /// API keys that peers reported as withdrawn.
    pub withdrawals: Withdrawals,
    /// State of batch work.
    pub batch: Batch,
    /// State of the snapshots of the streams.
    pub snapshots: Snapshots,
    /// Load and unload orders to backend servers.
    pub orders: Orders,
    /// Recent events of this host.
    pub timeline: Timeline,
    /// Log state that was last reported as an event.
    pub watch: LogWatch,
    /// Latencies and counts of requests since the last report.
    pub served: Served,
    /// Client that pushes metrics to a StatsD collector.
    pub metrics: Arc<StatsdClient>,
    /// Metrics that a collector scrapes.
    pub meters: Arc<Meters>,
    /// Address of the metrics port; `None` if there is none or it could not be bound.
    pub metrics_addr: Option<SocketAddr>,
    /// Address of the callers' port.
    pub caller: SocketAddr,
    /// Address of the operators' port.
    pub control: SocketAddr,
    /// Configuration that an outside system declares.
    pub declared: Declared,
    /// Attempts in progress that pass requests on unchanged.
    pub passing: AttemptRegistry,
    /// Connections to servers through peers.
    pub tunnels: Tunnels,
    /// Names of the servers' protocol where requests are passed on unchanged, else `None`.
    pub dialect: Option<&'static Dialect>,
    stopping: AtomicBool,
    /// When the planned stop aborts what is in progress; set when it begins.
    ends: OnceLock<Time>,
    dead: AtomicBool,
    /// Notified when the host is dead; interrupts sleeping tasks.
    death: (Mutex<()>, Condvar),
    servers: Mutex<Vec<Server>>,
}

impl Host {
    /// Starts a host: binds its ports, follows the log and runs the tasks of every plug-in.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub fn start(settings: Settings) -> io::Result<Arc<Self>> {
        let edges = |client: &Client| Edges::own(&settings, client);
        Self::start_with(settings.clone(), edges)
    }

    /// Whether the configuration comes through this product's own interface and its log.
    pub fn is_own(&self) -> bool {
        self.dialect.is_none()
    }

    /// Starts a host with `edges` in place of this product's own.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub fn start_with(
        settings: Settings,
        edges: impl FnOnce(&Client) -> Edges,
    ) -> io::Result<Arc<Self>> {
        let clock = SystemClock::new();
        let client = Client::bounded(settings.reply, settings.replies);
        let Edges { log, list, outside } = edges(&client);
        let proxy = outside.map(|o| o.handler);
        let peer_bounds = Bounds {
            idle: Duration::from_secs(60),
            bodies: settings.bounds.bodies,
            ..Bounds::default()
        };
        let unread = settings.unread;
        let slow = unread.map(|u| SlowReaders::new(u.bytes, u.silence));
        let slot: Arc<OnceLock<Arc<Host>>> = Arc::default();
        let relay = RelayLog::new(log.clone(), slot.clone());
        let listen =
            |addr, bounds, port, handler| listen(addr, bounds, port, &slot, slow.as_ref(), handler);
        let caller = listen(settings.caller, settings.bounds, Port::Caller, proxy)?;
        let peer = listen(settings.peer, peer_bounds, Port::Peer, None)?;
        let control = listen(settings.control, peer_bounds, Port::Control, None)?;
        let side = |addr: Option<SocketAddr>, port| {
            let server = addr.map(|a| listen(a, peer_bounds, port, None));
            server.transpose()
        };
        let ready = side(settings.ready, Port::Ready)?;
        // A host serves requests without its metrics port.
        let scrapes = side(settings.metrics, Port::Metrics).unwrap_or_else(|error| {
            tracing::error!(addr = ?settings.metrics, %error, "metrics_not_served");
            None
        });
        let metrics_addr = scrapes.as_ref().map(Server::addr);
        let me = Peer {
            name: start_name(&settings.name),
            addr: peer.addr(),
            domain: settings.domain.clone(),
        };
        let metrics = Arc::new(collector(settings.statsd)?);
        let meters = Arc::new(Meters::default());
        let host = Arc::new(Self {
            config: follow(&relay, &clock, &settings),
            homes: follow(&relay, &clock, &settings),
            calls: follow(&relay, &clock, &settings),
            quarantine: follow(&relay, &clock, &settings),
            segments: Segments::default(),
            origins: follow(&relay, &clock, &settings),
            resume: Resume::default(),
            members: Members::new(&me, &settings),
            gates: Gates::default(),
            routes: Routes::new(settings.retries),
            limits: Limits::new(&settings),
            withdrawals: Withdrawals::default(),
            batch: Batch::new(&relay, &clock, &settings),
            snapshots: Snapshots::default(),
            orders: Orders::default(),
            timeline: Timeline::new(
                me.name.clone(),
                settings.events,
                metrics.clone(),
                meters.clone(),
            ),
            watch: LogWatch::default(),
            served: Served::new(meters.clone()),
            metrics,
            meters,
            metrics_addr,
            caller: caller.addr(),
            control: control.addr(),
            declared: Declared::default(),
            passing: AttemptRegistry::new(slow.clone(), settings.reset_wait),
            tunnels: Tunnels::default(),
            dialect: outside.map(|o| o.dialect),
            stopping: AtomicBool::new(false),
            ends: OnceLock::new(),
            dead: AtomicBool::new(false),
            death: Default::default(),
            servers: Mutex::new(
                [caller, control, peer]
                    .into_iter()
                    .chain(ready)
                    .chain(scrapes)
                    .collect(),
            ),
            settings,
            me,
            clock,
            client,
            relay,
            log,
            list,
        });
        let _ = slot.set(host.clone());
        if host.is_own() {
            host.config.start();
            // An outside system has no calls that run at most once.
            host.calls.start();
        } else {
            host.origins.start();
        }
        host.batch.start(&host);
        host.homes.start();
        host.quarantine.start();
        let other = match host.is_own() {
            true => On::Outside,
            false => On::Own,
        };
        let tasks = inventory::iter::<Plugin>().flat_map(|p| p.tasks);
        tasks::run_all(&host, tasks.filter(move |t| t.on != other))?;
        let note = format!("caller={} control={}", host.caller, host.control);
        host.timeline
            .note(Happening::Started, &host.me.name, None, &note);
        Ok(host)
    }

    /// Current time on the host's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether a planned stop aborts what is in progress within `span`.
    pub fn ends_within(&self, span: Duration) -> bool {
        self.ends.get().is_some_and(|end| self.now() + span >= *end)
    }

    /// Whether the host has ended, by a stop or a kill.
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Whether the load balancer may send callers here: connected, not stopping and not dead.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.is_dead() && self.is_connected()
    }

    /// Whether the configuration has been read to the head of the log once, and the withdrawal of a key
    /// would still reach this host: within the last `members.span()`, the log was read at its head here
    /// or by a peer that reported it, or most hosts were in contact.
    pub fn is_connected(&self) -> bool {
        let Some(fresh) = self.config.progress().caught_up else {
            return false;
        };
        let last = Some(fresh).max(self.members.reached());
        last.is_some_and(|t| self.now().saturating_sub(t) < self.members.span())
    }

    /// Checks that the caller of `exchange` still waits and that this host is not dead.
    ///
    /// # Errors
    /// `Cancelled` if the host is dead or the caller closed the connection.
    pub fn check_caller(&self, exchange: &Exchange) -> Res<()> {
        if self.is_dead() {
            return Err(Fail::new(Kind::Cancelled, "the host has ended"));
        }
        if exchange.is_gone() {
            return Err(Fail::new(Kind::Cancelled, "the caller disconnected"));
        }
        Ok(())
    }

    /// Sleeps for `span`, or until the host is dead.
    pub(crate) fn sleep(&self, span: Duration) {
        if span.is_zero() {
            return;
        }
        let (lock, death) = &self.death;
        let guard = lock.lock().expect("death");
        let result = death.wait_timeout_while(guard, span, |()| !self.is_dead());
        drop(result.expect("death"));
    }

    /// Number of open connections and of requests in progress, over all ports.
    pub fn load(&self) -> (usize, usize) {
        let servers = self.servers.lock().expect("servers");
        (
            servers.iter().map(Server::open).sum(),
            servers.iter().map(Server::busy).sum(),
        )
    }

    /// Stops gracefully: reports not ready, runs the stop hooks, waits for the load balancer to notice
    /// and then for the requests in progress. Returns the number of requests that were still in progress
    /// at the limit `settings.drain` and were aborted.
    pub fn stop(self: &Arc<Self>) -> usize {
        let end = self.now() + self.settings.linger + self.settings.drain;
        let _ = self.ends.set(end);
        self.stopping.store(true, Ordering::Relaxed);
        self.timeline
            .note(Happening::Stopping, &self.me.name, None, "");
        let mut servers = std::mem::take(&mut *self.servers.lock().expect("servers"));
        servers.iter().for_each(Server::disable_keep_alive);
        thread::scope(|scope| {
            for plugin in inventory::iter::<Plugin>() {
                scope.spawn(|| (plugin.stop)(self));
            }
            self.clock.sleep(self.settings.linger);
        });
        let aborted = servers.iter().map(|s| s.stop(self.settings.drain)).sum();
        servers.clear();
        self.timeline
            .note(Happening::Stopped, &self.me.name, None, "");
        self.kill();
        aborted
    }

    /// Ends everything at once, as a crash would.
    pub fn kill(&self) {
        let (lock, death) = &self.death;
        let guard = lock.lock().expect("death");
        self.dead.store(true, Ordering::Relaxed);
        death.notify_all();
        drop(guard);
        self.client.close();
        self.config.stop();
        self.batch.streams.kill();
        self.homes.stop();
        self.quarantine.stop();
        self.origins.stop();
        self.calls.stop();
        for server in self.servers.lock().expect("servers").iter() {
            server.kill();
        }
    }
}

fn follow<F: Fold>(log: &RelayLog, clock: &SystemClock, settings: &Settings) -> Follow<F> {
    Arc::new(Follower::new(log.clone(), clock.clone(), settings.interval))
}

/// The host's name with a random suffix, so that no two starts of a host share a name.
fn start_name(name: &Name) -> Name {
    format!("{name}.{:08x}", rand::random::<u32>()).into()
}
