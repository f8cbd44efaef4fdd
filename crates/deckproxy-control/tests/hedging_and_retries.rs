//! Hedged requests and the retry budget.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// An answer that was lost must not leave its request waiting until the client's deadline.
#[test]
fn a_late_attempt_of_known_size_is_hedged() {
    for hedged_requests in [true, false] {
        let mut rig = Rig::with(Settings { hedged_requests, ..settings() }, everyone());
        let id = rig.request(SMALL, 5, 0);
        let cache = rig.sends()[0].member;
        let start = rig.now;
        rig.sweep_until(start + 300.0);
        assert!(rig.sends().is_empty(), "not yet late");
        rig.sweep_until(start + 400.0);
        assert_eq!(rig.sends().len(), usize::from(hedged_requests));
        if hedged_requests {
            assert_eq!(rig.sends()[0].member, cache, "it may have the copy by now");
            rig.sweep_until(start + 2000.0);
            assert!(rig.sends().is_empty(), "two at most");
            rig.end(id, 1, cache, AttemptEnding::Served);
            assert!(rig.actions.contains(&Action::Cancel { request: id, attempt: 0 }));
            rig.end(id, 0, cache, AttemptEnding::Cancelled);
            assert!(rig.sends().is_empty());
        }
    }
}

#[test]
fn a_write_is_never_hedged() {
    let mut rig = Rig::with(Settings { hedged_requests: true, ..settings() }, everyone());
    rig.request(KEYED, 5, 0);
    let start = rig.now;
    rig.sweep_until(start + 3000.0);
    assert!(rig.sends().is_empty());
}

/// They must not wait for the leader's first attempt.
#[test]
fn waiters_are_released_when_the_hedged_request_is_answered() {
    let mut rig = Rig::with(Settings { hedged_requests: true, ..settings() }, everyone());
    let (leader, cache) = rig.request_and_miss(SMALL, 5);
    let (waiter, _) = rig.request_and_miss(SMALL, 5);
    let start = rig.now;
    rig.sweep_until(start + 500.0);
    assert_eq!(rig.sends()[0].request, leader);
    rig.end(leader, 2, cache, AttemptEnding::Served);
    assert_eq!(rig.sends()[0].request, waiter);
}

/// Many routers with large budgets would make a retry storm.
#[test]
fn the_retry_budget_is_small() {
    let mut rig = Rig::new();
    let mut further = 0;
    for object in 0..40 {
        let id = rig.request(SMALL, object, 0);
        let mut attempt = 0;
        while let Some(SentAttempt { member: at, .. }) = rig.sends().first().copied() {
            rig.end(id, attempt, at, AttemptEnding::Rejected);
            attempt += 1;
        }
        further += attempt.saturating_sub(1);
    }
    assert!((5..=5 + 12).contains(&further), "{further}");
}

/// Both of one request's look-ups missed; it must not wait twice.
#[test]
fn of_two_missed_lookups_one_waits_or_leads() {
    let mut rig = Rig::with(Settings { hedged_requests: true, ..settings() }, everyone());
    let twice = rig.request(SMALL, 5, 0);
    let cache = rig.sends()[0].member;
    let start = rig.now;
    rig.sweep_until(start + 400.0);
    assert_eq!(rig.sends().len(), 1);
    let (leader, _) = rig.request_and_miss(SMALL, 5);
    rig.end(twice, 1, cache, AttemptEnding::Miss);
    rig.end(twice, 0, cache, AttemptEnding::Miss);
    assert!(rig.sends().is_empty(), "it waits");
    rig.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(rig.sends().len(), 1, "and goes once");
    rig.end(twice, 2, cache, AttemptEnding::Served);
    let alone = rig.request(SMALL, 6, 0);
    let cache = rig.sends()[0].member;
    let start = rig.now;
    rig.sweep_until(start + 400.0);
    rig.end(alone, 1, cache, AttemptEnding::Miss);
    assert_eq!(rig.sends().len(), 1, "it leads");
    rig.end(alone, 0, cache, AttemptEnding::Miss);
    assert!(rig.sends().is_empty(), "once");
}
