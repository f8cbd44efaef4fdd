//! The requesting side: exchanges with one other site, over connections to one or more of its gateways.
//!
//! An exchange is one forwarded request and its response, shared by all clients that request the same part of the same
//! object. It has at most one attempt in flight, on one endpoint. When an attempt's connection is lost, the attempt's
//! status is unknown; the status is requested as soon as any connection to that endpoint is up again, and until it is
//! known no other attempt is sent for the exchange.
//!
//! - [`types`]: inputs and outputs.
//! - `requests`: accepting, collapsing, canceling and replying to clients' requests.
//! - `attempts`: selecting an endpoint, sending attempts, queueing for an endpoint, ending attempts.
//! - `retries`: retries and rejections after an attempt that did not serve its request.
//! - `connections`: handshakes, lost connections, received messages.
//! - `resume`: reattachment to attempts after a lost connection.
//! - `responses`: response heads and bodies, with flow control.
//! - `memory`: what requests and responses take, and the extension of credit windows.
//! - `timers`: deadlines, heartbeats and timeouts.

mod attempts;
mod connections;
mod endpoint;
mod exchange;
mod memory;
mod queue;
mod requests;
mod responses;
mod resume;
mod retries;
mod retry_budget;
mod timers;
pub mod types;

pub use types::{
    Counters, Effect, EndpointsUp, ForwardedRequest, OpenCounts, Reply, RequestToken, RetrySafety,
};

use crate::frame::Hello;
use crate::{LinkLimits, Millis, saturating_u32};
use endpoint::Endpoint;
use exchange::{CollapseKey, Exchange, ExchangeId};
use memory::Memory;
use queue::{ExchangeQueue, TimeKey};
use retry_budget::RetryBudget;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The requesting side of the links to one site.
#[derive(Debug)]
pub struct Requester {
    limits: LinkLimits,
    endpoints: Vec<Endpoint>,
    exchanges: BTreeMap<ExchangeId, Exchange>,
    /// The exchanges that further requests may join.
    collapsible: HashMap<CollapseKey, ExchangeId>,
    /// The exchange that each request waits for.
    requests: HashMap<RequestToken, ExchangeId>,
    /// The requests by deadline.
    deadlines: BTreeSet<(TimeKey, RequestToken)>,
    /// Exchanges that wait for an endpoint.
    queue: ExchangeQueue,
    /// When the queue was last checked.
    queue_checked_at: Millis,
    last_exchange: ExchangeId,
    retry_budget: RetryBudget,
    memory: Memory,
    is_closing: bool,
    effects: VecDeque<Effect>,
    /// Events since the start.
    pub counters: Counters,
}

impl Requester {
    /// Creates a requester without connections. `connections`: how many to keep open to each endpoint. `sessions`: one
    /// globally unique session number for each endpoint.
    pub fn new(limits: LinkLimits, connections: usize, sessions: &[u64], now: Millis) -> Self {
        let endpoint = |session: &u64| Endpoint::new(*session, connections, &limits, now);
        Requester {
            limits,
            endpoints: sessions.iter().map(endpoint).collect(),
            exchanges: BTreeMap::new(),
            collapsible: HashMap::new(),
            requests: HashMap::new(),
            deadlines: BTreeSet::new(),
            queue: ExchangeQueue::default(),
            queue_checked_at: now,
            last_exchange: 0,
            retry_budget: RetryBudget::new(limits.retry_ratio),
            memory: Memory::default(),
            is_closing: false,
            effects: VecDeque::new(),
            counters: Counters::default(),
        }
    }

    /// Removes and returns the next effect for the caller to execute.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Counts the open exchanges, requests and unresolved attempts.
    pub fn open_counts(&self) -> OpenCounts {
        OpenCounts {
            exchanges: self.exchanges.len(),
            requests: self.requests.len(),
            unresolved_attempts: self.endpoints.iter().map(|endpoint| endpoint.unresolved.len()).sum(),
        }
    }

    /// How many endpoints are up.
    pub fn endpoints_up(&self) -> EndpointsUp {
        let up = self.endpoints.iter().filter(|endpoint| endpoint.is_up()).count();
        EndpointsUp { up, total: self.endpoints.len() }
    }

    /// Fills in the session fields of a hello to an endpoint.
    pub fn fill_hello(&self, endpoint: usize, hello: Hello) -> Hello {
        let Some(endpoint) = self.endpoints.get(endpoint) else { return hello };
        Hello {
            session: endpoint.session,
            next_attempt: endpoint.next_attempt,
            credit_window: saturating_u32(self.limits.credit_window),
            resume_timeout: self.limits.resume_timeout as u32,
            ..hello
        }
    }

    /// Epoch in the last hello from an endpoint.
    pub fn epoch(&self, endpoint: usize) -> Option<u64> {
        self.endpoints.get(endpoint).and_then(|endpoint| endpoint.epoch)
    }

    /// Closes the connections, and opens no others, once no exchange is open.
    pub fn close(&mut self) {
        self.is_closing = true;
    }
}
