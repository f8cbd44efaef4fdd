use super::*;

#[test]
fn a_pause_is_excluded_from_own_time_and_reported_once() {
    let reading = |own_time, pause| Reading { own_time, pause };
    let mut clock = PauseAwareClock::new(1000.0);
    assert_eq!(clock.read(500.0), reading(500.0, None));
    assert_eq!(clock.read(1500.0), reading(1500.0, None));
    assert_eq!(clock.read(4500.0), reading(1500.0, Some(3000.0)));
    assert_eq!(clock.read(4600.0), reading(1600.0, None));
    assert_eq!(clock.to_host(1700.0), 4700.0);
    assert_eq!(clock.pauses, 1);
}
