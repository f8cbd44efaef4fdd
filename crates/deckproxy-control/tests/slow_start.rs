//! Slow start across routers: what all routers together send to a member that warms up does not overload
//! it. Calls are counted at the member in each window; for a budget of N calls an excess of up to 2 x
//! sqrt(N) + 2 is attributed to chance.

mod common;
use common::*;
use deckproxy_control::interface::*;
use deckproxy_standins::limit_checkers::{SlowStartChecker, SlowStartLimits};

const STARTED: Millis = 900.0;

/// The load limits of a member under these settings.
fn load_limits(member: &Member, rule: SlowStart) -> SlowStartLimits {
    SlowStartLimits {
        started_ms: STARTED,
        capacity: member.weight,
        initial_share: rule.initial_share,
        ramp_ms: rule.duration,
        multiple: rule.overload_multiple,
        window_ms: rule.overload_window,
    }
}

/// Routers of one location with unequal traffic, and one warming member among those that serve them.
struct Fleet {
    harnesses: Vec<Harness>,
    settings: Settings,
    warming: Member,
    checker: SlowStartChecker,
    object: u64,
}

impl Fleet {
    fn of(routers: u32, warming: Member) -> Fleet {
        let set = settings();
        let (cache_slow_start, parent_slow_start) =
            (extended(set.cache_slow_start), extended(set.parent_slow_start));
        let settings = Settings {
            routers,
            zone_routers: vec![0, 0, routers],
            cache_slow_start,
            parent_slow_start,
            ..set
        };
        let harnesses = (0..routers)
            .map(|position| Harness::with(Settings { position, ..settings.clone() }, Self::others(&warming)))
            .collect();
        Fleet { harnesses, settings, warming, checker: SlowStartChecker::default(), object: 10_000 }
    }

    /// The members besides the warming one. If that is a cache, another cache and a warm parent serve the
    /// rest; if it is a parent, there is no other parent.
    fn others(warming: &Member) -> Vec<Member> {
        let all = [member(101), member(102), member(201), member(301)];
        all.into_iter()
            .filter(|m| m.kind != warming.kind || m.id != warming.id && m.kind == CACHE_KIND)
            .collect()
    }

    fn set_time(&mut self, now: Millis) {
        self.harnesses.iter_mut().for_each(|harness| harness.now = now);
    }

    fn list_warming_member(&mut self, i: usize) {
        let warming = self.warming;
        self.harnesses[i].event(Event::MemberList(ListKind::Delta, vec![warming]));
    }

    /// Restarts a router: it knows the member list, but not what it sent before.
    fn restart(&mut self, i: usize) {
        let mut list = Self::others(&self.warming);
        list.push(self.warming);
        let now = self.harnesses[i].now;
        let position = u32::try_from(i).unwrap();
        let mut harness = Harness::with(Settings { position, ..self.settings.clone() }, Vec::new());
        harness.now = now;
        harness.event(Event::MemberList(ListKind::Cached, list));
        self.harnesses[i] = harness;
    }

    /// Sends one request through a router, with all its attempts; attempts with the warming member as
    /// their source are counted as well.
    fn request(&mut self, i: usize) {
        self.object += 1;
        let class = if self.object.is_multiple_of(3) { LARGE } else { SMALL };
        let id = self.harnesses[i].request(class, self.object, 0);
        let mut attempt = 0;
        while let Some(SentAttempt { member: to, source, .. }) = self.harnesses[i].sends().first().copied() {
            if to == self.warming.id || source == Some(self.warming.id) {
                self.checker.record_call(self.harnesses[i].now, SIZES[class]);
            }
            let fills = source.is_some_and(|s| s != to);
            self.harnesses[i].end(
                id,
                attempt,
                to,
                if fills { AttemptEnding::Served } else { AttemptEnding::Miss },
            );
            attempt += 1;
        }
    }
}

/// Extends a slow start to five minutes, so that a lull can be long relative to the interval between two
/// sends of a router.
fn extended(rule: SlowStart) -> SlowStart {
    SlowStart { duration: 300_000.0, ..rule }
}

/// A small cache and a small parent: each router's share of the budget is only a few calls, so only the
/// sum over all routers is significant.
fn cases() -> [(Member, SlowStart); 2] {
    let warming = |id, weight| Member { started: Some(STARTED), weight, ..member(id) };
    [
        (warming(101, 0.8), extended(settings().cache_slow_start)),
        (warming(201, 1.5), extended(settings().parent_slow_start)),
    ]
}

/// 24 routers; the busiest has twelve times the traffic of the quietest. Some are notified of the member
/// late, some restart during its slow start, there are lulls, and after each lull all send requests at
/// once.
#[test]
fn twenty_four_routers_stay_within_a_slow_start_budget_through_lulls_surges_and_restarts() {
    for (warming, rule) in cases() {
        let mut fleet = Fleet::of(24, warming);
        for step in 0..8000_u32 {
            let now = 1000.0 + 20.0 * f64::from(step);
            fleet.set_time(now);
            let lull = (800..4000).contains(&step) || (4300..7000).contains(&step);
            for i in 0..24_usize {
                if step == 20 * (u32::try_from(i).unwrap() % 5) {
                    fleet.list_warming_member(i);
                }
                if (step == 700 || step == 3999) && i % 4 == 1 {
                    fleet.restart(i);
                }
                let interval = 6 + 6 * u32::try_from(i).unwrap() % 72;
                let surge = step == 4000 || step == 7000;
                if !lull && (surge || (step + u32::try_from(i).unwrap()).is_multiple_of(interval)) {
                    (0..if surge { 40 } else { 1 }).for_each(|_| fleet.request(i));
                }
            }
        }
        assert_eq!(fleet.checker.first_overload(load_limits(&warming, rule)), None, "{}", warming.id);
        // Outside the lulls at least a tenth of the member's initial capacity is used.
        let min_work = 0.1 * rule.overload_multiple * rule.initial_share * warming.weight * 42_000.0;
        assert!(
            fleet.checker.total_work_ms() > min_work,
            "{}: {}",
            warming.id,
            fleet.checker.total_work_ms()
        );
    }
}

/// Accumulated allowances of 24 routers would be spent at the same time.
#[test]
fn a_lull_accumulates_no_budget_for_the_surge_after_it() {
    for (warming, rule) in cases() {
        let mut fleet = Fleet::of(24, warming);
        fleet.set_time(1000.0);
        (0..24).for_each(|i| fleet.list_warming_member(i));
        fleet.set_time(41_000.0);
        for _ in 0..40 {
            (0..24).for_each(|i| fleet.request(i));
        }
        assert_eq!(fleet.checker.first_overload(load_limits(&warming, rule)), None, "{}", warming.id);
    }
}

/// Each router may have spent its allowance just before its restart.
#[test]
fn a_fleet_restarted_within_a_window_has_no_second_budget() {
    for (warming, rule) in cases() {
        let mut fleet = Fleet::of(24, warming);
        fleet.set_time(1000.0);
        (0..24).for_each(|i| fleet.list_warming_member(i));
        for step in 0..1200 {
            fleet.set_time(1000.0 + 5.0 * f64::from(step));
            if step % 30 == 29 {
                (0..24).for_each(|i| fleet.restart(i));
            }
            (0..24).for_each(|i| fleet.request(i));
        }
        assert_eq!(fleet.checker.first_overload(load_limits(&warming, rule)), None, "{}", warming.id);
    }
}

/// The cache is empty: a look-up would miss and cost as much of the budget as the fill.
#[test]
fn a_cache_that_warms_up_is_sent_fills_without_a_lookup() {
    let warming = |m: Member| Member { started: (m.id == CACHES[0]).then_some(0.0), ..m };
    let mut harness = Harness::with(settings(), all_members().into_iter().map(warming).collect());
    let mut fills = 0;
    for object in 0..200 {
        harness.now += 20.0;
        let id = harness.request(SMALL, object, 0);
        let SentAttempt { member: at, source, .. } = harness.sends()[0];
        assert_eq!(source.is_some(), at == CACHES[0], "the other caches receive a look-up first");
        fills += u32::from(source.is_some());
        harness.end(id, 0, at, AttemptEnding::Served);
    }
    assert!(fills > 5, "{fills}");
}
