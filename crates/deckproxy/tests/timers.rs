//! The order in which timers fire.

use deckproxy::routing::timers::Timers;

#[test]
fn timers_fire_by_time_and_then_by_insertion() {
    let mut timers = Timers::default();
    for (at, what) in [(5.0, "c"), (1.0, "a"), (5.0, "d"), (3.0, "b")] {
        timers.schedule(at, what);
    }
    assert_eq!(timers.pop_due(0.5), None);
    assert_eq!(timers.next_deadline(), Some(1.0));
    let fired: Vec<_> = std::iter::from_fn(|| timers.pop_due(5.0)).collect();
    assert_eq!(fired, [(1.0, "a"), (3.0, "b"), (5.0, "c"), (5.0, "d")]);
    assert_eq!(timers.next_deadline(), None);
}

#[test]
fn cancelled_timers_neither_fire_nor_stay() {
    let mut timers = Timers::default();
    let first = timers.schedule(1.0, "a");
    timers.schedule(2.0, "b");
    timers.cancel(first);
    assert_eq!((timers.len(), timers.next_deadline()), (1, Some(2.0)));
    assert_eq!(timers.pop_due(5.0), Some((2.0, "b")));
    timers.cancel(first);
    assert!(timers.is_empty());
}
