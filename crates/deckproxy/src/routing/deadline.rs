//! The timers of a router.

use crate::routing::attempt_key::AttemptKey;
use deckproxy_control::interface::RequestId;

/// What is to happen when a timer fires.
#[derive(Clone, Copy, Debug)]
pub(super) enum Deadline {
    /// An attempt times out.
    Attempt(AttemptKey),
    /// A request's last moment for an answer has come.
    Request(RequestId),
    /// A health check times out.
    HealthCheck(AttemptKey),
    /// The decision module's own timer, with its token.
    Control(u64),
}
