use super::*;

#[test]
fn a_pause_is_left_out_and_told_once() {
    let mut time = OwnTime::new(1000.0);
    assert_eq!(time.look(500.0), (500.0, None));
    assert_eq!(time.look(1500.0), (1500.0, None));
    assert_eq!(time.look(4500.0), (1500.0, Some(3000.0)));
    assert_eq!(time.look(4600.0), (1600.0, None));
    assert_eq!(time.host(1700.0), 4700.0);
    assert_eq!(time.pauses, 1);
}
