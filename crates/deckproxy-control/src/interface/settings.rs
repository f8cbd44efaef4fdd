//! The settings of a router.

use super::Millis;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key by which the members of a group drop repetitions for a while.
    Keyed,
    /// It is never sent again once it may have run.
    NotIdempotent,
}

/// The members that drop repetitions of a keyed request for each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All members.
    All,
    /// The members of one zone.
    Zone,
    /// The members of one cell.
    Cell,
}

/// The caches that may be the source of another cache's fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the same location.
    Location,
    /// Any cache.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Millis,
    /// Multiple of a request's own sending time that is added to its latency objective.
    pub latency_objective_stretch: f64,
    /// Time after which a client gives up for good.
    pub deadline: Millis,
    /// Weight of one request of the class among all, 0 or more.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective earns, 0 to 1.
    pub late_weight_share: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Members that drop repetitions of a keyed request.
    pub group: Group,
    /// Time for which repetitions of a keyed request are dropped.
    pub dedup_window: Millis,
    /// Age up to which a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Millis,
    /// Time after its freshness lifetime for which a stale copy may still answer.
    pub stale_lifetime: Millis,
    /// Share of the priority weight that an answer from a stale copy earns, 0 to 1.
    pub stale_weight_share: f64,
    /// Requests of the class are writes: they run at the origin, and no copy is kept.
    pub write: bool,
    /// Answers are streamed: a begun answer belongs to its client, so no other attempt is sent.
    pub stream: bool,
}

/// How much a member may be sent whose process started lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the member has at its start, 0 to 1.
    pub initial_share: f64,
    /// Time after which it has its full capacity.
    pub duration: Millis,
    /// Multiple of its present capacity that overloads it.
    pub overload_multiple: f64,
    /// Window over which that is counted.
    pub overload_window: Millis,
}

/// The settings of one router, given at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes, by position.
    pub classes: Vec<Class>,
    /// The zone of this router's location.
    pub zone: u32,
    /// Number of routers, by zone.
    pub zone_routers: Vec<u32>,
    /// Rate of each zone's inbound link in KB/s; 0 where it is not known.
    pub zone_link_rate: Vec<f64>,
    /// Number of routers in all zones.
    pub routers: u32,
    /// Position of this router among them, from 0.
    pub position: u32,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<u32>,
    /// Kind of the origin, if there is one.
    pub origin_kind: Option<u32>,
    /// Attempts may go past the caches, to parents and the origin.
    pub cache_bypass: bool,
    /// A request may join a fill that runs at a cache.
    pub join_fills: bool,
    /// Caches that may be the source of a fill.
    pub siblings: Siblings,
    /// Rate at which one answer is sent, KB/s; members' weights count such answers.
    pub transfer_rate: f64,
    /// The members' weights tell their sizes; else they have no meaning.
    pub weights_are_sizes: bool,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
    /// Time after the notice of a purge from which no older copy may answer.
    pub purge_grace: Millis,
    /// Time after a purge until all older copies are gone.
    pub purge_settle_time: Millis,
    /// The member list must be requested; else it is pushed.
    pub poll_member_list: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Rejections may advise when to retry.
    pub retry_after: bool,
    /// Longest advised time until a retry that clients follow.
    pub max_retry_after: Millis,
}
