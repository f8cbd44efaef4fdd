//! Figures of a run: spans and gaps of times are counted.

use deckproxy_rig::intervals::{longest_gap, most_within};

#[test]
fn spans_and_gaps_are_counted() {
    assert_eq!(most_within(&[0.0, 500.0, 1999.0, 2000.0, 2400.0], 2000.0), 4);
    assert_eq!(longest_gap(&[1000.0, 1500.0, 9000.0], 0.0, 10_000.0), 7500.0);
    assert_eq!(longest_gap(&[], 0.0, 3000.0), 3000.0);
}
