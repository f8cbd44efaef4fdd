//! Keys that identify attempts and health checks on connections.

use deckproxy_control::interface::RequestId;

/// Identifies an attempt or a health check on connections. Unique within a router until its request ids wrap around.
pub type AttemptKey = u64;

/// Size of the key space for the attempts of one request.
const ATTEMPTS_PER_REQUEST: u64 = 1 << 8;
/// The bit that marks the key of a health check.
const HEALTH_CHECK: u64 = 1 << 63;

/// The key of a request's attempt; attempts are numbered from 0.
pub(super) fn attempt_key(request: RequestId, number: u32) -> AttemptKey {
    u64::from(request) * ATTEMPTS_PER_REQUEST + u64::from(number)
}

/// The request that an attempt belongs to; `None` for the key of a health check.
pub(super) fn request_of(key: AttemptKey) -> Option<RequestId> {
    RequestId::try_from(key / ATTEMPTS_PER_REQUEST).ok()
}

/// The key of a health check, by its sequence number.
pub(super) fn health_check_key(number: u64) -> AttemptKey {
    HEALTH_CHECK | number
}
