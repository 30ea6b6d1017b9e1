//! One host: its state, its ports and threads, and how they start and stop.

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
    entry::withdraw::Keys,
    error::{Fail, Kind, Res},
    fold::{Fold, Follower},
    gate::Gates,
    http::{Bounds, Client, Exchange, Server},
    job,
    limit::{Homes, Limits},
    member::Members,
    metrics::{LogWatch, Meters, Served},
    once::Calls,
    order::Orders,
    pass::{AttemptRegistry, Dialect},
    route::Routes,
    settings::Settings,
    snapshot::Snapshots,
    store::{SharedHosts, SharedLog},
    timeline::{Happening, Timeline},
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

/// A follower of one stream with this daemon's log and clock.
pub type Follow<F> = Arc<Follower<F, RelayLog, SystemClock>>;
/// Follower of the configuration.
pub type ConfigFollower = Follow<config::State>;
/// Follower of a stream of batch jobs.
pub type JobFollower = Follow<job::State>;
/// Follower of the rate shares.
pub type HomesFollower = Follow<Homes>;
/// Follower of the calls that run at most once.
pub type CallsFollower = Follow<Calls>;

/// One host with all its roles.
#[derive(Debug)]
pub struct Host {
    /// Settings.
    pub settings: Settings,
    /// This host as its peers know it.
    pub me: Peer,
    /// Clock.
    pub clock: SystemClock,
    /// Client for all calls to other processes.
    pub client: Client,
    /// The log, for roles that read it beside the followers.
    pub log: SharedLog,
    /// The log, through peers where this host cannot reach it.
    pub relay: RelayLog,
    /// The platform's host list.
    pub list: SharedHosts,
    /// Configuration.
    pub config: ConfigFollower,
    /// Rate shares.
    pub homes: HomesFollower,
    /// Calls that run at most once.
    pub calls: CallsFollower,
    /// Other hosts.
    pub members: Members,
    /// Admissions to backend servers.
    pub gates: Gates,
    /// Routing state.
    pub routes: Routes,
    /// Rate tokens.
    pub limits: Limits,
    /// Keys withdrawn by word of peers.
    pub keys: Keys,
    /// Batch work.
    pub batch: Batch,
    /// Snapshots of the streams.
    pub snapshots: Snapshots,
    /// Orders to backend servers.
    pub orders: Orders,
    /// Events.
    pub timeline: Timeline,
    /// What was last noted of the log.
    pub watch: LogWatch,
    /// What callers and batch jobs got.
    pub served: Served,
    /// Metrics that are sent to a collector.
    pub metrics: Arc<StatsdClient>,
    /// Metrics that a collector fetches.
    pub meters: Arc<Meters>,
    /// Address at which a collector fetches them, if there is one.
    pub fetched: Option<SocketAddr>,
    /// Address of the callers' port.
    pub caller: SocketAddr,
    /// Address of the operators' port.
    pub control: SocketAddr,
    /// Configuration that an outside system declares.
    pub declared: Declared,
    /// Attempts under way that pass requests on unchanged.
    pub passing: AttemptRegistry,
    /// Names of the servers' protocol where requests are passed on unchanged.
    pub dialect: Option<&'static Dialect>,
    stopping: AtomicBool,
    dead: AtomicBool,
    /// Wakes the tasks that rest when the host is dead.
    ended: (Mutex<()>, Condvar),
    servers: Mutex<Vec<Server>>,
}

impl Host {
    /// Starts a host: binds its ports, follows the log and runs every plug-in.
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

    /// Starts a host with other edges than this product's own.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub fn start_with(
        settings: Settings,
        edges: impl FnOnce(&Client) -> Edges,
    ) -> io::Result<Arc<Self>> {
        let clock = SystemClock::new();
        let client = Client::bounded(settings.reply);
        let Edges { log, list, outside } = edges(&client);
        let face = outside.map(|o| o.face);
        let peer_bounds = Bounds {
            idle: Duration::from_secs(60),
            ..Bounds::default()
        };
        let slot: Arc<OnceLock<Arc<Host>>> = Arc::default();
        let relay = RelayLog::new(log.clone(), slot.clone());
        let caller = listen(settings.caller, settings.bounds, Port::Caller, &slot, face)?;
        let peer = listen(settings.peer, peer_bounds, Port::Peer, &slot, None)?;
        let control = listen(settings.control, peer_bounds, Port::Control, &slot, None)?;
        let side = |addr: Option<SocketAddr>, port| {
            let server = addr.map(|a| listen(a, peer_bounds, port, &slot, None));
            server.transpose()
        };
        let ready = side(settings.ready, Port::Ready)?;
        // Requests are served without it.
        let figures = side(settings.metrics, Port::Metrics).unwrap_or_else(|error| {
            tracing::error!(addr = ?settings.metrics, %error, "metrics_not_served");
            None
        });
        let fetched = figures.as_ref().map(Server::addr);
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
            members: Members::new(&me, &settings),
            gates: Gates::default(),
            routes: Routes::new(settings.retries),
            limits: Limits::new(&settings),
            keys: Keys::default(),
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
            fetched,
            caller: caller.addr(),
            control: control.addr(),
            declared: Declared::default(),
            passing: AttemptRegistry::default(),
            dialect: outside.map(|o| o.dialect),
            stopping: AtomicBool::new(false),
            dead: AtomicBool::new(false),
            ended: Default::default(),
            servers: Mutex::new(
                [caller, control, peer]
                    .into_iter()
                    .chain(ready)
                    .chain(figures)
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
            // Only this product's own interface has calls that run at most once.
            host.calls.start();
        }
        host.batch.start(&host);
        host.homes.start();
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

    /// Present time on the host's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether a planned stop began.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the host was stopped or killed.
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    /// Whether the balancer may send callers here: the host knows the configuration and is not
    /// stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && !self.is_dead() && self.is_connected()
    }

    /// Whether the configuration was read to the head of the log once, and a withdrawal of a key
    /// would be heard of: within a few seconds the log was read at its head, here or by a peer that
    /// told of it, or most hosts were heard of.
    pub fn is_connected(&self) -> bool {
        let Some(fresh) = self.config.progress().fresh else {
            return false;
        };
        let last = Some(fresh).max(self.members.reached());
        last.is_some_and(|t| self.now().saturating_sub(t) < self.members.span())
    }

    /// Whether somebody still waits on this host for the answer of `exchange`.
    ///
    /// # Errors
    /// `Cancelled` if the host was lost or the caller went away.
    pub fn check_caller(&self, exchange: &Exchange) -> Res<()> {
        if self.is_dead() {
            return Err(Fail::new(Kind::Cancelled, "the host was lost"));
        }
        if exchange.is_gone() {
            return Err(Fail::new(Kind::Cancelled, "the caller went away"));
        }
        Ok(())
    }

    /// Rests for `span`, or until the host is dead.
    pub(super) fn rest(&self, span: Duration) {
        if span.is_zero() {
            return;
        }
        let rest = self.ended.0.lock().expect("end");
        let rest = self
            .ended
            .1
            .wait_timeout_while(rest, span, |()| !self.is_dead());
        drop(rest.expect("end"));
    }

    /// Open connections and requests under way, over all ports.
    pub fn load(&self) -> (usize, usize) {
        let servers = self.servers.lock().expect("servers");
        (
            servers.iter().map(Server::open).sum(),
            servers.iter().map(Server::busy).sum(),
        )
    }

    /// Stops without cutting a request: is not ready any more, lets each role hand over, waits for
    /// the balancer to see it, then for the requests under way. Returns the number of requests
    /// that were cut at the limit.
    pub fn stop(self: &Arc<Self>) -> usize {
        self.stopping.store(true, Ordering::Relaxed);
        self.timeline
            .note(Happening::Stopping, &self.me.name, None, "");
        let mut servers = std::mem::take(&mut *self.servers.lock().expect("servers"));
        servers.iter().for_each(Server::ask_to_leave);
        thread::scope(|scope| {
            for plugin in inventory::iter::<Plugin>() {
                scope.spawn(|| (plugin.stop)(self));
            }
            self.clock.sleep(self.settings.linger);
        });
        let cut = servers.iter().map(|s| s.stop(self.settings.drain)).sum();
        servers.clear();
        self.timeline
            .note(Happening::Stopped, &self.me.name, None, "");
        self.kill();
        cut
    }

    /// Ends everything at once, as a lost host would.
    pub fn kill(&self) {
        let rest = self.ended.0.lock().expect("end");
        self.dead.store(true, Ordering::Relaxed);
        self.ended.1.notify_all();
        drop(rest);
        self.client.close();
        self.config.stop();
        self.batch.streams.kill();
        self.homes.stop();
        self.calls.stop();
        for server in self.servers.lock().expect("servers").iter() {
            server.kill();
        }
    }
}

fn follow<F: Fold>(log: &RelayLog, clock: &SystemClock, settings: &Settings) -> Follow<F> {
    Arc::new(Follower::new(log.clone(), clock.clone(), settings.interval))
}

/// A name that no earlier start of the same host had.
fn start_name(name: &Name) -> Name {
    format!("{name}.{:08x}", rand::random::<u32>()).into()
}
