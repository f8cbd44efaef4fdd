//! Caches that hang, fail, crash or are slow: which of them are ejected, and until when.

use crate::{count_live_peers, finish_and_check, plan, request_generator, start, wait_for_health_checks};
use deckproxy_rig::plan::{CacheFault, FaultKind};
use deckproxy_rig::rig::Rig;

#[test]
fn hanging_cache_is_ejected_everywhere_until_its_observers_recover_it() {
    let mut rig = start(4, 7);
    let cache = rig.caches()[0].clone();
    let hangs = FaultKind::Cache(0, CacheFault::Hangs);
    rig.begin_fault(&hangs, 0.0);
    rig.until("all instances eject the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1))
    });
    let (before, health_checks) = (rig.attempts(&cache), rig.health_checks(&cache));
    rig.until("health checks continue", |rig| rig.health_checks(&cache) > health_checks + 4);
    // Requests that were in flight when the last instance learned of it may have arrived.
    assert!(rig.attempts(&cache) <= before + 2, "{} requests were sent to it", rig.attempts(&cache) - before);
    rig.end_fault(&hangs);
    rig.until("all instances have readmitted the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0))
    });
    let now = rig.attempts(&cache);
    rig.until("the cache receives requests again", |rig| rig.attempts(&cache) > now);
    let readmitted_at: Vec<f64> = (0..4)
        .map(|i| {
            let views = deckproxy_rig::fleet_view::views(&rig.log(i));
            let at = views
                .windows(2)
                .filter(|w| w[0].ejected == 1 && w[1].ejected == 0)
                .map(|w| w[1].at)
                .next_back();
            at.expect("the instance ejected and readmitted the cache")
        })
        .collect();
    let first = readmitted_at.iter().copied().fold(f64::MAX, f64::min);
    let last = readmitted_at.iter().copied().fold(0.0, f64::max);
    assert!(last - first > 100.0, "all instances readmitted it at once: {readmitted_at:?}");
    finish_and_check(rig);
}

#[test]
fn hanging_cache_stays_ejected_when_an_observer_is_killed() {
    let mut rig = start(4, 13);
    let cache = rig.caches()[0].clone();
    rig.begin_fault(&FaultKind::Cache(0, CacheFault::Hangs), 0.0);
    rig.until("all instances eject the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1))
    });
    let fails = format!("{cache} is failing, as this instance observes it");
    let observer = (0..4).find(|i| rig.log(*i).contains(&fails)).expect("two instances observe it");
    rig.begin_fault(&FaultKind::Kill(observer), 0.0);
    rig.wait_for_processes();
    let others: Vec<usize> = (0..4).filter(|i| *i != observer).collect();
    rig.until("the others consider it dead", |rig| others.iter().all(|i| count_live_peers(rig, *i) == 2));
    let (before, health_checks) = (rig.attempts(&cache), rig.health_checks(&cache));
    // The observer's successor has decided by then.
    rig.until("health checks continue", |rig| rig.health_checks(&cache) > health_checks + 10);
    assert!(rig.attempts(&cache) <= before, "{} requests were sent to it", rig.attempts(&cache) - before);
    assert!(others.iter().all(|i| rig.view(*i).is_some_and(|v| v.ejected == 1)));
    rig.end_fault(&FaultKind::Cache(0, CacheFault::Hangs));
    rig.until("they readmit the cache", |rig| {
        others.iter().all(|i| rig.view(*i).is_some_and(|v| v.ejected == 0))
    });
    rig.end_fault(&FaultKind::Kill(observer));
    rig.wait_for_processes();
    rig.until("all views have converged again", Rig::has_converged);
    finish_and_check(rig);
}

#[test]
fn failing_cache_is_ejected_and_a_slow_one_is_not() {
    let mut rig = start(3, 14);
    let fails = FaultKind::Cache(3, CacheFault::Fails(1.0));
    rig.begin_fault(&fails, 0.0);
    rig.until("all instances eject the cache", |rig| {
        (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1))
    });
    rig.begin_fault(&FaultKind::Cache(3, CacheFault::Slow(150)), 0.0);
    rig.until("all instances readmit the cache", |rig| {
        (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0))
    });
    let health_checks = rig.health_checks(&rig.caches()[3]);
    rig.until("health checks of the slow cache continue", |rig| {
        rig.health_checks(&rig.caches()[3]) > health_checks + 8
    });
    assert!((0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    // Half of its requests fail: whatever its observers conclude, its rate of health checks does not rise.
    rig.begin_fault(&FaultKind::Cache(3, CacheFault::Fails(0.5)), 0.0);
    let health_checks = rig.health_checks(&rig.caches()[3]);
    rig.until("health checks continue", |rig| rig.health_checks(&rig.caches()[3]) > health_checks + 8);
    rig.end_fault(&fails);
    rig.until("no cache is ejected", |rig| (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    finish_and_check(rig);
}

#[test]
fn crashed_cache_restarts_empty_and_is_readmitted() {
    let mut rig = start(4, 8);
    let crash = FaultKind::Cache(1, CacheFault::Crashes);
    rig.begin_fault(&crash, 0.0);
    rig.until("all instances eject the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1))
    });
    rig.end_fault(&crash);
    rig.until("all instances have readmitted the cache", |rig| {
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0))
    });
    finish_and_check(rig);
}

#[test]
fn isolated_observer_ejects_nothing() {
    let mut plan = plan(4, 9);
    // The rig inserts relays only where the plan has a partition.
    let cut = FaultKind::Cut { instances: vec![0], zone: 0, is_silent: true };
    plan.faults.push(deckproxy_rig::plan::Fault { at: 1.0, duration: 1.0, kind: cut.clone() });
    let mut rig = Rig::start(&plan, &request_generator());
    rig.begin_fault(&cut, 0.0);
    rig.until("the instance observes failing caches", |rig| {
        rig.log(0).contains("is failing, as this instance observes it")
    });
    wait_for_health_checks(&rig, 6);
    assert!(
        (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)),
        "the other instances observe healthy caches"
    );
    rig.end_fault(&cut);
    rig.until("the instance observes healthy caches again", |rig| {
        rig.log(0).contains("is healthy, as this instance observes it")
    });
    finish_and_check(rig);
}
