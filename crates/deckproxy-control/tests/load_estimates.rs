//! Reported and estimated loads, capacities and sending times, and the decisions based on them.

mod common;
use common::*;
use deckproxy_control::interface::*;
use std::collections::VecDeque;

/// Whether an object spills over from its home cache after the cache reported that many attempts in
/// flight.
fn spills_after_report(in_flight: f64, routers: u32) -> bool {
    let mut harness =
        Harness::with(Settings { zone_routers: vec![0, 0, routers], ..settings() }, all_members());
    let first = harness.home_of(5);
    for _ in 0..4 {
        let request = harness.request(SMALL, 5, 0);
        let member = harness.sends()[0].member;
        let load = Some(LoadReport { in_flight: Some(in_flight), ..LoadReport::default() })
            .filter(|_| member == first);
        harness.answer(AttemptAnswer {
            request,
            attempt: 0,
            member,
            ending: AttemptEnding::Served,
            note: FillNote::None,
            elapsed: 50.0,
            load,
        });
    }
    harness.home_of(5) != first
}

/// With class means alone small objects would be shed and large ones admitted.
#[test]
fn sending_times_are_learned_by_object_if_sizes_are_unknown() {
    let mut harness = Harness::new();
    let send_request = |harness: &mut Harness, object: u64| {
        let id = harness.next_id;
        harness.next_id += 1;
        let deadline = harness.now + 5000.0;
        let r = Request { id, object, part: 0, group: 0, size: None, class: SMALL, deadline };
        harness.event(Event::Request(r));
        id
    };
    for _ in 0..10 {
        for (object, elapsed) in [(1, 20.0), (2, 900.0)] {
            let id = send_request(&mut harness, object);
            let member = harness.sends()[0].member;
            harness.serve(id, 0, member, elapsed, FillNote::None);
        }
    }
    // A request for the small object waits for the leader; one for the large object joins the fill at
    // once.
    for (object, waits) in [(1, true), (2, false)] {
        for round in 0..2 {
            let id = send_request(&mut harness, object);
            let member = harness.sends()[0].member;
            harness.end(id, 0, member, AttemptEnding::Miss);
            assert_eq!(harness.sends().is_empty(), waits && round == 1, "{object}");
        }
    }
}

/// Other objects are not spread, nor is this one after its demand has ended.
#[test]
fn a_hot_object_is_spread_by_its_parts() {
    let mut harness = Harness::new();
    for object in 100..400 {
        harness.home_of(object);
    }
    let parts = |harness: &mut Harness, object: u64| {
        let mut at = vec![];
        for part in 0..12 {
            let id = harness.request(SMALL, object, part);
            at.push(harness.sends()[0].member);
            harness.end(id, 0, at[at.len() - 1], AttemptEnding::Served);
        }
        at.sort_unstable();
        at.dedup();
        at.len()
    };
    assert_eq!(parts(&mut harness, 5), 1);
    for _ in 0..20 {
        parts(&mut harness, 6);
    }
    assert!(parts(&mut harness, 6) > 1);
    // The spreading ends when the object is no longer requested.
    harness.now += 20_000.0;
    for object in 100..400 {
        harness.home_of(object);
    }
    assert_eq!(parts(&mut harness, 6), 1);
}

#[test]
fn an_overloaded_home_spills_to_the_next_cache() {
    let mut harness = Harness::new();
    let objects: Vec<u64> = (0..200).filter(|o| harness.home_of(*o) == 101).take(30).collect();
    let at: Vec<MemberId> = objects
        .into_iter()
        .filter_map(|object| {
            harness.request(SMALL, object, 0);
            harness.sends().first().map(|sent| sent.member)
        })
        .collect();
    assert!(at[..5].iter().all(|m| *m == 101), "{at:?}");
    assert!(at.iter().any(|m| *m != 101));
}

/// The attempts in flight are fills that wait for slow parents, while the cache's own link is idle.
#[test]
fn a_cache_with_waiting_fills_and_spare_cpu_accepts_lookups_only() {
    let rejections = |busy_share: f64| {
        let mut harness =
            Harness::with(Settings { zone_routers: vec![0, 0, 20, 1], ..settings() }, all_members());
        for object in 0..30 {
            let request = harness.request(SMALL, object, 0);
            let Some(SentAttempt { member, .. }) = harness.sends().first().copied() else { continue };
            let load = Some(LoadReport {
                in_flight: Some(80.0),
                busy_share: Some(busy_share),
                ..LoadReport::default()
            });
            harness.answer(AttemptAnswer {
                request,
                attempt: 0,
                member,
                ending: AttemptEnding::Served,
                note: FillNote::Hit,
                elapsed: 50.0,
                load,
            });
        }
        let request = harness.request(SMALL, 100, 0);
        let Some(SentAttempt { member, .. }) = harness.sends().first().copied() else {
            return (is_rejected(&harness.actions, request), false);
        };
        harness.end(request, 0, member, AttemptEnding::Miss);
        (false, is_rejected(&harness.actions, request))
    };
    assert_eq!(rejections(1.0), (true, false), "the cache is saturated");
    assert_eq!(rejections(0.4), (false, true), "the cache has spare capacity, and its load is waiting fills");
}

/// If weights of 1 were interpreted as a capacity of one answer, a quarter of the requests of a quiet day
/// would be shed.
#[test]
fn an_unknown_capacity_is_estimated_from_throughput() {
    let simulate = |weights_are_capacities: bool, busy_share: f64| {
        let list = all_members().into_iter().map(|m| Member { weight: 1.0, ..m }).collect();
        let mut harness = Harness::with(Settings { weights_are_capacities, ..settings() }, list);
        let mut in_flight: VecDeque<SentAttempt> = VecDeque::new();
        let (mut rejections, mut first) = (0, None);
        for object in 0..2000 {
            harness.now += 10.0;
            let request = harness.request(SMALL, object, 0);
            if is_rejected(&harness.actions, request) {
                rejections += 1;
                first = first.or(Some(object * 10));
            }
            in_flight.extend(harness.sends().first().copied());
            // Fifty attempts are in flight at any time, spread over three caches.
            if in_flight.len() > 50
                && let Some(SentAttempt { request, member, .. }) = in_flight.pop_front()
            {
                let load = Some(LoadReport { busy_share: Some(busy_share), ..LoadReport::default() });
                harness.answer(AttemptAnswer {
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
    assert!(simulate(true, 0.3).0 > 100, "seventeen concurrent answers exceed a capacity of one");
    assert_eq!(simulate(false, 0.3).0, 0);
    let (rejections, first) = simulate(false, 1.0);
    // Guards against treating saturated caches as idle during the first three seconds, which made an
    // eighth of those requests late.
    assert!(
        rejections > 0 && first < Some(2500),
        "members that report full utilization have no spare capacity: {first:?}"
    );
}

/// A single router's few attempts show little of the load of many routers.
#[test]
fn a_load_report_includes_the_other_routers_if_there_are_any() {
    assert!(spills_after_report(40.0, 20), "its objects spill over");
    assert!(!spills_after_report(2.0, 20));
    assert!(!spills_after_report(40.0, 1), "no other router sends to it");
}

/// Weights that change with the load would change the objects' home caches with each member list.
#[test]
fn weights_that_are_not_capacities_do_not_change_home_caches() {
    let moved = |weights_are_capacities: bool| {
        let mut harness = Harness::with(Settings { weights_are_capacities, ..settings() }, all_members());
        let before: Vec<_> = (0..60).map(|object| harness.home_of(object)).collect();
        let list =
            all_members().into_iter().map(|m| Member { weight: f64::from(m.id % 10) * 3.0, ..m }).collect();
        harness.event(Event::MemberList(ListKind::Full, list));
        (0..60).zip(before).filter(|(object, at)| harness.home_of(*object) != *at).count()
    };
    assert!(moved(true) > 5);
    assert_eq!(moved(false), 0);
}

/// A saturated cache reports a busy share of 1 whatever is in flight.
#[test]
fn a_busy_share_is_a_lower_bound_of_the_load() {
    let spills = |busy: Option<f64>| {
        let mut harness =
            Harness::with(Settings { zone_routers: vec![0, 0, 20, 1], ..settings() }, all_members());
        let requests = [harness.request(SMALL, 5, 0), harness.request(SMALL, 5, 0)];
        let first = harness.sends()[0].member;
        harness.now += 380.0;
        let load = busy.map(|share| LoadReport { busy_share: Some(share), ..LoadReport::default() });
        harness.answer(AttemptAnswer {
            request: requests[1],
            attempt: 0,
            member: first,
            ending: AttemptEnding::Served,
            note: FillNote::Hit,
            elapsed: 60.0,
            load,
        });
        harness.request(SMALL, 5, 0);
        harness.sends()[0].member != first
    };
    assert!(spills(None), "the estimate without a report shows overload");
    assert!(!spills(Some(0.3)));
    assert!(spills(Some(1.0)), "a saturated share is a lower bound");
}
