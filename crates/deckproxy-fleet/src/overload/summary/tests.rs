use super::*;

#[test]
fn rates_add_up_over_instances_with_different_spans() {
    let summary = |span: u16, n: u16| {
        let mut summary = Summary { span, ..Summary::default() };
        (0..n).for_each(|_| summary.resources[1].count_arrival(40_000));
        summary.resources[1].served = n / 2;
        summary
    };
    let mut sum = Rates::default();
    for summary in [summary(500, 50), summary(1000, 30), Summary::default()] {
        sum.add(&summary, 1);
    }
    assert_eq!((sum.first_attempts(), sum.served), (130.0, 65.0));
    assert_eq!(Rates::default().served_share(), 1.0);
}

#[test]
fn summary_fits_into_a_gossip_store_entry() {
    let mut full = Summary { span: u16::MAX, ..Summary::default() };
    for tally in &mut full.resources {
        // More requests per second than an instance on one core is designed for.
        tally.arrivals = [2000; BUCKETS];
        (tally.admitted, tally.served, tally.rejected) = (u16::MAX, u16::MAX, u16::MAX);
    }
    let bytes = postcard::to_stdvec(&full).unwrap();
    assert!(bytes.len() <= crate::gossip_store::MAX_VALUE_BYTES, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Summary>(&bytes).unwrap(), full);
}

#[test]
fn pause_of_the_process_drops_the_counts() {
    let mut counter = RequestCounter::new(0.0, 250.0);
    counter.tally(Resource::Caches).served = 9;
    assert!(!counter.tick(200.0) && counter.tick(250.0));
    assert_eq!(counter.summary().resources[0].served, 9);
    counter.tally(Resource::Caches).served = 9;
    assert!(counter.tick(9000.0));
    assert_eq!(counter.summary(), Summary::default());
}
