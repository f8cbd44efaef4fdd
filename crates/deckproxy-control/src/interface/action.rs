//! Actions that the decision module asks its host to carry out.

use super::{MemberId, Millis, RequestId};

/// Options of a get.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GetOptions {
    /// Wait for a fill that is in progress.
    pub join: bool,
    /// The source answers only from its own copies.
    pub cached_only: bool,
    /// The parent keeps no copy.
    pub no_parent_copy: bool,
    /// Renew an ageing copy after its answer.
    pub renew: bool,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt that asks a member for its own copy only.
    Lookup {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Clock time at which the attempt times out.
        deadline: Millis,
    },
    /// Send an attempt that says how a miss is filled.
    Get {
        /// The request.
        request: RequestId,
        /// The member.
        member: MemberId,
        /// Clock time at which the attempt times out.
        deadline: Millis,
        /// Source of the fill; the member itself: none.
        source: MemberId,
        /// Rank of the copy that is kept, 1 to 3; 0 keeps none.
        copy_rank: u8,
        /// Greatest age of a copy that may answer; 0: its freshness lifetime.
        max_age: Millis,
        /// Options of the get.
        options: GetOptions,
    },
    /// Final answer: rejected. A new request does no harm.
    Reject {
        /// The request.
        request: RequestId,
        /// Advised time until a new request; 0: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed. The request may have run.
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
        /// Clock time at which it is due.
        at: Millis,
    },
    /// Check a member's health.
    HealthCheck(MemberId),
    /// Close the idle connections to a member.
    CloseIdle(MemberId),
    /// Send a message to one router, by its position, or to all.
    SendToPeer(Option<u32>, Vec<u8>),
    /// Subscribe to the member list, or end the subscription.
    WatchMembers(bool),
    /// Request the whole member list once.
    FetchMembers,
    /// Write a line to the operators' log.
    Log(String),
}
