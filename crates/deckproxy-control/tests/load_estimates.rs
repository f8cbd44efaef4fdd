//! Loads, capacities and sending times, reported or estimated, and what they decide.

mod common;
use common::*;
use deckproxy_control::interface::*;
use std::collections::VecDeque;

/// Whether an object spills from its home after load reports of that many attempts in flight there.
fn spills_after_report(in_flight: f64, routers: u32) -> bool {
    let mut rig = Rig::with(Settings { zone_routers: vec![0, 0, routers], ..settings() }, everyone());
    let first = rig.home_of(5);
    for _ in 0..4 {
        let request = rig.request(SMALL, 5, 0);
        let member = rig.sends()[0].member;
        let load = Some(LoadReport { in_flight: Some(in_flight), ..LoadReport::default() })
            .filter(|_| member == first);
        rig.answer(AttemptAnswer {
            request,
            attempt: 0,
            member,
            ending: AttemptEnding::Served,
            note: FillNote::None,
            elapsed: 50.0,
            load,
        });
    }
    rig.home_of(5) != first
}

/// With class means alone small objects would be shed and large ones admitted.
#[test]
fn sending_times_are_learned_by_object_where_sizes_are_unknown() {
    let mut rig = Rig::new();
    let send_request = |rig: &mut Rig, object: u64| {
        let id = rig.next;
        rig.next += 1;
        let deadline = rig.now + 5000.0;
        let r = Request { id, object, part: 0, group: 0, size: None, class: SMALL, deadline };
        rig.event(Event::Request(r));
        id
    };
    for _ in 0..10 {
        for (object, elapsed) in [(1, 20.0), (2, 900.0)] {
            let id = send_request(&mut rig, object);
            let member = rig.sends()[0].member;
            rig.serve(id, 0, member, elapsed, FillNote::None);
        }
    }
    // A small one waits for the leader, a large one joins at once.
    for (object, waits) in [(1, true), (2, false)] {
        for turn in 0..2 {
            let id = send_request(&mut rig, object);
            let member = rig.sends()[0].member;
            rig.end(id, 0, member, AttemptEnding::Miss);
            assert_eq!(rig.sends().is_empty(), waits && turn == 1, "{object}");
        }
    }
}

/// Other objects are not spread, nor is this one when its demand is over.
#[test]
fn a_hot_object_is_spread_by_its_parts() {
    let mut rig = Rig::new();
    for object in 100..400 {
        rig.home_of(object);
    }
    let parts = |rig: &mut Rig, object: u64| {
        let mut at = vec![];
        for part in 0..12 {
            let id = rig.request(SMALL, object, part);
            at.push(rig.sends()[0].member);
            rig.end(id, 0, at[at.len() - 1], AttemptEnding::Served);
        }
        at.sort_unstable();
        at.dedup();
        at.len()
    };
    assert_eq!(parts(&mut rig, 5), 1);
    for _ in 0..20 {
        parts(&mut rig, 6);
    }
    assert!(parts(&mut rig, 6) > 1);
    // It ends when the object is no longer requested.
    rig.now += 20_000.0;
    for object in 100..400 {
        rig.home_of(object);
    }
    assert_eq!(parts(&mut rig, 6), 1);
}

#[test]
fn an_overloaded_home_spills_to_the_next_cache() {
    let mut rig = Rig::new();
    let objects: Vec<u64> = (0..200).filter(|o| rig.home_of(*o) == 101).take(30).collect();
    let at: Vec<MemberId> = objects
        .into_iter()
        .filter_map(|object| {
            rig.request(SMALL, object, 0);
            rig.sends().first().map(|sent| sent.member)
        })
        .collect();
    assert!(at[..5].iter().all(|m| *m == 101), "{at:?}");
    assert!(at.iter().any(|m| *m != 101));
}

/// What is in flight there are fills that wait for slow parents; its link is idle.
#[test]
fn a_cache_with_waiting_fills_and_spare_cores_takes_lookups_only() {
    let rejections = |busy_share: f64| {
        let mut rig = Rig::with(Settings { zone_routers: vec![0, 0, 20, 1], ..settings() }, everyone());
        for object in 0..30 {
            let request = rig.request(SMALL, object, 0);
            let Some(SentAttempt { member, .. }) = rig.sends().first().copied() else { continue };
            let load = Some(LoadReport {
                in_flight: Some(80.0),
                busy_share: Some(busy_share),
                ..LoadReport::default()
            });
            rig.answer(AttemptAnswer {
                request,
                attempt: 0,
                member,
                ending: AttemptEnding::Served,
                note: FillNote::Hit,
                elapsed: 50.0,
                load,
            });
        }
        let request = rig.request(SMALL, 100, 0);
        let Some(SentAttempt { member, .. }) = rig.sends().first().copied() else {
            return (rejected(&rig.actions, request), false);
        };
        rig.end(request, 0, member, AttemptEnding::Miss);
        (false, rejected(&rig.actions, request))
    };
    assert_eq!(rejections(1.0), (true, false), "its link is full");
    assert_eq!(rejections(0.4), (false, true), "its link is idle, its fills wait");
}

/// Taken for the capacity of one answer, weights of 1 would shed a quarter of a quiet day.
#[test]
fn an_unknown_capacity_is_estimated_from_throughput() {
    let simulate = |weights_are_sizes: bool, busy_share: f64| {
        let list = everyone().into_iter().map(|m| Member { weight: 1.0, ..m }).collect();
        let mut rig = Rig::with(Settings { weights_are_sizes, ..settings() }, list);
        let mut in_flight: VecDeque<SentAttempt> = VecDeque::new();
        let (mut rejections, mut first) = (0, None);
        for object in 0..2000 {
            rig.now += 10.0;
            let request = rig.request(SMALL, object, 0);
            if rejected(&rig.actions, request) {
                rejections += 1;
                first = first.or(Some(object * 10));
            }
            in_flight.extend(rig.sends().first().copied());
            // Fifty attempts are in flight at any time, over three caches.
            if in_flight.len() > 50
                && let Some(SentAttempt { request, member, .. }) = in_flight.pop_front()
            {
                let load = Some(LoadReport { busy_share: Some(busy_share), ..LoadReport::default() });
                rig.answer(AttemptAnswer {
                    request,
                    attempt: 0,
                    member,
                    ending: AttemptEnding::Served,
                    note: FillNote::Hit,
                    elapsed: 60.0,
                    load,
                });
            }
        }
        (rejections, first)
    };
    assert!(simulate(true, 0.3).0 > 100, "seventeen answers over a link of one are too many");
    assert_eq!(simulate(false, 0.3).0, 0);
    let (rejections, first) = simulate(false, 1.0);
    // Full caches were taken for empty ones in the first three seconds: an eighth of those requests was late.
    assert!(
        rejections > 0 && first < Some(2500),
        "members that are busy all the time have no capacity: {first:?}"
    );
}

/// One router's few attempts show little of the load that many routers make.
#[test]
fn a_load_report_counts_the_other_routers_where_there_are_any() {
    assert!(spills_after_report(40.0, 20), "its objects spill");
    assert!(!spills_after_report(2.0, 20));
    assert!(!spills_after_report(40.0, 1), "nobody else sends there");
}

/// A weight that changes with the load would move homes with each member list.
#[test]
fn weights_that_are_no_sizes_do_not_move_homes() {
    let moved = |weights_are_sizes: bool| {
        let mut rig = Rig::with(Settings { weights_are_sizes, ..settings() }, everyone());
        let before: Vec<_> = (0..60).map(|object| rig.home_of(object)).collect();
        let list =
            everyone().into_iter().map(|m| Member { weight: f64::from(m.id % 10) * 3.0, ..m }).collect();
        rig.event(Event::MemberList(ListKind::Full, list));
        (0..60).zip(before).filter(|(object, at)| rig.home_of(*object) != *at).count()
    };
    assert!(moved(true) > 5);
    assert_eq!(moved(false), 0);
}

/// A saturated cache reports a share of 1 whatever is in flight.
#[test]
fn a_busy_share_is_a_lower_bound_of_the_load() {
    let spills = |busy: Option<f64>| {
        let mut rig = Rig::with(Settings { zone_routers: vec![0, 0, 20, 1], ..settings() }, everyone());
        let requests = [rig.request(SMALL, 5, 0), rig.request(SMALL, 5, 0)];
        let first = rig.sends()[0].member;
        rig.now += 380.0;
        let load = busy.map(|cpu| LoadReport { busy_share: Some(cpu), ..LoadReport::default() });
        rig.answer(AttemptAnswer {
            request: requests[1],
            attempt: 0,
            member: first,
            ending: AttemptEnding::Served,
            note: FillNote::Hit,
            elapsed: 60.0,
            load,
        });
        rig.request(SMALL, 5, 0);
        rig.sends()[0].member != first
    };
    assert!(spills(None), "by the guess it is crowded");
    assert!(!spills(Some(0.3)));
    assert!(spills(Some(1.0)), "it holds that much at least");
}
