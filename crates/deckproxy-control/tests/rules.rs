//! The five rules, each just inside and just past its boundary.

mod common;
use common::*;
use deckproxy_control::interface::*;

// ---- One final answer -------------------------------------------------------------------------------------

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once_and_once() {
    let mut rig = Rig::new();
    let id = rig.ask(SMALL, 5, 0);
    let home = rig.sends()[0].1;
    rig.now += 5000.0;
    rig.end(id, 0, home, AttemptEnding::Timeout);
    assert!(rejected(&rig.acts, id));
    assert!(rig.sends().is_empty());
    rig.end(id, 0, home, AttemptEnding::Timeout);
    assert!(rig.acts.is_empty());
}

#[test]
fn a_request_never_makes_more_attempts_than_allowed() {
    let mut rig = Rig::with(Settings { max_attempts: 3, ..settings() }, everyone());
    let id = rig.ask(SMALL, 5, 0);
    for attempt in 0..3 {
        assert_eq!(rig.sends().len(), 1);
        let at = rig.sends()[0].1;
        rig.end(id, attempt, at, AttemptEnding::Reset);
    }
    assert!(rig.sends().is_empty() && rejected(&rig.acts, id));
}

#[test]
fn nothing_is_sent_for_a_request_that_has_ended() {
    let mut rig = Rig::new();
    let id = rig.ask(SMALL, 5, 0);
    let home = rig.sends()[0].1;
    rig.event(Event::ClientGone(id));
    rig.end(id, 0, home, AttemptEnding::Miss);
    assert!(rig.acts.is_empty());
}

#[test]
fn a_refusal_names_a_time_to_come_back_only_where_allowed() {
    for (retry_after, most) in [(true, 1000.0), (true, 100.0), (false, 1000.0)] {
        let mut rig = Rig::with(Settings { retry_after, max_retry_after: most, ..settings() }, vec![]);
        rig.ask(SMALL, 5, 0);
        let Action::Reject { retry_after: at, .. } = rig.acts[0] else { panic!("not refused") };
        assert_eq!(at > 0.0, retry_after);
        assert!(at <= most);
    }
}

#[test]
fn a_stream_that_has_begun_is_not_sent_again() {
    let mut rig = Rig::new();
    let id = rig.ask(SMALL, 5, 0);
    let home = rig.sends()[0].1;
    rig.event(Event::StreamStarted { request: id, attempt: 0 });
    rig.end(id, 0, home, AttemptEnding::Reset);
    assert!(rig.sends().is_empty());
}

/// A leader whose connection broke in its last millisecond became a waiter and was never answered.
#[test]
fn one_that_fails_at_the_brink_of_its_deadline_does_not_wait() {
    for left in [0.5, 3.0, 15.0, 40.0] {
        let mut rig = Rig::new();
        let (leader, cache) = rig.ask_and_miss(SMALL, 5);
        rig.now += 4000.0;
        let (waiter, _) = rig.ask_and_miss(SMALL, 5);
        rig.now += 1000.0 - left;
        rig.end(leader, 1, cache, AttemptEnding::Error);
        let sends: Vec<RequestId> = rig.sends().iter().map(|s| s.0).collect();
        assert!(sends.contains(&waiter));
        assert!(sends.contains(&leader) || rejected(&rig.acts, leader), "{left}");
    }
}

// ---- No effect twice --------------------------------------------------------------------------------------

#[test]
fn an_unsafe_request_goes_again_only_if_it_never_ran() {
    for never in [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::Miss] {
        let mut rig = Rig::new();
        let id = rig.ask(UNSAFE, 5, 0);
        rig.end(id, 0, THE_ORIGIN, never);
        assert!(rig.sends().len() == 1 || rejected(&rig.acts, id), "{never:?}");
    }
    for maybe in
        [AttemptEnding::Error, AttemptEnding::Timeout, AttemptEnding::Reset, AttemptEnding::Cancelled]
    {
        let mut rig = Rig::new();
        let id = rig.ask(UNSAFE, 5, 0);
        rig.end(id, 0, THE_ORIGIN, maybe);
        assert!(rig.sends().is_empty() && failed(&rig.acts, id), "{maybe:?}");
    }
}

#[test]
fn a_keyed_request_goes_again_only_inside_its_window_from_the_first_send() {
    for (at, again) in [(1990.0, true), (2000.0, false)] {
        let mut rig = Rig::new();
        let id = rig.ask(KEYED, 5, 0);
        rig.now += at;
        rig.end(id, 0, THE_ORIGIN, AttemptEnding::Timeout);
        assert_eq!(!rig.sends().is_empty(), again, "{at}");
        // Refusing does no harm: every member drops its repeats.
        assert_eq!(rejected(&rig.acts, id), !again);
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_is_then_failed_not_refused() {
    let mut s = settings();
    s.classes[KEYED].group = Group::Cell;
    let members = everyone().into_iter().map(|m| Member { cell: m.id, ..m }).collect();
    let mut rig = Rig::with(s, members);
    let id = rig.ask(KEYED, 5, 0);
    rig.end(id, 0, THE_ORIGIN, AttemptEnding::Reset);
    assert!(rig.sends().iter().all(|s| s.1 == THE_ORIGIN));
    if rig.sends().is_empty() {
        assert!(failed(&rig.acts, id) && !rejected(&rig.acts, id));
    }
}

// ---- Drains -----------------------------------------------------------------------------------------------

#[test]
fn a_draining_or_gone_member_gets_nothing_more_nor_is_it_a_source() {
    for lifecycle in [Lifecycle::Draining, Lifecycle::Gone] {
        for out in [101, 201] {
            let mut rig = Rig::new();
            rig.event(Event::MemberList(ListKind::Delta, vec![Member { lifecycle, ..member(out) }]));
            for object in 0..60 {
                let (id, cache) = rig.ask_and_miss(SMALL, object);
                let fill = rig.sends()[0];
                assert!(cache != out && fill.1 != out && fill.2 != Some(out));
                rig.end(id, 1, cache, AttemptEnding::Served);
            }
        }
    }
}

#[test]
fn waiters_are_not_released_to_a_cache_that_drains_meanwhile() {
    let mut rig = Rig::new();
    let (leader, cache) = rig.ask_and_miss(SMALL, 5);
    rig.ask_and_miss(SMALL, 5);
    let draining = Member { lifecycle: Lifecycle::Draining, ..member(cache) };
    rig.event(Event::MemberList(ListKind::Delta, vec![draining]));
    let late = rig.ask(SMALL, 5, 0);
    assert!(rig.sends().iter().all(|s| s.1 != cache), "nor is a new request looked up where the fill runs");
    rig.event(Event::ClientGone(late));
    rig.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(rig.sends().len(), 1);
    assert_ne!(rig.sends()[0].1, cache);
}

#[test]
fn a_member_missing_from_a_full_list_is_gone_and_its_fills_move_on() {
    let mut rig = Rig::new();
    let (id, cache) = rig.ask_and_miss(SMALL, 5);
    let left = everyone().into_iter().filter(|m| m.id != cache).collect();
    rig.event(Event::MemberList(ListKind::Full, left));
    rig.end(id, 1, cache, AttemptEnding::Reset);
    assert!(rig.sends().iter().all(|s| s.1 != cache));
    assert_eq!(rig.sends().len(), 1);
}

// ---- Cold members -----------------------------------------------------------------------------------------

/// Sends as many requests as it can for ten seconds and returns when each reached the member, as target or
/// as source.
fn pressure(rig: &mut Rig, id: MemberId, class: usize) -> Vec<Millis> {
    let mut times = vec![];
    let end = rig.now + 10_000.0;
    let mut object = 1000;
    while rig.now < end {
        object += 1;
        let request = rig.ask(class, object, 0);
        let mut attempt = 0;
        while let Some((_, to, source)) = rig.sends().first().copied() {
            if to == id || source == Some(id) {
                times.push(rig.now);
            }
            let how = if attempt == 0 { AttemptEnding::Miss } else { AttemptEnding::Served };
            rig.end(request, attempt, to, how);
            attempt += 1;
        }
        rig.now += 4.0;
    }
    times
}

#[test]
fn a_cold_member_is_never_sent_more_than_its_budget() {
    for (id, rule, routers) in
        [(101, settings().cache_slow_start, 1.0), (201, settings().parent_slow_start, 2.0)]
    {
        for class in [SMALL, LARGE] {
            let cold = |m: Member| Member { started: (m.id == id).then_some(900.0), ..m };
            let mut rig = Rig::with(settings(), everyone().into_iter().map(cold).collect());
            let times = pressure(&mut rig, id, class);
            assert!(!times.is_empty(), "it gets its share");
            for (i, end) in times.iter().enumerate() {
                let sent = times[..=i].iter().filter(|t| **t > end - rule.overload_window).count() as f64;
                let capacity =
                    rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
                let budget =
                    rule.overload_multiple * capacity * member(id).weight * rule.overload_window / routers;
                assert!(sent * SIZES[class] <= budget, "{id}: {sent} by {end} over {budget}");
            }
        }
    }
}

/// Split evenly, a cold member's budget was under the cost of one send, and it got nothing until it was warm.
#[test]
fn all_routers_together_keep_a_cold_members_budget_and_use_it() {
    let rule = settings().parent_slow_start;
    for (routers, weight) in [(1, 12.0), (4, 12.0), (40, 40.0), (200, 100.0), (1000, 400.0)] {
        let told = Settings { routers, zone_routers: vec![0, 0, routers], ..settings() };
        let parent = Member { started: Some(900.0), weight, ..member(201) };
        let list: Vec<Member> = [member(101), parent].into();
        let mut rigs: Vec<Rig> = (0..routers)
            .map(|position| Rig::with(Settings { position, ..told.clone() }, list[..1].to_vec()))
            .collect();
        let mut sent: Vec<(Millis, f64)> = vec![];
        for step in 0..36_u32 {
            for (i, rig) in rigs.iter_mut().enumerate() {
                rig.now = 1000.0 + 250.0 * f64::from(step);
                // Some hear of it late.
                if step == 12 * (i as u32 % 3) {
                    rig.event(Event::MemberList(ListKind::Delta, vec![parent]));
                }
                let class = if step % 2 == 0 { SMALL } else { LARGE };
                let (id, cache) = rig.ask_and_miss(class, 5000 + 100 * i as u64 + u64::from(step));
                if let Some((_, _, Some(201))) = rig.sends().first() {
                    sent.push((rig.now, SIZES[class]));
                }
                rig.end(id, 1, cache, AttemptEnding::Served);
            }
        }
        assert!(sent.len() > 4, "{routers}: it gets work, {}", sent.len());
        for (end, _) in &sent {
            let load: f64 =
                sent.iter().filter(|s| s.0 <= *end && s.0 > end - rule.overload_window).map(|s| s.1).sum();
            let capacity = rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
            let most = rule.overload_multiple * capacity * weight * rule.overload_window;
            assert!(load <= most, "{routers}: {load} by {end} of {most}");
        }
    }
}

/// The turns went by the places of all routers, and the thirteen that may send to a cache had next to none of
/// them.
#[test]
fn the_routers_of_one_location_use_a_cold_caches_budget_and_keep_it() {
    let rule = settings().cache_slow_start;
    for (here, weight) in [(13, 6.0), (40, 3.0)] {
        let cold = Member { started: Some(900.0), weight, ..member(101) };
        let mut rigs: Vec<Rig> = (100..100 + here)
            .map(|position| {
                let zone_routers = vec![0, 0, here, 300 - here];
                let set = Settings { position, routers: 300, zone_routers, ..settings() };
                Rig::with(set, vec![cold, member(102), member(201)])
            })
            .collect();
        let mut sent: Vec<(Millis, f64)> = vec![];
        for step in 0..1200_u32 {
            let rig = &mut rigs[(step % here) as usize];
            rig.now = 1000.0 + 5.0 * f64::from(step);
            let id = rig.ask(LARGE, u64::from(step), 0);
            let (_, at, _) = rig.sends()[0];
            if at == 101 {
                sent.push((rig.now, SIZES[LARGE]));
            }
            rig.end(id, 0, at, AttemptEnding::Served);
        }
        let load: f64 = sent.iter().map(|s| s.1).sum();
        let least = rule.overload_multiple * rule.initial_share * weight * 6000.0;
        assert!(load > 0.3 * least, "{here}: {load} of {least}");
        for (end, _) in &sent {
            let load: f64 =
                sent.iter().filter(|s| s.0 <= *end && s.0 > end - rule.overload_window).map(|s| s.1).sum();
            let capacity = rule.initial_share + (1.0 - rule.initial_share) * (end - 900.0) / rule.duration;
            assert!(
                load <= rule.overload_multiple * capacity * weight * rule.overload_window,
                "{here}: {load} by {end}"
            );
        }
    }
}

/// A router that comes back within a window does not know what it sent in it before.
#[test]
fn a_router_that_started_in_this_window_leaves_cold_members_alone() {
    let cold = Member { started: Some(900.0), ..member(201) };
    let mut rig = Rig::with(settings(), vec![member(101), cold]);
    let (id, cache) = rig.ask_and_miss(SMALL, 1);
    assert!(rig.sends().iter().all(|s| s.2 != Some(201)));
    rig.end(id, 1, cache, AttemptEnding::Served);
    rig.now = 2.0 * settings().parent_slow_start.overload_window;
    rig.ask_and_miss(SMALL, 2);
    assert_eq!(rig.sends()[0].2, Some(201));
}

#[test]
fn a_member_past_its_ramp_has_no_budget() {
    let rule = settings().cache_slow_start;
    let count = |started: Millis| {
        let warm = |m: Member| Member { started: (m.id == 101).then_some(started), ..m };
        let mut rig = Rig::with(settings(), everyone().into_iter().map(warm).collect());
        pressure(&mut rig, 101, SMALL).len()
    };
    assert!(count(1000.0 - rule.duration) > 3 * count(1000.0));
}

#[test]
fn a_member_that_restarts_gets_a_new_budget() {
    let mut rig = Rig::new();
    let before = pressure(&mut rig, 101, SMALL).len();
    let again = Member { started: Some(rig.now), ..member(101) };
    rig.event(Event::MemberList(ListKind::Delta, vec![again]));
    assert!(pressure(&mut rig, 101, SMALL).len() < before / 2);
}

/// Each time it came back to the list its budget was full again.
#[test]
fn a_cold_member_that_leaves_the_list_and_returns_keeps_its_spent_budget() {
    let cold = |m: Member| Member { started: (m.id == 101).then_some(900.0), ..m };
    for whole in [false, true] {
        let mut rig = Rig::with(settings(), everyone().into_iter().map(cold).collect());
        let mut sent = 0;
        for object in 0..400 {
            let id = rig.ask(SMALL, object, 0);
            let at = rig.sends()[0].1;
            sent += u32::from(at == 101);
            rig.end(id, 0, at, AttemptEnding::Served);
            if whole {
                let others = everyone().into_iter().filter(|m| m.id != 101).collect();
                rig.event(Event::MemberList(ListKind::Full, others));
            } else {
                let gone = Member { lifecycle: Lifecycle::Gone, ..cold(member(101)) };
                rig.event(Event::MemberList(ListKind::Delta, vec![gone]));
            }
            rig.event(Event::MemberList(ListKind::Delta, vec![cold(member(101))]));
        }
        let rule = settings().cache_slow_start;
        let most =
            rule.overload_multiple * rule.initial_share * 1.1 * member(101).weight * rule.overload_window;
        assert!(f64::from(sent) * SIZES[SMALL] <= most, "{sent}");
    }
}

// ---- Purges -----------------------------------------------------------------------------------------------

#[test]
fn a_purge_binds_every_kind_of_send_until_copies_are_gone() {
    let done = settings().purge_settle_time;
    for (object, group) in [(Some(5), 0), (None, 7)] {
        let mut rig = Rig::new();
        rig.event(Event::Purged { object, group, age: 100.0 });
        let purged = rig.now - 100.0;
        let id = rig.ask(SMALL, 5, 0);
        let Action::Get { member, source, max_age, options, .. } = rig.acts[0] else { panic!("no bound") };
        assert_eq!(member, source, "still only a look-up");
        assert!(!options.join && max_age > 0.0 && max_age <= rig.now - purged);
        rig.now += 40.0;
        rig.end(id, 0, member, AttemptEnding::Miss);
        let Action::Get { max_age, source, .. } = rig.acts[0] else { panic!("no fill") };
        assert!(
            PARENTS.contains(&source) && max_age > 0.0 && max_age <= rig.now - purged,
            "judged at its send"
        );
        rig.now = purged + done + 1.0;
        rig.ask(SMALL, 5, 1);
        assert!(matches!(rig.acts[0], Action::Lookup { .. }), "past it, copies are gone by themselves");
        // Others are not bound.
        rig.now = purged + 200.0;
        rig.event(Event::Purged { object: Some(6), group: 3, age: 0.0 });
    }
}

#[test]
fn a_purge_of_this_instant_leaves_a_bound_that_is_not_nothing() {
    let mut rig = Rig::new();
    rig.event(Event::Purged { object: Some(5), group: 7, age: 0.0 });
    rig.ask(LARGE, 5, 0);
    let Action::Get { max_age, .. } = rig.acts[0] else { panic!("no bound") };
    assert!(max_age >= 0.001, "0 would mean any max_age");
}

#[test]
fn an_older_purge_told_later_does_not_loosen_a_newer_one() {
    let mut rig = Rig::new();
    rig.event(Event::Purged { object: Some(5), group: 7, age: 0.0 });
    rig.event(Event::Purged { object: Some(5), group: 7, age: 4000.0 });
    rig.now += 50.0;
    rig.ask(SMALL, 5, 0);
    let Action::Get { max_age, .. } = rig.acts[0] else { panic!("no bound") };
    assert!(max_age <= 50.0);
}

#[test]
fn the_bound_is_never_looser_than_the_fresh_time() {
    let mut s = settings();
    s.classes[SMALL].freshness_lifetime = 30.0;
    let mut rig = Rig::with(s, everyone());
    rig.event(Event::Purged { object: Some(5), group: 7, age: 1000.0 });
    rig.ask(SMALL, 5, 0);
    let Action::Get { max_age, .. } = rig.acts[0] else { panic!("no bound") };
    assert!(max_age <= 30.0);
}

#[test]
fn straight_to_a_parent_the_purge_binds_too() {
    let mut rig = Rig::with(settings(), everyone().into_iter().filter(|m| m.kind != CACHE).collect());
    rig.event(Event::Purged { object: Some(5), group: 7, age: 10.0 });
    rig.ask(SMALL, 5, 0);
    let Action::Get { max_age, member, .. } = rig.acts[0] else { panic!("no bound") };
    assert!(PARENTS.contains(&member) && max_age > 0.0 && max_age <= 10.0);
}
