//! Instances that are killed, paused and restarted: the others take over their share of the members, and
//! return it later.

use crate::{count_live_peers, finish_and_check, start, wait_for_health_checks};
use deckproxy_rig::judge::judge;
use deckproxy_rig::plan::FaultKind;
use deckproxy_rig::rig::Rig;
use deckproxy_rig::run::RunRecord;
use deckproxy_standins::record::{Fact, Seen};

#[test]
fn share_of_a_killed_instance_is_taken_over_and_given_back() {
    let mut rig = start(4, 1);
    wait_for_health_checks(&rig, 4);
    rig.begin_fault(&FaultKind::Kill(1), 0.0);
    rig.wait_for_processes();
    rig.until("the others consider it dead", |rig| [0, 2, 3].iter().all(|i| count_live_peers(rig, *i) == 2));
    rig.until("they observe all caches", |rig| {
        let observes = |i: usize| rig.view(i).map_or(0, |v| v.observes);
        [0, 2, 3].into_iter().map(observes).sum::<u64>() == 12
    });
    wait_for_health_checks(&rig, 4);
    rig.end_fault(&FaultKind::Kill(1));
    rig.wait_for_processes();
    rig.until("the new incarnation has joined", Rig::has_converged);
    rig.until("it observes its share again", |rig| rig.view(1).is_some_and(|v| v.observes > 0));
    wait_for_health_checks(&rig, 4);
    let (run, _) = finish_and_check(rig);
    check_judges_detect_planted_faults(&run);
}

/// Checks that each judge detects a fault planted in the record.
fn check_judges_detect_planted_faults(run: &RunRecord) {
    let member = run.members[0].clone();
    let middle = (run.traffic_from + run.traffic_to) / 2.0;
    let good = judge(run);
    let judge_with_fault = |plant_fault: &dyn Fn(&mut RunRecord)| {
        let mut copy = run.clone();
        plant_fault(&mut copy);
        copy.facts.sort_by(|a, b| a.at.total_cmp(&b.at));
        judge(&copy)
    };
    // An instance continues health checks that others took over.
    let extra_checks = judge_with_fault(&|record| {
        let health_check = |i: usize| Seen {
            at: middle + i as f64 * 100.0,
            fact: Fact::HealthChecked { member: member.clone() },
        };
        record.facts.extend((0..16).map(health_check));
    });
    assert!(extra_checks.check_ratio_max >= 2.0, "{}", extra_checks.check_ratio_max);
    // An instance does not take over, so that a member gets no health checks for a while.
    let missing_checks = judge_with_fault(&|record| {
        let within = middle - 2500.0..middle + 2500.0;
        record.facts.retain(|s| {
            !(matches!(&s.fact, Fact::HealthChecked { member: m } if *m == member) && within.contains(&s.at))
        });
    });
    assert!(missing_checks.coverage_gap_ms > 4000.0 && missing_checks.coverage_gap_ms > good.coverage_gap_ms);
    // A gossip store with an outdated incarnation never equals the others.
    let outdated_store = judge_with_fault(&|record| {
        record.logs[0] = record.logs[0].replace("\"store_checksum\":\"", "\"store_checksum\":\"ff");
    });
    assert!(good.convergence_ms.is_some());
    assert_ne!(outdated_store.convergence_ms, good.convergence_ms);
    // An instance considers another one dead although no fault separates them.
    let false_death = judge_with_fault(&|record| {
        let last =
            record.logs[0].rfind("\"lost\":\"").expect("the log lists lost instances") + "\"lost\":\"".len();
        record.logs[0].insert_str(last, "i2 ");
        record.absences.iter_mut().for_each(|a| *a = deckproxy_rig::absence::Absences::default());
        record.traffic_from = 0.0;
    });
    assert!(false_death.false_deaths > 0);
    let unanswered = judge_with_fault(&|record| {
        let name = record.facts.iter().find_map(|s| match &s.fact {
            Fact::Answered { name, .. } => Some(name.clone()),
            _ => None,
        });
        record
            .facts
            .retain(|s| !matches!(&s.fact, Fact::Answered { name: n, .. } if Some(n) == name.as_ref()));
    });
    assert_eq!(unanswered.verdict.unanswered, 1);
}

#[test]
fn paused_instance_detects_its_outdated_view_and_recovers_its_share() {
    let mut rig = start(4, 2);
    rig.begin_fault(&FaultKind::Pause(2), 0.0);
    rig.wait_for_processes();
    rig.until("the others consider it dead", |rig| [0, 1, 3].iter().all(|i| count_live_peers(rig, *i) == 2));
    wait_for_health_checks(&rig, 3);
    rig.end_fault(&FaultKind::Pause(2));
    rig.wait_for_processes();
    rig.until("the instance logs the pause", |rig| rig.log(2).contains("this process was paused"));
    rig.until("all views have converged again", Rig::has_converged);
    wait_for_health_checks(&rig, 4);
    let views = deckproxy_rig::fleet_view::views(&rig.log(2));
    assert!(
        views.iter().skip_while(|v| v.is_stale).any(|v| v.is_stale),
        "the view became stale after it had been current"
    );
    finish_and_check(rig);
}

#[test]
fn rolling_restart_under_load_answers_all() {
    let mut rig = start(4, 6);
    rig.begin_fault(&FaultKind::RollingRestart, 6.0);
    rig.wait_for_processes();
    rig.until("all new incarnations have converged", Rig::has_converged);
    assert!((0..4).all(|i| rig.log(i).matches("\"fleet: takes part\"").count() == 2));
    wait_for_health_checks(&rig, 4);
    let (run, figures) = finish_and_check(rig);
    assert_eq!(figures.verdict.unanswered, 0);
    assert!(run.logs.iter().all(|log| !log.contains("another process is")));
}

#[test]
fn instance_without_peers_keeps_serving() {
    let mut rig = start(3, 12);
    for other in [1, 2] {
        rig.begin_fault(&FaultKind::Kill(other), 0.0);
    }
    rig.wait_for_processes();
    rig.until("the instance has no live peers", |rig| {
        rig.view(0).is_some_and(|v| v.heard.is_empty() && !v.in_larger_part)
    });
    let before = rig.served_by(0);
    rig.until("it serves requests", |rig| rig.served_by(0) > before + 100);
    wait_for_health_checks(&rig, 2);
    for other in [1, 2] {
        rig.end_fault(&FaultKind::Kill(other));
    }
    rig.wait_for_processes();
    rig.until("all views have converged again", Rig::has_converged);
    finish_and_check(rig);
}
