use super::*;

fn watch(ends: &[bool]) -> Health {
    let mut watch = Watch::default();
    ends.iter().enumerate().for_each(|(i, good)| watch.probed(i as f64 * 1000.0, &Terms::default(), *good));
    watch.health()
}

#[test]
fn three_failures_in_a_row_and_two_answers_change_a_mind() {
    assert_eq!(watch(&[true, false, false, true, false, false]), Health::Good);
    assert_eq!(watch(&[false, false, false]), Health::Failing);
    assert_eq!(watch(&[false, false, false, true]), Health::Failing);
    assert_eq!(watch(&[false, false, false, true, true]), Health::Back);
    assert_eq!(watch(&[false, false, false, true, true, false]), Health::Failing);
    assert_eq!(watch(&[false, false, false, true, true, true, true, true]), Health::Good);
}

#[test]
fn attempts_end_a_trial_either_way() {
    let terms = Terms::default();
    let mut watch = Watch::default();
    watch.attempted(0.0, &terms, false);
    assert_eq!(watch.health(), Health::Good, "requests alone make nobody fail");
    [false, false, false, true, true].iter().for_each(|good| watch.probed(1.0, &terms, *good));
    let mut failed = watch;
    failed.attempted(2.0, &terms, false);
    assert_eq!(failed.health(), Health::Failing);
    (0..5).for_each(|_| watch.attempted(2.0, &terms, true));
    assert_eq!(watch.health(), Health::Good);
}

#[test]
fn one_sick_observer_proves_nothing() {
    use Health::{Back, Failing, Good};
    let held = |reports: &[Health]| judge(reports.iter().copied(), 2, false);
    assert_eq!(held(&[Failing]), Held::No);
    assert_eq!(held(&[Failing, Good]), Held::No);
    assert_eq!(held(&[Failing, Failing]), Held::Yes);
    assert_eq!(held(&[Failing, Back]), Held::ButObservers);
    assert_eq!(held(&[Failing, Back, Good]), Held::No);
    let still = |reports: &[Health]| judge(reports.iter().copied(), 2, true);
    assert_eq!((still(&[Failing]), still(&[Back])), (Held::Yes, Held::ButObservers));
    assert_eq!((still(&[Failing, Good]), still(&[])), (Held::No, Held::No));
}
