//! Draining and gone members receive no new attempts.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_draining_or_gone_member_receives_no_attempts_and_is_no_source() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
        for draining in [101, 201] {
            let mut harness = Harness::new();
            harness.event(Event::MemberList(ListKind::Delta, vec![Member { lifecycle, ..member(draining) }]));
            for object in 0..60 {
                let (id, cache) = harness.request_and_miss(SMALL, object);
                let fill = harness.sends()[0];
                assert!(cache != draining && fill.member != draining && fill.source != Some(draining));
                harness.end(id, 1, cache, AttemptEnding::Served);
            }
        }
    }
}

#[test]
fn waiters_are_not_released_to_a_draining_cache() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    harness.request_and_miss(SMALL, 5);
    let draining = Member { lifecycle: Lifecycle::Draining, ..member(cache) };
    harness.event(Event::MemberList(ListKind::Delta, vec![draining]));
    let late = harness.request(SMALL, 5, 0);
    assert!(
        harness.sends().iter().all(|sent| sent.member != cache),
        "a new request must not be looked up at the draining cache either"
    );
    harness.event(Event::ClientGone(late));
    harness.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(harness.sends().len(), 1);
    assert_ne!(harness.sends()[0].member, cache);
}

#[test]
fn a_member_missing_from_a_full_list_is_gone_and_its_fills_are_retried() {
    let mut harness = Harness::new();
    let (id, cache) = harness.request_and_miss(SMALL, 5);
    let remaining = all_members().into_iter().filter(|m| m.id != cache).collect();
    harness.event(Event::MemberList(ListKind::Full, remaining));
    harness.end(id, 1, cache, AttemptEnding::Reset);
    assert!(harness.sends().iter().all(|sent| sent.member != cache));
    assert_eq!(harness.sends().len(), 1);
}
