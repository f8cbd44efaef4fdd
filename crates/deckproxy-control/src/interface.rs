//! The interface of the decision module: its settings, events, actions and ids. No logic lives here.

/// A clock time or a span, in milliseconds. Only differences of clock times mean anything.
pub type Millis = f64;
/// A cache, a parent or the origin.
pub type MemberId = u32;
/// One try of a client.
pub type RequestId = u32;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated and refused freely.
    Idempotent,
    /// Carries a key by which a group of members drops repeats for a while.
    Keyed,
    /// Never sent again once it may have run.
    NotIdempotent,
}

/// The members that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// Which caches may supply a fill to another cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    /// None.
    #[default]
    None,
    /// Those of the same location.
    Location,
    /// Any.
    Any,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this span earns the full worth.
    pub latency_objective: Millis,
    /// The aim grows by this multiple of the request's own sending time.
    pub latency_objective_stretch: f64,
    /// The span after which a client gives up for good.
    pub deadline: Millis,
    /// What one request is worth.
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_weight_share: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Who drops repeats of a keyed request.
    pub group: Group,
    /// How long repeats of a keyed request are dropped.
    pub dedup_window: Millis,
    /// How long a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Millis,
    /// How long past that a copy may still be served.
    pub stale_lifetime: Millis,
    /// Share of the worth that an answer from a copy past its fresh time earns.
    pub stale_weight_share: f64,
    /// Never kept: it runs at the origin.
    pub write: bool,
    /// Answers are streamed: once begun, an attempt belongs to the client.
    pub stream: bool,
}

/// How a member that started lately may be loaded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it has at its start, at least.
    pub initial_share: f64,
    /// Span until it is warm, at most.
    pub duration: Millis,
    /// Multiple of its present capacity that pushes it over.
    pub overload_multiple: f64,
    /// The window over which that counts.
    pub overload_window: Millis,
}

/// What a router is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes, by position.
    pub classes: Vec<Class>,
    /// This router's location, as a zone.
    pub zone: u32,
    /// Routers in each zone.
    pub zone_routers: Vec<u32>,
    /// Each zone's link in, KB a second; 0 where not told.
    pub zone_link_rate: Vec<f64>,
    /// Routers in all.
    pub routers: u32,
    /// This router's number among them, from 0.
    pub position: u32,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<u32>,
    /// Kind of the origin.
    pub origin_kind: Option<u32>,
    /// Parents and the origin take attempts too.
    pub cache_bypass: bool,
    /// A request may join a fill that is under way.
    pub join_fills: bool,
    /// Which caches may supply a fill.
    pub siblings: Siblings,
    /// Pace of one answer, KB a second; the unit of the members' weights.
    pub transfer_rate: f64,
    /// The members' weights tell their sizes; else they mean nothing.
    pub weights_are_sizes: bool,
    /// The rule on cold caches.
    pub cache_slow_start: SlowStart,
    /// The rule on cold parents.
    pub parent_slow_start: SlowStart,
    /// Span after news of a purge from which no older copy may answer.
    pub purge_grace: Millis,
    /// Span after a purge within which older copies vanish by themselves.
    pub purge_settle_time: Millis,
    /// The list of members must be asked for.
    pub poll_member_list: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub hedged_requests: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Refusals may name a time to come back.
    pub retry_after: bool,
    /// The longest such span that clients follow.
    pub max_retry_after: Millis,
}

/// State of a listed member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it holds, takes nothing new.
    Draining,
    /// Has left.
    Gone,
}

/// One line of the list of members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Member {
    /// Its id.
    pub id: MemberId,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// When its process started, if lately.
    pub started: Option<Millis>,
    /// Its link, in answers at full pace.
    pub weight: f64,
    /// Its kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
}

/// How a list of members is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was last held, which may be old.
    Cached,
    /// A call failed or a subscription broke; the old list holds.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// Served.
    Served,
    /// The member answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// Nothing came in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No copy that will do, and none filled.
    Miss,
}

/// What an answer tells of its copy or fill, where it tells anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillNote {
    /// Nothing is told.
    None,
    /// From a copy.
    Hit,
    /// By a fill.
    Filled,
    /// By a fill for which the parent asked the origin.
    FilledByOrigin,
    /// By joining a fill; with a miss: one is under way.
    Joined,
    /// From a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRefused,
    /// The source was not reached, broke off or ran out of time.
    SourceFailed,
    /// The source lacks it.
    SourceLacks,
    /// The cache has no place for a fill.
    NoPlace,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A member's report of its load; late and not exact.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub in_flight: Option<f64>,
    /// At a cache, fullness of its location's link; at a parent, fetches out.
    pub link: Option<f64>,
    /// Busy share of its cores.
    pub cpu: Option<f64>,
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group.
    pub group: u32,
    /// Size in KB, where told.
    pub size: Option<f64>,
    /// Its class.
    pub class: usize,
    /// Clock time at which the client gives up.
    pub deadline: Millis,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The router has started; its last list follows.
    Started,
    /// News of the members.
    MemberList(ListKind, Vec<Member>),
    /// A request came.
    Request(Request),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where it went.
        member: MemberId,
        /// How it ended.
        ending: AttemptEnding,
        /// Time since it was sent.
        elapsed: Millis,
        /// The request has its final answer.
        finished: bool,
        /// What is told of the copy or fill.
        note: FillNote,
        /// The member's load, where told.
        load: Option<LoadReport>,
    },
    /// The client has left; nothing is owed any more.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(u64),
    /// A probe's result.
    HealthChecked {
        /// The member.
        member: MemberId,
        /// Whether it answered.
        ok: bool,
        /// Its load, where told.
        load: Option<LoadReport>,
    },
    /// A message from another router.
    PeerMessage(u32, Vec<u8>),
    /// Copies are void: those of one object, or of a whole group.
    Purged {
        /// The object; none: the whole group.
        object: Option<u64>,
        /// The group.
        group: u32,
        /// Time since the purge.
        age: Millis,
    },
}

/// The switches of a get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GetOptions {
    /// Wait for a fill that runs already.
    pub join: bool,
    /// The source gives only what it holds.
    pub cached_only: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Renew an ageing copy behind its answer.
    pub renew: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// An attempt that asks a member only for what it holds.
    Lookup {
        /// The request.
        request: RequestId,
        /// The member asked.
        member: MemberId,
        /// When to give the attempt up.
        deadline: Millis,
    },
    /// An attempt with orders for a miss.
    Get {
        /// The request.
        request: RequestId,
        /// The member asked.
        member: MemberId,
        /// When to give the attempt up.
        deadline: Millis,
        /// Where a miss is filled from; the member itself: nowhere.
        source: MemberId,
        /// Rank of the copy, 1 to 3; 0 keeps none.
        copy_rank: u8,
        /// The oldest copy that will do; 0: the fresh time.
        max_age: Millis,
        /// Switches.
        options: GetOptions,
    },
    /// Final: refused; a new try does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back; 0: no advice.
        retry_after: Millis,
    },
    /// Final: failed; nothing is promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Ask for a timer event.
    Timer {
        /// Returned with the event.
        token: u64,
        /// When it is due.
        at: Millis,
    },
    /// Probe a member.
    HealthCheck(MemberId),
    /// Close idle connections to a member.
    CloseIdle(MemberId),
    /// Send a message to one router, or to all.
    SendToPeer(Option<u32>, Vec<u8>),
    /// Subscribe to the list of members, or end that.
    WatchMembers(bool),
    /// Ask for the whole list once.
    FetchMembers,
    /// A line for the operators.
    Log(String),
}
