//! Messages between the gateway and members.

use bytes::Bytes;

/// Options of one attempt, beside the request itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptOptions {
    /// How long the gateway waits for the answer, ms.
    pub timeout: f64,
    /// The id of the member that fills a miss.
    pub source: Option<Box<str>>,
    /// The rank at which the copy is cached; 0: it is not cached.
    pub copy_rank: u8,
    /// The greatest age of a copy that will do, ms; 0: the class's freshness lifetime.
    pub max_age: f64,
    /// Join a fill that is under way.
    pub join: bool,
    /// The source gives only what it has cached.
    pub cached_only: bool,
    /// The parent caches no copy.
    pub no_parent_copy: bool,
    /// Revalidate in the background.
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
    /// The request's time was over before it ran.
    Expired,
    /// The answer to a health check: whether the process is well.
    Health(bool),
}

/// What an answer says of the copy that it was served from.
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
    /// What it answers: a request's name or a health check's tag.
    pub id: Box<str>,
    /// How the member answered.
    pub status: Status,
    /// Names and values of a load report.
    pub load_report: Vec<(Box<str>, f64)>,
    /// The copy that it was served from, where it names one.
    pub copy: Option<CopyInfo>,
    /// The body.
    pub body: Bytes,
}
