//! Stand-ins for the cases of the second review: clients, caches with parents and an origin, the control feed, the
//! platform that starts gateways, and a relay. They follow the operators' pages on the protocol and the deployment.

pub mod burst;
pub mod case;
pub mod client;
pub mod feed;
pub mod members;
pub mod memory;
pub mod msgpack;
pub mod platform;
pub mod record;
pub mod relay;
pub mod settings;
pub mod site;
mod sys;
pub mod world;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Unix time, ms.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

/// Sleeps until a Unix time, ms.
pub fn sleep_until(at: f64) {
    let left = at - now_ms();
    if left > 0.0 {
        sleep_ms(left);
    }
}

/// Sleeps for some ms.
pub fn sleep_ms(ms: f64) {
    std::thread::sleep(Duration::from_secs_f64(ms / 1000.0));
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
