//! Outlier ejection: members that fail or fall silent are ejected, and no others.

mod common;
use common::*;
use deckproxy_control::interface::*;

/// Requests go on to the next cache in the object's order, and a half-open trial recovers the member.
#[test]
fn a_silent_member_is_ejected_and_its_attempts_are_cancelled() {
    let mut rig = Rig::new();
    let silent = rig.home_of(5);
    let requests: Vec<RequestId> = (0..5).map(|_| rig.request(SMALL, 5, 0)).collect();
    let start = rig.now;
    rig.sweep_until(start + 600.0);
    assert!(!rig.actions.iter().any(|a| matches!(a, Action::Cancel { .. })), "not yet");
    rig.sweep_until(start + 1000.0);
    let cancelled = rig.actions.iter().filter(|a| matches!(a, Action::Cancel { .. })).count();
    assert_eq!(cancelled, requests.len());
    rig.end(requests[0], 0, silent, AttemptEnding::Cancelled);
    assert!(rig.sends()[0].member != silent);
    assert_ne!(rig.home_of(5), silent, "others go to the next in the object's order");
    // After a while one request at a time tries it.
    rig.now += 1001.0;
    let trial = rig.request(SMALL, 5, 0);
    assert_eq!(rig.sends()[0].member, silent);
    rig.request(SMALL, 5, 0);
    assert_ne!(rig.sends()[0].member, silent);
    rig.end(trial, 0, silent, AttemptEnding::Served);
    assert_eq!(rig.home_of(5), silent);
}

/// A broken connection ends many attempts at once; that is one failure.
#[test]
fn failures_of_one_instant_count_once() {
    let mut rig = Rig::new();
    let member = rig.home_of(5);
    let requests: Vec<RequestId> = (0..8).map(|_| rig.request(SMALL, 5, 0)).collect();
    rig.now += 20.0;
    for id in &requests {
        rig.end(*id, 0, member, AttemptEnding::Reset);
    }
    assert_eq!(rig.home_of(5), member, "it still gets requests");
    // Failures one after another still eject it.
    let mut members = Vec::new();
    for _ in 0..8 {
        rig.now += 20.0;
        let id = rig.request(SMALL, 5, 0);
        members.push(rig.sends()[0].member);
        rig.end(id, 0, members[members.len() - 1], AttemptEnding::Reset);
    }
    assert!(members[0] == member && members[7] != member, "{members:?}");
}

/// Else one bad request would eject the origin and use up the retry budget of good ones.
#[test]
fn a_request_that_fails_everywhere_ejects_nobody_and_is_given_up() {
    let mut rig = Rig::new();
    for object in 0..40 {
        let id = rig.request(SMALL, object, 0);
        let mut attempts = 0;
        while let Some(SentAttempt { member, .. }) = rig.sends().first().copied() {
            rig.end(id, attempts, member, AttemptEnding::Error);
            attempts += 1;
        }
        assert!(attempts <= 3 && rejected(&rig.actions, id), "{attempts}");
        // Good ones pass between them.
        rig.home_of(object + 100);
        rig.now += 50.0;
    }
    let id = rig.request(KEYED, 5, 0);
    assert_eq!(
        rig.sends(),
        [SentAttempt { request: id, member: THE_ORIGIN, source: None }],
        "the origin is not ejected"
    );
}

/// Clients that cancel early must not eject members.
#[test]
fn attempts_cancelled_before_they_are_late_do_not_show_silence() {
    let mut rig = Rig::new();
    let member = rig.home_of(5);
    for _ in 0..40 {
        let id = rig.request(SMALL, 5, 0);
        rig.now += 60.0;
        rig.event(Event::ClientGone(id));
        rig.end(id, 0, member, AttemptEnding::Cancelled);
        let logged = rig.event(Event::Timer(0)).iter().any(|a| matches!(a, Action::Log(_)));
        assert!(!logged, "{member} is ejected");
    }
    assert_eq!(rig.home_of(5), member);
}

/// Nobody stands in for the origin: without it writes could not run.
#[test]
fn a_failing_origin_is_never_ejected() {
    let mut rig = Rig::new();
    for _ in 0..10 {
        let id = rig.request(KEYED, 5, 0);
        assert_eq!(rig.sends(), [SentAttempt { request: id, member: THE_ORIGIN, source: None }]);
        rig.end(id, 0, THE_ORIGIN, AttemptEnding::Reset);
        rig.now += 50.0;
    }
}

#[test]
fn a_member_that_answers_other_requests_is_not_silent() {
    let mut rig = Rig::new();
    let member = rig.home_of(5);
    for _ in 0..5 {
        rig.request(LARGE, 5, 0);
    }
    rig.now += 500.0;
    let id = rig.request(SMALL, 5, 0);
    rig.end(id, 0, member, AttemptEnding::Served);
    let now = rig.now;
    rig.sweep_until(now + 600.0);
    assert!(!rig.actions.iter().any(|a| matches!(a, Action::Cancel { .. })));
}

/// Where all caches are silent, requests go to the parents.
#[test]
fn a_silent_location_is_bypassed() {
    let mut rig = Rig::new();
    for object in 0..40 {
        rig.request(SMALL, object, 0);
    }
    let start = rig.now;
    rig.sweep_until(start + 1000.0);
    rig.request(SMALL, 5, 0);
    assert!(PARENTS.contains(&rig.sends()[0].member));
}

/// Failures spread over all members show no outlier; ejections in turn would move homes.
#[test]
fn scattered_failures_eject_nobody() {
    let mut rig = Rig::new();
    for object in 0..400 {
        let id = rig.request(SMALL, object, 0);
        let at = rig.sends()[0].member;
        let how = if object % 4 == 0 { AttemptEnding::Reset } else { AttemptEnding::Served };
        rig.end(id, 0, at, how);
        assert!(!rig.actions.iter().any(|a| matches!(a, Action::Log(_))), "{object}: {:?}", rig.actions);
        if how == AttemptEnding::Reset {
            let next = rig.sends()[0].member;
            rig.end(id, 1, next, AttemptEnding::Served);
        }
    }
    assert!(!rig.actions.iter().any(|a| matches!(a, Action::Log(_))));
    let homes: Vec<MemberId> = (0..40).map(|o| rig.home_of(o)).collect();
    assert!(CACHES.iter().all(|c| homes.contains(c)));
}

/// After its own pause a router has heard of no member; that is not their silence.
#[test]
fn a_router_that_paused_itself_ejects_nobody() {
    for (is_paused, cancels) in [(true, false), (false, true)] {
        let mut rig = Rig::new();
        for object in 0..40 {
            rig.request(SMALL, object, 0);
        }
        let mut cancelled = false;
        let end = rig.now + 1000.0;
        while rig.now < end {
            rig.now += if is_paused { 1000.0 } else { 20.0 };
            let now = rig.now;
            rig.sweep_at(now);
            cancelled |= rig.actions.iter().any(|a| matches!(a, Action::Cancel { .. }));
        }
        assert_eq!(cancelled, cancels);
    }
}

/// Fills go on to the origin without using up the retry budget.
#[test]
fn sources_that_reject_every_fill_are_bypassed() {
    let mut rig = Rig::new();
    for object in 0..60 {
        let (id, cache) = rig.request_and_miss(SMALL, object);
        let mut attempt = 1;
        while let Some(SentAttempt { source: Some(source), .. }) = rig.sends().first().copied() {
            let how = if PARENTS.contains(&source) { AttemptEnding::Rejected } else { AttemptEnding::Served };
            rig.end(id, attempt, cache, how);
            attempt += 1;
        }
    }
    let (_, _) = rig.request_and_miss(SMALL, 999);
    assert_eq!(rig.sends()[0].source, Some(THE_ORIGIN), "straight from the origin");
}

/// The origin rejects requests of parents; their own copies still serve.
#[test]
fn parents_are_not_ejected_while_the_origin_fails() {
    for (origin_fails, source_is_parent) in [(true, true), (false, false)] {
        let mut rig = Rig::new();
        for object in 0..80 {
            let write = rig.request(KEYED, object, 0);
            rig.end(
                write,
                0,
                THE_ORIGIN,
                if origin_fails { AttemptEnding::Rejected } else { AttemptEnding::Served },
            );
            rig.event(Event::ClientGone(write));
            let (id, cache) = rig.request_and_miss(SMALL, object);
            let mut attempt = 1;
            while let Some(SentAttempt { source: Some(source), .. }) = rig.sends().first().copied() {
                let ok = source == THE_ORIGIN && !origin_fails;
                rig.end(id, attempt, cache, if ok { AttemptEnding::Served } else { AttemptEnding::Rejected });
                attempt += 1;
            }
        }
        rig.request_and_miss(SMALL, 999);
        assert_eq!(
            rig.sends()
                .first()
                .is_some_and(|sent| sent.source.is_some_and(|source| PARENTS.contains(&source))),
            source_is_parent
        );
    }
}
