use super::*;

#[test]
fn cells_show_the_median_the_longest_and_the_number() {
    assert_eq!(cell([30.0, 10.0, 20.0].into_iter()), "20 / 30 (3)");
    assert_eq!(cell(std::iter::empty()), "NaN / NaN (0)");
}

#[test]
fn a_fleet_without_loss_agrees_after_a_kill_and_a_split() {
    let network = NetworkConditions { lost_share: 0.0, duplicated_share: 0.0, max_delay: 10.0 };
    let times = run(1, network).expect("all instances join");
    assert!(times.lost.is_some_and(|ms| ms > 0.0 && ms < TIMEOUT_MS), "{:?}", times.lost);
    let (heard, same_board) = (times.heard.expect("heard in time"), times.same_board.expect("in time"));
    assert!(0.0 < heard && heard <= same_board && same_board < TIMEOUT_MS, "{heard} {same_board}");
}
