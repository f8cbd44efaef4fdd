//! Properties of admission control and its parts, checked with random schedules.

use deckproxy_recovery::admission::{Admission, Class, RequestInfo, RequestOutcome, Settings, Verdict};
use deckproxy_recovery::budget::{Budget, Limits as BudgetLimits};
use deckproxy_recovery::class_shedding::{ClassShedding, Delays, Step};
use deckproxy_recovery::recovery_ramp::{Limits as RampLimits, RecoveryRamp};
use deckproxy_recovery::retries::{RequestKey, RetryTracker};
use deckproxy_recovery::retry_after::{Bounds, RetryAfterSchedule};
use deckproxy_recovery::retry_storm::{Limits as StormLimits, RetryStorm};
use proptest::prelude::*;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() }
}

fn admission(settings: Settings) -> Admission {
    let class = |priority_weight| Class { priority_weight, can_be_rejected: true, min_time_left: 100.0 };
    Admission::new(Settings { classes: vec![class(0.0), class(0.5), class(1.0)], ..settings }, 7)
}

fn key(client: u64, object: u64) -> RequestKey {
    RequestKey { client, object }
}

fn request(client: u64, class: usize, object: u64, time_left: f64) -> RequestInfo {
    RequestInfo { key: key(client, object), class, time_left }
}

proptest! {
    #![proptest_config(config(200))]

    /// However clients retry, the retries admitted are at most the budget's share of the admitted first
    /// attempts plus what a budget accumulates.
    #[test]
    fn amplification_is_bounded(
        steps in prop::collection::vec((0u64..40, 0usize..3, 0u64..6, 0u32..30, any::<bool>()), 1..800),
    ) {
        let mut admission = admission(Settings::default());
        let (mut now, mut first_attempts, mut retries) = (1e6, [0u64; 3], [0u64; 3]);
        for (client, class, object, later, served) in steps {
            now += f64::from(later);
            let before = admission.counters;
            let verdict = admission.request(now, request(client, class, object, 1000.0));
            let admitted = [admission.counters.admitted_first_attempts - before.admitted_first_attempts, admission.counters.admitted_retries - before.admitted_retries];
            prop_assert_eq!(verdict == Verdict::Admit, admitted[0] + admitted[1] == 1);
            first_attempts[class] += admitted[0];
            retries[class] += admitted[1];
            if verdict == Verdict::Admit {
                let outcome = if served { RequestOutcome::Served } else { RequestOutcome::Failed };
                admission.request_ended(now, key(client, object), outcome, 0.0);
            }
            if let Verdict::Reject { retry_after } = verdict {
                prop_assert!((1.0..=500.0).contains(&retry_after), "{}", retry_after);
            }
        }
        let limits = BudgetLimits::default();
        for class in 0..3 {
            prop_assert!(retries[class] as f64 <= first_attempts[class] as f64 * limits.share + limits.max_saved + 1e-6);
        }
    }

    /// Whatever happened before, once all admitted requests are served the storm ends within a bounded time:
    /// the lowest cap takes log(rate / min_cap) / log(increase) windows until it is not reached any more, and
    /// `calm_windows` further windows end the storm. 12 windows are added as a margin.
    #[test]
    fn all_is_admitted_again_when_the_cause_is_over(
        bad in prop::collection::vec((0u32..12, any::<bool>()), 0..3000),
        rate in 50.0f64..800.0,
    ) {
        let limits = StormLimits::default();
        let mut storm = RetryStorm::new(limits);
        let mut now = 0.0;
        for (later, served) in bad {
            now += f64::from(later);
            storm.count(now, |c| c.retries += 1);
            if storm.try_admit(now, 0.0) {
                storm.count(now, |c| { c.admitted += 1; if served { c.served += 1 } else { c.wasted += 1 } });
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        let windows = (rate / limits.min_cap).ln() / limits.increase.ln() + f64::from(limits.calm_windows) + 12.0;
        let end = now + windows * limits.window;
        while now < end {
            now += 1000.0 / rate;
            storm.count(now, |c| c.first_attempts += 1);
            if storm.try_admit(now, 0.0) {
                storm.count(now, |c| { c.admitted += 1; c.served += 1 });
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        prop_assert_eq!(storm.cap(), None, "after {} windows", windows);
    }

    /// In a storm requests of every class are admitted, and at least as many of a higher priority weight as of a lower.
    #[test]
    fn no_class_starves_in_a_storm(seed in any::<u64>()) {
        let mut storm = RetryStorm::new(StormLimits::default());
        let mut now = 0.0;
        let mut admitted = [0u32; 2];
        for i in 0..40_000u64 {
            now += 0.5;
            storm.count(now, |c| { c.first_attempts += 1; c.retries += 1 });
            let class = (i.wrapping_mul(seed | 1) >> 7) as usize % 2;
            if storm.try_admit(now, class as f64) {
                // Only a tenth of the admitted requests is served, so that the storm continues.
                storm.count(now, |c| { c.admitted += 1; if i % 10 == 0 { c.served += 1 } else { c.wasted += 1 } });
                if storm.cap().is_some() {
                    admitted[class] += 1;
                }
            } else {
                storm.count(now, |c| c.capped += 1);
            }
        }
        prop_assert!(storm.cap().is_some());
        prop_assert!(admitted[0] > 5 && admitted[1] >= admitted[0], "{:?}", admitted);
    }

    /// Clients that are rejected together retry within the bounds, and no interval has many more retries
    /// than its capacity as long as no slot is overbooked.
    #[test]
    fn retries_of_rejected_clients_are_spread(count in 1usize..400, rate in 20.0f64..2000.0, max in 300.0f64..5000.0) {
        let mut schedule = RetryAfterSchedule::new(3);
        let now = 1_700_000_000_123.0;
        let bounds = Bounds { min: 50.0, max };
        let mut times: Vec<f64> = (0..count).map(|_| schedule.schedule(now, bounds, rate)).collect();
        prop_assert!(times.iter().all(|time| (50.0..=max).contains(time)));
        times.sort_by(f64::total_cmp);
        if schedule.overbooked == 0 {
            // At most the capacity of 100 ms, that of the slots of 50 ms at both ends, and what carries over.
            for i in 0..times.len() {
                let within = times[i..].iter().take_while(|time| **time < times[i] + 100.0).count();
                prop_assert!(within as f64 <= rate * 0.2 + 4.0, "{} in 100 ms at {} a second", within, rate);
            }
        } else {
            prop_assert!(count as f64 > rate * (max - 200.0) / 1000.0 * 0.8 - 3.0, "{} found no capacity", schedule.overbooked);
        }
    }

    /// The level changes by one step, and not before the delay of the change has passed since the last one, however
    /// the pressure varies.
    #[test]
    fn class_shedding_never_flaps(pressures in prop::collection::vec((0.0f64..1.0, 1u32..400), 1..400)) {
        let step = |class, shed_from| Step { class, shed_from, restore_below: shed_from - 0.3 };
        let delays = Delays { shed_after: 1000.0, restore_after: 3000.0 };
        let mut shedding = ClassShedding::new(vec![step(0, 0.5), step(1, 0.7)], delays);
        let (mut now, mut last, mut changed) = (0.0, 0, -1e9);
        for (pressure, later) in pressures {
            now += f64::from(later);
            shedding.update(now, pressure);
            let level = shedding.level();
            if level != last {
                prop_assert_eq!(level.abs_diff(last), 1);
                let least = if level > last { delays.shed_after } else { delays.restore_after };
                prop_assert!(now - changed >= least, "{} ms after the last change", now - changed);
                (last, changed) = (level, now);
            }
        }
    }

    /// There are never more requests in flight than the ramp allows, and the ramp of an available target ends
    /// after few steps.
    #[test]
    fn a_ramp_begins_with_one_request_and_ends(steps in prop::collection::vec((any::<bool>(), any::<bool>(), 0u32..300), 0..200)) {
        let limits = RampLimits::default();
        let mut ramp = RecoveryRamp::new(limits);
        ramp.mark_lost(0.0);
        let (mut now, mut in_flight) = (0.0, 0u32);
        for (sends, success, later) in steps {
            now += f64::from(later);
            if sends {
                let acquired = ramp.try_acquire(now);
                in_flight += u32::from(acquired);
                prop_assert!(ramp.limit().is_none_or(|limit| in_flight <= limit.max(1) || !acquired));
            } else if in_flight > 0 {
                in_flight -= 1;
                ramp.release(now, success);
            }
        }
        (0..in_flight).for_each(|_| ramp.release(now, true));
        now += limits.max_backoff;
        let mut attempts = 0;
        while ramp.limit().is_some() {
            attempts += 1;
            prop_assert!(attempts < 400, "never full");
            if ramp.try_acquire(now) {
                ramp.release(now, true);
            }
        }
    }
}

#[test]
fn a_lost_target_gets_one_trial_request_however_many_wait() {
    let mut ramp = RecoveryRamp::new(RampLimits::default());
    ramp.mark_lost(0.0);
    assert!((0..100).all(|_| !ramp.try_acquire(50.0)));
    let acquired = (0..100).filter(|_| ramp.try_acquire(150.0)).count();
    assert_eq!(acquired, 1);
    ramp.release(160.0, false);
    // The trial failed: the backoff is longer, and one trial request is allowed after it.
    assert_eq!((0..100).filter(|_| ramp.try_acquire(300.0)).count(), 0);
    assert_eq!((0..100).filter(|_| ramp.try_acquire(400.0)).count(), 1);
    ramp.release(410.0, true);
    assert_eq!((0..100).filter(|_| ramp.try_acquire(411.0)).count(), 2);
}

#[test]
fn retries_are_detected_in_bounded_memory_until_the_request_is_served() {
    let mut retries = RetryTracker::new(1000, 5000.0, 1);
    for n in 0..99_500u64 {
        retries.record(f64::from(n as u32) * 0.01, key(n, 7), 0.0);
        assert!(retries.len() <= 2000);
    }
    assert!(
        retries.get(1000.0, key(99_499u64, 7)).is_some() && retries.get(1000.0, key(99_499u64, 8)).is_none()
    );
    retries.record(1000.0, key(99_499u64, 7), 0.0);
    assert_eq!(retries.get(1000.0, key(99_499u64, 7)).map(|rejection| rejection.count), Some(2));
    retries.remove(key(99_499u64, 7));
    assert!(retries.get(1000.0, key(99_499u64, 7)).is_none());
    // The record is dropped two generations later.
    assert!(retries.get(1000.0, key(99_498u64, 7)).is_some());
    assert!(
        retries.get(7000.0, key(99_498u64, 7)).is_some()
            && retries.get(13_000.0, key(99_498u64, 7)).is_none()
    );
}

#[test]
fn an_early_retry_does_not_change_the_retry_after_time() {
    let mut admission = admission(Settings::default());
    assert_eq!(admission.request(0.0, request(1, 0, 9, 1500.0)), Verdict::Admit);
    let retry_after = admission.request_ended(10.0, key(1, 9), RequestOutcome::Rejected, 200.0);
    assert!((200.0..=500.0).contains(&retry_after));
    for at in [11.0, 50.0, 100.0, 199.0] {
        let Verdict::Reject { retry_after: time_left } = admission.request(at, request(1, 0, 9, 1000.0))
        else {
            panic!("admitted at {at}")
        };
        assert!((at + time_left - 10.0 - retry_after).abs() < 1e-6, "the same moment as before");
    }
    assert_eq!(admission.counters.too_early, 4);
    assert_eq!(admission.request(11.0 + retry_after, request(1, 0, 9, 1000.0)), Verdict::Admit);
    // The same request of another client is not a retry.
    assert_eq!(admission.request(12.0, request(2, 0, 9, 1000.0)), Verdict::Admit);
}

#[test]
fn a_storm_is_capped_and_ends() {
    let mut admission =
        admission(Settings { retry_budget: None, enforces_retry_after: false, ..Settings::default() });
    let mut now = 1e6;
    // Sends 400 requests per second with many retries, of which `good` in ten are served.
    let mut send = |admission: &mut Admission, ms: u32, good: u64| {
        let mut admitted = 0;
        for i in 0..u64::from(ms) * 2 / 5 {
            now += 2.5;
            if admission.request(now, request(i % 50, 0, i % 3, 1000.0)) == Verdict::Admit {
                admitted += 1;
                let outcome = if i % 10 < good { RequestOutcome::Served } else { RequestOutcome::Failed };
                admission.request_ended(now, key(i % 50, i % 3), outcome, 0.0);
            }
        }
        admitted
    };
    send(&mut admission, 2000, 1);
    let cap = admission.cap().expect("a storm");
    assert!(cap < 100.0, "{cap}");
    assert!(send(&mut admission, 1000, 1) < 120);
    // From now on all requests are served.
    send(&mut admission, 8000, 10);
    assert_eq!(admission.cap(), None);
    assert_eq!(admission.status().storms, 1, "one storm, not several");
}

#[test]
fn a_budget_admits_no_more_retries_than_were_added() {
    let mut budget = Budget::new(BudgetLimits { share: 0.25, max_saved: 2.0 });
    assert_eq!((0..10).filter(|_| budget.spend()).count(), 1);
    (0..8).for_each(|_| budget.earn());
    assert_eq!((budget.available(), (0..10).filter(|_| budget.spend()).count()), (2, 2));
    budget.refund();
    assert!(budget.spend() && !budget.spend());
}
