//! Messages between the gateway and members.

use bytes::Bytes;

/// Options of one attempt, in addition to the request itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptOptions {
    /// How long the gateway waits for the answer, ms.
    pub timeout: f64,
    /// The id of the member that fills a miss.
    pub source: Option<Box<str>>,
    /// The rank at which the copy is cached; 0: it is not cached.
    pub copy_rank: u8,
    /// The greatest accepted age of a copy, ms; 0: the class's freshness lifetime.
    pub max_age: f64,
    /// Whether to join a fill that is in flight.
    pub join: bool,
    /// Whether the source answers only from its cache.
    pub cached_only: bool,
    /// Whether the parent caches no copy.
    pub no_parent_copy: bool,
    /// Whether to revalidate in the background.
    pub renew: bool,
}

/// How a member answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The client's cached copy is current.
    NotModified,
    /// A miss.
    Miss,
    /// The member is overloaded and did not run the attempt.
    Rejected,
    /// An error; the attempt may have run.
    Error,
    /// The request's deadline passed before it ran.
    Expired,
    /// The answer to a health check: whether the process is healthy.
    Health(bool),
}

/// The copy that an answer was served from, as described by the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct CopyInfo {
    /// When the origin issued it, Unix ms.
    pub issued: Option<f64>,
    /// Its tag.
    pub tag: Box<str>,
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The name of the request, or the tag of the health check, that it answers.
    pub id: Box<str>,
    /// How the member answered.
    pub status: Status,
    /// Names and values of a load report.
    pub load_report: Vec<(Box<str>, f64)>,
    /// The copy that it was served from, if it describes one.
    pub copy: Option<CopyInfo>,
    /// The body.
    pub body: Bytes,
}
