//! Retry-after times are reserved only where the admitted rate has been served before: the shed controller alone, in
//! simulated time.

use deckproxy_fleet::overload::priority::BUCKETS;
use deckproxy_fleet::overload::shed_controller::{LOOK_INTERVAL, Limits, ShedController};
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
    let (mut looks_with_reservations, mut climbing_looks) = (0, 0);
    // The highest rate that was ever served, counted here.
    let mut served: f64 = 0.0;
    for look in 0..200 {
        // Little capacity, then at once four times as much: the rate climbs there.
        let capacity = if look < 100 { 100.0 } else { 400.0 };
        let admitted_rate = level.lines[1].map(|line| f64::from(line.admitted_rate));
        let rates = rates(900.0, admitted_rate, capacity);
        served = served.max(rates.served);
        level = controller.look(f64::from(look) * LOOK_INTERVAL, &[Rates::default(), rates]);
        let Some(line) = level.lines[1] else { continue };
        let climbs = f64::from(line.admitted_rate) > 1.06 * served;
        climbing_looks += u32::from(climbs);
        looks_with_reservations += u32::from(line.reserved_share > 0);
        assert!(
            !climbs || line.reserved_share == 0,
            "look {look}: {line:?}, where {served} were served at most"
        );
    }
    assert!(
        climbing_looks > 4 && looks_with_reservations > 20,
        "{climbing_looks} looks climbed and {looks_with_reservations} reserved times"
    );
}
