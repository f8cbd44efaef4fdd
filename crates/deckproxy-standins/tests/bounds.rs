//! The judges of sums, leavers, starts and filled descriptors, each shown what it is to object to and what it is not.

use deckproxy_standins::bounds::{ColdCalls, ColdMember, Filled, Leavers, Starts};

#[test]
fn calls_beyond_the_budget_and_chance_are_seen_and_no_others() {
    // 16 calls of 100 ms fit a window.
    let member =
        ColdMember { started: 900.0, weight: 3.2, from: 0.25, ramp: 1e9, multiple: 2.0, window: 1000.0 };
    let fall = |calls: u32| {
        let mut judge = ColdCalls::default();
        (0..calls).for_each(|i| judge.came(900.0 + f64::from(i), 100.0));
        judge.fall(member)
    };
    assert_eq!(fall(26), None);
    let fall = fall(27).expect("16 + 2 x 4 + 2 are chance, one more is not");
    assert!((fall.budget - 16.0).abs() < 1e-3 && fall.calls == 27.0, "{fall:?}");
    // Spread over two windows the same calls are none too many.
    let mut judge = ColdCalls::default();
    (0..27).for_each(|i| judge.came(900.0 + 75.0 * f64::from(i), 100.0));
    assert_eq!(judge.fall(member), None);
}

#[test]
fn attempts_for_those_that_left_are_seen_from_the_third_on() {
    let mut judge = Leavers::default();
    judge.left("a", 1000.0);
    judge.began("b", 1500.0);
    judge.began("a", 1100.0);
    assert!(judge.late().is_empty(), "another's, and in time");
    judge.began("a", 1101.0);
    judge.began("a", 1300.0);
    assert!(judge.late().len() == 2 && !judge.is_broken());
    judge.began("a", 1301.0);
    assert!(judge.is_broken(), "{:?}", judge.late());
}

#[test]
fn a_fleet_of_which_more_than_one_in_ten_is_late_or_never_ready_is_seen() {
    let hold = |late: usize, never: usize| {
        let mut judge = Starts::default();
        (0..20 - late - never).for_each(|_| judge.took(Some(9_999.0)));
        (0..late).for_each(|_| judge.took(Some(10_001.0)));
        (0..never).for_each(|_| judge.took(None));
        judge.hold()
    };
    assert!(hold(0, 0) && hold(2, 0) && hold(0, 2) && hold(1, 1));
    assert!(!hold(3, 0) && !hold(0, 3) && !hold(2, 1));
    assert!(!Starts::default().hold(), "nothing was started");
}

#[test]
fn newcomers_that_get_no_answer_and_a_watch_that_comes_late_or_never_are_seen() {
    let judge = |unanswered: usize, watched: Option<f64>| {
        let mut judge = Filled::default();
        (0..20).for_each(|i| judge.newcomer(i >= unanswered));
        judge.back(1000.0);
        watched.into_iter().for_each(|at| judge.watched(at));
        judge.holds()
    };
    assert!(judge(0, Some(1001.0)) && judge(2, Some(4000.0)));
    assert!(!judge(3, Some(1001.0)), "three of twenty got no answer");
    assert!(!judge(0, Some(4001.0)) && !judge(0, None));
    assert!(!Filled::default().holds(), "nobody came");
}
