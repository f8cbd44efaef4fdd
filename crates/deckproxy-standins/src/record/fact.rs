//! The facts of a record.

use super::Stamp;

/// How a client was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With a body; its stamp, or `None` if no origin made it.
    Served(Option<Stamp>),
    /// The client's copy is still valid.
    Unchanged,
    /// Rejected, with the advised time until a retry (Retry-After), ms.
    Rejected(Option<f64>),
    /// With another error.
    Failed,
}

/// One thing that was observed.
#[derive(Clone, Debug)]
pub enum Fact {
    /// A client wrote a request's last byte.
    RequestSent {
        /// The request's name.
        name: String,
        /// The client's site.
        site: u32,
        /// The site whose origin has the object.
        home_site: u32,
        /// The request's class.
        class: &'static str,
        /// The object that it is for.
        object: u64,
        /// The object's purge group.
        group: u32,
        /// The time that the request has, ms.
        timeout_ms: f64,
    },
    /// A client read a complete answer.
    Answered {
        /// The request's name.
        name: String,
        /// How it was answered.
        outcome: Outcome,
    },
    /// A request needs no answer: its client left, or it crossed the planned close of its connection and is sent again.
    Withdrawn {
        /// The request's name.
        name: String,
    },
    /// A client's connection ended with this request in flight.
    ConnectionLost {
        /// The request's name.
        name: String,
    },
    /// A member received a complete attempt.
    AttemptReceived {
        /// The request's name.
        name: String,
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The request's class.
        class: String,
    },
    /// An attempt was answered, cancelled, or its connection ended.
    AttemptEnded {
        /// The request's name.
        name: String,
        /// The member.
        member: String,
    },
    /// A request with an effect took effect.
    EffectApplied {
        /// The request's name.
        name: String,
        /// The member's site.
        site: u32,
        /// The request's idempotency key.
        key: Option<String>,
    },
    /// A site's feed announced that a member drains.
    DrainAnnounced {
        /// The member.
        member: String,
    },
    /// A site's feed announced a purge.
    PurgeAnnounced {
        /// The feed's site.
        site: u32,
        /// The purged object; `None` for a whole group.
        object: Option<u64>,
        /// The purged group, or the object's.
        group: u32,
        /// When the purge was made, Unix ms.
        at: u64,
    },
    /// A member filled a copy from a source.
    Filled {
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The object.
        object: u64,
        /// The source's name.
        from: String,
    },
    /// A member answered from a copy.
    CacheHit {
        /// The member's site.
        site: u32,
        /// The member.
        member: String,
        /// The object.
        object: u64,
    },
    /// A member received a health check.
    HealthChecked {
        /// The member.
        member: String,
    },
    /// A site's gateway was killed: its requests in flight need no answer.
    GatewayKilled {
        /// The site.
        site: u32,
    },
    /// A link was cut or restored.
    LinkChanged {
        /// The kind of the cut, in words.
        kind: &'static str,
        /// Whether it is cut now.
        is_cut: bool,
    },
}

/// A fact with its time.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Milliseconds since the record began.
    pub at: f64,
    /// What was observed.
    pub fact: Fact,
}
