//! The scheduler of background work: nothing starves, weights hold, and no time is taken that is not there.

use deckproxy_flow::work::{Kind, Scheduler, TaskId};
use proptest::prelude::*;
use std::collections::HashMap;

fn kind(weight: u32, slice: u64, patience: u64) -> Kind {
    Kind { weight, slice, patience }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default() })]

    /// Turns of a loop that leaves anything from no time to much: each ready task runs within its patience, and at
    /// most one overdue slice for each task before it.
    #[test]
    fn nothing_starves(
        kinds in prop::collection::vec((1u32..9, 20u64..200, 500u64..20_000), 1..8),
        turns in prop::collection::vec((0u64..400, 100u64..900), 50..400),
    ) {
        let mut scheduler = Scheduler::default();
        let ids: Vec<TaskId> = kinds.iter().map(|(w, s, p)| scheduler.add(kind(*w, *s, *p))).collect();
        let mut now = 0;
        ids.iter().for_each(|id| scheduler.wake(now, *id));
        for (left, passes) in turns {
            now += passes;
            let mut left = left;
            // One slice in a turn where nothing is left, as a gateway does.
            while let Some((id, slice)) = scheduler.next(now, left) {
                now += slice;
                scheduler.ran(now, id, slice, true);
                if slice >= left {
                    break;
                }
                left -= slice;
            }
        }
        let slices: u64 = kinds.iter().map(|(_, slice, _)| slice + 900).sum();
        for (id, (_, _, patience)) in ids.iter().zip(&kinds) {
            let got = scheduler.served(*id);
            prop_assert!(got.waited <= patience + slices + 900, "{:?} of {}", got, patience);
        }
    }
}

#[test]
fn time_is_shared_by_weight() {
    let mut scheduler = Scheduler::default();
    let ids = [1, 2, 5].map(|weight| scheduler.add(kind(weight, 100, 1 << 40)));
    ids.iter().for_each(|id| scheduler.wake(0, *id));
    let mut had: HashMap<TaskId, u64> = HashMap::new();
    for now in 0..8000 {
        let (id, slice) = scheduler.next(now, 1000).unwrap();
        *had.entry(id).or_default() += slice;
        scheduler.ran(now, id, slice, true);
    }
    let parts = ids.map(|id| had[&id] / 10_000);
    assert_eq!(parts, [10, 20, 50]);
}

#[test]
fn without_time_only_what_is_overdue_runs() {
    let mut scheduler = Scheduler::default();
    let (patient, hasty) = (scheduler.add(kind(1, 100, 50_000)), scheduler.add(kind(1, 100, 1000)));
    scheduler.wake(0, patient);
    scheduler.wake(0, hasty);
    assert_eq!(scheduler.next(999, 50), None);
    assert_eq!(scheduler.next_due(), Some(1000));
    assert_eq!(scheduler.next(1000, 0), Some((hasty, 100)));
    scheduler.ran(1100, hasty, 100, false);
    assert_eq!(scheduler.next(1100, 0), None);
    assert_eq!(scheduler.next(1100, 100), Some((patient, 100)));
}

#[test]
fn one_that_comes_back_does_not_claim_what_it_did_not_want() {
    let mut scheduler = Scheduler::default();
    let (steady, late) = (scheduler.add(kind(1, 100, 1 << 40)), scheduler.add(kind(1, 100, 1 << 40)));
    scheduler.wake(0, steady);
    for now in 0..1000 {
        assert_eq!(scheduler.next(now, 1000), Some((steady, 100)));
        scheduler.ran(now, steady, 100, true);
    }
    scheduler.wake_at(late, 1500);
    assert_eq!(scheduler.next(1499, 1000), Some((steady, 100)));
    let mut runs = 0;
    for now in 1500..1600 {
        let (id, _) = scheduler.next(now, 1000).unwrap();
        runs += u32::from(id == late);
        scheduler.ran(now, id, 100, true);
    }
    assert!((49..=51).contains(&runs), "half of what there is from now on: {runs}");
    scheduler.remove(late);
    assert_eq!(scheduler.next(2000, 1000), Some((steady, 100)));
}
