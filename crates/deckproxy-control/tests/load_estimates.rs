//! Loads, capacities and sending times, told or estimated, and what they decide.

mod common;
use common::*;
use deckproxy_control::interface::*;
use std::collections::VecDeque;

/// Whether an object leaves its home after reports of so many attempts in flight there.
fn spills_after_report(held: f64, routers: u32) -> bool {
    let mut rig = Rig::with(Settings { zone_routers: vec![0, 0, routers], ..settings() }, everyone());
    let first = rig.home_of(5);
    for _ in 0..4 {
        let request = rig.ask(SMALL, 5, 0);
        let member = rig.sends()[0].1;
        let load =
            Some(LoadReport { in_flight: Some(held), ..LoadReport::default() }).filter(|_| member == first);
        rig.answer((request, 0), member, (AttemptEnding::Served, FillNote::None), 50.0, load);
    }
    rig.home_of(5) != first
}

/// With class means alone small objects would be shed and large ones admitted.
#[test]
fn sending_times_are_learned_by_object_where_sizes_are_unknown() {
    let mut rig = Rig::new();
    let ask = |rig: &mut Rig, object: u64| {
        let id = rig.next;
        rig.next += 1;
        let deadline = rig.now + 5000.0;
        let r = Request { id, object, part: 0, group: 0, size: None, class: SMALL, deadline };
        rig.event(Event::Request(r));
        id
    };
    for _ in 0..10 {
        for (object, elapsed) in [(1, 20.0), (2, 900.0)] {
            let id = ask(&mut rig, object);
            let member = rig.sends()[0].1;
            rig.serve(id, 0, member, elapsed, FillNote::None);
        }
    }
    // A small one waits for the leader, a large one joins at once.
    for (object, waits) in [(1, true), (2, false)] {
        for turn in 0..2 {
            let id = ask(&mut rig, object);
            let member = rig.sends()[0].1;
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
            let id = rig.ask(SMALL, object, part);
            at.push(rig.sends()[0].1);
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
    // And it is over when the object is no longer asked for.
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
            rig.ask(SMALL, object, 0);
            rig.sends().first().map(|s| s.1)
        })
        .collect();
    assert!(at[..5].iter().all(|m| *m == 101), "{at:?}");
    assert!(at.iter().any(|m| *m != 101));
}

/// What is in flight there are fills that wait for slow parents; its link is idle.
#[test]
fn a_cache_with_waiting_fills_and_spare_cores_takes_lookups_only() {
    let asked = |busy: f64| {
        let mut rig = Rig::with(Settings { zone_routers: vec![0, 0, 20, 1], ..settings() }, everyone());
        for object in 0..30 {
            let request = rig.ask(SMALL, object, 0);
            let Some((_, member, _)) = rig.sends().first().copied() else { continue };
            let load =
                Some(LoadReport { in_flight: Some(80.0), busy_share: Some(busy), ..LoadReport::default() });
            rig.answer((request, 0), member, (AttemptEnding::Served, FillNote::Hit), 50.0, load);
        }
        let request = rig.ask(SMALL, 100, 0);
        let Some((_, member, _)) = rig.sends().first().copied() else {
            return (rejected(&rig.acts, request), false);
        };
        rig.end(request, 0, member, AttemptEnding::Miss);
        (false, rejected(&rig.acts, request))
    };
    assert_eq!(asked(1.0), (true, false), "its link is full");
    assert_eq!(asked(0.4), (false, true), "its link is idle, its fills wait");
}

/// Taken for the capacity of one answer, weights of 1 would shed a quarter of a quiet day.
#[test]
fn an_unknown_capacity_is_estimated_from_throughput() {
    let told = |weights_are_sizes: bool, busy: f64| {
        let list = everyone().into_iter().map(|m| Member { weight: 1.0, ..m }).collect();
        let mut rig = Rig::with(Settings { weights_are_sizes, ..settings() }, list);
        let mut out: VecDeque<(RequestId, u32, MemberId)> = VecDeque::new();
        let (mut rejections, mut first) = (0, None);
        for object in 0..2000 {
            rig.now += 10.0;
            let request = rig.ask(SMALL, object, 0);
            if rejected(&rig.acts, request) {
                rejections += 1;
                first = first.or(Some(object * 10));
            }
            out.extend(rig.sends().first().map(|s| (request, 0, s.1)));
            // Fifty answers are out at any time, over three caches.
            if out.len() > 50
                && let Some((request, attempt, member)) = out.pop_front()
            {
                let load = Some(LoadReport { busy_share: Some(busy), ..LoadReport::default() });
                rig.answer((request, attempt), member, (AttemptEnding::Served, FillNote::Hit), 60.0, load);
            }
        }
        (rejections, first)
    };
    assert!(told(true, 0.3).0 > 100, "seventeen answers over a link of one are too many");
    assert_eq!(told(false, 0.3).0, 0);
    let (rejections, first) = told(false, 1.0);
    // Full caches were taken for empty ones in the first three seconds: an eighth of those requests was late.
    assert!(
        rejections > 0 && first < Some(2500),
        "members that are busy all the time have no room: {first:?}"
    );
}

/// One router's few attempts tell little of the load that many routers make.
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
        let held = [rig.ask(SMALL, 5, 0), rig.ask(SMALL, 5, 0)];
        let first = rig.sends()[0].1;
        rig.now += 380.0;
        let load = busy.map(|cpu| LoadReport { busy_share: Some(cpu), ..LoadReport::default() });
        rig.answer((held[1], 0), first, (AttemptEnding::Served, FillNote::Hit), 60.0, load);
        rig.ask(SMALL, 5, 0);
        rig.sends()[0].1 != first
    };
    assert!(spills(None), "by the guess it is crowded");
    assert!(!spills(Some(0.3)));
    assert!(spills(Some(1.0)), "it holds that much at least");
}
