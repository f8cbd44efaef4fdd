use super::*;

#[test]
fn served_object_is_remembered_until_it_is_removed_or_expires() {
    let mut recently_cached = RecentlyCached::new(4, 1000.0);
    (0..4).for_each(|i| recently_cached.insert(f64::from(i as u32), i));
    assert!((0..4).all(|i| recently_cached.contains(i)));
    recently_cached.remove(2);
    assert!(!recently_cached.contains(2));
    (4..12).for_each(|i| recently_cached.insert(10.0, i));
    assert!(
        !recently_cached.contains(0) && recently_cached.contains(11),
        "at most two generations of four objects are remembered"
    );
    recently_cached.insert(1500.0, 20);
    recently_cached.insert(3000.0, 21);
    assert!(!recently_cached.contains(11) && recently_cached.contains(20));
}
