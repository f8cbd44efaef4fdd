//! Requests, and what the end of an attempt tells.

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
    /// The object's group, by which it may be purged.
    pub group: u32,
    /// Size of the answer in KB, where it is known.
    pub size: Option<f64>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Clock time at which the client gives up.
    pub deadline: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// Answered in full.
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected by the member before it ran.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No usable copy, and none was filled.
    Miss,
}

/// What an answer tells of its copy or fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillNote {
    /// Nothing.
    None,
    /// It came from a copy.
    Hit,
    /// It came by a fill.
    Filled,
    /// It came by a fill for which the parent asked the origin.
    FilledByOrigin,
    /// It joined a fill; with a miss: a fill is in progress.
    Joined,
    /// It came from a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was not reached, broke off or timed out.
    SourceFailed,
    /// The source has no such object.
    SourceMiss,
    /// The cache has no capacity for a fill.
    NoCapacity,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// A member's report of its load, late and inexact. Values that a member does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: Option<f64>,
    /// At a cache, the load of its location's link over its capacity; at a parent, its fetches in flight.
    pub link: Option<f64>,
    /// Busy share of its cores, 0 to 1.
    pub busy_share: Option<f64>,
}
