use super::*;

fn key(gateway: u32, request: u64) -> RequestKey {
    RequestKey { gateway, incarnation: 0, request }
}

#[test]
fn each_violation_is_counted_and_the_first_is_described_with_its_trace() {
    let mut checker = InvariantChecker::default();
    let request = key(1, 7);
    checker.request_received(10, request, 1000);
    checker.attempt_arrived(20, request, 1, 3);
    checker.attempt_ended(30, request, 1, 3);
    checker.attempt_arrived(31, request, 2, 4);
    assert_eq!(checker.violations().total(), 0);
    checker.attempt_arrived(32, request, 3, 5);
    checker.request_answered(40, request, "served");
    checker.request_answered(41, request, "served");
    checker.write_ran(50, 9);
    checker.write_ran(51, 9);
    checker.request_received(60, key(1, 8), 100);
    checker.request_received(60, key(2, 1), 100);
    checker.gateway_killed(2, 0);
    checker.finish(5000);
    let b = checker.violations();
    assert_eq!((b.double_attempts, b.double_answers, b.double_effects, b.unanswered), (1, 1, 1, 1));
    let first = checker.first_violation().unwrap();
    assert!(
        first.starts_with("at 0.032 ms: two attempts") && first.matches("AttemptArrived").count() == 3,
        "{first}"
    );
}
