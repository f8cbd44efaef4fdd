//! The settings of a router.

use super::Millis;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key, by which the members of a group discard duplicates for a limited
    /// time.
    Keyed,
    /// It is not sent again once it may have been executed.
    NotIdempotent,
}

/// The set of members that share their record of keyed requests and so discard each other's duplicates.
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
    /// Caches of the same location.
    Location,
    /// Any cache.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time counts with the full priority weight.
    pub latency_objective: Millis,
    /// Multiple of a request's own sending time by which its latency objective is extended.
    pub latency_objective_stretch: f64,
    /// Time after which a client no longer waits for an answer.
    pub deadline: Millis,
    /// Weight of one request of the class relative to other classes, 0 or more.
    pub priority_weight: f64,
    /// Share of the priority weight with which an answer after the latency objective counts, 0 to 1.
    pub late_weight_share: f64,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Members that share the deduplication of a keyed request.
    pub group: Group,
    /// Deduplication window: time for which duplicates of a keyed request are discarded.
    pub dedup_window: Millis,
    /// Age up to which a copy is fresh; 0: fresh until it is purged.
    pub freshness_lifetime: Millis,
    /// Time after the freshness lifetime during which a stale copy may still answer.
    pub stale_lifetime: Millis,
    /// Share of the priority weight with which an answer from a stale copy counts, 0 to 1.
    pub stale_weight_share: f64,
    /// Requests of the class are writes: they are executed at the origin, and no copy is stored.
    pub write: bool,
    /// Answers are streamed: once an answer has begun, no other attempt is sent, as the client has
    /// already received a part of it.
    pub stream: bool,
}

/// Slow start: limits on the load of a member whose process started recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that the member has when it starts, 0 to 1.
    pub initial_share: f64,
    /// Time after which the member has its full capacity.
    pub duration: Millis,
    /// Multiple of its current capacity at which the member is overloaded.
    pub overload_multiple: f64,
    /// Window over which the load is summed.
    pub overload_window: Millis,
}

/// The settings of one router, fixed at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes; requests refer to them by position.
    pub classes: Vec<Class>,
    /// The zone of this router's location.
    pub zone: u32,
    /// Number of routers, by zone.
    pub zone_routers: Vec<u32>,
    /// Rate of each zone's inbound link in KB/s; 0 if unknown.
    pub zone_link_rate: Vec<f64>,
    /// Number of routers in all zones.
    pub routers: u32,
    /// Position of this router among them, from 0.
    pub position: u32,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<u32>,
    /// Kind of the origin, if there is one.
    pub origin_kind: Option<u32>,
    /// Attempts may bypass the caches and go directly to parents and the origin.
    pub cache_bypass: bool,
    /// A request may join a fill that is in progress at a cache.
    pub join_fills: bool,
    /// Other caches that may be the source of a fill.
    pub siblings: Siblings,
    /// Rate at which one answer is sent, in KB/s; members' weights count concurrent answers at this rate.
    pub transfer_rate: f64,
    /// The members' weights are their capacities; otherwise weights have no meaning.
    pub weights_are_capacities: bool,
    /// Slow start of caches.
    pub cache_slow_start: SlowStart,
    /// Slow start of parents.
    pub parent_slow_start: SlowStart,
    /// Time from the notice of a purge until no older copy may answer any more.
    pub purge_grace: Millis,
    /// Time after a purge until all older copies have been removed.
    pub purge_settle_time: Millis,
    /// The member list must be subscribed to; otherwise it is pushed.
    pub subscribe_to_member_list: bool,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Hedged requests: two attempts of one request may be in flight at a time.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Rejections may carry Retry-After advice.
    pub retry_after: bool,
    /// Longest Retry-After delay that clients follow.
    pub max_retry_after: Millis,
}
