//! Slow sources of fills: failover, and retries of slow sources.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// The sources of the fills of many objects; fills from slow sources take far longer than the latency
/// objective.
fn fill_sources(harness: &mut Harness, slow: &[MemberId]) -> Vec<MemberId> {
    let mut sources = vec![];
    for object in 0..60 {
        let (request, member) = harness.request_and_miss(SMALL, object);
        let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() else {
            continue;
        };
        sources.push(source);
        let elapsed = if slow.contains(&source) { 2000.0 } else { 100.0 };
        harness.serve(request, 1, member, elapsed, FillNote::None);
    }
    sources
}

/// The sources of the fills within `duration`, with a slow fill every 20 ms.
fn sources_while_slow(harness: &mut Harness, duration: Millis) -> Vec<MemberId> {
    let (start, mut sources) = (harness.now, vec![]);
    for object in 0.. {
        harness.now += 20.0;
        if harness.now - start > duration {
            return sources;
        }
        let (request, member) = harness.request_and_miss(SMALL, object);
        if let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() {
            sources.push(source);
            harness.serve(request, 1, member, 2000.0, FillNote::None);
        }
    }
    sources
}

#[test]
fn objects_spill_from_a_slow_member() {
    let spilled = |slow: bool| {
        let mut harness = Harness::new();
        harness.serve_lookups(200, |m| if slow && m == 101 { 900.0 } else { 60.0 });
        let objects: Vec<u64> = (500..700).filter(|o| harness.home_of(*o) == 101).take(4).collect();
        let mut away = 0;
        for object in objects {
            harness.request(LARGE, object, 0);
            away += u32::from(harness.sends()[0].member != 101);
        }
        away
    };
    assert_eq!(spilled(false), 0);
    assert!(spilled(true) > 0);
}

/// Observations decay with time. If only the origin replaced slow parents, it would be overloaded as soon
/// as half of the parents slow down.
#[test]
fn a_slow_source_fails_over_to_the_next_parent_then_the_origin() {
    let mut harness = Harness::new();
    let seen = fill_sources(&mut harness, &PARENTS[..1]);
    assert!(seen.contains(&PARENTS[0]));
    assert!(seen[20..].iter().all(|s| *s == PARENTS[1]), "{seen:?}");
    // A router rarely uses a given parent, so its observations must remain valid for several seconds.
    harness.now += 6000.0;
    assert!(!fill_sources(&mut harness, &PARENTS[..1])[..5].contains(&PARENTS[0]));
    let both = fill_sources(&mut harness, &PARENTS);
    assert!(both[55..].iter().all(|s| *s == ORIGIN_ID), "{both:?}");
    harness.now += 60_000.0;
    assert!(fill_sources(&mut harness, &[]).contains(&PARENTS[0]));
}

/// On an overloaded link every source appears slow; the origin must not replace all of them.
#[test]
fn slow_parents_that_answer_in_time_stay_in_use() {
    let mut harness = Harness::new();
    let mut seen = vec![];
    for object in 0..120 {
        let (request, member) = harness.request_and_miss(SMALL, object);
        let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() else {
            continue;
        };
        seen.push(source);
        harness.serve(request, 1, member, if source == ORIGIN_ID { 330.0 } else { 400.0 }, FillNote::None);
    }
    assert!(PARENTS.iter().all(|s| seen[80..].contains(s)) && !seen.contains(&ORIGIN_ID), "{seen:?}");
}

/// Otherwise the retries of many routers alone would exceed a slow source's throughput.
#[test]
fn more_routers_retry_a_slow_source_less_often_each() {
    let parent_sends = |routers: u32| {
        let mut harness = Harness::with(Settings { routers, ..settings() }, all_members());
        sources_while_slow(&mut harness, 4000.0);
        sources_while_slow(&mut harness, 8000.0).iter().filter(|s| PARENTS.contains(s)).count()
    };
    let (few, many) = (parent_sends(2), parent_sends(300));
    assert!(few > 20 && many < few / 4, "{few} and {many} sends in 8 s");
}

/// A parent that warms up and currently accepts nothing is not a usable source, so the slow origin is due
/// for a retry.
#[test]
fn warming_parents_without_budget_do_not_block_retries_of_a_slow_origin() {
    let mut harness = Harness::with(Settings { routers: 20, ..settings() }, all_members());
    sources_while_slow(&mut harness, 8000.0);
    let now = harness.now;
    let warming = |m: Member| Member { started: PARENTS.contains(&m.id).then_some(now), ..m };
    harness.event(Event::MemberList(ListKind::Full, all_members().into_iter().map(warming).collect()));
    let (mut at_parents, mut at_origin) = (0, 0);
    for object in 1000..1300 {
        harness.now += 20.0;
        let (request, member) = harness.request_and_miss(SMALL, object);
        if let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() {
            let slow = source == ORIGIN_ID;
            (at_parents, at_origin) = (at_parents + u32::from(!slow), at_origin + u32::from(slow));
            harness.serve(request, 1, member, if slow { 2000.0 } else { 100.0 }, FillNote::None);
        }
    }
    assert!(at_parents > 0 && at_origin > 0, "{at_parents} and {at_origin} of 300");
}

/// If all requests were shed, nothing would show that the sources have recovered.
#[test]
fn slow_sources_are_retried_and_one_good_answer_restores_them() {
    let mut harness = Harness::new();
    let send_request = |harness: &mut Harness, object, elapsed| {
        harness.now += 20.0;
        let (request, member) = harness.request_and_miss(SMALL, object);
        let sent = !harness.sends().is_empty();
        if sent {
            harness.serve(request, 1, member, elapsed, FillNote::None);
        }
        sent
    };
    let slow = (0..200).filter(|object| send_request(&mut harness, *object, 1300.0)).count();
    assert!(slow < 40, "{slow}");
    let fast: Vec<bool> = (200..400).map(|object| send_request(&mut harness, object, 30.0)).collect();
    assert!(fast[60..].iter().all(|sent| *sent), "used again within 60 requests (1.2 s)");
}
