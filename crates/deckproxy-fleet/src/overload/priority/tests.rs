use super::*;
use proptest::prelude::*;

#[test]
fn a_client_keeps_its_draw_until_the_epoch_ends() {
    let key = DrawKey::of_fleet("edge");
    let draw = |client, epoch| key.draw(Draw::Priority, client, 0, epoch);
    assert_eq!(draw(7, 3), DrawKey::of_fleet("edge").draw(Draw::Priority, 7, 0, 3));
    assert_ne!(draw(7, 3), draw(7, 4));
    assert_ne!(draw(7, 3), draw(8, 3));
    // Over many epochs, each client is in the upper half about half of the time.
    for client in 0..20 {
        let upper_half_count = (0..400).filter(|epoch| draw(client, *epoch) > 0.5).count();
        assert!((140..260).contains(&upper_half_count), "client {client}: {upper_half_count}");
    }
}

#[test]
fn cheaper_requests_are_admitted_more_often_and_expensive_ones_sometimes() {
    let admitted = |cost: f64| {
        let draws = (1..1000).map(|i| f64::from(i) / 1000.0);
        draws.filter(|draw| priority(0, 1, cost, *draw) >= PRIORITIES / 2).count()
    };
    let (cheap, usual, expensive) = (admitted(0.25), admitted(1.0), admitted(4.0));
    assert!(cheap > usual && usual > expensive && expensive > 100, "{cheap} {usual} {expensive}");
    assert_eq!(admitted(f64::NAN), usual);
}

proptest! {
    #[test]
    fn bands_do_not_overlap(bands in 1usize..9, cost in 0.0f64..100.0, draw in 0.0f64..1.0, other in 0.0f64..1.0) {
        for band in 1..bands {
            prop_assert!(priority(band, bands, cost, draw) >= priority(band - 1, bands, 1.0, other));
        }
        prop_assert!(priority(bands, bands, cost, draw) < PRIORITIES);
    }

    #[test]
    fn a_threshold_admits_no_more_than_the_capacity(
        arrivals in proptest::array::uniform24(0.0f64..50.0), capacity in 0.0f64..1500.0,
    ) {
        let threshold = threshold(&arrivals, capacity);
        let width = f64::from(PRIORITIES) / BUCKETS as f64;
        let admitted: f64 = arrivals.iter().enumerate().map(|(i, arriving)| {
            let (from, to) = (i as f64 * width, (i + 1) as f64 * width);
            arriving * ((to - f64::from(threshold)) / (to - from)).clamp(0.0, 1.0)
        }).sum();
        prop_assert!(admitted <= capacity + 1e-6, "{admitted} of {capacity}");
        // The admitted rate is at most one priority's arrivals below the capacity, unless all arrivals are admitted.
        prop_assert!(threshold == 0 || admitted >= capacity - 0.2, "{admitted} of {capacity}");
    }
}
