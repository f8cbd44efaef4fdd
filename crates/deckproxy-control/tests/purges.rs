//! A purge limits the age of copies for every attempt until all older copies have been removed.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_purge_limits_the_copy_age_of_every_attempt_until_it_has_settled() {
    let settle_time = settings().purge_settle_time;
    for (object, group) in [(Some(5), 0), (None, 7)] {
        let mut harness = Harness::new();
        harness.event(Event::Purged { object, group, age: 100.0 });
        let purged_at = harness.now - 100.0;
        let id = harness.request(SMALL, 5, 0);
        let Action::Get { member, source, max_age, options, .. } = harness.actions[0] else {
            panic!("no get with a maximum age")
        };
        assert_eq!(member, source, "still a look-up without a fill");
        assert!(!options.join && max_age > 0.0 && max_age <= harness.now - purged_at);
        harness.now += 40.0;
        harness.end(id, 0, member, AttemptEnding::Miss);
        let Action::Get { max_age, source, .. } = harness.actions[0] else { panic!("no fill") };
        assert!(
            PARENTS.contains(&source) && max_age > 0.0 && max_age <= harness.now - purged_at,
            "the maximum age is computed at the send"
        );
        harness.now = purged_at + settle_time + 1.0;
        harness.request(SMALL, 5, 1);
        assert!(
            matches!(harness.actions[0], Action::Lookup { .. }),
            "after the settle time older copies have been removed"
        );
        // Requests for other objects are not affected.
        harness.now = purged_at + 200.0;
        harness.event(Event::Purged { object: Some(6), group: 3, age: 0.0 });
    }
}

#[test]
fn a_purge_of_age_zero_sets_a_maximum_age_above_zero() {
    let mut harness = Harness::new();
    harness.event(Event::Purged { object: Some(5), group: 7, age: 0.0 });
    harness.request(LARGE, 5, 0);
    let Action::Get { max_age, .. } = harness.actions[0] else { panic!("no get with a maximum age") };
    assert!(max_age >= 0.001, "0 would allow copies of any age");
}

#[test]
fn an_older_purge_notified_later_does_not_raise_the_maximum_age() {
    let mut harness = Harness::new();
    harness.event(Event::Purged { object: Some(5), group: 7, age: 0.0 });
    harness.event(Event::Purged { object: Some(5), group: 7, age: 4000.0 });
    harness.now += 50.0;
    harness.request(SMALL, 5, 0);
    let Action::Get { max_age, .. } = harness.actions[0] else { panic!("no get with a maximum age") };
    assert!(max_age <= 50.0);
}

#[test]
fn the_maximum_age_never_exceeds_the_freshness_lifetime() {
    let mut s = settings();
    s.classes[SMALL].freshness_lifetime = 30.0;
    let mut harness = Harness::with(s, all_members());
    harness.event(Event::Purged { object: Some(5), group: 7, age: 1000.0 });
    harness.request(SMALL, 5, 0);
    let Action::Get { max_age, .. } = harness.actions[0] else { panic!("no get with a maximum age") };
    assert!(max_age <= 30.0);
}

#[test]
fn a_purge_limits_the_copy_age_of_direct_attempts_to_a_parent() {
    let mut harness =
        Harness::with(settings(), all_members().into_iter().filter(|m| m.kind != CACHE_KIND).collect());
    harness.event(Event::Purged { object: Some(5), group: 7, age: 10.0 });
    harness.request(SMALL, 5, 0);
    let Action::Get { max_age, member, .. } = harness.actions[0] else { panic!("no get with a maximum age") };
    assert!(PARENTS.contains(&member) && max_age > 0.0 && max_age <= 10.0);
}
