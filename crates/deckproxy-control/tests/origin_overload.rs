//! Overload of the origin behind the parents.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// After a mass purge all fills come by way of the origin, while parents' copies are still quick.
#[test]
fn an_overloaded_origin_is_spared_and_parents_answer_from_cache() {
    let mut rig = Rig::new();
    for object in 0..8 {
        let (request, member) = rig.request_and_miss(SMALL, object);
        let (elapsed, note) = if rig.cached_only().expect("a fill") {
            (90.0, FillNote::Filled)
        } else {
            (2000.0, FillNote::FilledByOrigin)
        };
        rig.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = rig.request_and_miss(SMALL, 100);
    assert_eq!(rig.cached_only(), Some(true));
    rig.answer(AttemptAnswer {
        request,
        attempt: 1,
        member,
        ending: AttemptEnding::Miss,
        note: FillNote::SourceMiss,
        elapsed: 40.0,
        load: None,
    });
    assert!(rejected(&rig.actions, request), "at once");
    rig.now += 8000.0;
    rig.request_and_miss(SMALL, 101);
    assert_eq!(rig.cached_only(), Some(false), "without a note it is used again");
}

/// Decay alone would shed requests for seconds after the origin recovered.
#[test]
fn an_origin_answer_in_time_ends_its_slow_time() {
    let mut rig = Rig::new();
    for object in 0..8 {
        let (request, member) = rig.request_and_miss(LARGE, object);
        let spared = rig.cached_only() == Some(true);
        let (elapsed, note) =
            if spared { (90.0, FillNote::Filled) } else { (4000.0, FillNote::FilledByOrigin) };
        rig.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = rig.request_and_miss(LARGE, 100);
    assert_eq!(rig.cached_only(), Some(true), "it is slow");
    rig.serve(request, 1, member, 400.0, FillNote::FilledByOrigin);
    rig.request_and_miss(LARGE, 101);
    assert_eq!(rig.cached_only(), Some(false));
}

/// A fill in flight.
struct Fill {
    object: u64,
    request: RequestId,
    member: MemberId,
    source: MemberId,
}

/// A parent is not bypassed for the origin's latency, nor the origin spared for a slow parent's.
#[test]
fn latency_is_attributed_to_a_parent_or_the_origin_behind_it() {
    let ample_members = || everyone().into_iter().map(|m| Member { weight: 400.0, ..m }).collect();
    let mut rig = Rig::with(settings(), ample_members());
    let mut fills = vec![];
    for object in 0..40_u64 {
        let (request, member) = rig.request_and_miss(SMALL, object);
        let source = rig.sends()[0].source.expect("a fill");
        fills.push(Fill { object, request, member, source });
    }
    let fills_from_parent: Vec<_> = fills.iter().filter(|fill| fill.source == PARENTS[0]).collect();
    // The origin is slow, the parent is not: it stays its objects' source.
    for fill in fills_from_parent.iter().take(6) {
        rig.serve(fill.request, 1, fill.member, 1200.0, FillNote::FilledByOrigin);
    }
    let (request, _) = rig.request_and_miss(SMALL, fills_from_parent[0].object);
    assert_eq!(
        rig.sends().first().map(|sent| (sent.request, sent.source)),
        Some((request, Some(PARENTS[0])))
    );
    assert_eq!(rig.cached_only(), Some(true), "the origin is seen to be slow");
    // The other way round: the parent is slow with its own copies, then by way of the origin too, and late.
    for late in [false, true] {
        let mut rig = Rig::with(
            Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() },
            ample_members(),
        );
        let (request, member) = rig.request_and_miss(SMALL, 1000);
        rig.serve(request, 1, member, 170.0, FillNote::FilledByOrigin);
        let mut fills = vec![];
        for object in 0..24_u64 {
            let request = rig.request_of_size(SMALL, object, 0, None);
            let member = rig.sends()[0].member;
            rig.end(request, 0, member, AttemptEnding::Miss);
            let source = rig.sends()[0].source.expect("a fill");
            fills.push(Fill { object, request, member, source });
        }
        let slow: Vec<_> = fills.iter().filter(|fill| fill.source == PARENTS[0]).collect();
        for fill in &slow[..4] {
            rig.serve(fill.request, 1, fill.member, 9000.0, FillNote::Filled);
        }
        // The other parent's fills are served.
        for fill in fills.iter().filter(|fill| fill.source != PARENTS[0]) {
            rig.serve(fill.request, 1, fill.member, 900.0, FillNote::Filled);
        }
        if late {
            rig.sweep_until(rig.now + 4500.0);
        } else {
            for fill in &slow[4..] {
                rig.serve(fill.request, 1, fill.member, 9000.0, FillNote::FilledByOrigin);
            }
        }
        let request = rig.request_of_size(SMALL, 2000, 0, None);
        let member = rig.sends()[0].member;
        rig.end(request, 0, member, AttemptEnding::Miss);
        assert_eq!(
            rig.sends().first().map(|sent| (sent.request, sent.source)),
            Some((request, Some(PARENTS[1]))),
            "{late}"
        );
        assert_eq!(rig.cached_only(), Some(false), "{late}: the origin is not known to be slow");
    }
}

/// Large answers suffer most on the origin's thin link; small ones in time must not admit them.
#[test]
fn large_answers_weigh_more_in_the_origins_latency() {
    let mut rig = Rig::new();
    for object in 0..12 {
        let class = if object % 3 == 0 { LARGE } else { SMALL };
        let due = SIZES[class] + 120.0;
        let (request, member) = rig.request_and_miss(class, object);
        if rig.cached_only() == Some(false) {
            let times = if class == LARGE { 8.0 } else { 1.0 };
            rig.serve(request, 1, member, due * times, FillNote::FilledByOrigin);
        }
    }
    rig.request_and_miss(LARGE, 100);
    assert_eq!(rig.cached_only(), Some(true));
}

/// Fills end seconds after the origin became slow; late ones show it sooner.
#[test]
fn late_fills_through_the_origin_count_before_they_end() {
    for notes in [false, true] {
        let mut rig =
            Rig::with(Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() }, everyone());
        let miss = |rig: &mut Rig, object| {
            let id = rig.request_of_size(SMALL, object, 0, None);
            let member = rig.sends()[0].member;
            rig.end(id, 0, member, AttemptEnding::Miss);
            (id, member)
        };
        let (request, member) = miss(&mut rig, 1);
        rig.serve(request, 1, member, 920.0, if notes { FillNote::FilledByOrigin } else { FillNote::None });
        (10..30).for_each(|object| {
            miss(&mut rig, object);
        });
        rig.sweep_until(rig.now + 4500.0);
        miss(&mut rig, 40);
        assert_eq!(rig.cached_only(), Some(notes));
    }
}
