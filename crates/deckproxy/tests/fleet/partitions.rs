//! Partitions of the fleet, and faults that must not be treated as one.

use crate::{finish_and_check, plan, request_generator, start, wait_for_health_checks};
use deckproxy_rig::plan::{CacheFault, FaultKind};
use deckproxy_rig::rig::Rig;

#[test]
fn both_sides_of_a_partition_work_and_merge_again() {
    let mut rig = start(5, 3);
    let split = FaultKind::Split(vec![1, 4]);
    rig.begin_fault(&split, 0.0);
    rig.until("both sides know whether they have the majority", |rig| {
        let larger = |i: usize| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2);
        let smaller = |i: usize| rig.view(i).is_some_and(|v| !v.in_larger_part && v.heard.len() == 1);
        [0, 2, 3].into_iter().all(larger) && [1, 4].into_iter().all(smaller)
    });
    wait_for_health_checks(&rig, 6);
    rig.end_fault(&split);
    rig.until("all views have converged again", Rig::has_converged);
    wait_for_health_checks(&rig, 4);
    finish_and_check(rig);
}

#[test]
fn isolated_zone_keeps_serving_and_rejoins() {
    let mut plan = plan(5, 15);
    // Instances 1 and 3 are in the second zone. The rig inserts relays only where the plan has a partition.
    let cut = FaultKind::Cut { instances: vec![1, 3], zone: 0, is_silent: true };
    plan.faults.push(deckproxy_rig::plan::Fault { at: 1.0, duration: 1.0, kind: cut.clone() });
    let mut rig = Rig::start(&plan, &request_generator());
    let all = [FaultKind::Split(vec![1, 3]), cut, FaultKind::Feed { instances: vec![1, 3], delay_ms: 0 }];
    for what in &all {
        rig.begin_fault(what, 0.0);
    }
    rig.wait_for_processes();
    rig.until("both sides know whether they have the majority", |rig| {
        [0, 2, 4].into_iter().all(|i| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2))
            && [1, 3]
                .into_iter()
                .all(|i| rig.view(i).is_some_and(|v| !v.in_larger_part && v.heard.len() == 1))
    });
    let before: Vec<u64> = (0..5).map(|i| rig.served_by(i)).collect();
    rig.until("both sides serve their clients", |rig| (0..5).all(|i| rig.served_by(i) > before[i] + 5));
    wait_for_health_checks(&rig, 4);
    // The majority reaches all caches: observations of the isolated instances eject no cache there.
    assert!([0, 2, 4].into_iter().all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    for what in &all {
        rig.end_fault(what);
    }
    rig.wait_for_processes();
    rig.until("all views have converged again", Rig::has_converged);
    rig.until("no cache is ejected", |rig| (0..5).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    finish_and_check(rig);
}

#[test]
fn late_or_silent_feeds_cause_no_partition() {
    let mut rig = start(4, 10);
    rig.begin_fault(&FaultKind::Feed { instances: vec![1], delay_ms: 0 }, 0.0);
    rig.begin_fault(&FaultKind::Feed { instances: vec![2], delay_ms: 1500 }, 0.0);
    rig.wait_for_processes();
    rig.begin_fault(&FaultKind::Cache(2, CacheFault::Crashes), 0.0);
    rig.until("all instances eject the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1))
    });
    rig.end_fault(&FaultKind::Cache(2, CacheFault::Crashes));
    rig.until("all instances readmit the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0))
    });
    rig.end_fault(&FaultKind::Feed { instances: vec![1, 2], delay_ms: 0 });
    rig.wait_for_processes();
    rig.until("all views have converged", Rig::has_converged);
    finish_and_check(rig);
}
