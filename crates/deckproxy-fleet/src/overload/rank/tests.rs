use super::*;
use proptest::prelude::*;

#[test]
fn the_same_client_has_the_same_place_until_the_epoch_ends() {
    let keys = Keys::of("edge");
    let at = |client, epoch| keys.draw(Draw::Place, client, 0, epoch);
    assert_eq!(at(7, 3), Keys::of("edge").draw(Draw::Place, 7, 0, 3));
    assert_ne!(at(7, 3), at(7, 4));
    assert_ne!(at(7, 3), at(8, 3));
    // Over epochs everybody is in the upper half about as often.
    for client in 0..20 {
        let upper = (0..400).filter(|e| at(client, *e) > 0.5).count();
        assert!((140..260).contains(&upper), "client {client}: {upper}");
    }
}

#[test]
fn what_costs_less_passes_more_often_and_nothing_never() {
    let passes =
        |cost: f64| (1..1000).filter(|i| rank(0, 1, cost, f64::from(*i) / 1000.0) >= RANKS / 2).count();
    let (cheap, usual, dear) = (passes(0.25), passes(1.0), passes(4.0));
    assert!(cheap > usual && usual > dear && dear > 100, "{cheap} {usual} {dear}");
    assert_eq!(passes(f64::NAN), usual);
}

proptest! {
    #[test]
    fn bands_never_mix(bands in 1usize..9, cost in 0.0f64..100.0, draw in 0.0f64..1.0, other in 0.0f64..1.0) {
        for band in 1..bands {
            prop_assert!(rank(band, bands, cost, draw) >= rank(band - 1, bands, 1.0, other));
        }
        prop_assert!(rank(bands, bands, cost, draw) < RANKS);
    }

    #[test]
    fn what_passes_a_cut_is_no_more_than_was_asked_for(
        arrivals in proptest::array::uniform24(0.0f64..50.0), most in 0.0f64..1500.0,
    ) {
        let cut = cut(&arrivals, most);
        let width = f64::from(RANKS) / LEVELS as f64;
        let passed: f64 = arrivals.iter().enumerate().map(|(i, come)| {
            let (from, to) = (i as f64 * width, (i + 1) as f64 * width);
            come * ((to - f64::from(cut)) / (to - from)).clamp(0.0, 1.0)
        }).sum();
        prop_assert!(passed <= most + 1e-6, "{passed} of {most}");
        // And no less than a rank's worth under it, unless all pass.
        prop_assert!(cut == 0 || passed >= most - 0.2, "{passed} of {most}");
    }
}
