//! Hedged requests and the retry budget.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// A lost answer must not leave its request waiting until the client's deadline.
#[test]
fn a_late_attempt_of_known_size_is_hedged() {
    for hedged_requests in [true, false] {
        let mut harness = Harness::with(Settings { hedged_requests, ..settings() }, all_members());
        let id = harness.request(SMALL, 5, 0);
        let cache = harness.sends()[0].member;
        let start = harness.now;
        harness.run_timer_until(start + 300.0);
        assert!(harness.sends().is_empty(), "the attempt is not late yet");
        harness.run_timer_until(start + 400.0);
        assert_eq!(harness.sends().len(), usize::from(hedged_requests));
        if hedged_requests {
            assert_eq!(harness.sends()[0].member, cache, "the cache may have the copy by now");
            harness.run_timer_until(start + 2000.0);
            assert!(harness.sends().is_empty(), "at most two attempts in flight");
            harness.end(id, 1, cache, AttemptEnding::Served);
            assert!(harness.actions.contains(&Action::Cancel { request: id, attempt: 0 }));
            harness.end(id, 0, cache, AttemptEnding::Cancelled);
            assert!(harness.sends().is_empty());
        }
    }
}

#[test]
fn a_write_is_never_hedged() {
    let mut harness = Harness::with(Settings { hedged_requests: true, ..settings() }, all_members());
    harness.request(KEYED, 5, 0);
    let start = harness.now;
    harness.run_timer_until(start + 3000.0);
    assert!(harness.sends().is_empty());
}

/// The waiters must not wait for the leader's first attempt.
#[test]
fn waiters_are_released_when_the_hedged_request_is_answered() {
    let mut harness = Harness::with(Settings { hedged_requests: true, ..settings() }, all_members());
    let (leader, cache) = harness.request_and_miss(SMALL, 5);
    let (waiter, _) = harness.request_and_miss(SMALL, 5);
    let start = harness.now;
    harness.run_timer_until(start + 500.0);
    assert_eq!(harness.sends()[0].request, leader);
    harness.end(leader, 2, cache, AttemptEnding::Served);
    assert_eq!(harness.sends()[0].request, waiter);
}

/// Large retry budgets at many routers would cause a retry storm.
#[test]
fn the_retry_budget_is_small() {
    let mut harness = Harness::new();
    let mut retries = 0;
    for object in 0..40 {
        let id = harness.request(SMALL, object, 0);
        let mut attempt = 0;
        while let Some(SentAttempt { member: at, .. }) = harness.sends().first().copied() {
            harness.end(id, attempt, at, AttemptEnding::Rejected);
            attempt += 1;
        }
        retries += attempt.saturating_sub(1);
    }
    assert!((5..=5 + 12).contains(&retries), "{retries}");
}

/// After both look-ups of one request missed, the request must not wait or lead a second time.
#[test]
fn of_two_missed_lookups_one_waits_or_leads() {
    let mut harness = Harness::with(Settings { hedged_requests: true, ..settings() }, all_members());
    let hedged = harness.request(SMALL, 5, 0);
    let cache = harness.sends()[0].member;
    let start = harness.now;
    harness.run_timer_until(start + 400.0);
    assert_eq!(harness.sends().len(), 1);
    let (leader, _) = harness.request_and_miss(SMALL, 5);
    harness.end(hedged, 1, cache, AttemptEnding::Miss);
    harness.end(hedged, 0, cache, AttemptEnding::Miss);
    assert!(harness.sends().is_empty(), "the request waits");
    harness.end(leader, 1, cache, AttemptEnding::Served);
    assert_eq!(harness.sends().len(), 1, "and is sent once");
    harness.end(hedged, 2, cache, AttemptEnding::Served);
    let single = harness.request(SMALL, 6, 0);
    let cache = harness.sends()[0].member;
    let start = harness.now;
    harness.run_timer_until(start + 400.0);
    harness.end(single, 1, cache, AttemptEnding::Miss);
    assert_eq!(harness.sends().len(), 1, "the request leads a fill");
    harness.end(single, 0, cache, AttemptEnding::Miss);
    assert!(harness.sends().is_empty(), "only once");
}
