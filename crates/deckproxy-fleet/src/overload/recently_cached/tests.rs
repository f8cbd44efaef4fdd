use super::*;

#[test]
fn what_was_served_lately_is_warm_until_it_is_lost_or_old() {
    let mut recently_cached = RecentlyCached::new(4, 1000.0);
    (0..4).for_each(|i| recently_cached.served(f64::from(i as u32), i));
    assert!((0..4).all(|i| recently_cached.has(i)));
    recently_cached.lost(2);
    assert!(!recently_cached.has(2));
    (4..12).for_each(|i| recently_cached.served(10.0, i));
    assert!(!recently_cached.has(0) && recently_cached.has(11), "two generations of four");
    recently_cached.served(1500.0, 20);
    recently_cached.served(3000.0, 21);
    assert!(!recently_cached.has(11) && recently_cached.has(20));
}
