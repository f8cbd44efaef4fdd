//! Times to come back are named only where what is let in was served before: a look at the sums alone, in simulated time.

use deckproxy_fleet::overload::rank::LEVELS;
use deckproxy_fleet::overload::shed_level::{LOOK, Limits, ShedController, ShedLevel};
use deckproxy_fleet::overload::summary::Rates;

/// So many come a second, so many are let in, and so many can be served; half as many repeats beside them.
fn world(come: f64, cap: Option<f64>, room: f64) -> Rates {
    let passed = cap.unwrap_or(come).min(come);
    Rates {
        levels: [come / LEVELS as f64; LEVELS],
        repeats: 0.5 * come,
        firsts: passed,
        passed,
        served: passed.min(room),
        refused: (passed - room).max(0.0),
        ..Rates::default()
    }
}

/// What is let in climbs by steps that grow, past what can be served: such a step named times that were then broken.
#[test]
fn while_more_is_let_in_than_was_ever_served_no_time_is_named() {
    let mut control = ShedController::new(Limits::default());
    let mut told = ShedLevel::default();
    let (mut named, mut steps) = (0, 0);
    // The most that was ever served, counted here.
    let mut served: f64 = 0.0;
    for look in 0..200 {
        // Tight, then all at once four times as roomy: it climbs there.
        let room = if look < 100 { 100.0 } else { 400.0 };
        let cap = told.things[1].map(|line| f64::from(line.cap));
        let rates = world(900.0, cap, room);
        served = served.max(rates.served);
        told = control.look(f64::from(look) * LOOK, &[Rates::default(), rates]);
        let Some(line) = told.things[1] else { continue };
        let climbs = f64::from(line.cap) > 1.06 * served;
        steps += u32::from(climbs);
        named += u32::from(line.promise > 0);
        assert!(!climbs || line.promise == 0, "look {look}: {line:?}, where {served} were served at most");
    }
    assert!(steps > 4 && named > 20, "it climbed at {steps} looks and named times at {named}");
}
