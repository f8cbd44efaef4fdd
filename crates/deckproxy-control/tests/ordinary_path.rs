//! The ordinary path: look-ups, fills by a leader, waiters, the shared hash.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_request_is_looked_up_at_one_home_and_a_hit_ends_it() {
    let mut rig = Rig::new();
    let first = rig.request(SMALL, 5, 0);
    let home = rig.sends()[0];
    assert!(matches!(rig.actions[0], Action::Lookup { .. }));
    assert!(CACHES.contains(&home.member));
    rig.end(first, 0, home.member, AttemptEnding::Served);
    assert!(rig.actions.is_empty());
    rig.request(SMALL, 5, 0);
    assert_eq!(rig.sends()[0].member, home.member, "an object has one home");
}

#[test]
fn homes_and_parents_spread_over_all_members() {
    let mut rig = Rig::new();
    let (mut homes, mut parents) = (vec![], vec![]);
    for object in 1..60 {
        let (id, cache) = rig.request_and_miss(SMALL, object);
        homes.push(cache);
        parents.extend(rig.sends()[0].source);
        rig.end(id, 1, cache, AttemptEnding::Served);
    }
    assert!(CACHES.iter().all(|c| homes.contains(c)));
    assert!(PARENTS.iter().all(|p| parents.contains(p)), "also the parent of the other hub");
    assert!(parents.iter().all(|p| PARENTS.contains(p)));
}

#[test]
fn routers_of_other_locations_pick_the_same_parent() {
    let mut here = Rig::new();
    let mut other = Settings { zone: 3, ..settings() };
    other.zone_routers = vec![0, 0, 1, 1];
    let moved = everyone()
        .into_iter()
        .map(|m| if m.kind == CACHE { Member { id: m.id + 10, zone: 3, ..m } } else { m });
    let mut there = Rig::with(other, moved.collect());
    for object in 1..40 {
        let (a, at) = here.request_and_miss(SMALL, object);
        let mine = here.sends()[0].source;
        here.end(a, 1, at, AttemptEnding::Served);
        let (b, at) = there.request_and_miss(SMALL, object);
        assert_eq!(there.sends()[0].source, mine);
        there.end(b, 1, at, AttemptEnding::Served);
    }
}

#[test]
fn after_a_miss_one_request_leads_and_the_others_wait() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let Action::Get { request, member, source, copy_rank, options, max_age, .. } = rig.actions[0] else {
        panic!("no fill")
    };
    assert_eq!((request, member, copy_rank, max_age), (leader, cache, 2, 0.0));
    assert!(PARENTS.contains(&source) && options.join);
    let (waiter, _) = rig.request_and_miss(SMALL, 5);
    assert!(rig.sends().is_empty(), "the second waits");
    // Another part is another key.
    let part = rig.request(SMALL, 5, 1);
    let at = rig.sends()[0].member;
    rig.end(part, 0, at, AttemptEnding::Miss);
    assert_eq!(rig.sends().len(), 1);
    // The leader is served: the waiter looks up at that cache.
    rig.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(rig.sends(), vec![SentAttempt { request: waiter, member: cache, source: None }]);
}

#[test]
fn when_the_leader_fails_the_oldest_waiter_leads() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let source = rig.sends()[0].source;
    let (oldest, _) = rig.request_and_miss(SMALL, 5);
    let (_younger, _) = rig.request_and_miss(SMALL, 5);
    rig.end(leader, 1, cache, AttemptEnding::Error);
    let sends = rig.sends();
    assert_eq!(sends.len(), 1, "{sends:?}");
    assert_eq!(sends[0].request, oldest);
    assert_ne!(sends[0].source, source, "not from the source that failed");
    // Once it is served, the others go to its cache, the first leader among them.
    rig.end(oldest, 1, cache, AttemptEnding::Served);
    assert_eq!(rig.sends().len(), 2);
}

#[test]
fn a_waiter_fills_alone_after_the_wait_timeout_and_not_before() {
    let mut rig = Rig::new();
    rig.request_and_miss(SMALL, 5);
    let (waiter, cache) = rig.request_and_miss(SMALL, 5);
    let start = rig.now;
    rig.sweep_until(start + 2990.0);
    assert!(rig.sends().is_empty());
    rig.sweep_until(start + 3001.0);
    assert_eq!(rig.sends().len(), 1);
    assert_eq!((rig.sends()[0].request, rig.sends()[0].member), (waiter, cache));
    assert!(rig.sends()[0].source.is_some(), "a fill of its own");
}

#[test]
fn a_waiter_fills_alone_earlier_when_time_for_one_attempt_is_left() {
    let mut rig = Rig::new();
    rig.request_and_miss(SMALL, 5);
    let id = 90;
    let deadline = rig.now + 1000.0;
    let r = Request { id, object: 5, part: 0, group: 7, size: Some(50.0), class: SMALL, deadline };
    rig.event(Event::Request(r));
    let cache = rig.sends()[0].member;
    rig.end(id, 0, cache, AttemptEnding::Miss);
    let start = rig.now;
    rig.sweep_until(start + 500.0);
    assert!(rig.sends().is_empty());
    rig.sweep_until(start + 900.0);
    assert_eq!(rig.sends().first().map(|sent| sent.request), Some(id));
}

#[test]
fn large_objects_join_the_running_fill_at_once() {
    let mut rig = Rig::new();
    let (_, cache) = rig.request_and_miss(LARGE, 5);
    let (second, _) = rig.request_and_miss(LARGE, 5);
    let Action::Get { request, member, options, .. } = rig.actions[0] else { panic!("it waits") };
    assert_eq!((request, member, options.join), (second, cache, true));
}

#[test]
fn a_leader_whose_client_leaves_still_serves_its_waiters() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let (waiter, _) = rig.request_and_miss(SMALL, 5);
    rig.event(Event::ClientGone(leader));
    assert!(rig.sends().is_empty(), "its fill runs on");
    rig.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(rig.sends(), vec![SentAttempt { request: waiter, member: cache, source: None }]);
}

#[test]
fn a_leader_without_client_whose_fill_fails_passes_the_lead_on() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let (waiter, _) = rig.request_and_miss(SMALL, 5);
    rig.event(Event::ClientGone(leader));
    rig.end(leader, 1, cache, AttemptEnding::Cancelled);
    assert_eq!(rig.sends().len(), 1);
    assert_eq!(rig.sends()[0].request, waiter);
    assert!(rig.sends()[0].source.is_some());
}

#[test]
fn a_waiter_whose_client_left_is_never_sent() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let (waiter, _) = rig.request_and_miss(SMALL, 5);
    rig.event(Event::ClientGone(waiter));
    rig.end(leader, 1, cache, AttemptEnding::Served);
    assert!(rig.sends().is_empty());
}

#[test]
fn sources_follow_the_hash_then_the_origin() {
    let mut rig = Rig::new();
    let (id, cache) = rig.request_and_miss(SMALL, 5);
    let mut seen = vec![rig.sends()[0].source.unwrap()];
    for attempt in 1..3 {
        rig.end(id, attempt, cache, AttemptEnding::Error);
        seen.push(rig.sends()[0].source.unwrap());
    }
    assert_ne!(seen[0], seen[1]);
    assert!(PARENTS.contains(&seen[0]) && PARENTS.contains(&seen[1]));
    assert_eq!(seen[2], THE_ORIGIN);
}

#[test]
fn without_parents_the_origin_fills() {
    let members = everyone().into_iter().filter(|m| m.kind != PARENT).collect();
    let mut rig = Rig::with(Settings { parent_kind: None, ..settings() }, members);
    rig.request_and_miss(SMALL, 5);
    assert_eq!(rig.sends()[0].source, Some(THE_ORIGIN));
}

#[test]
fn without_joining_all_requests_wait_for_the_leader() {
    let mut rig = Rig::with(Settings { join_fills: false, ..settings() }, everyone());
    rig.request_and_miss(LARGE, 5);
    assert!(matches!(rig.actions[0], Action::Get { options: GetOptions { join: false, .. }, .. }));
    rig.request_and_miss(LARGE, 5);
    assert!(rig.sends().is_empty());
}

#[test]
fn a_cache_that_cannot_be_reached_is_followed_by_the_next() {
    let mut rig = Rig::new();
    let id = rig.request(SMALL, 5, 0);
    let home = rig.sends()[0].member;
    rig.end(id, 0, home, AttemptEnding::ConnectFailed);
    let next = rig.sends()[0];
    assert!(next.member != home && CACHES.contains(&next.member) && next.source.is_none());
}

#[test]
fn without_caches_a_parent_is_asked_and_without_members_a_request_is_rejected() {
    let mut rig = Rig::with(settings(), everyone().into_iter().filter(|m| m.kind != CACHE).collect());
    rig.request(SMALL, 5, 0);
    assert!(PARENTS.contains(&rig.sends()[0].member));
    let mut rig = Rig::with(settings(), vec![]);
    let id = rig.request(SMALL, 5, 0);
    assert!(rejected(&rig.actions, id));
    let id = rig.request(KEYED, 5, 0);
    assert!(rejected(&rig.actions, id));
}

#[test]
fn writes_go_to_the_origin() {
    let mut rig = Rig::new();
    let id = rig.request(KEYED, 5, 0);
    assert_eq!(rig.sends()[0].member, THE_ORIGIN);
    rig.end(id, 0, THE_ORIGIN, AttemptEnding::Served);
    // And through a cache where nothing goes straight.
    let mut rig = Rig::with(Settings { cache_bypass: false, ..settings() }, everyone());
    rig.request(KEYED, 5, 0);
    let Action::Get { member, source, copy_rank, .. } = rig.actions[0] else { panic!("not sent") };
    assert!(CACHES.contains(&member));
    assert_eq!((source, copy_rank), (THE_ORIGIN, 0));
}

#[test]
fn the_member_list_is_watched_where_it_is_polled_and_again_after_a_failure() {
    let mut rig = Rig::with(Settings { poll_member_list: true, ..settings() }, everyone());
    rig.event(Event::Started);
    assert_eq!(rig.actions, vec![Action::WatchMembers(true)]);
    rig.event(Event::MemberList(ListKind::Failed, vec![]));
    let Action::Timer { token, at } = rig.actions[0] else { panic!("no timer") };
    rig.now = at;
    rig.event(Event::Timer(token));
    assert!(rig.actions.contains(&Action::WatchMembers(true)));
    rig.request(SMALL, 5, 0);
    assert_eq!(rig.sends().len(), 1, "the old list still holds");
}

#[test]
fn events_for_unknown_requests_and_members_have_no_effect() {
    let mut rig = Rig::new();
    rig.end(77, 0, 101, AttemptEnding::Served);
    assert!(rig.actions.is_empty());
    rig.event(Event::ClientGone(77));
    rig.event(Event::StreamStarted { request: 77, attempt: 0 });
    assert!(rig.actions.is_empty());
    let id = rig.request(SMALL, 5, 0);
    rig.end(id, 9, 101, AttemptEnding::Error);
    assert!(rig.actions.is_empty(), "an attempt that was never made");
    let r = Request { id: 500, object: 1, part: 0, group: 0, size: None, class: 99, deadline: 9e9 };
    rig.event(Event::Request(r));
    assert!(failed(&rig.actions, 500), "a class that the settings do not have");
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut rig = Rig::new();
        let mut all = vec![];
        for object in 0..200 {
            let (id, cache) = rig.request_and_miss(SMALL, object % 40);
            all.extend(rig.actions.clone());
            if object % 3 == 0 {
                rig.end(id, 1, cache, AttemptEnding::Error);
                all.extend(rig.actions.clone());
            }
            rig.now += 7.0;
        }
        all
    };
    assert_eq!(run(), run());
}

/// Else the routers of a location would fill the same object at once where caches cannot join fills.
#[test]
fn misses_that_cannot_join_another_routers_fill_wait_and_look_up_again() {
    for joins in [false, true] {
        let mut rig = Rig::with(Settings { join_fills: joins, ..settings() }, everyone());
        let request = rig.request(SMALL, 5, 0);
        let member = rig.sends()[0].member;
        let miss = |rig: &mut Rig, attempt| {
            rig.answer(AttemptAnswer {
                request,
                attempt,
                member,
                ending: AttemptEnding::Miss,
                note: FillNote::Joined,
                elapsed: 2.0,
                load: None,
            });
        };
        miss(&mut rig, 0);
        if joins {
            assert!(rig.sends()[0].source.is_some(), "a fill that joins");
            continue;
        }
        assert_eq!(rig.sends(), [], "it waits");
        rig.sweep_until(rig.now + SIZES[SMALL] + 100.0);
        assert_eq!(rig.sends(), [SentAttempt { request, member, source: None }], "and looks again");
        miss(&mut rig, 1);
        rig.sweep_until(rig.now + SIZES[SMALL] + 100.0);
        miss(&mut rig, 2);
        assert!(rig.sends()[0].source.is_some(), "not for ever");
    }
}
