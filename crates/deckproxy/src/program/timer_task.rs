//! What the event loop does when one of its timers fires.

use crate::program::connections::UpstreamId;
use crate::program::subsystem::LinkId;
use crate::routing::{AttemptKey, ClientId};

/// A delayed task of the event loop. A task whose subject is gone by then does nothing.
#[derive(Clone, Copy, Debug)]
pub(super) enum TimerTask {
    /// An upstream connection must be established by now.
    UpstreamConnectTimeout(UpstreamId),
    /// A link's connection must be established by now.
    LinkConnectTimeout(LinkId),
    /// Connect to the control feed.
    ConnectFeed,
    /// Try to accept again after descriptors or places ran out.
    RetryAccept,
    /// Cancel an attempt of which nothing could be written.
    ExpireUnsent(AttemptKey),
    /// The lingering close of a client's connection has had its time.
    LingerExpired(ClientId),
    /// Close a client's connection, whatever is open on it.
    CloseClient(ClientId),
    /// Graceful shutdown: from now on new requests are rejected.
    RejectNewRequests,
    /// Graceful shutdown: requests that are still open fail now.
    FailOpenRequests,
    /// Only wake the loop: a subsystem waits for the time.
    WakeLoop,
}
