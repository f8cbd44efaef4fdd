use super::*;

#[test]
fn the_store_evicts_unused_copies_first_and_drops_purged_ones() {
    let mut store = ObjectStore::new(3);
    for object in 1..=3 {
        store.put(object, object);
    }
    store.get(1);
    store.put(4, 4);
    assert!(store.get(1).is_some() && store.get(2).is_none() && store.len() == 3);
    store.remove_issued_before(4, 4);
    assert!(store.get(4).is_some(), "issued at that time, not before");
    store.remove_issued_before(4, 5);
    assert_eq!((store.get(4), store.len()), (None, 2));
    (10..100).for_each(|object| store.put(object, 7));
    assert_eq!(store.len(), 3);
}

#[test]
fn a_restarted_cache_warms_up_and_reports_overload() {
    let settings = MemberSettings { egress_kb_per_s: 1000.0, ..MemberSettings::default() };
    let mut cache = Member::new(MemberKind::Cache, 0, 0, 1, &settings);
    assert_eq!(cache.send(0, 100.0, &settings), 100_000);
    cache.crash();
    cache.start(1_000_000);
    assert_eq!(cache.send(1_000_000, 100.0, &settings), 1_500_000, "a fifth of its bandwidth");
    assert!(cache.capacity_share(1_000_000 + micros(settings.warm_up_ms), &settings) >= 1.0);
    // 0.2 of 1,000 KB a second, three times: 600 in a second are the most.
    let overloaded_at = (0..700).position(|_| cache.is_overloaded_by(1_000_000, 1.0, &settings));
    assert_eq!(overloaded_at, Some(600));
    assert!(!cache.is_overloaded_by(9_000_000, 1.0, &settings), "it has warmed up");
}
