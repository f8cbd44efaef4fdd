//! Keys by which connections name attempts and health checks.

use deckproxy_control::interface::RequestId;

/// One attempt, or one health check, as connections name it. Unique for the life of a router.
pub type AttemptKey = u64;

/// Attempts of one request that a key has space for.
const ATTEMPTS_PER_REQUEST: u64 = 1 << 8;
/// Marks the key of a health check.
const HEALTH_CHECK: u64 = 1 << 63;

/// The key of a request's attempt with that number, from 0.
pub(super) fn attempt_key(request: RequestId, number: u32) -> AttemptKey {
    u64::from(request) * ATTEMPTS_PER_REQUEST + u64::from(number)
}

/// The request whose attempt has that key; none for the key of a health check.
pub(super) fn request_of(key: AttemptKey) -> Option<RequestId> {
    RequestId::try_from(key / ATTEMPTS_PER_REQUEST).ok()
}

/// The key of the health check with that number.
pub(super) fn health_check_key(number: u64) -> AttemptKey {
    HEALTH_CHECK | number
}
