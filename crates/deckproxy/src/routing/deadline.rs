//! The kinds of timers of a router.

use crate::routing::attempt_key::AttemptKey;
use deckproxy_control::interface::RequestId;

/// What happens when a timer fires.
#[derive(Clone, Copy, Debug)]
pub(super) enum Deadline {
    /// An attempt times out.
    Attempt(AttemptKey),
    /// A request is failed if it is still unanswered.
    Request(RequestId),
    /// A health check times out.
    HealthCheck(AttemptKey),
    /// A timer of the decision module, with its token.
    Control(u64),
}
