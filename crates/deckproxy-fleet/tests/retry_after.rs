//! Retry-after times are reserved only where the admitted rate has been served before: the shed controller alone, in
//! simulated time.

use deckproxy_fleet::overload::priority::BUCKETS;
use deckproxy_fleet::overload::shed_controller::{EVALUATION_INTERVAL, Limits, ShedController};
use deckproxy_fleet::overload::shed_level::ShedLevel;
use deckproxy_fleet::overload::summary::Rates;

/// The rates where so many first attempts arrive, so many are admitted and so many can be served, with half as many retries
/// as arrivals.
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

/// The admitted rate climbs by growing steps, past the capacity: such a step reserved times that were then broken.
#[test]
fn no_time_is_reserved_while_more_is_admitted_than_was_ever_served() {
    let mut controller = ShedController::new(Limits::default());
    let mut level = ShedLevel::default();
    let (mut evaluations_with_reservations, mut climbing_evaluations) = (0, 0);
    // The highest rate that was ever served, counted here.
    let mut served: f64 = 0.0;
    for evaluation in 0..200 {
        // Little capacity, then at once four times as much: the rate climbs there.
        let capacity = if evaluation < 100 { 100.0 } else { 400.0 };
        let admitted_rate = level.resources[1].map(|line| f64::from(line.admitted_rate));
        let rates = rates(900.0, admitted_rate, capacity);
        served = served.max(rates.served);
        level = controller.evaluate(f64::from(evaluation) * EVALUATION_INTERVAL, &[Rates::default(), rates]);
        let Some(line) = level.resources[1] else { continue };
        let exceeds_served = f64::from(line.admitted_rate) > 1.06 * served;
        climbing_evaluations += u32::from(exceeds_served);
        evaluations_with_reservations += u32::from(line.reserved_share > 0);
        assert!(
            !exceeds_served || line.reserved_share == 0,
            "evaluation {evaluation}: {line:?}, where {served} were served at most"
        );
    }
    assert!(
        climbing_evaluations > 4 && evaluations_with_reservations > 20,
        "{climbing_evaluations} evaluations exceeded the served rate and {evaluations_with_reservations} reserved times"
    );
}
