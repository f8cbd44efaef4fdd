//! Outlier ejection: members that fail or fall silent are ejected, and no others.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// Requests fail over to the next cache in the object's order, and a half-open trial readmits the member.
#[test]
fn a_silent_member_is_ejected_and_its_attempts_are_cancelled() {
    let mut harness = Harness::new();
    let silent = harness.home_of(5);
    let requests: Vec<RequestId> = (0..5).map(|_| harness.request(SMALL, 5, 0)).collect();
    let start = harness.now;
    harness.run_timer_until(start + 600.0);
    assert!(
        !harness.actions.iter().any(|a| matches!(a, Action::Cancel { .. })),
        "not silent long enough yet"
    );
    harness.run_timer_until(start + 1000.0);
    let cancelled = harness.actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancelled, requests.len());
    harness.end(requests[0], 0, silent, AttemptEnding::Cancelled);
    assert!(harness.sends()[0].member != silent);
    assert_ne!(harness.home_of(5), silent, "other requests use the next cache in the object's order");
    // After the ejection one request at a time is sent to the member as a trial.
    harness.now += 1001.0;
    let trial = harness.request(SMALL, 5, 0);
    assert_eq!(harness.sends()[0].member, silent);
    harness.request(SMALL, 5, 0);
    assert_ne!(harness.sends()[0].member, silent);
    harness.end(trial, 0, silent, AttemptEnding::Served);
    assert_eq!(harness.home_of(5), silent);
}

/// A broken connection ends many attempts at once, which must count as one failure.
#[test]
fn simultaneous_failures_count_once() {
    let mut harness = Harness::new();
    let member = harness.home_of(5);
    let requests: Vec<RequestId> = (0..8).map(|_| harness.request(SMALL, 5, 0)).collect();
    harness.now += 20.0;
    for id in &requests {
        harness.end(*id, 0, member, AttemptEnding::Reset);
    }
    assert_eq!(harness.home_of(5), member, "the member still receives requests");
    // Consecutive failures at different times eject the member.
    let mut members = Vec::new();
    for _ in 0..8 {
        harness.now += 20.0;
        let id = harness.request(SMALL, 5, 0);
        members.push(harness.sends()[0].member);
        harness.end(id, 0, members[members.len() - 1], AttemptEnding::Reset);
    }
    assert!(members[0] == member && members[7] != member, "{members:?}");
}

/// One faulty request must not eject the origin or use up the retry budget of valid requests.
#[test]
fn a_request_that_fails_at_every_member_ejects_none_and_is_given_up() {
    let mut harness = Harness::new();
    for object in 0..40 {
        let id = harness.request(SMALL, object, 0);
        let mut attempts = 0;
        while let Some(SentAttempt { member, .. }) = harness.sends().first().copied() {
            harness.end(id, attempts, member, AttemptEnding::Error);
            attempts += 1;
        }
        assert!(attempts <= 3 && is_rejected(&harness.actions, id), "{attempts}");
        // Valid requests succeed in between.
        harness.home_of(object + 100);
        harness.now += 50.0;
    }
    let id = harness.request(KEYED, 5, 0);
    assert_eq!(
        harness.sends(),
        [SentAttempt { request: id, member: ORIGIN_ID, source: None }],
        "the origin is not ejected"
    );
}

/// Clients that disconnect early must not cause ejections.
#[test]
fn attempts_cancelled_before_they_are_late_are_no_evidence_of_silence() {
    let mut harness = Harness::new();
    let member = harness.home_of(5);
    for _ in 0..40 {
        let id = harness.request(SMALL, 5, 0);
        harness.now += 60.0;
        harness.event(Event::ClientGone(id));
        harness.end(id, 0, member, AttemptEnding::Cancelled);
        let logged = harness.event(Event::Timer(0)).iter().any(|a| matches!(a, Action::Log(_)));
        assert!(!logged, "{member} is ejected");
    }
    assert_eq!(harness.home_of(5), member);
}

/// No other member can replace the origin: if it were ejected, writes could not be executed.
#[test]
fn a_failing_origin_is_never_ejected() {
    let mut harness = Harness::new();
    for _ in 0..10 {
        let id = harness.request(KEYED, 5, 0);
        assert_eq!(harness.sends(), [SentAttempt { request: id, member: ORIGIN_ID, source: None }]);
        harness.end(id, 0, ORIGIN_ID, AttemptEnding::Reset);
        harness.now += 50.0;
    }
}

#[test]
fn a_member_that_answers_other_requests_is_not_silent() {
    let mut harness = Harness::new();
    let member = harness.home_of(5);
    for _ in 0..5 {
        harness.request(LARGE, 5, 0);
    }
    harness.now += 500.0;
    let id = harness.request(SMALL, 5, 0);
    harness.end(id, 0, member, AttemptEnding::Served);
    let now = harness.now;
    harness.run_timer_until(now + 600.0);
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

/// If all caches are silent, requests are sent to the parents.
#[test]
fn a_silent_location_is_bypassed() {
    let mut harness = Harness::new();
    for object in 0..40 {
        harness.request(SMALL, object, 0);
    }
    let start = harness.now;
    harness.run_timer_until(start + 1000.0);
    harness.request(SMALL, 5, 0);
    assert!(PARENTS.contains(&harness.sends()[0].member));
}

/// Failures spread evenly over all members indicate no outlier; ejecting members in turn would move the
/// objects' home caches.
#[test]
fn scattered_failures_eject_no_member() {
    let mut harness = Harness::new();
    for object in 0..400 {
        let id = harness.request(SMALL, object, 0);
        let at = harness.sends()[0].member;
        let ending = if object % 4 == 0 { AttemptEnding::Reset } else { AttemptEnding::Served };
        harness.end(id, 0, at, ending);
        assert!(
            !harness.actions.iter().any(|a| matches!(a, Action::Log(_))),
            "{object}: {:?}",
            harness.actions
        );
        if ending == AttemptEnding::Reset {
            let next = harness.sends()[0].member;
            harness.end(id, 1, next, AttemptEnding::Served);
        }
    }
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Log(_))));
    let homes: Vec<MemberId> = (0..40).map(|o| harness.home_of(o)).collect();
    assert!(CACHES.iter().all(|c| homes.contains(c)));
}

/// A router that stalled has not processed any answers; this must not be taken for silence of the
/// members.
#[test]
fn a_router_that_stalled_ejects_no_member() {
    for (is_stalled, cancels) in [(true, false), (false, true)] {
        let mut harness = Harness::new();
        for object in 0..40 {
            harness.request(SMALL, object, 0);
        }
        let mut cancelled = false;
        let end = harness.now + 1000.0;
        while harness.now < end {
            harness.now += if is_stalled { 1000.0 } else { 20.0 };
            let now = harness.now;
            harness.run_timer_at(now);
            cancelled |= harness.actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        }
        assert_eq!(cancelled, cancels);
    }
}

/// Fills fail over to the origin without using up the retry budget.
#[test]
fn sources_that_reject_every_fill_are_bypassed() {
    let mut harness = Harness::new();
    for object in 0..60 {
        let (id, cache) = harness.request_and_miss(SMALL, object);
        let mut attempt = 1;
        while let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() {
            let ending =
                if PARENTS.contains(&source) { AttemptEnding::Rejected } else { AttemptEnding::Served };
            harness.end(id, attempt, cache, ending);
            attempt += 1;
        }
    }
    let (_, _) = harness.request_and_miss(SMALL, 999);
    assert_eq!(harness.sends()[0].source, Some(ORIGIN_ID), "the parents are bypassed");
}

/// The origin rejects the parents' fetches, but the parents can still serve their copies.
#[test]
fn parents_are_not_ejected_while_the_origin_fails() {
    for (origin_fails, source_is_parent) in [(true, true), (false, false)] {
        let mut harness = Harness::new();
        for object in 0..80 {
            let write = harness.request(KEYED, object, 0);
            harness.end(
                write,
                0,
                ORIGIN_ID,
                if origin_fails { AttemptEnding::Rejected } else { AttemptEnding::Served },
            );
            harness.event(Event::ClientGone(write));
            let (id, cache) = harness.request_and_miss(SMALL, object);
            let mut attempt = 1;
            while let Some(SentAttempt { source: Some(source), .. }) = harness.sends().first().copied() {
                let ok = source == ORIGIN_ID && !origin_fails;
                harness.end(
                    id,
                    attempt,
                    cache,
                    if ok { AttemptEnding::Served } else { AttemptEnding::Rejected },
                );
                attempt += 1;
            }
        }
        harness.request_and_miss(SMALL, 999);
        assert_eq!(
            harness
                .sends()
                .first()
                .is_some_and(|sent| sent.source.is_some_and(|source| PARENTS.contains(&source))),
            source_is_parent
        );
    }
}
