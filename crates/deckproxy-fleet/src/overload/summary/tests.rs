use super::*;

#[test]
fn rates_add_up_over_gateways_whatever_their_spans() {
    let one = |span: u16, n: u16| {
        let mut s = Summary { span, ..Summary::default() };
        (0..n).for_each(|_| s.things[1].came(40_000));
        s.things[1].served = n / 2;
        s
    };
    let mut sum = Rates::default();
    [one(500, 50), one(1000, 30), Summary::default()].iter().for_each(|s| sum.add(s, 1));
    assert_eq!((sum.come(), sum.served), (130.0, 65.0));
    assert_eq!(Rates::default().share(), 1.0);
}

#[test]
fn a_summary_fits_an_entry_of_the_board() {
    let mut full = Summary { span: u16::MAX, ..Summary::default() };
    for tally in &mut full.things {
        // More in a second than a gateway of one core is built for.
        tally.levels = [2000; LEVELS];
        (tally.passed, tally.served, tally.refused) = (u16::MAX, u16::MAX, u16::MAX);
    }
    let bytes = postcard::to_stdvec(&full).unwrap();
    assert!(bytes.len() <= crate::gossip_store::LARGEST_VALUE, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Summary>(&bytes).unwrap(), full);
}

#[test]
fn a_pause_of_the_process_ends_what_was_counted() {
    let mut counting = Counting::new(0.0, 250.0);
    counting.of(Thing::Caches).served = 9;
    assert!(!counting.tick(200.0) && counting.tick(250.0));
    assert_eq!(counting.summary().things[0].served, 9);
    counting.of(Thing::Caches).served = 9;
    assert!(counting.tick(9000.0));
    assert_eq!(counting.summary(), Summary::default());
}
