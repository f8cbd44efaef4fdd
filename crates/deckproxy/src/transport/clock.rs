//! The clocks: Unix time in milliseconds, as all parties of the protocols use it, and a monotonic one.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest time ahead that is waited for: one day, in ms.
const LONGEST_WAIT: f64 = 86_400_000.0;

/// The Unix time in milliseconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

/// The instant at which the Unix clock will show that time in ms, if nobody sets it meanwhile; at most a day ahead.
pub fn instant(at: f64) -> Instant {
    let ahead = (at - now()).clamp(0.0, LONGEST_WAIT);
    Instant::now() + Duration::from_secs_f64(ahead / 1000.0)
}

/// Milliseconds since some moment before the first call, on a clock that nobody can set. It stands while the machine
/// sleeps, and goes on while this process is stopped.
pub fn steady() -> f64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_secs_f64() * 1000.0
}
