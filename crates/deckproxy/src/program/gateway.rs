//! The state of one gateway: its connections, router, timers and subsystems.
//!
//! Its methods are grouped by concern: `event_loop` (turns, timers, background work), `effects` (effects of the router
//! and the subsystems), `accept`, `eviction`, `clients`, `client_messages`, `pending_requests`, `upstream_pool`, `attempts`, `site_links`,
//! `collectors`, `feed`, `memory`, `housekeeping`, `reload`, `shutdown` and `summary`.

use crate::program::connections::{ReadySource, UpstreamConnection, UpstreamId};
use crate::program::files::Files;
use crate::program::memory_use::WaitingAnswers;
use crate::program::ready_queue::ReadyQueue;
use crate::program::start_error::StartError;
use crate::program::subsystem::{Context, Event, micros};
use crate::program::subsystems::Subsystems;
use crate::program::timer_task::TimerTask;
use crate::protocol::limits::{self, Bounds};
use crate::routing::timers::Timers;
use crate::routing::{AttemptKey, ClientId, Router};
use crate::transport::buffer_usage::BufferUsage;
use crate::transport::client::ClientConnection;
use crate::transport::clock;
use crate::transport::collector::CollectorConnections;
use crate::transport::datagram_socket::DatagramSocket;
use crate::transport::feed::FeedConnection;
use crate::transport::listener::Listener;
use crate::transport::loop_timer::LoopTimer;
use crate::transport::site_link::SiteLinks;
use calloop::LoopHandle;
use deckproxy_control::interface::MemberId;
use deckproxy_flow::scheduler::{Scheduler, TaskId, TaskSettings};
use deckproxy_operator::Operator;
use slog::{Logger, warn};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Scheduling of housekeeping among the background tasks: time slice and maximum delay in microseconds.
const HOUSEKEEPING_TASK: TaskSettings =
    TaskSettings { priority_weight: 4, time_slice: 500, max_delay: 50_000 };
/// Scheduling of the periodic summary among the background tasks: time slice and maximum delay in microseconds.
const SUMMARY_TASK: TaskSettings = TaskSettings { priority_weight: 1, time_slice: 1000, max_delay: 500_000 };
/// Time between two checks for idle and stalled connections, ms.
pub(super) const HOUSEKEEPING_INTERVAL: f64 = 250.0;
/// Time between two summaries in the log, ms.
pub(super) const SUMMARY_INTERVAL: f64 = 10_000.0;
/// Limit on log lines about single peers in one summary interval, so that they don't crowd out others.
const MAX_PEER_LINES: u32 = 50;

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ShutdownPhase {
    /// No shutdown has begun.
    Running,
    /// New connections and requests are still served.
    Draining,
    /// Pending connections are accepted a last time, and new requests are rejected on all connections.
    Rejecting,
    /// All requests have failed and their answers had time to be written: what other sites are still owed is given up.
    Ending,
}

/// The state of the event loop.
pub struct Gateway {
    pub(super) handle: LoopHandle<'static, Gateway>,
    pub(super) log: Logger,
    pub(super) router: Router,
    pub(super) loop_timer: LoopTimer<Gateway>,
    pub(super) timers: Timers<TimerTask>,
    /// The listener for clients; `None` once a shutdown has closed it.
    pub(super) listener: Option<Listener>,
    pub(super) clients: BTreeMap<ClientId, ClientConnection>,
    pub(super) upstreams: BTreeMap<UpstreamId, UpstreamConnection>,
    /// Upstream connections by member.
    pub(super) upstream_pools: HashMap<MemberId, Vec<UpstreamId>>,
    /// The upstream connection that carries each attempt or health check.
    pub(super) attempt_upstreams: HashMap<AttemptKey, UpstreamId>,
    /// The address that clients connect to.
    pub(super) listen: SocketAddr,
    pub(super) feed_address: Option<SocketAddr>,
    pub(super) feed: Option<FeedConnection>,
    /// Delay before the next connection to the feed, ms; grows with each failure.
    pub(super) feed_backoff: f64,
    /// The last event before the gap for which the feed was polled again.
    pub(super) feed_gap_polled: Option<u64>,
    /// Connections to be served.
    pub(super) ready: ReadyQueue,
    /// Whether connections may be pending on the listener.
    pub(super) accept_pending: bool,
    /// Whether a timer for a retry of accepting is scheduled.
    pub(super) accept_retry_scheduled: bool,
    /// The id of the newest connection.
    pub(super) last_connection_id: u64,
    /// Limits on connections and buffered bytes.
    pub(super) bounds: Bounds,
    /// Bytes buffered on clients' connections.
    pub(super) client_buffers: Rc<BufferUsage>,
    /// Bytes buffered on upstream connections.
    pub(super) upstream_buffers: Rc<BufferUsage>,
    /// Connections to members whose answers wait for memory.
    pub(super) waiting_answers: WaitingAnswers,
    /// Bytes buffered on the feed's connection.
    pub(super) feed_buffers: Rc<BufferUsage>,
    /// The subsystems that the operator file enables.
    pub(super) subsystems: Subsystems,
    /// Links to gateways of other sites, if the operator file configures sites.
    pub(super) site_links: Option<Box<SiteLinks>>,
    /// Connections to flow collectors, if there are collectors.
    pub(super) collectors: Option<Box<CollectorConnections>>,
    /// The datagram socket for the fleet's other instances, if the operator file configures a fleet.
    pub(super) fleet_socket: Option<Box<DatagramSocket>>,
    /// Background tasks, which run when no connection is ready or their maximum delay has passed.
    pub(super) background: Scheduler,
    pub(super) housekeeping_task: TaskId,
    pub(super) summary_task: TaskId,
    pub(super) shutdown: ShutdownPhase,
    /// Whether a shutdown is complete and the process may end.
    pub(super) done: bool,
    /// Log lines about single peers in this summary interval, including suppressed ones.
    pub(super) peer_lines_logged: u32,
    /// Whether a lack of descriptors for clients was logged in this summary interval.
    pub(super) exhaustion_logged: bool,
    /// Peak number of connections to clients and members.
    pub(super) peak_connections: usize,
    /// Longest turn of the loop, ms.
    pub(super) longest_turn: f64,
    /// Times that a client's connection was left with work at the end of its slice.
    pub(super) unfinished_slices: u64,
}

/// The context for subsystems. A function, so that the gateway's other fields can be borrowed at the same time.
pub(super) fn context(now: f64, router: &Router) -> Context<'_> {
    Context { now, router, rejects_requests: false, rejects_bodies: false, memory_room: 0 }
}

/// Binds the address for links of other sites' gateways, if the operator file has one.
fn bind_site_links(
    handle: &LoopHandle<'static, Gateway>,
    sockets: usize,
    operator: &Operator,
) -> Result<Option<Box<SiteLinks>>, StartError> {
    let Some(sites) = &operator.sites else { return Ok(None) };
    let address = sites.listen.as_deref().and_then(|address| address.parse::<SocketAddr>().ok());
    let ready = |gateway: &mut Gateway| {
        if let Some(links) = &mut gateway.site_links {
            links.accept_pending = true;
        }
    };
    let listener = match address {
        Some(address) => Some(
            Listener::bind(handle, address, ready)
                .map_err(|error| StartError::LinkListener { address, error })?,
        ),
        None => None,
    };
    Ok(Some(Box::new(SiteLinks::new(listener, sockets))))
}

/// Binds the address for datagrams of the fleet's other instances, if the operator file has one.
fn bind_fleet_socket(
    handle: &LoopHandle<'static, Gateway>,
    operator: &Operator,
) -> Result<Option<Box<DatagramSocket>>, StartError> {
    let Some(address) = operator.fleet.as_ref().and_then(deckproxy_operator::Fleet::listen_address) else {
        return Ok(None);
    };
    let ready = |gateway: &mut Gateway| gateway.queue(ReadySource::FleetSocket);
    let socket = DatagramSocket::bind(handle, address, ready)
        .map_err(|error| StartError::FleetSocket { address, error })?;
    Ok(Some(Box::new(socket)))
}

/// Binds the clients' address.
fn bind_clients(handle: &LoopHandle<'static, Gateway>, address: SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(handle, address, |gateway: &mut Gateway| gateway.accept_pending = true)
        .map_err(|error| StartError::ClientListener { address, error })
}

impl Gateway {
    /// Starts a gateway: listens for clients, applies the last known member list, and schedules the connection to the
    /// feed.
    ///
    /// # Errors
    /// An address can't be bound, or a subsystem can't be started with its settings in the operator file.
    pub fn new(handle: LoopHandle<'static, Gateway>, log: Logger, files: Files) -> Result<Self, StartError> {
        let now = clock::now();
        let Files { config, operator } = files;
        let site_links = bind_site_links(&handle, config.sockets, &operator)?;
        let mut background = Scheduler::default();
        let housekeeping_task = background.add(HOUSEKEEPING_TASK);
        let summary_task = background.add(SUMMARY_TASK);
        background.wake_at(housekeeping_task, micros(now + HOUSEKEEPING_INTERVAL));
        background.wake_at(summary_task, micros(now + SUMMARY_INTERVAL));
        let fleet_socket = bind_fleet_socket(&handle, &operator)?;
        let identity = (config.name.as_str(), config.seed);
        let router = Router::new(now, config.settings, config.seed, config.known);
        let subsystems = Subsystems::start(&log, now, identity, &router, &operator, &mut background)?;
        let collectors = subsystems.collectors();
        let loop_timer = LoopTimer::register(&handle).map_err(StartError::LoopTimer)?;
        let listener = bind_clients(&handle, config.listen)?;
        let mut gateway = Gateway {
            handle,
            log,
            router,
            loop_timer,
            timers: Timers::default(),
            listener: Some(listener),
            clients: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            upstream_pools: HashMap::new(),
            attempt_upstreams: HashMap::new(),
            listen: config.listen,
            feed_address: config.feed,
            feed: None,
            feed_backoff: limits::FEED_BACKOFF_INITIAL,
            feed_gap_polled: None,
            ready: ReadyQueue::default(),
            accept_pending: true,
            accept_retry_scheduled: false,
            last_connection_id: 0,
            bounds: Bounds::of(config.memory, config.sockets),
            client_buffers: Rc::default(),
            upstream_buffers: Rc::default(),
            waiting_answers: WaitingAnswers::default(),
            feed_buffers: Rc::default(),
            subsystems,
            site_links,
            collectors: (collectors > 0).then(|| Box::new(CollectorConnections::new(collectors))),
            fleet_socket,
            background,
            housekeeping_task,
            summary_task,
            shutdown: ShutdownPhase::Running,
            done: false,
            peer_lines_logged: 0,
            exhaustion_logged: false,
            peak_connections: 0,
            longest_turn: 0.0,
            unfinished_slices: 0,
        };
        gateway.set_bounds(config.memory, config.sockets);
        gateway.timers.schedule(now, TimerTask::ConnectFeed);
        gateway.apply_effects(now);
        Ok(gateway)
    }

    /// Sets the bounds for clients and members from the process's memory in MB and its descriptors, without those
    /// reserved for links, collectors and the fleet's socket.
    pub(super) fn set_bounds(&mut self, memory: f64, sockets: usize) {
        let links = self.site_links.as_ref().map_or(0, |links| links.limit);
        let fleet_sockets = usize::from(self.fleet_socket.is_some());
        let reserved = links + self.subsystems.collectors() + fleet_sockets;
        self.bounds = Bounds::of(memory, sockets.saturating_sub(reserved));
    }

    /// Whether a graceful shutdown is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether there is work to do without an event from the kernel.
    pub fn is_busy(&self) -> bool {
        !self.ready.is_empty() || self.accept_pending || self.background.is_ready()
    }

    /// Whether a graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown != ShutdownPhase::Running
    }

    /// Whether a graceful shutdown has reached the phases in which new requests are rejected.
    pub(super) fn is_rejecting(&self) -> bool {
        self.shutdown >= ShutdownPhase::Rejecting
    }

    /// Allocates the id for a new connection.
    pub(super) fn next_connection_id(&mut self) -> u64 {
        self.last_connection_id += 1;
        self.last_connection_id
    }

    /// Queues a connection that has become ready, unless it is queued already.
    pub(super) fn queue(&mut self, source: ReadySource) {
        self.ready.push(source);
    }

    /// Queues a connection that has used up its slice with work left, to be served after those that are ready.
    pub(super) fn queue_backlog(&mut self, source: ReadySource) {
        self.ready.push_backlog(source);
    }

    /// Notifies the subsystems of an event that does not borrow from the gateway.
    pub(super) fn notify(&mut self, now: f64, event: &Event<'_>) {
        self.subsystems.notify(&context(now, &self.router), event);
    }

    /// Logs a line about a single peer, up to [`MAX_PEER_LINES`] in a summary interval.
    pub(super) fn log_peer(&mut self, text: &str) {
        self.peer_lines_logged += 1;
        if self.peer_lines_logged <= MAX_PEER_LINES {
            warn!(self.log, "peer"; "what" => text.to_string());
        }
    }
}
