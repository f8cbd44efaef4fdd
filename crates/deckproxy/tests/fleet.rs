//! Several processes of the gateway that know of each other, with faults between them. What is judged was counted at
//! members, relays and clients; which peers an instance considers dead and its gossip store are read from its log.

use deckproxy_rig::judge::{FleetFigures, judge};
use deckproxy_rig::plan::{CacheFault, FaultKind, Plan};
use deckproxy_rig::relay::DatagramFaults;
use deckproxy_rig::rig::Rig;
use deckproxy_rig::run::RunRecord;
use deckproxy_standins::load_client::{RequestGenerator, RequestSpec};
use deckproxy_standins::record::{Fact, Seen};
use rand::RngExt;
use std::net::UdpSocket;
use std::sync::Arc;

fn draw() -> RequestGenerator {
    Arc::new(|rng| {
        let object = rng.random_range(0..200u64) * 0x0101_0101_0101;
        let class = if rng.random_bool(0.05) { "post" } else { "page" };
        RequestSpec { class, object, group: 3, home_site: 0, timeout_ms: 1400 }
    })
}

fn plan(instances: usize, seed: u64) -> Plan {
    Plan {
        instances,
        zones: 2,
        caches: 2,
        rate: 60.0,
        clients: 12,
        seed,
        health_check_interval_ms: 500,
        ..Plan::default()
    }
}

fn start(instances: usize, seed: u64) -> Rig {
    Rig::start(&plan(instances, seed), &draw())
}

/// Waits until each cache has received so many further health checks.
fn wait_for_health_checks(rig: &Rig, times: usize) {
    let before: Vec<usize> = rig.caches().iter().map(|c| rig.health_checks(c)).collect();
    rig.until("each cache is probed again", |rig| {
        rig.caches().iter().zip(&before).all(|(c, before)| rig.health_checks(c) >= before + times)
    });
}

fn heard(rig: &Rig, i: usize) -> usize {
    rig.view(i).map_or(0, |view| view.heard.len())
}

/// Ends all processes; expects that no rule was broken, no member got twice the intended health checks, and no instance was
/// considered dead without cause.
fn finish_and_check(rig: Rig) -> (RunRecord, FleetFigures) {
    let run = rig.finish();
    let figures = judge(&run);
    assert!(figures.verdict.holds(), "{:#?}", figures.verdict.violations);
    assert!(figures.verdict.served > 0, "clients were served");
    assert_eq!(run.process_faults, Vec::<String>::new());
    assert!(figures.check_ratio_max < 2.0, "{} times the probes", figures.check_ratio_max);
    (run, figures)
}

#[test]
fn share_of_a_killed_instance_is_taken_over_and_given_back() {
    let mut rig = start(4, 1);
    wait_for_health_checks(&rig, 4);
    rig.begin_fault(&FaultKind::Kill(1), 0.0);
    rig.wait_for_processes();
    rig.until("the others take it for gone", |rig| [0, 2, 3].iter().all(|i| heard(rig, *i) == 2));
    rig.until("they observe all", |rig| {
        let observes = |i: usize| rig.view(i).map_or(0, |v| v.observes);
        [0, 2, 3].into_iter().map(observes).sum::<u64>() == 12
    });
    wait_for_health_checks(&rig, 4);
    rig.end_fault(&FaultKind::Kill(1));
    rig.wait_for_processes();
    rig.until("the new life is one of them", Rig::has_converged);
    rig.until("it has its share again", |rig| rig.view(1).is_some_and(|v| v.observes > 0));
    wait_for_health_checks(&rig, 4);
    let (run, _) = finish_and_check(rig);
    check_judges_detect_planted_faults(&run);
}

/// Each judge detects a fault that is planted in the record.
fn check_judges_detect_planted_faults(run: &RunRecord) {
    let member = run.members[0].clone();
    let middle = (run.traffic_from + run.traffic_to) / 2.0;
    let good = judge(run);
    let spoilt = |spoil: &dyn Fn(&mut RunRecord)| {
        let mut copy = run.clone();
        spoil(&mut copy);
        copy.facts.sort_by(|a, b| a.at.total_cmp(&b.at));
        judge(&copy)
    };
    // An instance that continues checks which others took over.
    let more = spoilt(&|p| {
        let probe = |i: usize| Seen {
            at: middle + i as f64 * 100.0,
            fact: Fact::HealthChecked { member: member.clone() },
        };
        p.facts.extend((0..16).map(probe));
    });
    assert!(more.check_ratio_max >= 2.0, "{}", more.check_ratio_max);
    // An instance that does not take over: nobody checks a member for a while.
    let hole = spoilt(&|p| {
        let within = middle - 2500.0..middle + 2500.0;
        p.facts.retain(|s| {
            !(matches!(&s.fact, Fact::HealthChecked { member: m } if *m == member) && within.contains(&s.at))
        });
    });
    assert!(hole.coverage_gap_ms > 4000.0 && hole.coverage_gap_ms > good.coverage_gap_ms);
    // A gossip store with an outdated incarnation never equals the others.
    let board = spoilt(&|p| p.logs[0] = p.logs[0].replace("\"board\":\"", "\"board\":\"ff"));
    assert!(good.convergence_ms.is_some());
    assert_ne!(board.convergence_ms, good.convergence_ms);
    // An instance that considers another dead, though nothing is between them.
    let deaf = spoilt(&|p| {
        let last = p.logs[0].rfind("\"lost\":\"").expect("it says who is lost") + "\"lost\":\"".len();
        p.logs[0].insert_str(last, "i2 ");
        p.absences.iter_mut().for_each(|a| *a = deckproxy_rig::absence::Absences::default());
        p.traffic_from = 0.0;
    });
    assert!(deaf.false_deaths > 0);
    let unanswered = spoilt(&|p| {
        let name = p.facts.iter().find_map(|s| match &s.fact {
            Fact::Answered { name, .. } => Some(name.clone()),
            _ => None,
        });
        p.facts.retain(|s| !matches!(&s.fact, Fact::Answered { name: n, .. } if Some(n) == name.as_ref()));
    });
    assert_eq!(unanswered.verdict.unanswered, 1);
}

#[test]
fn paused_instance_detects_its_outdated_view_and_recovers_its_share() {
    let mut rig = start(4, 2);
    rig.begin_fault(&FaultKind::Pause(2), 0.0);
    rig.wait_for_processes();
    rig.until("the others take it for gone", |rig| [0, 1, 3].iter().all(|i| heard(rig, *i) == 2));
    wait_for_health_checks(&rig, 3);
    rig.end_fault(&FaultKind::Pause(2));
    rig.wait_for_processes();
    rig.until("it says that it stood still", |rig| rig.log(2).contains("this process stood still"));
    rig.until("all are one again", Rig::has_converged);
    wait_for_health_checks(&rig, 4);
    let views = deckproxy_rig::fleet_view::views(&rig.log(2));
    assert!(
        views.iter().skip_while(|v| v.is_stale).any(|v| v.is_stale),
        "its view was old after it had been good"
    );
    finish_and_check(rig);
}

#[test]
fn both_sides_of_a_partition_work_and_merge_again() {
    let mut rig = start(5, 3);
    let split = FaultKind::Split(vec![1, 4]);
    rig.begin_fault(&split, 0.0);
    rig.until("both parts know what they are", |rig| {
        let larger = |i: usize| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2);
        let smaller = |i: usize| rig.view(i).is_some_and(|v| !v.in_larger_part && v.heard.len() == 1);
        [0, 2, 3].into_iter().all(larger) && [1, 4].into_iter().all(smaller)
    });
    wait_for_health_checks(&rig, 6);
    rig.end_fault(&split);
    rig.until("all are one again", Rig::has_converged);
    wait_for_health_checks(&rig, 4);
    finish_and_check(rig);
}

#[test]
fn instances_that_are_not_heard_release_their_share() {
    let mut rig = start(5, 4);
    let mute = FaultKind::Mute(vec![0, 3]);
    rig.begin_fault(&mute, 0.0);
    rig.until("those not heard know it", |rig| {
        [0, 3].into_iter().all(|i| rig.view(i).is_some_and(|v| !v.in_larger_part))
            && [1, 2, 4]
                .into_iter()
                .all(|i| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2))
    });
    wait_for_health_checks(&rig, 6);
    rig.end_fault(&mute);
    rig.until("all are one again", Rig::has_converged);
    finish_and_check(rig);
}

#[test]
fn datagram_loss_delay_and_duplication_cause_no_partition() {
    let mut rig = start(4, 5);
    rig.begin_fault(
        &FaultKind::Datagrams(DatagramFaults { lost_share: 0.3, duplicated_share: 0.2, max_delay_ms: 60 }),
        0.0,
    );
    wait_for_health_checks(&rig, 20);
    let (_, figures) = finish_and_check(rig);
    assert_eq!(figures.false_deaths, 0);
}

#[test]
fn rolling_restart_under_load_answers_all() {
    let mut rig = start(4, 6);
    rig.begin_fault(&FaultKind::RollingRestart, 6.0);
    rig.wait_for_processes();
    rig.until("all new lives are one", Rig::has_converged);
    assert!((0..4).all(|i| rig.log(i).matches("\"fleet: takes part\"").count() == 2));
    wait_for_health_checks(&rig, 4);
    let (run, figures) = finish_and_check(rig);
    assert_eq!(figures.verdict.unanswered, 0);
    assert!(run.logs.iter().all(|log| !log.contains("another process is")));
}

#[test]
fn hanging_cache_is_ejected_everywhere_until_its_observers_recover_it() {
    let mut rig = start(4, 7);
    let cache = rig.caches()[0].clone();
    let hangs = FaultKind::Cache(0, CacheFault::Hangs);
    rig.begin_fault(&hangs, 0.0);
    rig.until("all hold it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1)));
    let (before, probes) = (rig.attempts(&cache), rig.health_checks(&cache));
    rig.until("it is probed still", |rig| rig.health_checks(&cache) > probes + 4);
    // Requests that were in flight when the last instance learned of it may have arrived.
    assert!(rig.attempts(&cache) <= before + 2, "{} requests came to it", rig.attempts(&cache) - before);
    rig.end_fault(&hangs);
    rig.until("all have taken it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    let now = rig.attempts(&cache);
    rig.until("it gets requests again", |rig| rig.attempts(&cache) > now);
    let lifts: Vec<f64> = (0..4)
        .map(|i| {
            let views = deckproxy_rig::fleet_view::views(&rig.log(i));
            let at = views
                .windows(2)
                .filter(|w| w[0].ejected == 1 && w[1].ejected == 0)
                .map(|w| w[1].at)
                .next_back();
            at.expect("it held it back and took it back")
        })
        .collect();
    let first = lifts.iter().copied().fold(f64::MAX, f64::min);
    let last = lifts.iter().copied().fold(0.0, f64::max);
    assert!(last - first > 100.0, "not all at one moment: {lifts:?}");
    finish_and_check(rig);
}

#[test]
fn hanging_cache_stays_ejected_when_an_observer_is_killed() {
    let mut rig = start(4, 13);
    let cache = rig.caches()[0].clone();
    rig.begin_fault(&FaultKind::Cache(0, CacheFault::Hangs), 0.0);
    rig.until("all hold it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1)));
    let fails = format!("{cache} is Failing, as this instance observes it");
    let observer = (0..4).find(|i| rig.log(*i).contains(&fails)).expect("two observe it");
    rig.begin_fault(&FaultKind::Kill(observer), 0.0);
    rig.wait_for_processes();
    let others: Vec<usize> = (0..4).filter(|i| *i != observer).collect();
    rig.until("the others take it for gone", |rig| others.iter().all(|i| heard(rig, *i) == 2));
    let (before, probes) = (rig.attempts(&cache), rig.health_checks(&cache));
    // Its successor has decided by then.
    rig.until("it is probed on", |rig| rig.health_checks(&cache) > probes + 10);
    assert!(rig.attempts(&cache) <= before, "{} requests came to it", rig.attempts(&cache) - before);
    assert!(others.iter().all(|i| rig.view(*i).is_some_and(|v| v.ejected == 1)));
    rig.end_fault(&FaultKind::Cache(0, CacheFault::Hangs));
    rig.until("they take it back", |rig| others.iter().all(|i| rig.view(*i).is_some_and(|v| v.ejected == 0)));
    rig.end_fault(&FaultKind::Kill(observer));
    rig.wait_for_processes();
    rig.until("all are one again", Rig::has_converged);
    finish_and_check(rig);
}

#[test]
fn failing_cache_is_ejected_and_a_slow_one_is_not() {
    let mut rig = start(3, 14);
    let fails = FaultKind::Cache(3, CacheFault::Fails(1.0));
    rig.begin_fault(&fails, 0.0);
    rig.until("all hold it back", |rig| (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1)));
    rig.begin_fault(&FaultKind::Cache(3, CacheFault::Slow(150)), 0.0);
    rig.until("all take it back", |rig| (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    let probes = rig.health_checks(&rig.caches()[3]);
    rig.until("it is probed, slow as it is", |rig| rig.health_checks(&rig.caches()[3]) > probes + 8);
    assert!((0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    // Half of its requests fail: whatever its observers conclude, it gets no more health checks.
    rig.begin_fault(&FaultKind::Cache(3, CacheFault::Fails(0.5)), 0.0);
    let probes = rig.health_checks(&rig.caches()[3]);
    rig.until("it is probed on", |rig| rig.health_checks(&rig.caches()[3]) > probes + 8);
    rig.end_fault(&fails);
    rig.until("nothing is held back", |rig| (0..3).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    finish_and_check(rig);
}

#[test]
fn isolated_zone_keeps_serving_and_rejoins() {
    let mut plan = plan(5, 15);
    // Instances 1 and 3 are in the second zone. The rig places relays where the plan has cuts.
    let cut = FaultKind::Cut { instances: vec![1, 3], zone: 0, is_silent: true };
    plan.faults.push(deckproxy_rig::plan::Fault { at: 1.0, duration: 1.0, kind: cut.clone() });
    let mut rig = Rig::start(&plan, &draw());
    let all = [FaultKind::Split(vec![1, 3]), cut, FaultKind::Feed { instances: vec![1, 3], delay_ms: 0 }];
    for what in &all {
        rig.begin_fault(what, 0.0);
    }
    rig.wait_for_processes();
    rig.until("both parts know what they are", |rig| {
        [0, 2, 4].into_iter().all(|i| rig.view(i).is_some_and(|v| v.in_larger_part && v.heard.len() == 2))
            && [1, 3]
                .into_iter()
                .all(|i| rig.view(i).is_some_and(|v| !v.in_larger_part && v.heard.len() == 1))
    });
    let before: Vec<u64> = (0..5).map(|i| rig.served_by(i)).collect();
    rig.until("both serve their clients", |rig| (0..5).all(|i| rig.served_by(i) > before[i] + 5));
    wait_for_health_checks(&rig, 4);
    // The larger part reaches all caches: what the isolated instances observe of the other zone ejects nothing there.
    assert!([0, 2, 4].into_iter().all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    for what in &all {
        rig.end_fault(what);
    }
    rig.wait_for_processes();
    rig.until("all are one again", Rig::has_converged);
    rig.until("nothing is held back", |rig| (0..5).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    finish_and_check(rig);
}

#[test]
fn operator_file_reload_applies_and_names_what_takes_a_restart() {
    let at = deckproxy_standins::free_address();
    let site = deckproxy_standins::TestSite::start();
    let mut setup = site.setup();
    let text = |name: &str, observers: u32| {
        format!(
            "fleet {{ name: \"{name}\" listen: \"{at}\" prefixes: \"127.0.0.0/8\" probes {{ observers: {observers} interval_ms: 100 }} }}"
        )
    };
    setup.operator = Some(text("one", 2));
    let gateway = setup.start();
    let probed = || {
        site.caches.iter().any(|c| matches!(c.next_event(), deckproxy_standins::MemberEvent::HealthCheck(..)))
    };
    deckproxy_standins::until("members are probed", probed);
    gateway.reload_operator(&text("one", 0));
    let told = |what: &str| gateway.log().contains(what);
    deckproxy_standins::until("it is taken", || told("reload: the fleet's settings are taken"));
    assert!(!told("take a restart"));
    gateway.reload_operator(&text("two", 0));
    deckproxy_standins::until("it is said", || {
        told("reload: the fleet's name, listen, instance, zone, address, weight and overload take a restart")
    });
    gateway.reload_operator("");
    deckproxy_standins::until("off takes one too", || {
        told("reload: switching the fleet on or off takes a restart")
    });
    gateway.reload_operator("fleet { nmae: \"x\" }");
    deckproxy_standins::until("a bad one changes nothing", || {
        told("reload: the configuration in force stays")
    });
}

#[test]
fn crashed_cache_restarts_empty_and_is_readmitted() {
    let mut rig = start(4, 8);
    let crash = FaultKind::Cache(1, CacheFault::Crashes);
    rig.begin_fault(&crash, 0.0);
    rig.until("all hold it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1)));
    rig.end_fault(&crash);
    rig.until("all have taken it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    finish_and_check(rig);
}

#[test]
fn isolated_observer_ejects_nothing() {
    let mut plan = plan(4, 9);
    // The rig places relays where the plan has cuts.
    let cut = FaultKind::Cut { instances: vec![0], zone: 0, is_silent: true };
    plan.faults.push(deckproxy_rig::plan::Fault { at: 1.0, duration: 1.0, kind: cut.clone() });
    let mut rig = Rig::start(&plan, &draw());
    rig.begin_fault(&cut, 0.0);
    rig.until("it says that caches fail", |rig| {
        rig.log(0).contains("is Failing, as this instance observes it")
    });
    wait_for_health_checks(&rig, 6);
    assert!((0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)), "the others see them well");
    rig.end_fault(&cut);
    rig.until("it says that they are back", |rig| {
        rig.log(0).contains("is Good, as this instance observes it")
    });
    finish_and_check(rig);
}

#[test]
fn late_or_silent_feeds_cause_no_partition() {
    let mut rig = start(4, 10);
    rig.begin_fault(&FaultKind::Feed { instances: vec![1], delay_ms: 0 }, 0.0);
    rig.begin_fault(&FaultKind::Feed { instances: vec![2], delay_ms: 1500 }, 0.0);
    rig.wait_for_processes();
    rig.begin_fault(&FaultKind::Cache(2, CacheFault::Crashes), 0.0);
    rig.until("all hold it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 1)));
    rig.end_fault(&FaultKind::Cache(2, CacheFault::Crashes));
    rig.until("all take it back", |rig| (0..4).all(|i| rig.view(i).is_some_and(|v| v.ejected == 0)));
    rig.end_fault(&FaultKind::Feed { instances: vec![1, 2], delay_ms: 0 });
    rig.wait_for_processes();
    rig.until("all are one", Rig::has_converged);
    finish_and_check(rig);
}

#[test]
fn datagrams_of_strangers_are_dropped_and_counted() {
    let rig = start(3, 11);
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    for i in 0..3 {
        let at = rig.relay_address(i);
        stranger.send_to(b"hello", at).unwrap();
        stranger.send_to(&[0; 1500], at).unwrap();
        // A valid datagram of another fleet.
        let other = deckproxy_fleet::wire::Wire::new("other", vec!["127.0.0.0/8".parse().unwrap()]);
        let from = deckproxy_fleet::instance::Instance {
            name: "i9".into(),
            zone: "edge".into(),
            address: stranger.local_addr().unwrap(),
            incarnation: 1,
            renewals: 0,
            weight: 1,
        };
        let body = deckproxy_fleet::wire::Body::Hello { is_reply: false, known_incarnation: None };
        let bytes = other.encode(&deckproxy_fleet::wire::Packet { from, body }).unwrap();
        stranger.send_to(&bytes, at).unwrap();
    }
    rig.until("the relays have passed them", |rig| rig.datagrams() > 0);
    wait_for_health_checks(&rig, 4);
    assert!(rig.has_converged());
    let (run, _) = finish_and_check(rig);
    for log in &run.logs {
        let summary =
            log.lines().rfind(|line| line.contains("\"msg\":\"end\"")).expect("a summary at the end");
        for doubt in ["garbled:1", "too_large:1", "other_fleet:1"] {
            assert!(summary.contains(doubt), "{doubt}: {summary}");
        }
        assert!(!log.contains("i9"));
    }
}

#[test]
fn instance_without_peers_keeps_serving() {
    let mut rig = start(3, 12);
    for other in [1, 2] {
        rig.begin_fault(&FaultKind::Kill(other), 0.0);
    }
    rig.wait_for_processes();
    rig.until("it is alone", |rig| rig.view(0).is_some_and(|v| v.heard.is_empty() && !v.in_larger_part));
    let before = rig.served_by(0);
    rig.until("it serves", |rig| rig.served_by(0) > before + 100);
    wait_for_health_checks(&rig, 2);
    for other in [1, 2] {
        rig.end_fault(&FaultKind::Kill(other));
    }
    rig.wait_for_processes();
    rig.until("all are one again", Rig::has_converged);
    finish_and_check(rig);
}
