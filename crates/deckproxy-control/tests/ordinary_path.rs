//! The ordinary path: look-ups, fills by a leader, waiters, and the shared hash.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_request_is_looked_up_at_one_home_and_a_hit_ends_it() {
    let mut harness = Harness::new();
    let first = harness.request(SMALL, 5, 0);
    let home = harness.sends()[0];
    assert!(matches!(harness.actions[0], Action::Lookup { .. }));
    assert!(CACHES.contains(&home.member));
    harness.end(first, 0, home.member, AttemptEnding::Served);
    assert!(harness.actions.is_empty());
    harness.request(SMALL, 5, 0);
    assert_eq!(harness.sends()[0].member, home.member, "an object has one home");
}

#[test]
fn homes_and_parents_spread_over_all_members() {
    let mut harness = Harness::new();
    let (mut homes, mut parents) = (vec![], vec![]);
    for object in 1..60 {
        let (id, cache) = harness.request_and_miss(SMALL, object);
        homes.push(cache);
        parents.extend(harness.sends()[0].source);
        harness.end(id, 1, cache, AttemptEnding::Served);
    }
    assert!(CACHES.iter().all(|c| homes.contains(c)));
    assert!(PARENTS.iter().all(|p| parents.contains(p)), "parents of all zones are used");
    assert!(parents.iter().all(|p| PARENTS.contains(p)));
}

#[test]
fn routers_of_other_locations_select_the_same_parent() {
    let mut local = Harness::new();
    let mut other = Settings { zone: 3, ..settings() };
    other.zone_routers = vec![0, 0, 1, 1];
    let moved = all_members()
        .into_iter()
        .map(|m| if m.kind == CACHE_KIND { Member { id: m.id + 10, zone: 3, ..m } } else { m });
    let mut remote = Harness::with(other, moved.collect());
    for object in 1..40 {
        let (a, at) = local.request_and_miss(SMALL, object);
        let local_source = local.sends()[0].source;
        local.end(a, 1, at, AttemptEnding::Served);
        let (b, at) = remote.request_and_miss(SMALL, object);
        assert_eq!(remote.sends()[0].source, local_source);
        remote.end(b, 1, at, AttemptEnding::Served);
    }
}

#[test]
fn after_a_miss_one_request_leads_and_the_others_wait() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let Action::Get { request, member, source, copy_rank, options, max_age, .. } = harness.actions[0] else {
        panic!("no fill")
    };
    assert_eq!((request, member, copy_rank, max_age), (leader, cache, 2, 0.0));
    assert!(PARENTS.contains(&source) && options.join);
    let (waiter, _) = harness.request_and_miss(SMALL, 5);
    assert!(harness.sends().is_empty(), "the second request waits");
    // Another part has a fill of its own.
    let part = harness.request(SMALL, 5, 1);
    let at = harness.sends()[0].member;
    harness.end(part, 0, at, AttemptEnding::Miss);
    assert_eq!(harness.sends().len(), 1);
    // After the leader is served, the waiter is looked up at that cache.
    harness.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(harness.sends(), vec![SentAttempt { request: waiter, member: cache, source: None }]);
}

#[test]
fn when_the_leader_fails_the_oldest_waiter_leads() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let source = harness.sends()[0].source;
    let (oldest, _) = harness.request_and_miss(SMALL, 5);
    let (_younger, _) = harness.request_and_miss(SMALL, 5);
    harness.end(leader, 1, cache, AttemptEnding::Error);
    let sends = harness.sends();
    assert_eq!(sends.len(), 1, "{sends:?}");
    assert_eq!(sends[0].request, oldest);
    assert_ne!(sends[0].source, source, "the failed source is avoided");
    // Once the new leader is served, the other requests, including the first leader, are looked up at its
    // cache.
    harness.end(oldest, 1, cache, AttemptEnding::Served);
    assert_eq!(harness.sends().len(), 2);
}

#[test]
fn a_waiter_sends_its_own_fill_after_the_wait_timeout_and_not_before() {
    let mut harness = Harness::new();
    harness.request_and_miss(SMALL, 5);
    let (waiter, cache) = harness.request_and_miss(SMALL, 5);
    let start = harness.now;
    harness.run_timer_until(start + 2990.0);
    assert!(harness.sends().is_empty());
    harness.run_timer_until(start + 3001.0);
    assert_eq!(harness.sends().len(), 1);
    assert_eq!((harness.sends()[0].request, harness.sends()[0].member), (waiter, cache));
    assert!(harness.sends()[0].source.is_some(), "the waiter sends a fill of its own");
}

#[test]
fn a_waiter_sends_its_own_fill_earlier_if_time_for_only_one_attempt_is_left() {
    let mut harness = Harness::new();
    harness.request_and_miss(SMALL, 5);
    let id = 90;
    let deadline = harness.now + 1000.0;
    let r = Request { id, object: 5, part: 0, group: 7, size: Some(50.0), class: SMALL, deadline };
    harness.event(Event::Request(r));
    let cache = harness.sends()[0].member;
    harness.end(id, 0, cache, AttemptEnding::Miss);
    let start = harness.now;
    harness.run_timer_until(start + 500.0);
    assert!(harness.sends().is_empty());
    harness.run_timer_until(start + 900.0);
    assert_eq!(harness.sends().first().map(|sent| sent.request), Some(id));
}

#[test]
fn large_objects_join_the_running_fill_at_once() {
    let mut harness = Harness::new();
    let (_, cache) = harness.request_and_miss(LARGE, 5);
    let (second, _) = harness.request_and_miss(LARGE, 5);
    let Action::Get { request, member, options, .. } = harness.actions[0] else {
        panic!("the request waits")
    };
    assert_eq!((request, member, options.join), (second, cache, true));
}

#[test]
fn a_leader_whose_client_leaves_still_serves_its_waiters() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let (waiter, _) = harness.request_and_miss(SMALL, 5);
    harness.event(Event::ClientGone(leader));
    assert!(harness.sends().is_empty(), "the fill continues");
    harness.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(harness.sends(), vec![SentAttempt { request: waiter, member: cache, source: None }]);
}

#[test]
fn a_waiter_leads_after_the_fill_of_a_leader_without_client_fails() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let (waiter, _) = harness.request_and_miss(SMALL, 5);
    harness.event(Event::ClientGone(leader));
    harness.end(leader, 1, cache, AttemptEnding::Cancelled);
    assert_eq!(harness.sends().len(), 1);
    assert_eq!(harness.sends()[0].request, waiter);
    assert!(harness.sends()[0].source.is_some());
}

#[test]
fn a_waiter_whose_client_left_is_never_sent() {
    let mut harness = Harness::new();
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let (waiter, _) = harness.request_and_miss(SMALL, 5);
    harness.event(Event::ClientGone(waiter));
    harness.end(leader, 1, cache, AttemptEnding::Served);
    assert!(harness.sends().is_empty());
}

#[test]
fn sources_follow_the_hash_then_the_origin() {
    let mut harness = Harness::new();
    let (id, cache) = harness.request_and_miss(SMALL, 5);
    let mut seen = vec![harness.sends()[0].source.unwrap()];
    for attempt in 1..3 {
        harness.end(id, attempt, cache, AttemptEnding::Error);
        seen.push(harness.sends()[0].source.unwrap());
    }
    assert_ne!(seen[0], seen[1]);
    assert!(PARENTS.contains(&seen[0]) && PARENTS.contains(&seen[1]));
    assert_eq!(seen[2], ORIGIN_ID);
}

#[test]
fn without_parents_the_origin_fills() {
    let members = all_members().into_iter().filter(|m| m.kind != PARENT_KIND).collect();
    let mut harness = Harness::with(Settings { parent_kind: None, ..settings() }, members);
    harness.request_and_miss(SMALL, 5);
    assert_eq!(harness.sends()[0].source, Some(ORIGIN_ID));
}

#[test]
fn without_joining_all_requests_wait_for_the_leader() {
    let mut harness = Harness::with(Settings { join_fills: false, ..settings() }, all_members());
    harness.request_and_miss(LARGE, 5);
    assert!(matches!(harness.actions[0], Action::Get { options: GetOptions { join: false, .. }, .. }));
    harness.request_and_miss(LARGE, 5);
    assert!(harness.sends().is_empty());
}

#[test]
fn an_unreachable_cache_fails_over_to_the_next() {
    let mut harness = Harness::new();
    let id = harness.request(SMALL, 5, 0);
    let home = harness.sends()[0].member;
    harness.end(id, 0, home, AttemptEnding::ConnectFailed);
    let next = harness.sends()[0];
    assert!(next.member != home && CACHES.contains(&next.member) && next.source.is_none());
}

#[test]
fn without_caches_a_parent_is_used_and_without_members_a_request_is_rejected() {
    let mut harness =
        Harness::with(settings(), all_members().into_iter().filter(|m| m.kind != CACHE_KIND).collect());
    harness.request(SMALL, 5, 0);
    assert!(PARENTS.contains(&harness.sends()[0].member));
    let mut harness = Harness::with(settings(), vec![]);
    let id = harness.request(SMALL, 5, 0);
    assert!(is_rejected(&harness.actions, id));
    let id = harness.request(KEYED, 5, 0);
    assert!(is_rejected(&harness.actions, id));
}

#[test]
fn writes_go_to_the_origin() {
    let mut harness = Harness::new();
    let id = harness.request(KEYED, 5, 0);
    assert_eq!(harness.sends()[0].member, ORIGIN_ID);
    harness.end(id, 0, ORIGIN_ID, AttemptEnding::Served);
    // If the caches cannot be bypassed, a write is sent through a cache.
    let mut harness = Harness::with(Settings { cache_bypass: false, ..settings() }, all_members());
    harness.request(KEYED, 5, 0);
    let Action::Get { member, source, copy_rank, .. } = harness.actions[0] else { panic!("not sent") };
    assert!(CACHES.contains(&member));
    assert_eq!((source, copy_rank), (ORIGIN_ID, 0));
}

#[test]
fn the_member_list_is_subscribed_to_again_after_a_failure() {
    let mut harness = Harness::with(Settings { subscribe_to_member_list: true, ..settings() }, all_members());
    harness.event(Event::Started);
    assert_eq!(harness.actions, vec![Action::WatchMembers(true)]);
    harness.event(Event::MemberList(ListKind::Failed, vec![]));
    let Action::Timer { token, at } = harness.actions[0] else { panic!("no timer") };
    harness.now = at;
    harness.event(Event::Timer(token));
    assert!(harness.actions.contains(&Action::WatchMembers(true)));
    harness.request(SMALL, 5, 0);
    assert_eq!(harness.sends().len(), 1, "the previous list stays valid");
}

#[test]
fn events_for_unknown_requests_and_members_have_no_effect() {
    let mut harness = Harness::new();
    harness.end(77, 0, 101, AttemptEnding::Served);
    assert!(harness.actions.is_empty());
    harness.event(Event::ClientGone(77));
    harness.event(Event::StreamStarted { request: 77, attempt: 0 });
    assert!(harness.actions.is_empty());
    let id = harness.request(SMALL, 5, 0);
    harness.end(id, 9, 101, AttemptEnding::Error);
    assert!(harness.actions.is_empty(), "an attempt that was never sent");
    let r = Request { id: 500, object: 1, part: 0, group: 0, size: None, class: 99, deadline: 9e9 };
    harness.event(Event::Request(r));
    assert!(is_failed(&harness.actions, 500), "a class that is not in the settings");
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new();
        let mut all = vec![];
        for object in 0..200 {
            let (id, cache) = harness.request_and_miss(SMALL, object % 40);
            all.extend(harness.actions.clone());
            if object % 3 == 0 {
                harness.end(id, 1, cache, AttemptEnding::Error);
                all.extend(harness.actions.clone());
            }
            harness.now += 7.0;
        }
        all
    };
    assert_eq!(run(), run());
}

/// Otherwise, where caches cannot join fills, the routers of a location would all fill the same object at
/// once.
#[test]
fn misses_that_cannot_join_another_routers_fill_wait_and_look_up_again() {
    for joins in [false, true] {
        let mut harness = Harness::with(Settings { join_fills: joins, ..settings() }, all_members());
        let request = harness.request(SMALL, 5, 0);
        let member = harness.sends()[0].member;
        let miss = |harness: &mut Harness, attempt| {
            harness.answer(AttemptAnswer {
                request,
                attempt,
                member,
                ending: AttemptEnding::Miss,
                note: FillNote::Joined,
                elapsed: 2.0,
                load: None,
            });
        };
        miss(&mut harness, 0);
        if joins {
            assert!(harness.sends()[0].source.is_some(), "a fill that joins the running one");
            continue;
        }
        assert_eq!(harness.sends(), [], "the request waits");
        harness.run_timer_until(harness.now + SIZES[SMALL] + 100.0);
        assert_eq!(
            harness.sends(),
            [SentAttempt { request, member, source: None }],
            "and is looked up again"
        );
        miss(&mut harness, 1);
        harness.run_timer_until(harness.now + SIZES[SMALL] + 100.0);
        miss(&mut harness, 2);
        assert!(harness.sends()[0].source.is_some(), "the number of repeated look-ups is limited");
    }
}
