//! Slow-start budgets of members that warm up: the share of each router, and the sum over all routers.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// A call that a warming member received.
struct Call {
    at: Millis,
    sending_time: Millis,
}

/// The load of the calls within the overload window that ends at `end`.
fn load_until(calls: &[Call], end: Millis, rule: SlowStart) -> f64 {
    let in_window = |call: &&Call| call.at <= end && call.at > end - rule.overload_window;
    calls.iter().filter(in_window).map(|call| call.sending_time).sum()
}

/// Sends a request every 4 ms for ten seconds and returns when each attempt reached the member as target
/// or source.
fn send_times_under_load(harness: &mut Harness, id: MemberId, class: usize) -> Vec<Millis> {
    let mut times = vec![];
    let end = harness.now + 10_000.0;
    let mut object = 1000;
    while harness.now < end {
        object += 1;
        let request = harness.request(class, object, 0);
        let mut attempt = 0;
        while let Some(SentAttempt { member: to, source, .. }) = harness.sends().first().copied() {
            if to == id || source == Some(id) {
                times.push(harness.now);
            }
            let ending = if attempt == 0 { AttemptEnding::Miss } else { AttemptEnding::Served };
            harness.end(request, attempt, to, ending);
            attempt += 1;
        }
        harness.now += 4.0;
    }
    times
}

#[test]
fn a_member_that_warms_up_is_never_sent_more_than_its_budget() {
    for (id, rule, routers) in
        [(101, settings().cache_slow_start, 1.0), (201, settings().parent_slow_start, 2.0)]
    {
        for class in [SMALL, LARGE] {
            let warming = |m: Member| Member { started: (m.id == id).then_some(900.0), ..m };
            let mut harness = Harness::with(settings(), all_members().into_iter().map(warming).collect());
            let times = send_times_under_load(&mut harness, id, class);
            assert!(!times.is_empty(), "the member receives its share");
            for (i, end) in times.iter().enumerate() {
                let sent = times[..=i].iter().filter(|t| **t > end - rule.overload_window).count() as f64;
                let capacity =
                    rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
                let budget =
                    rule.overload_multiple * capacity * member(id).weight * rule.overload_window / routers;
                assert!(sent * SIZES[class] <= budget, "{id}: {sent} sends by {end} exceed {budget}");
            }
        }
    }
}

/// An equal share of a budget may be less than the cost of one send, so each router accumulates its share
/// until it covers a whole send.
#[test]
fn all_routers_together_stay_within_and_use_a_slow_start_budget() {
    let rule = settings().parent_slow_start;
    for (routers, weight) in [(1, 12.0), (4, 12.0), (40, 40.0), (200, 100.0), (1000, 400.0)] {
        let settings = Settings { routers, zone_routers: vec![0, 0, routers], ..settings() };
        let parent = Member { started: Some(900.0), weight, ..member(201) };
        let list: Vec<Member> = [member(101), parent].into();
        let mut harnesses: Vec<Harness> = (0..routers)
            .map(|position| Harness::with(Settings { position, ..settings.clone() }, list[..1].to_vec()))
            .collect();
        let mut calls: Vec<Call> = vec![];
        for step in 0..36_u32 {
            for (i, harness) in harnesses.iter_mut().enumerate() {
                harness.now = 1000.0 + 250.0 * f64::from(step);
                // Some routers are notified of the parent late.
                if step == 12 * (i as u32 % 3) {
                    harness.event(Event::MemberList(ListKind::Delta, vec![parent]));
                }
                let class = if step % 2 == 0 { SMALL } else { LARGE };
                let (id, cache) = harness.request_and_miss(class, 5000 + 100 * i as u64 + u64::from(step));
                if let Some(SentAttempt { source: Some(201), .. }) = harness.sends().first() {
                    calls.push(Call { at: harness.now, sending_time: SIZES[class] });
                }
                harness.end(id, 1, cache, AttemptEnding::Served);
            }
        }
        assert!(calls.len() > 4, "{routers}: the parent receives too few calls: {}", calls.len());
        for Call { at: end, .. } in &calls {
            let load = load_until(&calls, *end, rule);
            let capacity = rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
            let max_load = rule.overload_multiple * capacity * weight * rule.overload_window;
            assert!(load <= max_load, "{routers}: load {load} at {end} exceeds {max_load}");
        }
    }
}

/// Only the routers of its location send to a cache, so the initial balances must be spread evenly over
/// any range of positions.
#[test]
fn the_routers_of_one_location_stay_within_and_use_a_caches_budget() {
    let rule = settings().cache_slow_start;
    for (local_routers, weight) in [(13, 6.0), (40, 3.0)] {
        let warming = Member { started: Some(900.0), weight, ..member(101) };
        let mut harnesses: Vec<Harness> = (100..100 + local_routers)
            .map(|position| {
                let zone_routers = vec![0, 0, local_routers, 300 - local_routers];
                let set = Settings { position, routers: 300, zone_routers, ..settings() };
                Harness::with(set, vec![warming, member(102), member(201)])
            })
            .collect();
        let mut calls: Vec<Call> = vec![];
        for step in 0..1200_u32 {
            let harness = &mut harnesses[(step % local_routers) as usize];
            harness.now = 1000.0 + 5.0 * f64::from(step);
            let id = harness.request(LARGE, u64::from(step), 0);
            let at = harness.sends()[0].member;
            if at == 101 {
                calls.push(Call { at: harness.now, sending_time: SIZES[LARGE] });
            }
            harness.end(id, 0, at, AttemptEnding::Served);
        }
        let load: f64 = calls.iter().map(|call| call.sending_time).sum();
        let min_load = rule.overload_multiple * rule.initial_share * weight * 6000.0;
        assert!(load > 0.3 * min_load, "{local_routers}: load {load} is too low a share of {min_load}");
        for Call { at: end, .. } in &calls {
            let load = load_until(&calls, *end, rule);
            let capacity = rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
            assert!(
                load <= rule.overload_multiple * capacity * weight * rule.overload_window,
                "{local_routers}: load {load} at {end} exceeds the limit"
            );
        }
    }
}

/// A restarted router does not know what it sent within the current window.
#[test]
fn a_router_that_just_started_sends_nothing_to_warming_members_for_a_window() {
    let warming = Member { started: Some(900.0), ..member(201) };
    let mut harness = Harness::with(settings(), vec![member(101), warming]);
    let (id, cache) = harness.request_and_miss(SMALL, 1);
    assert!(harness.sends().iter().all(|sent| sent.source != Some(201)));
    harness.end(id, 1, cache, AttemptEnding::Served);
    harness.now = 2.0 * settings().parent_slow_start.overload_window;
    harness.request_and_miss(SMALL, 2);
    assert_eq!(harness.sends()[0].source, Some(201));
}

#[test]
fn a_member_past_its_slow_start_is_not_limited() {
    let rule = settings().cache_slow_start;
    let count = |started: Millis| {
        let warm = |m: Member| Member { started: (m.id == 101).then_some(started), ..m };
        let mut harness = Harness::with(settings(), all_members().into_iter().map(warm).collect());
        send_times_under_load(&mut harness, 101, SMALL).len()
    };
    assert!(count(1000.0 - rule.duration) > 3 * count(1000.0));
}

#[test]
fn a_restarted_member_has_a_new_budget() {
    let mut harness = Harness::new();
    let before = send_times_under_load(&mut harness, 101, SMALL).len();
    let again = Member { started: Some(harness.now), ..member(101) };
    harness.event(Event::MemberList(ListKind::Delta, vec![again]));
    assert!(send_times_under_load(&mut harness, 101, SMALL).len() < before / 2);
}

/// Otherwise a member that repeatedly leaves and rejoins the list would have a full budget each time.
#[test]
fn a_warming_member_that_leaves_and_returns_has_no_new_budget() {
    let warming = |m: Member| Member { started: (m.id == 101).then_some(900.0), ..m };
    for full_list in [false, true] {
        let mut harness = Harness::with(settings(), all_members().into_iter().map(warming).collect());
        let mut sent = 0;
        for object in 0..400 {
            let id = harness.request(SMALL, object, 0);
            let at = harness.sends()[0].member;
            sent += u32::from(at == 101);
            harness.end(id, 0, at, AttemptEnding::Served);
            if full_list {
                let others = all_members().into_iter().filter(|m| m.id != 101).collect();
                harness.event(Event::MemberList(ListKind::Full, others));
            } else {
                let gone = Member { lifecycle: Lifecycle::Gone, ..warming(member(101)) };
                harness.event(Event::MemberList(ListKind::Delta, vec![gone]));
            }
            harness.event(Event::MemberList(ListKind::Delta, vec![warming(member(101))]));
        }
        let rule = settings().cache_slow_start;
        let max_load =
            rule.overload_multiple * rule.initial_share * 1.1 * member(101).weight * rule.overload_window;
        assert!(f64::from(sent) * SIZES[SMALL] <= max_load, "{sent}");
    }
}
