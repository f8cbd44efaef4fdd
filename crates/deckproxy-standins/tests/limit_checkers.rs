//! The judges of sums, leavers, starts and filled descriptors, each shown what it is to object to and what it is not.

use deckproxy_standins::limit_checkers::{
    CancellationChecker, DescriptorExhaustionChecker, SlowStartChecker, SlowStartLimits, StartupChecker,
};

#[test]
fn calls_beyond_the_budget_and_chance_are_seen_and_no_others() {
    // 16 calls of 100 ms fit a window.
    let member = SlowStartLimits {
        started_ms: 900.0,
        capacity: 3.2,
        initial_share: 0.25,
        ramp_ms: 1e9,
        multiple: 2.0,
        window_ms: 1000.0,
    };
    let fall = |calls: u32| {
        let mut judge = SlowStartChecker::default();
        (0..calls).for_each(|i| judge.record_call(900.0 + f64::from(i), 100.0));
        judge.first_overload(member)
    };
    assert_eq!(fall(26), None);
    let fall = fall(27).expect("16 + 2 x 4 + 2 are chance, one more is not");
    assert!((fall.budget - 16.0).abs() < 1e-3 && fall.calls == 27.0, "{fall:?}");
    // Spread over two windows the same calls are none too many.
    let mut judge = SlowStartChecker::default();
    (0..27).for_each(|i| judge.record_call(900.0 + 75.0 * f64::from(i), 100.0));
    assert_eq!(judge.first_overload(member), None);
}

#[test]
fn attempts_for_those_that_left_are_seen_from_the_third_on() {
    let mut judge = CancellationChecker::default();
    judge.client_left("a", 1000.0);
    judge.attempt_began("b", 1500.0);
    judge.attempt_began("a", 1100.0);
    assert!(judge.late_attempts().is_empty(), "another's, and in time");
    judge.attempt_began("a", 1101.0);
    judge.attempt_began("a", 1300.0);
    assert!(judge.late_attempts().len() == 2 && !judge.is_broken());
    judge.attempt_began("a", 1301.0);
    assert!(judge.is_broken(), "{:?}", judge.late_attempts());
}

#[test]
fn a_fleet_of_which_more_than_one_in_ten_is_late_or_never_ready_is_seen() {
    let hold = |late: usize, never: usize| {
        let mut judge = StartupChecker::default();
        (0..20 - late - never).for_each(|_| judge.record_start(Some(9_999.0)));
        (0..late).for_each(|_| judge.record_start(Some(10_001.0)));
        (0..never).for_each(|_| judge.record_start(None));
        judge.holds()
    };
    assert!(hold(0, 0) && hold(2, 0) && hold(0, 2) && hold(1, 1));
    assert!(!hold(3, 0) && !hold(0, 3) && !hold(2, 1));
    assert!(!StartupChecker::default().holds(), "nothing was started");
}

#[test]
fn newcomers_that_get_no_answer_and_a_watch_that_comes_late_or_never_are_seen() {
    let judge = |unanswered: usize, watched: Option<f64>| {
        let mut judge = DescriptorExhaustionChecker::default();
        (0..20).for_each(|i| judge.record_newcomer(i >= unanswered));
        judge.discovery_restored(1000.0);
        watched.into_iter().for_each(|at| judge.discovery_watched(at));
        judge.holds()
    };
    assert!(judge(0, Some(1001.0)) && judge(2, Some(4000.0)));
    assert!(!judge(3, Some(1001.0)), "three of twenty got no answer");
    assert!(!judge(0, Some(4001.0)) && !judge(0, None));
    assert!(!DescriptorExhaustionChecker::default().holds(), "nobody came");
}
