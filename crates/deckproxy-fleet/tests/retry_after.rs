//! Tests the shed controller alone, in simulated time: retry-after times are reserved only while the admitted rate does not
//! exceed the rate served so far.

use deckproxy_fleet::overload::priority::BUCKETS;
use deckproxy_fleet::overload::shed_controller::{EVALUATION_INTERVAL, Limits, ShedController};
use deckproxy_fleet::overload::shed_level::ShedLevel;
use deckproxy_fleet::overload::summary::Rates;

/// The rates at a given arrival rate of first attempts, admitted rate and capacity, with half as many retries as first
/// attempts.
fn rates(arriving: f64, admitted_rate: Option<f64>, capacity: f64) -> Rates {
    let admitted = admitted_rate.unwrap_or(arriving).min(arriving);
    Rates {
        arrivals: [arriving / BUCKETS as f64; BUCKETS],
        retries: 0.5 * arriving,
        admitted_firsts: admitted,
        admitted,
        served: admitted.min(capacity),
        rejected: (admitted - capacity).max(0.0),
        ..Rates::default()
    }
}

/// The admitted rate rises in growing steps, which can exceed the capacity. Times reserved after such a step were broken, as
/// the capacity did not suffice for the retries.
#[test]
fn no_time_is_reserved_while_the_admitted_rate_exceeds_any_served_rate() {
    let mut controller = ShedController::new(Limits::default());
    let mut level = ShedLevel::default();
    let (mut evaluations_with_reservations, mut evaluations_above_served) = (0, 0);
    let mut max_served: f64 = 0.0;
    for evaluation in 0..200 {
        // The capacity suddenly increases fourfold, and the admitted rate rises.
        let capacity = if evaluation < 100 { 100.0 } else { 400.0 };
        let admitted_rate = level.resources[1].map(|resource_level| f64::from(resource_level.admitted_rate));
        let rates = rates(900.0, admitted_rate, capacity);
        max_served = max_served.max(rates.served);
        level = controller.evaluate(f64::from(evaluation) * EVALUATION_INTERVAL, &[Rates::default(), rates]);
        let Some(resource_level) = level.resources[1] else { continue };
        let exceeds_served = f64::from(resource_level.admitted_rate) > 1.06 * max_served;
        evaluations_above_served += u32::from(exceeds_served);
        evaluations_with_reservations += u32::from(resource_level.reserved_share > 0);
        assert!(
            !exceeds_served || resource_level.reserved_share == 0,
            "evaluation {evaluation}: {resource_level:?}, while at most {max_served} were served"
        );
    }
    assert!(
        evaluations_above_served > 4 && evaluations_with_reservations > 20,
        "{evaluations_above_served} evaluations exceeded the served rate and {evaluations_with_reservations} reserved times"
    );
}
