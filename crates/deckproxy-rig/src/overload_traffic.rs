//! Traffic that overloads an origin: its requests, and what the caches can serve of them.

use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use rand::RngExt;
use std::sync::Arc;

/// Objects that the caches hold.
const POPULAR_OBJECTS: u64 = 120;
/// Share of the requests that are for one of them.
const POPULAR_SHARE: f64 = 0.4;
/// Share of the requests that have an effect.
const WRITE_SHARE: f64 = 0.06;
/// Time that a client gives a request, ms.
const TIMEOUT_MS: u32 = 1400;
/// Bits below a popular object's number.
const POPULAR_SHIFT: u32 = 32;
/// Priority weight of a request that has no effect.
const READ_WEIGHT: f64 = 1.0;
/// Priority weight of a request that has an effect.
const WRITE_WEIGHT: f64 = 3.0;

/// Requests for some objects again and again, for most but once.
pub fn requests() -> RequestGenerator {
    Arc::new(|rng| {
        let object = if rng.random::<f64>() < POPULAR_SHARE {
            rng.random_range(0..POPULAR_OBJECTS) << POPULAR_SHIFT | 7
        } else {
            // Small ones: the origin is scarce, not the links.
            (rng.random::<u64>() | 1 << 60) / 61 * 61 + 9
        };
        let class = match rng.random::<f64>() {
            x if x < WRITE_SHARE * 0.5 => "post",
            x if x < WRITE_SHARE => "once",
            _ => "page",
        };
        RequestSpec { class, object, group: 3, home_site: 0, timeout_ms: TIMEOUT_MS }
    })
}

/// Priority weight of a request by its class, with the defaults of the operator file.
pub(crate) fn priority_weight(class: &str) -> f64 {
    if class == "page" { READ_WEIGHT } else { WRITE_WEIGHT }
}

/// Whether an object is one that the caches hold; the origin is needed for the others.
pub(crate) fn is_popular(object: u64) -> bool {
    object < POPULAR_OBJECTS << POPULAR_SHIFT
}
