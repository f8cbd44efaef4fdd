//! Requests, and the results of their attempts.

use super::{Millis, RequestId};

/// A client's request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The object.
    pub object: u64,
    /// The part of the object.
    pub part: u32,
    /// The object's group, which can be purged as a whole.
    pub group: u32,
    /// Size of the answer in KB, where it is known.
    pub size: Option<f64>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Clock time after which the client no longer waits for an answer.
    pub deadline: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// Answered in full.
    Served,
    /// Answered with an error; it may have been executed.
    Error,
    /// Rejected by the member before it was executed.
    Rejected,
    /// No answer before the deadline; it may have been executed.
    Timeout,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No usable copy, and none was filled.
    Miss,
}

/// What an answer reports about its copy or fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillNote {
    /// Nothing.
    None,
    /// Answered from a copy.
    Hit,
    /// Answered by a fill.
    Filled,
    /// Answered by a fill that the parent fetched from the origin.
    FilledByOrigin,
    /// The attempt joined a running fill; with a miss: a fill is in progress.
    Joined,
    /// Answered from a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source could not be reached, broke the connection or timed out.
    SourceFailed,
    /// The source does not have the object.
    SourceMiss,
    /// The cache has no capacity for a fill.
    NoCapacity,
    /// The parent's fetch from the origin failed.
    OriginFailed,
}

/// A member's load report, delayed and approximate. Values that the member does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// At a cache, the load of its location's link divided by the link's capacity; at a parent, its
    /// fetches in flight.
    pub link: Option<f64>,
    /// Share of its CPU time in use, 0 to 1.
    pub busy_share: Option<f64>,
}
