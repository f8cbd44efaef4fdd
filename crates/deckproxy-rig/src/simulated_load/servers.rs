//! The caches and the origin that serve admitted attempts, each up to a rate.

use super::LoadSettings;
use deckproxy_fleet::Millis;
use deckproxy_fleet::overload::RequestOutcome;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Seconds of capacity that servers may save up.
const SAVED_CAPACITY_SECONDS: f64 = 0.05;
/// Time that serving takes, ms.
const SERVED_MS: Millis = 20.0;
/// Time until a server that has no capacity rejects, ms.
const REJECTED_MS: Millis = 2.0;
/// Time until it fails instead, ms.
const FAILED_MS: Millis = 200.0;

/// Capacity that servers have saved up, requests.
#[derive(Default)]
pub(super) struct Servers {
    caches: f64,
    origin: f64,
}

impl Servers {
    /// Adds the capacity of a span of time.
    pub(super) fn refill(&mut self, settings: &LoadSettings, seconds: f64) {
        let refill = |capacity: &mut f64, rate: f64| {
            *capacity = (*capacity + rate * seconds).min(rate * SAVED_CAPACITY_SECONDS);
        };
        refill(&mut self.caches, settings.cache_rate);
        refill(&mut self.origin, settings.origin_rate);
    }

    /// Serves an attempt at the caches, where its object is popular, or at the origin, as far as there is capacity.
    pub(super) fn serve(
        &mut self,
        is_popular: bool,
        settings: &LoadSettings,
        rng: &mut Pcg64Mcg,
    ) -> RequestOutcome {
        let capacity = if is_popular { &mut self.caches } else { &mut self.origin };
        if *capacity >= 1.0 {
            *capacity -= 1.0;
            RequestOutcome::Served
        } else if rng.random::<f64>() < settings.late_failure_share {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Rejected
        }
    }
}

/// The time that servers take for an outcome, ms.
pub(super) fn duration(outcome: RequestOutcome) -> Millis {
    match outcome {
        RequestOutcome::Served => SERVED_MS,
        RequestOutcome::Rejected => REJECTED_MS,
        _ => FAILED_MS,
    }
}
