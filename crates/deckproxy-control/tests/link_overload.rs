//! Overload of the location's link: requests that would be answered too late are shed.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// A link that every router fills serves no request in time.
#[test]
fn an_overloaded_link_sheds_large_requests_first() {
    let mut s = settings();
    s.zone_link_rate = vec![0.0, 0.0, 8000.0, 0.0];
    let mut harness = Harness::with(s, all_members());
    let mut fills = vec![];
    let mut shed = None;
    for object in 0..200 {
        let (id, cache) = harness.request_and_miss(LARGE, object);
        if is_rejected(&harness.actions, id) {
            shed = Some(object);
            break;
        }
        fills.push((id, cache));
    }
    let shed = shed.expect("the link cannot carry an unlimited number of fills");
    assert!(shed >= 8, "requests are shed while the link has capacity: {shed}");
    let (small, _) = harness.request_and_miss(SMALL, 900);
    assert!(
        !is_rejected(&harness.actions, small) && harness.sends().len() == 1,
        "a small request can still be answered in time"
    );
    for (id, cache) in fills {
        harness.end(id, 1, cache, AttemptEnding::Served);
    }
    let (id, _) = harness.request_and_miss(LARGE, 901);
    assert!(!is_rejected(&harness.actions, id), "the link's capacity is available again");
}

#[test]
fn an_idle_link_of_unknown_rate_sheds_nothing() {
    let mut harness = Harness::new();
    for object in 0..20 {
        let (id, _) = harness.request_and_miss(LARGE, object);
        assert!(!is_rejected(&harness.actions, id));
    }
}

/// If the settings do not contain the link's rate, load reports decide.
#[test]
fn a_link_of_unknown_rate_uses_the_reported_load() {
    let mut harness = Harness::new();
    let mut rejections = 0;
    for object in 0..120 {
        let (id, _) = harness.request_and_miss(LARGE, object);
        rejections += usize::from(is_rejected(&harness.actions, id));
        let probe = harness.request(SMALL, 5000 + object, 0);
        let member = harness.sends()[0].member;
        let load = Some(LoadReport { link: Some(object as f64 / 2.0), ..LoadReport::default() });
        harness.answer(AttemptAnswer {
            request: probe,
            attempt: 0,
            member,
            ending: AttemptEnding::Served,
            note: FillNote::None,
            elapsed: 20.0,
            load,
        });
    }
    assert!(rejections > 0);
}

/// Fills that wait for a stalled origin transfer nothing, so they must not cause requests to be shed that
/// parents can serve from their copies.
#[test]
fn late_fills_do_not_count_on_the_link() {
    let mut s = settings();
    s.zone_link_rate = vec![0.0, 0.0, 8000.0, 0.0];
    let mut harness = Harness::with(s, all_members());
    for object in 0..60 {
        harness.request_and_miss(LARGE, object);
    }
    let (id, _) = harness.request_and_miss(LARGE, 900);
    assert!(is_rejected(&harness.actions, id), "the link is overloaded");
    for _ in 0..200 {
        harness.now += 20.0;
        let now = harness.now;
        harness.run_timer_at(now);
    }
    let (id, _) = harness.request_and_miss(LARGE, 901);
    assert!(!is_rejected(&harness.actions, id) && harness.sends().len() == 1);
}

/// Fills that wait for a slow origin must not cause requests to be shed that parents can serve from their
/// copies.
#[test]
fn on_an_overloaded_link_parents_answer_from_cache_if_notes_are_known() {
    for notes in [false, true] {
        let mut harness = Harness::with(
            Settings { zone_link_rate: vec![0.0, 0.0, 3000.0, 0.0], ..settings() },
            all_members(),
        );
        let (request, member) = harness.request_and_miss(SMALL, 1);
        harness.serve(
            request,
            1,
            member,
            100.0,
            if notes { FillNote::FilledByOrigin } else { FillNote::None },
        );
        let (mut unrestricted, mut cached_only, mut rejections) = (0, 0, 0);
        for object in 10..40 {
            let (id, _) = harness.request_and_miss(LARGE, object);
            rejections += u32::from(is_rejected(&harness.actions, id));
            let get = harness.cached_only();
            unrestricted += u32::from(get == Some(false));
            cached_only += u32::from(get == Some(true));
        }
        assert!(unrestricted > 0 && unrestricted < 10, "the link carries a few fills: {unrestricted}");
        assert_eq!(
            (cached_only > 0, rejections > 0),
            (notes, !notes),
            "{cached_only} from cache only, {rejections} rejected"
        );
    }
}

#[test]
fn on_an_overloaded_link_nothing_is_filled_from_the_origin() {
    let list = all_members().into_iter().filter(|m| m.kind != PARENT_KIND).collect();
    let mut harness =
        Harness::with(Settings { zone_link_rate: vec![0.0, 0.0, 3000.0, 0.0], ..settings() }, list);
    let (request, member) = harness.request_and_miss(SMALL, 1);
    harness.serve(request, 1, member, 100.0, FillNote::FilledByOrigin);
    let fills: Vec<bool> = (10..40)
        .map(|object| {
            harness.request_and_miss(LARGE, object);
            harness.cached_only().is_some()
        })
        .collect();
    assert!(fills[0] && !fills[10..].contains(&true), "{fills:?}");
}

/// A load report without the link's load does not invalidate the evidence of fill times. A fill of
/// unknown size is no evidence, as the object may just be large.
#[test]
fn fill_times_of_known_sizes_indicate_link_load_without_a_link_report() {
    let sheds_fills = |size: Option<f64>, fills: u64, elapsed: Millis, note: FillNote, link: Option<f64>| {
        let set = Settings {
            zone_link_rate: vec![0.0, 0.0, 30_000.0, 0.0],
            zone_routers: vec![0, 0, 20, 1],
            ..settings()
        };
        // Caches with enough capacity never to be overloaded themselves.
        let list = all_members().into_iter().map(|m| Member { weight: 400.0, ..m }).collect();
        let mut harness = Harness::with(set, list);
        let miss = |harness: &mut Harness, object| {
            let id = harness.request_of_size(LARGE, object, 0, size);
            let member = harness.sends()[0].member;
            harness.end(id, 0, member, AttemptEnding::Miss);
            (id, member)
        };
        (0..fills).for_each(|object| {
            miss(&mut harness, object);
        });
        harness.now += 3000.0;
        let (id, member) = miss(&mut harness, 100);
        let load = Some(LoadReport { busy_share: Some(0.3), link, ..LoadReport::default() });
        harness.answer(AttemptAnswer {
            request: id,
            attempt: 1,
            member,
            ending: AttemptEnding::Served,
            note,
            elapsed,
            load,
        });
        miss(&mut harness, 101);
        harness.cached_only() != Some(false)
    };
    assert!(sheds_fills(Some(400.0), 4, 1350.0, FillNote::Filled, None));
    assert!(
        !sheds_fills(Some(400.0), 4, 1350.0, FillNote::Filled, Some(0.1)),
        "the link is reported to be idle"
    );
    assert!(!sheds_fills(Some(400.0), 4, 400.0, FillNote::Filled, None), "the link is not overloaded");
    assert!(
        !sheds_fills(Some(400.0), 4, 1350.0, FillNote::FilledByOrigin, None),
        "the origin is slow, not the link"
    );
    assert!(
        !sheds_fills(None, 2, 2300.0, FillNote::Filled, None),
        "an object of unknown size may just be large"
    );
}
