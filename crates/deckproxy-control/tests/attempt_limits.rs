//! Limits of attempts: one final answer, and no duplicate execution of requests that are not idempotent.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once_and_only_once() {
    let mut harness = Harness::new();
    let id = harness.request(SMALL, 5, 0);
    let home = harness.sends()[0].member;
    harness.now += 5000.0;
    harness.end(id, 0, home, AttemptEnding::Timeout);
    assert!(is_rejected(&harness.actions, id));
    assert!(harness.sends().is_empty());
    harness.end(id, 0, home, AttemptEnding::Timeout);
    assert!(harness.actions.is_empty());
}

#[test]
fn a_request_never_makes_more_attempts_than_allowed() {
    let mut harness = Harness::with(Settings { max_attempts: 3, ..settings() }, all_members());
    let id = harness.request(SMALL, 5, 0);
    for attempt in 0..3 {
        assert_eq!(harness.sends().len(), 1);
        let at = harness.sends()[0].member;
        harness.end(id, attempt, at, AttemptEnding::Reset);
    }
    assert!(harness.sends().is_empty() && is_rejected(&harness.actions, id));
}

#[test]
fn nothing_is_sent_for_a_request_that_has_ended() {
    let mut harness = Harness::new();
    let id = harness.request(SMALL, 5, 0);
    let home = harness.sends()[0].member;
    harness.event(Event::ClientGone(id));
    harness.end(id, 0, home, AttemptEnding::Miss);
    assert!(harness.actions.is_empty());
}

#[test]
fn a_rejection_advises_a_retry_delay_only_if_allowed() {
    for (retry_after, max_delay) in [(true, 1000.0), (true, 100.0), (false, 1000.0)] {
        let mut harness =
            Harness::with(Settings { retry_after, max_retry_after: max_delay, ..settings() }, vec![]);
        harness.request(SMALL, 5, 0);
        let Action::Reject { retry_after: at, .. } = harness.actions[0] else { panic!("not rejected") };
        assert_eq!(at > 0.0, retry_after);
        assert!(at <= max_delay);
    }
}

#[test]
fn a_stream_that_has_begun_is_not_sent_again() {
    let mut harness = Harness::new();
    let id = harness.request(SMALL, 5, 0);
    let home = harness.sends()[0].member;
    harness.event(Event::StreamStarted { request: id, attempt: 0 });
    harness.end(id, 0, home, AttemptEnding::Reset);
    assert!(harness.sends().is_empty());
}

/// A request that waited here would never be answered, as the next run of the timer is after its
/// deadline.
#[test]
fn a_request_that_fails_just_before_its_deadline_does_not_wait() {
    for left in [0.5, 3.0, 15.0, 40.0] {
        let mut harness = Harness::new();
        let (leader, cache) = harness.request_and_miss(SMALL, 5);
        harness.now += 4000.0;
        let (waiter, _) = harness.request_and_miss(SMALL, 5);
        harness.now += 1000.0 - left;
        harness.end(leader, 1, cache, AttemptEnding::Error);
        let sends: Vec<RequestId> = harness.sends().iter().map(|sent| sent.request).collect();
        assert!(sends.contains(&waiter));
        assert!(sends.contains(&leader) || is_rejected(&harness.actions, leader), "{left}");
    }
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    for never in [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::Miss] {
        let mut harness = Harness::new();
        let id = harness.request(NOT_IDEMPOTENT, 5, 0);
        harness.end(id, 0, ORIGIN_ID, never);
        assert!(harness.sends().len() == 1 || is_rejected(&harness.actions, id), "{never:?}");
    }
    for maybe in
        [AttemptEnding::Error, AttemptEnding::Timeout, AttemptEnding::Reset, AttemptEnding::Cancelled]
    {
        let mut harness = Harness::new();
        let id = harness.request(NOT_IDEMPOTENT, 5, 0);
        harness.end(id, 0, ORIGIN_ID, maybe);
        assert!(harness.sends().is_empty() && is_failed(&harness.actions, id), "{maybe:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_window_from_the_first_send() {
    for (at, again) in [(1990.0, true), (2000.0, false)] {
        let mut harness = Harness::new();
        let id = harness.request(KEYED, 5, 0);
        harness.now += at;
        harness.end(id, 0, ORIGIN_ID, AttemptEnding::Timeout);
        assert_eq!(!harness.sends().is_empty(), again, "{at}");
        assert_eq!(is_failed(&harness.actions, id), !again, "{at}");
        assert!(!is_rejected(&harness.actions, id), "{at}");
    }
}

/// Guards against a client that obeys a rejection after the members have forgotten the key: its retry ran a
/// second time.
#[test]
fn a_keyed_request_that_may_have_run_is_failed_not_rejected_at_any_time() {
    for at in [10.0, 1990.0, 2000.0, 4990.0] {
        for maybe in [AttemptEnding::Error, AttemptEnding::Timeout, AttemptEnding::Reset] {
            let mut harness = Harness::with(Settings { max_attempts: 1, ..settings() }, all_members());
            let id = harness.request(KEYED, 5, 0);
            harness.now += at;
            harness.end(id, 0, ORIGIN_ID, maybe);
            assert!(harness.sends().is_empty(), "{at} {maybe:?}");
            assert!(is_failed(&harness.actions, id) && !is_rejected(&harness.actions, id), "{at} {maybe:?}");
        }
    }
}

/// A rejection by a later member proves nothing about the earlier attempt.
#[test]
fn a_keyed_request_that_may_have_run_is_failed_after_a_later_rejection() {
    let mut harness = Harness::with(Settings { max_attempts: 2, ..settings() }, all_members());
    let id = harness.request(KEYED, 5, 0);
    harness.end(id, 0, ORIGIN_ID, AttemptEnding::Reset);
    let retry = harness.sends()[0];
    harness.end(id, 1, retry.member, AttemptEnding::Rejected);
    assert!(is_failed(&harness.actions, id) && !is_rejected(&harness.actions, id));
}

#[test]
fn a_keyed_request_that_never_ran_is_rejected() {
    for never in [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::NotSent] {
        let mut harness = Harness::with(Settings { max_attempts: 1, ..settings() }, all_members());
        let id = harness.request(KEYED, 5, 0);
        harness.end(id, 0, ORIGIN_ID, never);
        assert!(is_rejected(&harness.actions, id), "{never:?}");
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_is_then_failed_not_rejected() {
    let mut s = settings();
    s.classes[KEYED].group = Group::Cell;
    let members = all_members().into_iter().map(|m| Member { cell: m.id, ..m }).collect();
    let mut harness = Harness::with(s, members);
    let id = harness.request(KEYED, 5, 0);
    harness.end(id, 0, ORIGIN_ID, AttemptEnding::Reset);
    assert!(harness.sends().iter().all(|sent| sent.member == ORIGIN_ID));
    if harness.sends().is_empty() {
        assert!(is_failed(&harness.actions, id) && !is_rejected(&harness.actions, id));
    }
}
