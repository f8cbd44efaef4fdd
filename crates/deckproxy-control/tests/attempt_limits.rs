//! Limits of attempts: one final answer, and no effect twice.

mod common;
use common::*;
use deckproxy_control::interface::*;

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once_and_once() {
    let mut rig = Rig::new();
    let id = rig.request(SMALL, 5, 0);
    let home = rig.sends()[0].member;
    rig.now += 5000.0;
    rig.end(id, 0, home, AttemptEnding::Timeout);
    assert!(rejected(&rig.actions, id));
    assert!(rig.sends().is_empty());
    rig.end(id, 0, home, AttemptEnding::Timeout);
    assert!(rig.actions.is_empty());
}

#[test]
fn a_request_never_makes_more_attempts_than_allowed() {
    let mut rig = Rig::with(Settings { max_attempts: 3, ..settings() }, everyone());
    let id = rig.request(SMALL, 5, 0);
    for attempt in 0..3 {
        assert_eq!(rig.sends().len(), 1);
        let at = rig.sends()[0].member;
        rig.end(id, attempt, at, AttemptEnding::Reset);
    }
    assert!(rig.sends().is_empty() && rejected(&rig.actions, id));
}

#[test]
fn nothing_is_sent_for_a_request_that_has_ended() {
    let mut rig = Rig::new();
    let id = rig.request(SMALL, 5, 0);
    let home = rig.sends()[0].member;
    rig.event(Event::ClientGone(id));
    rig.end(id, 0, home, AttemptEnding::Miss);
    assert!(rig.actions.is_empty());
}

#[test]
fn a_rejection_advises_a_retry_time_only_where_allowed() {
    for (retry_after, most) in [(true, 1000.0), (true, 100.0), (false, 1000.0)] {
        let mut rig = Rig::with(Settings { retry_after, max_retry_after: most, ..settings() }, vec![]);
        rig.request(SMALL, 5, 0);
        let Action::Reject { retry_after: at, .. } = rig.actions[0] else { panic!("not refused") };
        assert_eq!(at > 0.0, retry_after);
        assert!(at <= most);
    }
}

#[test]
fn a_stream_that_has_begun_is_not_sent_again() {
    let mut rig = Rig::new();
    let id = rig.request(SMALL, 5, 0);
    let home = rig.sends()[0].member;
    rig.event(Event::StreamStarted { request: id, attempt: 0 });
    rig.end(id, 0, home, AttemptEnding::Reset);
    assert!(rig.sends().is_empty());
}

/// It would never be answered: the next run of the timer is after its deadline.
#[test]
fn a_request_that_fails_just_before_its_deadline_does_not_wait() {
    for left in [0.5, 3.0, 15.0, 40.0] {
        let mut rig = Rig::new();
        let (leader, cache) = rig.request_and_miss(SMALL, 5);
        rig.now += 4000.0;
        let (waiter, _) = rig.request_and_miss(SMALL, 5);
        rig.now += 1000.0 - left;
        rig.end(leader, 1, cache, AttemptEnding::Error);
        let sends: Vec<RequestId> = rig.sends().iter().map(|sent| sent.request).collect();
        assert!(sends.contains(&waiter));
        assert!(sends.contains(&leader) || rejected(&rig.actions, leader), "{left}");
    }
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    for never in [AttemptEnding::Rejected, AttemptEnding::ConnectFailed, AttemptEnding::Miss] {
        let mut rig = Rig::new();
        let id = rig.request(UNSAFE, 5, 0);
        rig.end(id, 0, THE_ORIGIN, never);
        assert!(rig.sends().len() == 1 || rejected(&rig.actions, id), "{never:?}");
    }
    for maybe in
        [AttemptEnding::Error, AttemptEnding::Timeout, AttemptEnding::Reset, AttemptEnding::Cancelled]
    {
        let mut rig = Rig::new();
        let id = rig.request(UNSAFE, 5, 0);
        rig.end(id, 0, THE_ORIGIN, maybe);
        assert!(rig.sends().is_empty() && failed(&rig.actions, id), "{maybe:?}");
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_window_from_the_first_send() {
    for (at, again) in [(1990.0, true), (2000.0, false)] {
        let mut rig = Rig::new();
        let id = rig.request(KEYED, 5, 0);
        rig.now += at;
        rig.end(id, 0, THE_ORIGIN, AttemptEnding::Timeout);
        assert_eq!(!rig.sends().is_empty(), again, "{at}");
        // Refusing does no harm: every member drops its repeats.
        assert_eq!(rejected(&rig.actions, id), !again);
    }
}

#[test]
fn a_keyed_request_stays_in_its_group_and_is_then_failed_not_rejected() {
    let mut s = settings();
    s.classes[KEYED].group = Group::Cell;
    let members = everyone().into_iter().map(|m| Member { cell: m.id, ..m }).collect();
    let mut rig = Rig::with(s, members);
    let id = rig.request(KEYED, 5, 0);
    rig.end(id, 0, THE_ORIGIN, AttemptEnding::Reset);
    assert!(rig.sends().iter().all(|sent| sent.member == THE_ORIGIN));
    if rig.sends().is_empty() {
        assert!(failed(&rig.actions, id) && !rejected(&rig.actions, id));
    }
}
