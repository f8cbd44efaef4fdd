//! Overload of the origin behind the parents.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// After a purge of many objects all fills are fetched from the origin, while parents still answer
/// quickly from their copies.
#[test]
fn while_the_origin_is_overloaded_parents_answer_from_cache_only() {
    let mut harness = Harness::new();
    for object in 0..8 {
        let (request, member) = harness.request_and_miss(SMALL, object);
        let (elapsed, note) = if harness.cached_only().expect("a fill") {
            (90.0, FillNote::Filled)
        } else {
            (2000.0, FillNote::FilledByOrigin)
        };
        harness.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = harness.request_and_miss(SMALL, 100);
    assert_eq!(harness.cached_only(), Some(true));
    harness.answer(AttemptAnswer {
        request,
        attempt: 1,
        member,
        ending: AttemptEnding::Miss,
        note: FillNote::SourceMiss,
        elapsed: 40.0,
        load: None,
    });
    assert!(is_rejected(&harness.actions, request), "rejected at once");
    harness.now += 8000.0;
    harness.request_and_miss(SMALL, 101);
    assert_eq!(
        harness.cached_only(),
        Some(false),
        "the origin is used again once its observations have decayed"
    );
}

/// With decay alone requests would be shed for seconds after the origin has recovered.
#[test]
fn an_origin_answer_in_time_clears_its_latency_inflation() {
    let mut harness = Harness::new();
    for object in 0..8 {
        let (request, member) = harness.request_and_miss(LARGE, object);
        let is_cached_only = harness.cached_only() == Some(true);
        let (elapsed, note) =
            if is_cached_only { (90.0, FillNote::Filled) } else { (4000.0, FillNote::FilledByOrigin) };
        harness.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = harness.request_and_miss(LARGE, 100);
    assert_eq!(harness.cached_only(), Some(true), "the origin is slow");
    harness.serve(request, 1, member, 400.0, FillNote::FilledByOrigin);
    harness.request_and_miss(LARGE, 101);
    assert_eq!(harness.cached_only(), Some(false));
}

/// A fill in flight.
struct Fill {
    object: u64,
    request: RequestId,
    member: MemberId,
    source: MemberId,
}

/// A parent must not be bypassed because of the origin's latency, nor the origin because of a slow
/// parent's.
#[test]
fn latency_is_attributed_to_a_parent_or_the_origin_behind_it() {
    let ample_members = || all_members().into_iter().map(|m| Member { weight: 400.0, ..m }).collect();
    let mut harness = Harness::with(settings(), ample_members());
    let mut fills = vec![];
    for object in 0..40_u64 {
        let (request, member) = harness.request_and_miss(SMALL, object);
        let source = harness.sends()[0].source.expect("a fill");
        fills.push(Fill { object, request, member, source });
    }
    let fills_from_parent: Vec<_> = fills.iter().filter(|fill| fill.source == PARENTS[0]).collect();
    // The origin is slow and the parent is not, so the parent remains the source of its objects.
    for fill in fills_from_parent.iter().take(6) {
        harness.serve(fill.request, 1, fill.member, 1200.0, FillNote::FilledByOrigin);
    }
    let (request, _) = harness.request_and_miss(SMALL, fills_from_parent[0].object);
    assert_eq!(
        harness.sends().first().map(|sent| (sent.request, sent.source)),
        Some((request, Some(PARENTS[0])))
    );
    assert_eq!(harness.cached_only(), Some(true), "the origin was observed to be slow");
    // Conversely, the parent is slow with its own copies, then also with fetches from the origin, which
    // are completed or still late.
    for late in [false, true] {
        let mut harness = Harness::with(
            Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() },
            ample_members(),
        );
        let (request, member) = harness.request_and_miss(SMALL, 1000);
        harness.serve(request, 1, member, 170.0, FillNote::FilledByOrigin);
        let mut fills = vec![];
        for object in 0..24_u64 {
            let request = harness.request_of_size(SMALL, object, 0, None);
            let member = harness.sends()[0].member;
            harness.end(request, 0, member, AttemptEnding::Miss);
            let source = harness.sends()[0].source.expect("a fill");
            fills.push(Fill { object, request, member, source });
        }
        let slow: Vec<_> = fills.iter().filter(|fill| fill.source == PARENTS[0]).collect();
        for fill in &slow[..4] {
            harness.serve(fill.request, 1, fill.member, 9000.0, FillNote::Filled);
        }
        // The other parent's fills are served.
        for fill in fills.iter().filter(|fill| fill.source != PARENTS[0]) {
            harness.serve(fill.request, 1, fill.member, 900.0, FillNote::Filled);
        }
        if late {
            harness.run_timer_until(harness.now + 4500.0);
        } else {
            for fill in &slow[4..] {
                harness.serve(fill.request, 1, fill.member, 9000.0, FillNote::FilledByOrigin);
            }
        }
        let request = harness.request_of_size(SMALL, 2000, 0, None);
        let member = harness.sends()[0].member;
        harness.end(request, 0, member, AttemptEnding::Miss);
        assert_eq!(
            harness.sends().first().map(|sent| (sent.request, sent.source)),
            Some((request, Some(PARENTS[1]))),
            "late {late}"
        );
        assert_eq!(harness.cached_only(), Some(false), "late {late}: the origin was not observed to be slow");
    }
}

/// Large answers suffer most from the origin's limited bandwidth; small answers in time must not admit
/// them.
#[test]
fn large_answers_weigh_more_in_the_origins_latency() {
    let mut harness = Harness::new();
    for object in 0..12 {
        let class = if object % 3 == 0 { LARGE } else { SMALL };
        let expected = SIZES[class] + 120.0;
        let (request, member) = harness.request_and_miss(class, object);
        if harness.cached_only() == Some(false) {
            let factor = if class == LARGE { 8.0 } else { 1.0 };
            harness.serve(request, 1, member, expected * factor, FillNote::FilledByOrigin);
        }
    }
    harness.request_and_miss(LARGE, 100);
    assert_eq!(harness.cached_only(), Some(true));
}

/// Fills complete seconds after the origin became slow; late fills indicate it sooner.
#[test]
fn late_fills_through_the_origin_count_before_they_end() {
    for notes in [false, true] {
        let mut harness = Harness::with(
            Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() },
            all_members(),
        );
        let miss = |harness: &mut Harness, object| {
            let id = harness.request_of_size(SMALL, object, 0, None);
            let member = harness.sends()[0].member;
            harness.end(id, 0, member, AttemptEnding::Miss);
            (id, member)
        };
        let (request, member) = miss(&mut harness, 1);
        harness.serve(
            request,
            1,
            member,
            920.0,
            if notes { FillNote::FilledByOrigin } else { FillNote::None },
        );
        (10..30).for_each(|object| {
            miss(&mut harness, object);
        });
        harness.run_timer_until(harness.now + 4500.0);
        miss(&mut harness, 40);
        assert_eq!(harness.cached_only(), Some(notes));
    }
}
