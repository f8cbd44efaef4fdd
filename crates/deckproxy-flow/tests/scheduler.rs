//! The scheduler of background tasks: no starvation, shares by weight, and no overrun except by overdue tasks.

use deckproxy_flow::scheduler::{Scheduler, TaskId, TaskSettings};
use proptest::prelude::*;
use std::collections::HashMap;

fn settings(priority_weight: u32, time_slice: u64, max_delay: u64) -> TaskSettings {
    TaskSettings { priority_weight, time_slice, max_delay }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(17), ..Default::default() })]

    /// However much time the event loop leaves free, each ready task runs within its maximum delay and at most one
    /// overdue slice of each other task.
    #[test]
    fn no_task_starves(
        tasks in prop::collection::vec((1u32..9, 20u64..200, 500u64..20_000), 1..8),
        turns in prop::collection::vec((0u64..400, 100u64..900), 50..400),
    ) {
        let mut scheduler = Scheduler::default();
        let ids: Vec<TaskId> = tasks.iter().map(|(weight, slice, delay)| scheduler.add(settings(*weight, *slice, *delay))).collect();
        let mut now = 0;
        for id in &ids { scheduler.wake(now, *id); }
        for (left, elapsed) in turns {
            now += elapsed;
            let mut left = left;
            // A turn without time left has at most one slice, as in the gateway.
            while let Some((id, slice)) = scheduler.next(now, left) {
                now += slice;
                scheduler.slice_ended(now, id, slice, true);
                if slice >= left {
                    break;
                }
                left -= slice;
            }
        }
        let slices: u64 = tasks.iter().map(|(_, slice, _)| slice + 900).sum();
        for (id, (_, _, max_delay)) in ids.iter().zip(&tasks) {
            let statistics = scheduler.statistics(*id);
            prop_assert!(statistics.longest_delay <= max_delay + slices + 900, "{:?} of {}", statistics, max_delay);
        }
    }
}

#[test]
fn time_is_shared_by_weight() {
    let mut scheduler = Scheduler::default();
    let ids = [1, 2, 5].map(|weight| scheduler.add(settings(weight, 100, 1 << 40)));
    for id in &ids {
        scheduler.wake(0, *id);
    }
    let mut run_time: HashMap<TaskId, u64> = HashMap::new();
    for now in 0..8000 {
        let (id, slice) = scheduler.next(now, 1000).unwrap();
        *run_time.entry(id).or_default() += slice;
        scheduler.slice_ended(now, id, slice, true);
    }
    let shares = ids.map(|id| run_time[&id] / 10_000);
    assert_eq!(shares, [10, 20, 50]);
}

#[test]
fn without_time_left_only_overdue_tasks_run() {
    let mut scheduler = Scheduler::default();
    let (lenient, urgent) = (scheduler.add(settings(1, 100, 50_000)), scheduler.add(settings(1, 100, 1000)));
    scheduler.wake(0, lenient);
    scheduler.wake(0, urgent);
    assert_eq!(scheduler.next(999, 50), None);
    assert_eq!(scheduler.next_due(), Some(1000));
    assert_eq!(scheduler.next(1000, 0), Some((urgent, 100)));
    scheduler.slice_ended(1100, urgent, 100, false);
    assert_eq!(scheduler.next(1100, 0), None);
    assert_eq!(scheduler.next(1100, 100), Some((lenient, 100)));
}

#[test]
fn a_task_that_becomes_ready_gets_no_credit_for_idle_time() {
    let mut scheduler = Scheduler::default();
    let (steady, late) = (scheduler.add(settings(1, 100, 1 << 40)), scheduler.add(settings(1, 100, 1 << 40)));
    scheduler.wake(0, steady);
    for now in 0..1000 {
        assert_eq!(scheduler.next(now, 1000), Some((steady, 100)));
        scheduler.slice_ended(now, steady, 100, true);
    }
    scheduler.wake_at(late, 1500);
    assert_eq!(scheduler.next(1499, 1000), Some((steady, 100)));
    let mut runs = 0;
    for now in 1500..1600 {
        let (id, _) = scheduler.next(now, 1000).unwrap();
        runs += u32::from(id == late);
        scheduler.slice_ended(now, id, 100, true);
    }
    assert!((49..=51).contains(&runs), "half of the slices from now on: {runs}");
    scheduler.remove(late);
    assert_eq!(scheduler.next(2000, 1000), Some((steady, 100)));
}
