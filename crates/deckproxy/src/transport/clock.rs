//! The clocks: Unix time in milliseconds, as the protocols use it, and a monotonic clock.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Upper limit of a wait: one day, in ms.
const MAX_WAIT_MS: f64 = 86_400_000.0;

/// The Unix time in milliseconds; 0 if the system clock is set before the epoch.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// Converts a Unix time in ms to a monotonic instant, assuming that the system clock is not adjusted meanwhile; never
/// in the past and at most [`MAX_WAIT_MS`] ahead.
pub fn instant(at: f64) -> Instant {
    let ahead = (at - now()).clamp(0.0, MAX_WAIT_MS);
    Instant::now() + Duration::from_secs_f64(ahead / 1000.0)
}

/// Milliseconds since the first call, on the monotonic clock. The clock does not advance while the machine is
/// suspended, but does while this process is stopped.
pub fn steady() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}
