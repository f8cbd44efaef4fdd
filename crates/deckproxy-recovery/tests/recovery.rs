//! What recovery promises, for random schedules.

use deckproxy_recovery::admission::{Admission, Class, RequestOutcome, Settings, Verdict};
use deckproxy_recovery::budget::{Budget, Limits as BudgetLimits};
use deckproxy_recovery::class_shedding::{ClassShedding, Step, Times};
use deckproxy_recovery::recovery_ramp::{Limits as RampLimits, RecoveryRamp};
use deckproxy_recovery::retries::RetryTracker;
use deckproxy_recovery::retry_after::RetryAfterSchedule;
use deckproxy_recovery::retry_storm::{Limits as StormLimits, RetryStorm};
use proptest::prelude::*;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() }
}

fn door(settings: Settings) -> Admission {
    let class = |worth, refusable| Class { worth, refusable, least: 100.0 };
    Admission::new(
        Settings { classes: vec![class(0.0, true), class(0.5, true), class(1.0, true)], ..settings },
        7,
    )
}

proptest! {
    #![proptest_config(config(200))]

    /// However clients repeat, what passes is at most the first tries and the budgets' share of them.
    #[test]
    fn amplification_is_bounded(
        steps in prop::collection::vec((0u64..40, 0usize..3, 0u64..6, 0u32..30, any::<bool>()), 1..800),
    ) {
        let mut door = door(Settings::default());
        let (mut now, mut first, mut repeats) = (1e6, [0u64; 3], [0u64; 3]);
        for (client, class, object, later, served) in steps {
            now += f64::from(later);
            let before = door.counters;
            let verdict = door.request(now, client, class, object, 1000.0);
            let passed = [door.counters.passed_firsts - before.passed_firsts, door.counters.passed_repeats - before.passed_repeats];
            prop_assert_eq!(verdict == Verdict::Pass, passed[0] + passed[1] == 1);
            first[class] += passed[0];
            repeats[class] += passed[1];
            if verdict == Verdict::Pass {
                let ended = if served { RequestOutcome::Served } else { RequestOutcome::Failed };
                door.ended(now, client, object, ended, 0.0);
            }
            if let Verdict::Refuse(back) = verdict {
                prop_assert!((1.0..=500.0).contains(&back), "{}", back);
            }
        }
        let set = BudgetLimits::default();
        for class in 0..3 {
            prop_assert!(repeats[class] as f64 <= first[class] as f64 * set.share + set.saved + 1e-6);
        }
    }

    /// Whatever went before, once all that passes is served the door is open again in a stated time: the cap at its
    /// floor takes log(rate / floor) / log(up) windows to be out of the way, and some calm ones end the storm.
    #[test]
    fn full_service_comes_back_when_the_cause_is_over(
        bad in prop::collection::vec((0u32..12, any::<bool>()), 0..3000),
        rate in 50.0f64..800.0,
    ) {
        let limits = StormLimits::default();
        let mut storm = RetryStorm::new(limits);
        let mut now = 0.0;
        for (later, served) in bad {
            now += f64::from(later);
            storm.count(now, |c| c.repeats += 1);
            if storm.admits(now, 0.0) {
                storm.count(now, |c| { c.passed += 1; if served { c.served += 1 } else { c.wasted += 1 } });
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        let windows = (rate / limits.floor).ln() / limits.up.ln() + f64::from(limits.calm) + 12.0;
        let end = now + windows * limits.window;
        while now < end {
            now += 1000.0 / rate;
            storm.count(now, |c| c.firsts += 1);
            if storm.admits(now, 0.0) {
                storm.count(now, |c| { c.passed += 1; c.served += 1 });
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        prop_assert_eq!(storm.cap(), None, "after {} windows", windows);
    }

    /// In a storm every class still has its turn, those worth more before others.
    #[test]
    fn no_class_starves_in_a_storm(seed in any::<u64>()) {
        let mut storm = RetryStorm::new(StormLimits::default());
        let mut now = 0.0;
        let mut passed = [0u32; 2];
        for i in 0..40_000u64 {
            now += 0.5;
            storm.count(now, |c| { c.firsts += 1; c.repeats += 1 });
            let class = (i.wrapping_mul(seed | 1) >> 7) as usize % 2;
            if storm.admits(now, class as f64) {
                // A tenth of what is let in is served: it stays a storm.
                storm.count(now, |c| { c.passed += 1; if i % 10 == 0 { c.served += 1 } else { c.wasted += 1 } });
                if storm.cap().is_some() {
                    passed[class] += 1;
                }
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        prop_assert!(storm.cap().is_some());
        prop_assert!(passed[0] > 5 && passed[1] >= passed[0], "{:?}", passed);
    }

    /// Of clients refused together none is asked back before the least time or after the most, and no moment gets much
    /// more than it has room for while there is room.
    #[test]
    fn they_come_back_as_a_stream(count in 1usize..400, pace in 20.0f64..2000.0, most in 300.0f64..5000.0) {
        let mut returns = RetryAfterSchedule::new(3);
        let now = 1_700_000_000_123.0;
        let mut back: Vec<f64> = (0..count).map(|_| returns.back(now, 50.0, most, pace)).collect();
        prop_assert!(back.iter().all(|b| (50.0..=most).contains(b)));
        back.sort_by(f64::total_cmp);
        if returns.crowded == 0 {
            // Over any tenth of a second: its room, and what two slots' ends may add.
            for i in 0..back.len() {
                let within = back[i..].iter().take_while(|b| **b < back[i] + 100.0).count();
                prop_assert!(within as f64 <= pace * 0.2 + 4.0, "{} in 100 ms at {} a second", within, pace);
            }
        } else {
            prop_assert!(count as f64 > pace * (most - 200.0) / 1000.0 * 0.8 - 3.0, "{} found no room", returns.crowded);
        }
    }

    /// Steps are held for their times whatever the pressure does.
    #[test]
    fn a_brown_out_never_flaps(pressures in prop::collection::vec((0.0f64..1.0, 1u32..400), 1..400)) {
        let step = |class, enter| Step { class, enter, leave: enter - 0.3 };
        let times = Times { enter: 1000.0, leave: 3000.0 };
        let mut brownout = ClassShedding::new(vec![step(0, 0.5), step(1, 0.7)], times);
        let (mut now, mut last, mut changed) = (0.0, 0, -1e9);
        for (pressure, later) in pressures {
            now += f64::from(later);
            brownout.pressure(now, pressure);
            let level = brownout.level();
            if level != last {
                prop_assert_eq!(level.abs_diff(last), 1);
                let least = if level > last { times.enter } else { times.leave };
                prop_assert!(now - changed >= least, "{} ms after the last change", now - changed);
                (last, changed) = (level, now);
            }
        }
    }

    /// Never more out than the ramp says, and a thing that works is at full again after few steps.
    #[test]
    fn a_ramp_begins_with_one_and_ends(steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0u32..300), 0..200)) {
        let limits = RampLimits::default();
        let mut ramp = RecoveryRamp::new(limits);
        ramp.lost(0.0);
        let (mut now, mut out) = (0.0, 0u32);
        for (takes, well, later) in steps {
            now += f64::from(later);
            if takes {
                let may = ramp.take(now);
                out += u32::from(may);
                prop_assert!(ramp.may().is_none_or(|most| out <= most.max(1) || !may));
            } else if out > 0 {
                out -= 1;
                ramp.ended(now, well);
            }
        }
        (0..out).for_each(|_| ramp.ended(now, true));
        now += limits.again.1;
        let mut asked = 0;
        while ramp.may().is_some() {
            asked += 1;
            prop_assert!(asked < 400, "never full");
            if ramp.take(now) {
                ramp.ended(now, true);
            }
        }
    }
}

#[test]
fn a_herd_that_waits_for_a_lost_thing_sends_one_prober() {
    let mut ramp = RecoveryRamp::new(RampLimits::default());
    ramp.lost(0.0);
    assert!((0..100).all(|_| !ramp.take(50.0)));
    let took = (0..100).filter(|_| ramp.take(150.0)).count();
    assert_eq!(took, 1);
    ramp.ended(160.0, false);
    // It failed: a longer wait, and one again.
    assert_eq!((0..100).filter(|_| ramp.take(300.0)).count(), 0);
    assert_eq!((0..100).filter(|_| ramp.take(400.0)).count(), 1);
    ramp.ended(410.0, true);
    assert_eq!((0..100).filter(|_| ramp.take(411.0)).count(), 2);
}

#[test]
fn repeats_are_known_in_bounded_memory_and_served_ones_begin_anew() {
    let mut repeats = RetryTracker::new(1000, 5000.0, 1);
    for n in 0..99_500u64 {
        repeats.turned(f64::from(n as u32) * 0.01, n, 7, 0.0);
        assert!(repeats.len() <= 2000);
    }
    assert!(repeats.get(1000.0, 99_499u64, 7).is_some() && repeats.get(1000.0, 99_499u64, 8).is_none());
    repeats.turned(1000.0, 99_499u64, 7, 0.0);
    assert_eq!(repeats.get(1000.0, 99_499u64, 7).map(|t| t.times), Some(2));
    repeats.served(99_499u64, 7);
    assert!(repeats.get(1000.0, 99_499u64, 7).is_none());
    // Two generations later it is forgotten.
    assert!(repeats.get(1000.0, 99_498u64, 7).is_some());
    assert!(repeats.get(7000.0, 99_498u64, 7).is_some() && repeats.get(13_000.0, 99_498u64, 7).is_none());
}

#[test]
fn who_comes_before_the_time_gains_nothing_and_loses_nothing() {
    let mut door = door(Settings::default());
    assert_eq!(door.request(0.0, 1, 0, 9, 1500.0), Verdict::Pass);
    let back = door.ended(10.0, 1, 9, RequestOutcome::Rejected, 200.0);
    assert!((200.0..=500.0).contains(&back));
    for at in [11.0, 50.0, 100.0, 199.0] {
        let Verdict::Refuse(left) = door.request(at, 1, 0, 9, 1000.0) else { panic!("let in at {at}") };
        assert!((at + left - 10.0 - back).abs() < 1e-6, "the same moment as before");
    }
    assert_eq!(door.counters.hasty, 4);
    assert_eq!(door.request(11.0 + back, 1, 0, 9, 1000.0), Verdict::Pass);
    // Another client, and another object, are no repeats.
    assert_eq!(door.request(12.0, 2, 0, 9, 1000.0), Verdict::Pass);
}

#[test]
fn a_storm_is_capped_and_let_go() {
    let mut door = door(Settings { budget: None, holds_hasty: false, ..Settings::default() });
    let mut now = 1e6;
    // 400 a second of which a tenth can be served, repeats many: for two seconds.
    let mut play = |door: &mut Admission, ms: u32, good: u64| {
        let mut passed = 0;
        for i in 0..u64::from(ms) * 2 / 5 {
            now += 2.5;
            if door.request(now, i % 50, 0, i % 3, 1000.0) == Verdict::Pass {
                passed += 1;
                let ended = if i % 10 < good { RequestOutcome::Served } else { RequestOutcome::Failed };
                door.ended(now, i % 50, i % 3, ended, 0.0);
            }
        }
        passed
    };
    play(&mut door, 2000, 1);
    let cap = door.cap().expect("a storm");
    assert!(cap < 100.0, "{cap}");
    assert!(play(&mut door, 1000, 1) < 120);
    // The cause is over.
    play(&mut door, 8000, 10);
    assert_eq!(door.cap(), None);
    assert_eq!(door.sizes()[0], 1, "one storm, not several");
}

#[test]
fn a_budget_is_what_it_earns() {
    let mut budget = Budget::new(BudgetLimits { share: 0.25, saved: 2.0 });
    assert_eq!((0..10).filter(|_| budget.spend()).count(), 1);
    (0..8).for_each(|_| budget.earn());
    assert_eq!((budget.left(), (0..10).filter(|_| budget.spend()).count()), (2, 2));
    budget.give_back();
    assert!(budget.spend() && !budget.spend());
}
