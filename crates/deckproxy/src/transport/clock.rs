//! The one clock: Unix time in milliseconds, as all parties of the protocol tell it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// The instant at which the Unix clock will show that time, if nobody sets it meanwhile.
pub fn instant(at: f64) -> Instant {
    let ahead = (at - now()).clamp(0.0, 86_400_000.0);
    Instant::now() + Duration::from_secs_f64(ahead / 1000.0)
}
