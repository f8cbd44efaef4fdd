//! Actions that the decision module requests from its host.

use super::{MemberId, Millis, RequestId};

/// Options of an [`Action::Get`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GetOptions {
    /// Join a fill that is in progress instead of starting another.
    pub join: bool,
    /// The source answers only from its own copies and does not fetch.
    pub cached_only: bool,
    /// The parent stores no copy.
    pub no_parent_copy: bool,
    /// Refresh an ageing copy after it has answered.
    pub renew: bool,
}

/// An action for the host to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt that a member answers only from its own copy.
    Lookup {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Clock time at which the attempt times out.
        deadline: Millis,
    },
    /// Send an attempt that specifies how a miss is filled.
    Get {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Clock time at which the attempt times out.
        deadline: Millis,
        /// Source of the fill; equal to `member`: no fill.
        source: MemberId,
        /// Rank of the stored copy, 1 to 3; 0 stores none.
        copy_rank: u8,
        /// Maximum age of a copy that may answer; 0: its freshness lifetime.
        max_age: Millis,
        /// Options of the get.
        options: GetOptions,
    },
    /// Final answer: rejected. The client can safely send the request again.
    Reject {
        /// The request.
        request: RequestId,
        /// Advised delay before a new request; 0: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed. The request may have been executed.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Set a timer.
    Timer {
        /// Returned with the timer event.
        token: u64,
        /// Clock time at which the timer expires.
        at: Millis,
    },
    /// Check a member's health.
    HealthCheck(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Send a message to the router at a position, or to all routers.
    SendToPeer(Option<u32>, Vec<u8>),
    /// Subscribe to the member list, or cancel the subscription.
    WatchMembers(bool),
    /// Fetch the whole member list once.
    FetchMembers,
    /// Write a line to the operators' log.
    Log(String),
}
