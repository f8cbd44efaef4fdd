//! Counts of events over spans of time, and the gaps between them.

use deckproxy_rig::intervals::{longest_gap, most_within};

#[test]
fn events_in_a_span_and_the_longest_gap_are_found() {
    assert_eq!(most_within(&[0.0, 500.0, 1999.0, 2000.0, 2400.0], 2000.0), 4);
    assert_eq!(longest_gap(&[1000.0, 1500.0, 9000.0], 0.0, 10_000.0), 7500.0);
    assert_eq!(longest_gap(&[], 0.0, 3000.0), 3000.0);
}
