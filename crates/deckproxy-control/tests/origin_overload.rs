//! Overload of the origin behind the parents.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// After a mass purge all fills come by way of the origin, while parents' copies are still quick.
#[test]
fn an_overloaded_origin_is_spared_and_parents_answer_from_cache() {
    let mut rig = Rig::new();
    for object in 0..8 {
        let (request, member) = rig.ask_and_miss(SMALL, object);
        let (elapsed, note) = if rig.cached_only().expect("a fill") {
            (90.0, FillNote::Filled)
        } else {
            (2000.0, FillNote::FilledByOrigin)
        };
        rig.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = rig.ask_and_miss(SMALL, 100);
    assert_eq!(rig.cached_only(), Some(true));
    rig.answer((request, 1), member, (AttemptEnding::Miss, FillNote::SourceLacks), 40.0, None);
    assert!(rejected(&rig.acts, request), "at once");
    rig.now += 8000.0;
    rig.ask_and_miss(SMALL, 101);
    assert_eq!(rig.cached_only(), Some(false), "without news it is asked again");
}

/// Decay alone would shed requests for seconds after the origin recovered.
#[test]
fn an_origin_answer_in_time_ends_its_slow_time() {
    let mut rig = Rig::new();
    for object in 0..8 {
        let (request, member) = rig.ask_and_miss(LARGE, object);
        let spared = rig.cached_only() == Some(true);
        let (elapsed, note) =
            if spared { (90.0, FillNote::Filled) } else { (4000.0, FillNote::FilledByOrigin) };
        rig.serve(request, 1, member, elapsed, note);
    }
    let (request, member) = rig.ask_and_miss(LARGE, 100);
    assert_eq!(rig.cached_only(), Some(true), "it is slow");
    rig.serve(request, 1, member, 400.0, FillNote::FilledByOrigin);
    rig.ask_and_miss(LARGE, 101);
    assert_eq!(rig.cached_only(), Some(false));
}

/// A parent is not bypassed for the origin's latency, nor the origin spared for a slow parent's.
#[test]
fn latency_is_attributed_to_a_parent_or_the_origin_behind_it() {
    let roomy = || everyone().into_iter().map(|m| Member { weight: 400.0, ..m }).collect();
    let mut rig = Rig::with(settings(), roomy());
    let mut at = vec![];
    for object in 0..40_u64 {
        let (request, member) = rig.ask_and_miss(SMALL, object);
        let source = rig.sends()[0].2.expect("a fill");
        at.push((object, request, member, source));
    }
    let home = |source| at.iter().filter(move |x| x.3 == source);
    // The origin is slow, the parent is not: it stays its objects' source.
    for (_, request, member, _) in home(PARENTS[0]).take(6) {
        rig.serve(*request, 1, *member, 1200.0, FillNote::FilledByOrigin);
    }
    let first = at.iter().find(|x| x.3 == PARENTS[0]).map(|x| x.0).unwrap();
    let (request, _) = rig.ask_and_miss(SMALL, first);
    assert_eq!(rig.sends().first().map(|s| (s.0, s.2)), Some((request, Some(PARENTS[0]))));
    assert_eq!(rig.cached_only(), Some(true), "the origin is seen to be slow");
    // The other way round: the parent is slow with its own copies, then by way of the origin too, and late.
    for late in [false, true] {
        let mut rig =
            Rig::with(Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() }, roomy());
        let (request, member) = rig.ask_and_miss(SMALL, 1000);
        rig.serve(request, 1, member, 170.0, FillNote::FilledByOrigin);
        let mut at = vec![];
        for object in 0..24_u64 {
            let id = rig.ask_of_size(SMALL, object, 0, None);
            let member = rig.sends()[0].1;
            rig.end(id, 0, member, AttemptEnding::Miss);
            at.push((object, id, member, rig.sends()[0].2.expect("a fill")));
        }
        let slow: Vec<_> = at.iter().filter(|x| x.3 == PARENTS[0]).collect();
        for (_, request, member, _) in &slow[..4] {
            rig.serve(*request, 1, *member, 9000.0, FillNote::Filled);
        }
        // The other parent's are through.
        for (_, request, member, _) in at.iter().filter(|x| x.3 != PARENTS[0]) {
            rig.serve(*request, 1, *member, 900.0, FillNote::Filled);
        }
        if late {
            rig.sweep_until(rig.now + 4500.0);
        } else {
            for (_, request, member, _) in &slow[4..] {
                rig.serve(*request, 1, *member, 9000.0, FillNote::FilledByOrigin);
            }
        }
        let request = rig.ask_of_size(SMALL, 2000, 0, None);
        let member = rig.sends()[0].1;
        rig.end(request, 0, member, AttemptEnding::Miss);
        assert_eq!(rig.sends().first().map(|s| (s.0, s.2)), Some((request, Some(PARENTS[1]))), "{late}");
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
        let (request, member) = rig.ask_and_miss(class, object);
        if rig.cached_only() == Some(false) {
            let times = if class == LARGE { 8.0 } else { 1.0 };
            rig.serve(request, 1, member, due * times, FillNote::FilledByOrigin);
        }
    }
    rig.ask_and_miss(LARGE, 100);
    assert_eq!(rig.cached_only(), Some(true));
}

/// Fills end seconds after the origin became slow; late ones show it sooner.
#[test]
fn late_fills_through_the_origin_count_before_they_end() {
    for notes in [false, true] {
        let mut rig =
            Rig::with(Settings { zone_link_rate: vec![0.0, 0.0, 15_000.0, 0.0], ..settings() }, everyone());
        let miss = |rig: &mut Rig, object| {
            let id = rig.ask_of_size(SMALL, object, 0, None);
            let member = rig.sends()[0].1;
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
