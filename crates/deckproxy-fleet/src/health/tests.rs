use super::*;

fn health_after(checks: &[bool]) -> Health {
    let mut monitor = Monitor::default();
    for (i, succeeded) in checks.iter().enumerate() {
        monitor.health_checked(i as f64 * 1000.0, &Thresholds::default(), *succeeded);
    }
    monitor.health()
}

#[test]
fn three_failures_and_two_successes_in_a_row_change_the_state() {
    assert_eq!(health_after(&[true, false, false, true, false, false]), Health::Healthy);
    assert_eq!(health_after(&[false, false, false]), Health::Failing);
    assert_eq!(health_after(&[false, false, false, true]), Health::Failing);
    assert_eq!(health_after(&[false, false, false, true, true]), Health::HalfOpen);
    assert_eq!(health_after(&[false, false, false, true, true, false]), Health::Failing);
    assert_eq!(health_after(&[false, false, false, true, true, true, true, true]), Health::Healthy);
}

#[test]
fn attempts_end_a_trial_either_way() {
    let thresholds = Thresholds::default();
    let mut monitor = Monitor::default();
    monitor.attempt_ended(0.0, &thresholds, false);
    assert_eq!(
        monitor.health(),
        Health::Healthy,
        "failed attempts alone do not change a healthy member's report"
    );
    for succeeded in [false, false, false, true, true] {
        monitor.health_checked(1.0, &thresholds, succeeded);
    }
    let mut failed = monitor;
    failed.attempt_ended(2.0, &thresholds, false);
    assert_eq!(failed.health(), Health::Failing);
    (0..5).for_each(|_| monitor.attempt_ended(2.0, &thresholds, true));
    assert_eq!(monitor.health(), Health::Healthy);
}

#[test]
fn a_single_failing_observer_ejects_nothing() {
    use Health::{Failing, HalfOpen, Healthy};
    let if_not_ejected = |reports: &[Health]| combine_reports(reports.iter().copied(), 2, false);
    assert_eq!(if_not_ejected(&[Failing]), Ejection::None);
    assert_eq!(if_not_ejected(&[Failing, Healthy]), Ejection::None);
    assert_eq!(if_not_ejected(&[Failing, Failing]), Ejection::All);
    assert_eq!(if_not_ejected(&[Failing, HalfOpen]), Ejection::ExceptObservers);
    assert_eq!(if_not_ejected(&[Failing, HalfOpen, Healthy]), Ejection::None);
    let if_ejected = |reports: &[Health]| combine_reports(reports.iter().copied(), 2, true);
    assert_eq!((if_ejected(&[Failing]), if_ejected(&[HalfOpen])), (Ejection::All, Ejection::ExceptObservers));
    assert_eq!((if_ejected(&[Failing, Healthy]), if_ejected(&[])), (Ejection::None, Ejection::None));
}
