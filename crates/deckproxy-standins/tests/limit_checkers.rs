//! Each checker detects the violations that it is for, and accepts what the limits allow.

use deckproxy_standins::limit_checkers::{
    CancellationChecker, DescriptorExhaustionChecker, SlowStartChecker, SlowStartLimits, StartupChecker,
};

#[test]
fn slow_start_checker_detects_calls_beyond_budget_and_chance() {
    // 16 calls of 100 ms fit a window.
    let limits = SlowStartLimits {
        started_ms: 900.0,
        capacity: 3.2,
        initial_share: 0.25,
        ramp_ms: 1e9,
        multiple: 2.0,
        window_ms: 1000.0,
    };
    let overload_of = |calls: u32| {
        let mut checker = SlowStartChecker::default();
        (0..calls).for_each(|i| checker.record_call(900.0 + f64::from(i), 100.0));
        checker.first_overload(limits)
    };
    assert_eq!(overload_of(26), None);
    let overload = overload_of(27).expect("16 + 2 x 4 + 2 are chance, one more is not");
    assert!((overload.budget - 16.0).abs() < 1e-3 && overload.calls == 27.0, "{overload:?}");
    // Spread over two windows the same calls are allowed.
    let mut checker = SlowStartChecker::default();
    (0..27).for_each(|i| checker.record_call(900.0 + 75.0 * f64::from(i), 100.0));
    assert_eq!(checker.first_overload(limits), None);
}

#[test]
fn cancellation_checker_is_broken_from_the_third_late_attempt() {
    let mut checker = CancellationChecker::default();
    checker.client_left("a", 1000.0);
    checker.attempt_began("b", 1500.0);
    checker.attempt_began("a", 1100.0);
    assert!(checker.late_attempts().is_empty(), "another's, and in time");
    checker.attempt_began("a", 1101.0);
    checker.attempt_began("a", 1300.0);
    assert!(checker.late_attempts().len() == 2 && !checker.is_broken());
    checker.attempt_began("a", 1301.0);
    assert!(checker.is_broken(), "{:?}", checker.late_attempts());
}

#[test]
fn startup_checker_detects_more_than_one_in_ten_late_or_never_ready() {
    let holds = |late: usize, never: usize| {
        let mut checker = StartupChecker::default();
        (0..20 - late - never).for_each(|_| checker.record_start(Some(9_999.0)));
        (0..late).for_each(|_| checker.record_start(Some(10_001.0)));
        (0..never).for_each(|_| checker.record_start(None));
        checker.holds()
    };
    assert!(holds(0, 0) && holds(2, 0) && holds(0, 2) && holds(1, 1));
    assert!(!holds(3, 0) && !holds(0, 3) && !holds(2, 1));
    assert!(!StartupChecker::default().holds(), "nothing was started");
}

#[test]
fn exhaustion_checker_detects_unanswered_clients_and_late_watch() {
    let holds_with = |unanswered: usize, watched: Option<f64>| {
        let mut checker = DescriptorExhaustionChecker::default();
        (0..20).for_each(|i| checker.record_newcomer(i >= unanswered));
        checker.discovery_restored(1000.0);
        if let Some(at) = watched {
            checker.discovery_watched(at);
        }
        checker.holds()
    };
    assert!(holds_with(0, Some(1001.0)) && holds_with(2, Some(4000.0)));
    assert!(!holds_with(3, Some(1001.0)), "three of twenty got no answer");
    assert!(!holds_with(0, Some(4001.0)) && !holds_with(0, None));
    assert!(!DescriptorExhaustionChecker::default().holds(), "nobody came");
}
