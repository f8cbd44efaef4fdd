//! Delayed tasks of the event loop.

use crate::program::connections::UpstreamId;
use crate::program::subsystem::LinkId;
use crate::routing::{AttemptKey, ClientId};

/// A task that the event loop runs when a timer fires. It does nothing if its subject no longer exists.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerTask {
    /// Fail an upstream connection that is not established yet.
    UpstreamConnectTimeout(UpstreamId),
    /// Close a link that is not established yet.
    LinkConnectTimeout(LinkId),
    /// Reset a closing link whose peer does not read.
    ResetLink(LinkId),
    /// Connect to the control feed.
    ConnectFeed,
    /// Retry accepting after descriptors or connection slots ran out.
    RetryAccept,
    /// Cancel an attempt of which nothing has been written.
    ExpireUnsent(AttemptKey),
    /// End the lingering close of a client's connection.
    LingerExpired(ClientId),
    /// Close a client's connection, even with open requests.
    CloseClient(ClientId),
    /// Graceful shutdown: begin to reject new requests.
    RejectNewRequests,
    /// Graceful shutdown: fail the requests that are still open.
    FailOpenRequests,
    /// Graceful shutdown: give up what other sites are still owed.
    EndShutdown,
    /// Wake the loop for a subsystem that waits for this time.
    WakeLoop,
}
